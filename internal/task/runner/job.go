package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"orchiddrift/internal/lease"
	"orchiddrift/internal/lease/raftgroup"
	"orchiddrift/internal/task"
)

// job is one wish for a task's lease, and what is done while it is held: leasegroup.Keep's Task.
type job struct {
	r      *runner
	t      *known
	client string
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	token  lease.Token
	until  time.Duration
	ended  bool // nothing may begin any more
	act    act  // that runs; nil: none
	ran    bool // a run began here
	rest   *time.Time
	limit  *time.Timer
	report error // why it could not be decided
}

// act is a run: a command under its guard, or a call.
type act interface {
	begin(token lease.Token, until time.Duration)
	extend(until time.Duration)
	end(why lease.Reason) <-chan struct{}
}

// Start is Task's.
func (j *job) Start(token lease.Token, until time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.token, j.until = token, until
	j.r.jobs.Go(func() { j.decide(token) })
}

// Extend is Task's.
func (j *job) Extend(until time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.until = until; j.act != nil {
		j.act.extend(until)
	}
}

// Stop is Task's. A lease that was lost is not asked for anew by this wish.
func (j *job) Stop(why lease.Reason) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	if why != lease.ReasonReleased {
		j.cancel()
	}
	if j.act != nil {
		return j.act.end(why)
	}
	done := make(chan struct{})
	close(done)
	return done
}

// Rejected is Task's.
func (j *job) Rejected(lease.Reason) { j.cancel() }

// Unreachable is Task's.
func (j *job) Unreachable(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report = err
	if j.token == 0 { // it asks again later; one that holds the lease has until its term's end
		j.cancel()
	}
}

var errLost = errors.New("the lease is lost")

// ask brings an ask under the token, again until it is answered or the wish is over.
func (j *job) ask(token lease.Token, kind lease.RequestKind, value string) (string, error) {
	for {
		r, err := j.r.o.Leases.Request(j.ctx, lease.Request{Kind: kind, Name: j.t.lease(), Client: j.client, Token: token, Value: value}, 0, j.t.d.LeaseDuration.D()/5)
		switch {
		case err == nil && r.Status == lease.Done:
			return r.Value, nil
		case err == nil && r.Status == lease.TableFull:
			return "", errors.New("the record has no room for the task's note")
		case err == nil:
			return "", errLost
		}
		select {
		case <-j.ctx.Done():
			return "", j.ctx.Err()
		case <-time.After(j.t.d.LeaseDuration.D() / 20):
		}
	}
}

// decide does what the task's record asks for.
func (j *job) decide(token lease.Token) {
	note, err := j.ask(token, lease.ReadNote, "")
	for err == nil {
		var last *task.Record
		if last, err = task.DecodeRecord(note); err != nil {
			break
		}
		s := j.t.rules.Decide(j.r.o.Now(), last, token, j.r.o.Name)
		if s.Kind == task.Wait {
			j.mu.Lock()
			j.rest = &s.At
			j.mu.Unlock()
			break
		}
		if note, err = j.ask(token, lease.WriteNote, s.Record.Encode()); err == nil && s.Kind == task.StartRun {
			if s.Record.Phase != task.Begun {
				continue
			}
			if j.run(token, s.Record) {
				return // its end goes on from here
			}
			break
		}
	}
	if err != nil && !errors.Is(err, errLost) && j.ctx.Err() == nil {
		j.mu.Lock()
		j.report = err
		j.mu.Unlock()
	}
	j.cancel()
}

// run begins the run, unless the lease is over.
func (j *job) run(token lease.Token, rec task.Record) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended || j.ctx.Err() != nil {
		return false
	}
	j.ran = true
	a := j.t.act(j, rec, func(code int, why lease.Reason) { j.over(token, rec, code, why) })
	j.act = a
	j.r.began(j.t.d.Name)
	j.r.o.Log.Info("task: begins", "task", j.t.d.Name, "due", rec.Due.Format(time.RFC3339Nano), "token", uint64(token), "try", rec.Attempts)
	j.limit = time.AfterFunc(j.t.d.Timeout.D(), func() {
		j.r.o.Log.Warn("task: its limit is over", "task", j.t.d.Name, "limit", j.t.d.Timeout.D())
		a.end(limitOver)
	})
	a.begin(token, j.until)
	return true
}

// limitOver is why a run was ended whose limit was over: it counts as ended.
const limitOver lease.Reason = 100

// over is the end of a run. One that ended by itself is noted as such before the lease is given back; one that was cut off stays begun.
func (j *job) over(token lease.Token, rec task.Record, code int, why lease.Reason) {
	j.limit.Stop()
	j.r.o.Log.Info("task: ended", "task", j.t.d.Name, "due", rec.Due.Format(time.RFC3339Nano), "token", uint64(token), "code", code, "cut", why != 0 && why != limitOver)
	if why != 0 && why != limitOver {
		j.cancel()
		return
	}
	rec.Phase, rec.ExitCode = task.Ended, code
	j.r.jobs.Go(func() {
		defer j.cancel()
		if _, err := j.ask(token, lease.WriteNote, rec.Encode()); err != nil {
			j.mu.Lock()
			j.report = fmt.Errorf("the end of a run is not noted: %w", err)
			j.mu.Unlock()
			return
		}
		now := j.r.o.Now()
		if s := j.t.rules.Decide(now, &rec, token, j.r.o.Name); s.Kind == task.Wait {
			j.mu.Lock()
			j.rest = &s.At
			j.mu.Unlock()
		}
	})
}

var _ raftgroup.Work = (*job)(nil)
