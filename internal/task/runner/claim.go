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
	// errLeaseLost is returned if the lease group replies that this claim does not hold the lease any more.
	errLeaseLost = errors.New("the task's lease was lost")
	// errNoCapacity is returned if the lease table is too full for a task's note.
	errNoCapacity = errors.New("the lease table is full: the task's note was not stored")
)

// reasonTimeout is the reason for stopping a run that exceeded its timeout. Such a run counts as ended. Package lease does not use this value.
const reasonTimeout lease.Reason = 100

// claim is one attempt to acquire a task's lease and to start the run that is due. It implements raftgroup.Work, whose methods are called while the
// lease is held. cancel ends the attempt, and then the lease is released.
//
//	the lease is granted ──────────────────▶ decide
//	decide ── nothing is due ──────────────▶ the attempt ends
//	decide ── WriteRecord is stored ───────▶ decide
//	decide ── StartRun's record is stored ─▶ run
//	run ── it ends, and that is stored ────▶ the attempt ends
//	run ── it is interrupted ──────────────▶ the attempt ends, and the record stays begun
type claim struct {
	runner *runner
	task   *declaredTask
	client string
	ctx    context.Context // context of the attempt
	cancel context.CancelFunc

	mu        sync.Mutex
	token     lease.Token   // fencing token of the grant; 0 until the lease is granted
	until     time.Duration // when the grant expires
	stopped   bool          // no run may start any more
	execution execution     // execution of the run; nil until a run has started
	nextDue   *time.Time    // when the task is due next; nil if this is unknown, the zero time if the task is not due any more
	err       error         // why the attempt failed; nil if it has not failed, or if another process holds the lease
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

// Stop implements raftgroup.Work. It ends the attempt, which does not acquire the lease again.
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

// Unreachable implements raftgroup.Work. An attempt without the lease ends. One that holds the lease goes on until the grant expires.
func (c *claim) Unreachable(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	if c.token == 0 {
		c.cancel()
	}
}

// result returns when the task is due next, which is nil if this is unknown, and the error with which the attempt failed.
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

// followRules takes the steps that the task's rules decide on. It reports whether a run has started.
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

// request reads or writes the task's note under the token, and returns the note that is stored afterwards. It retries until the lease group replies
// or the attempt ends.
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

// startRun starts the run whose record was stored, unless the claim has been stopped. It reports whether the run has started.
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
	log.Info("task: run started", "task", name, "due", formatDue(record), "token", uint64(token), "try", record.Attempts)
	timeout = time.AfterFunc(limit, func() {
		log.Warn("task: run stopped because it exceeded its time limit", "task", name, "limit", limit)
		run.stop(reasonTimeout)
	})
	run.start(token, c.until)
	return true
}

// runEnded stores the end of a run before its lease is released. The record of an interrupted run stays in phase begun, and the next holder of the
// lease decides on that run.
func (c *claim) runEnded(token lease.Token, record task.Record, code int, reason lease.Reason) {
	interrupted := reason != 0 && reason != reasonTimeout
	c.runner.options.Log.Info("task: run ended", "task", c.task.name(), "due", formatDue(record), "token", uint64(token), "code", code, "cut", interrupted)
	if interrupted {
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
		c.setError(fmt.Errorf("storing the record of the run's end: %w", err))
		return
	}
	if step := c.task.rules.Decide(c.runner.options.Now(), &record, token, c.runner.options.Name); step.Kind == task.Wait {
		c.setNextDue(step.At)
	}
}

func formatDue(record task.Record) string { return record.Due.Format(time.RFC3339Nano) }
