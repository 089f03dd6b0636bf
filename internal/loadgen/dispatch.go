package loadgen

import (
	"container/heap"
	"context"
	"syscall"
	"time"
)

// timerSlack is the time by which the runtime's timers may fire late. Timers are therefore set to fire earlier by this time, and
// sleepPrecisely sleeps for the rest of a wait.
const timerSlack = 1500 * time.Microsecond

// delayedThreshold is the delay above which a request counts as delayed if it found all connections busy.
const delayedThreshold = time.Millisecond

// sleepPrecisely sleeps with nanosleep(2), which returns with far less delay than the runtime's timers. A signal may end the sleep early.
func sleepPrecisely(d time.Duration) {
	t := syscall.NsecToTimespec(d.Nanoseconds())
	_ = syscall.Nanosleep(&t, nil) // if a signal ends the sleep, the attempt is sent early by at most timerSlack
}

// dispatcher passes attempts to the workers when they are due. Only one goroutine uses it.
type dispatcher struct {
	*run
	schedule     *Schedule
	next         ScheduledRequest
	more         bool // next is valid, because the schedule has not ended
	timer        *time.Timer
	blockedUntil time.Duration // time at which the last attempt that had to wait for a connection was handed over
}

// dispatch passes each attempt to a worker when the attempt is due. It returns when all requests have ended, or when ctx ends. It reports
// whether ctx ended first.
func (r *run) dispatch(ctx context.Context, work chan<- attempt) (stopped bool) {
	d := &dispatcher{run: r, schedule: NewSchedule(r.options), timer: time.NewTimer(time.Hour)}
	defer d.timer.Stop()
	d.next, d.more = d.schedule.Next()
	for {
		a, isRetry := d.earliest()
		if !d.more && !isRetry {
			if d.unsettled.Load() == 0 {
				if d.noWaitingRetries() { // the last attempt may have added a retry before it ended
					return false
				}
				continue
			}
			if !d.waitForWake(ctx) {
				return true
			}
			continue
		}
		if wait := a.request.At - time.Since(d.started); wait > 0 {
			due, ok := d.sleep(ctx, wait)
			if !ok {
				return true
			}
			if !due {
				continue
			}
		}
		if !d.handOver(ctx, work, d.take(a, isRetry)) {
			return true
		}
	}
}

// earliest returns the attempt that is due first, and reports whether this is a waiting retry.
func (d *dispatcher) earliest() (a attempt, isRetry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 && (!d.more || d.waiting[0].request.At < d.next.At) {
		return d.waiting[0], true
	}
	return attempt{request: d.next, scheduled: d.next.At}, false
}

// take removes the attempt a that earliest returned from the schedule or the heap, and returns the attempt to send. For a retry, this is the
// first attempt of the heap. It may differ from a, because a worker may have added a retry that is due earlier in the meantime.
func (d *dispatcher) take(a attempt, isRetry bool) attempt {
	if !isRetry {
		d.next, d.more = d.schedule.Next()
		return a
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return heap.Pop(&d.waiting).(attempt)
}

func (d *dispatcher) noWaitingRetries() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting) == 0
}

// waitForWake waits until a retry is added or the last request ends. It returns false if ctx ends first.
func (d *dispatcher) waitForWake(ctx context.Context) bool {
	select {
	case <-d.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for the next attempt. It returns due if the attempt can be sent now. If due is false, the caller has to call earliest again,
// because a retry that is due earlier may have been added, or because a wait of at most timerSlack is left. It returns ok as false if ctx
// has ended.
func (d *dispatcher) sleep(ctx context.Context, wait time.Duration) (due, ok bool) {
	if wait <= timerSlack {
		sleepPrecisely(wait)
		return true, true
	}
	d.timer.Reset(wait - timerSlack)
	select {
	case <-d.timer.C:
	case <-d.wake:
	case <-ctx.Done():
		return false, false
	}
	return false, true
}

// handOver passes an attempt to an idle worker, and waits until a worker is idle. It returns false if ctx ends first.
func (d *dispatcher) handOver(ctx context.Context, work chan<- attempt, a attempt) bool {
	d.unsettled.Add(1)
	hadIdle := d.idle.Load() > 0
	waitStart := time.Now()
	select {
	case work <- a:
		d.idle.Add(-1) // counted here and not in the worker, which may start to run only after the next attempt is due
	case <-ctx.Done():
		d.unsettled.Add(-1)
		return false
	}
	sent := time.Since(d.started)
	if !hadIdle {
		d.blockedUntil = sent
		d.blocked += time.Since(waitStart)
	}
	if a.sent == 0 {
		d.recordFirstAttempt(a.request, sent)
	}
	return true
}

// recordFirstAttempt counts a request and its delay. If the request became due while the dispatcher waited for a connection, its delay
// counts as caused by busy connections. Any other delay counts as caused by this process.
func (d *dispatcher) recordFirstAttempt(request ScheduledRequest, sent time.Duration) {
	delay := sent - request.At
	d.mu.Lock()
	defer d.mu.Unlock()
	d.classes[request.Class].Requests++
	d.progress.Requests++
	if request.At >= d.blockedUntil {
		Record(d.delay, delay)
	} else if delay > delayedThreshold {
		d.delayed++
	}
}
