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

var (
	// errLeaseLost is returned where the record says that the lease is not held any more.
	errLeaseLost = errors.New("the lease is lost")
	// errNoCapacity is returned where the record has no room for a task's note.
	errNoCapacity = errors.New("the record has no room for the task's note")
)

// reasonTimeout is why a run was stopped that took longer than its timeout: it counts as ended. It is no reason of package lease.
const reasonTimeout lease.Reason = 100

// claim is one attempt at a task: it is the raftgroup.Work that is done while the task's lease is held. cancel ends the attempt, and the lease
// is released.
//
//	the lease is granted ──────────────────▶ decide
//	decide ── nothing is due ──────────────▶ the attempt ends
//	decide ── WriteRecord is stored ───────▶ decide
//	decide ── StartRun's record is stored ─▶ run
//	run ── it ends, and that is stored ────▶ the attempt ends
//	run ── it is cut off ──────────────────▶ the attempt ends, and the record stays begun
type claim struct {
	runner *runner
	task   *declaredTask
	client string
	ctx    context.Context // of the attempt
	cancel context.CancelFunc

	mu        sync.Mutex
	token     lease.Token // 0: the lease was not granted yet
	until     time.Duration
	stopped   bool       // no run may start any more
	execution execution  // of the run; nil: none was started
	nextDue   *time.Time // when the task is due next; nil: not known, zero: never
	err       error      // why the attempt failed; nil: it did not, or the lease is held elsewhere
}

var _ raftgroup.Work = (*claim)(nil)

// Start implements raftgroup.Work.
func (c *claim) Start(token lease.Token, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.until = token, until
	c.runner.work.Go(func() { c.decide(token) })
}

// Extend implements raftgroup.Work.
func (c *claim) Extend(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until = until; c.execution != nil {
		c.execution.extend(until)
	}
}

// Stop implements raftgroup.Work. A lease that was lost is not acquired again by the same attempt.
func (c *claim) Stop(reason lease.Reason) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if reason != lease.ReasonReleased {
		c.cancel()
	}
	if c.execution != nil {
		return c.execution.stop(reason)
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

// Rejected implements raftgroup.Work.
func (c *claim) Rejected(lease.Reason) { c.cancel() }

// Unreachable implements raftgroup.Work. Without the lease the attempt ends; with it there is time until the grant expires.
func (c *claim) Unreachable(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	if c.token == 0 {
		c.cancel()
	}
}

// result returns when the task is due next, nil if that is not known, and why the attempt failed.
func (c *claim) result() (nextDue *time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextDue, c.err
}

func (c *claim) setNextDue(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextDue = &at
}

func (c *claim) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

// decide follows the task's rules until a run has started or nothing is due.
func (c *claim) decide(token lease.Token) {
	running, err := c.followRules(token)
	if running {
		return // the attempt ends with the run
	}
	if err != nil && !errors.Is(err, errLeaseLost) && c.ctx.Err() == nil {
		c.setError(err)
	}
	c.cancel()
}

// followRules reports whether a run has started.
func (c *claim) followRules(token lease.Token) (running bool, err error) {
	note, err := c.request(token, lease.ReadNote, "")
	if err != nil {
		return false, err
	}
	for {
		last, err := task.DecodeRecord(note)
		if err != nil {
			return false, err
		}
		step := c.task.rules.Decide(c.runner.options.Now(), last, token, c.runner.options.Name)
		if step.Kind == task.Wait {
			c.setNextDue(step.At)
			return false, nil
		}
		if note, err = c.request(token, lease.WriteNote, step.Record.Encode()); err != nil {
			return false, err
		}
		if step.Kind == task.StartRun {
			return c.startRun(token, step.Record), nil
		}
	}
}

// request reads or writes the task's note under the token, returns the note that is kept then, and repeats that until it is answered or the attempt ends.
func (c *claim) request(token lease.Token, kind lease.RequestKind, value string) (string, error) {
	request := lease.Request{Kind: kind, Name: c.task.leaseName(), Client: c.client, Token: token, Value: value}
	for {
		reply, err := c.runner.options.Leases.Request(c.ctx, request, 0, c.task.leaseDuration()/requestsPerLease)
		switch {
		case err == nil && reply.Status == lease.Done:
			return reply.Value, nil
		case err == nil && reply.Status == lease.TableFull:
			return "", errNoCapacity
		case err == nil:
			return "", errLeaseLost
		}
		select {
		case <-c.ctx.Done():
			return "", c.ctx.Err()
		case <-time.After(c.task.leaseDuration() / recordsPerLease):
		}
	}
}

// startRun starts the run whose record was stored, unless the lease has to be released. It reports whether the run has started.
func (c *claim) startRun(token lease.Token, record task.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || c.ctx.Err() != nil {
		return false
	}
	name, limit, log := c.task.name(), c.task.declaration.Timeout.D(), c.runner.options.Log
	var timeout *time.Timer // set before the run starts
	run := c.newExecution(record, func(code int, reason lease.Reason) {
		timeout.Stop()
		c.runEnded(token, record, code, reason)
	})
	c.execution = run
	c.runner.started(name)
	log.Info("task: begins", "task", name, "due", formatDue(record), "token", uint64(token), "try", record.Attempts)
	timeout = time.AfterFunc(limit, func() {
		log.Warn("task: timeout", "task", name, "limit", limit)
		run.stop(reasonTimeout)
	})
	run.start(token, c.until)
	return true
}

// runEnded stores the end of a run before its lease is released. A run that was cut off stays begun in the record: the next holder decides on it.
func (c *claim) runEnded(token lease.Token, record task.Record, code int, reason lease.Reason) {
	cutOff := reason != 0 && reason != reasonTimeout
	c.runner.options.Log.Info("task: ended", "task", c.task.name(), "due", formatDue(record), "token", uint64(token), "code", code, "cut", cutOff)
	if cutOff {
		c.cancel()
		return
	}
	record.Phase, record.ExitCode = task.Ended, code
	c.runner.work.Go(func() { c.storeEnd(token, record) })
}

// storeEnd stores the record of a run that has ended, and ends the attempt.
func (c *claim) storeEnd(token lease.Token, record task.Record) {
	defer c.cancel()
	if _, err := c.request(token, lease.WriteNote, record.Encode()); err != nil {
		c.setError(fmt.Errorf("the end of a run is not noted: %w", err))
		return
	}
	if step := c.task.rules.Decide(c.runner.options.Now(), &record, token, c.runner.options.Name); step.Kind == task.Wait {
		c.setNextDue(step.At)
	}
}

func formatDue(record task.Record) string { return record.Due.Format(time.RFC3339Nano) }
