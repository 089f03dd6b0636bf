package loadgen

import (
	"container/heap"
	"context"
	"syscall"
	"time"
)

// timerSlack is how late the runtime's timers may be; the rest of a wait is slept by sleepPrecisely.
const timerSlack = 1500 * time.Microsecond

// connectionDelay is the delay above which a request that found all connections busy counts as delayed.
const connectionDelay = time.Millisecond

// sleepPrecisely sleeps in the kernel, whose delay is far below that of the runtime's timers. It may return early.
func sleepPrecisely(d time.Duration) {
	t := syscall.NsecToTimespec(d.Nanoseconds())
	_ = syscall.Nanosleep(&t, nil) // an early return is noticed by the caller, which looks at the time again
}

// dispatcher hands due attempts to the workers. It is used by one goroutine.
type dispatcher struct {
	*run
	schedule     *Schedule
	next         ScheduledRequest
	more         bool // next is valid
	timer        *time.Timer
	blockedUntil time.Duration // when the last attempt that waited for a connection was handed over
}

// dispatch hands out attempts at their times until all requests have ended; stopped: ctx ended first.
func (r *run) dispatch(ctx context.Context, work chan<- attempt) (stopped bool) {
	d := &dispatcher{run: r, schedule: NewSchedule(r.options), timer: time.NewTimer(time.Hour)}
	defer d.timer.Stop()
	d.next, d.more = d.schedule.Next()
	for {
		x, isRetry := d.earliest()
		if !d.more && !isRetry {
			if d.unsettled.Load() == 0 {
				if d.noRetryWaits() { // the last request to end may have added one
					return false
				}
				continue
			}
			if !d.waitForWake(ctx) {
				return true
			}
			continue
		}
		if wait := x.request.At - time.Since(d.started); wait > 0 {
			due, ok := d.sleep(ctx, wait)
			if !ok {
				return true
			}
			if !due {
				continue
			}
		}
		if !d.handOver(ctx, work, d.take(x, isRetry)) {
			return true
		}
	}
}

// earliest returns the attempt that is due first, and whether it is a waiting retry.
func (d *dispatcher) earliest() (x attempt, isRetry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 && (!d.more || d.waiting[0].request.At < d.next.At) {
		return d.waiting[0], true
	}
	return attempt{request: d.next, scheduled: d.next.At}, false
}

// take removes the attempt that earliest returned. Of the retries it takes the first, which may be an earlier one by now.
func (d *dispatcher) take(x attempt, isRetry bool) attempt {
	if !isRetry {
		d.next, d.more = d.schedule.Next()
		return x
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return heap.Pop(&d.waiting).(attempt)
}

func (d *dispatcher) noRetryWaits() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting) == 0
}

// waitForWake waits for a new retry or the end of the last request; false: ctx ended.
func (d *dispatcher) waitForWake(ctx context.Context) bool {
	select {
	case <-d.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for the next attempt. due: the time is over; otherwise a retry may have come before it, or the wait was too long for a
// precise sleep. ok is false when ctx ended.
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

// handOver passes an attempt to a free worker, or waits for one; false: ctx ended before.
func (d *dispatcher) handOver(ctx context.Context, work chan<- attempt, x attempt) bool {
	d.unsettled.Add(1)
	free := d.idle.Load() > 0
	offered := time.Now()
	select {
	case work <- x:
		d.idle.Add(-1) // here, since the worker may run later than the next attempt is due
	case <-ctx.Done():
		d.unsettled.Add(-1)
		return false
	}
	sent := time.Since(d.started)
	if !free {
		d.blockedUntil = sent
		d.blocked += time.Since(offered)
	}
	if x.sent == 0 {
		d.recordFirstAttempt(x.request, sent)
	}
	return true
}

// recordFirstAttempt counts a request, and its delay against this process or against the lack of connections: what was due while the
// dispatcher waited for a connection is late for that.
func (d *dispatcher) recordFirstAttempt(request ScheduledRequest, sent time.Duration) {
	delay := sent - request.At
	d.mu.Lock()
	defer d.mu.Unlock()
	d.classes[request.Class].Requests++
	d.progress.Requests++
	if request.At >= d.blockedUntil {
		Record(d.delay, delay)
	} else if delay > connectionDelay {
		d.delayed++
	}
}
