package loadgen

import (
	"container/heap"
	"net/http"
	"time"
)

// attempt is the next attempt of a request: the first attempt or a retry.
type attempt struct {
	request   ScheduledRequest // the request; its field At is the time at which this attempt is due
	scheduled time.Duration    // time at which the first attempt was due, from which latency counts
	sent      int              // number of earlier attempts
	backoff   time.Duration    // pause before this attempt; 0 for the first attempt
	outcome   Outcome          // outcome of the previous attempt
}

// attemptHeap is a min-heap of attempts, ordered by the time at which they are due. It implements heap.Interface.
type attemptHeap []attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].request.At < h[j].request.At }
func (h attemptHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *attemptHeap) Push(x any)        { *h = append(*h, x.(attempt)) }
func (h *attemptHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// idempotent reports whether requests of the class may be sent again after a fault. This is the case only for GET and HEAD
// requests.
func (c *Class) idempotent() bool { return c.Method == http.MethodGet || c.Method == http.MethodHead }

// retryable reports whether a request may be retried after an outcome. Every request may be retried after Refused, and an
// idempotent request also after Broken, TimedOut or Failed.
func retryable(outcome Outcome, idempotent bool) bool {
	switch outcome {
	case Refused:
		return true
	case Broken, TimedOut, Failed:
		return idempotent
	}
	return false
}

// serve makes one attempt. It then settles the request or schedules a retry. Each worker calls serve with its own sender.
func (r *run) serve(s sender, a attempt) {
	result := s.send(a.request, r.options.Timeout)
	now := time.Since(r.started)
	a.sent++
	class := &r.options.Classes[a.request.Class]
	retry := a.sent <= r.options.Retries && retryable(result.outcome, class.idempotent())
	retry = r.settle(a, result, now, retry)
	r.idle.Add(1)
	if left := r.unsettled.Add(-1); retry || left == 0 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// settle counts an attempt that ended at the time now, and reports whether it scheduled a retry. It schedules a retry if the
// argument retry is true and fewer than MaxWaitingRetries requests wait for a retry. Otherwise the outcome of this attempt becomes
// the outcome of the request.
func (r *run) settle(a attempt, result attemptResult, now time.Duration, retry bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := &r.classes[a.request.Class]
	class.Attempts++
	if retry && len(r.waiting) >= r.options.MaxWaitingRetries {
		class.GivenUp++
		retry = false
	}
	if retry {
		a.outcome = result.outcome
		a.backoff = max(r.options.RetryBackoff, 2*a.backoff)
		a.request.At = now + max(a.backoff, result.retryAfter)
		heap.Push(&r.waiting, a)
		return true
	}
	class.Outcomes[result.outcome]++
	r.progress.Outcomes[result.outcome]++
	if result.outcome == OK {
		latency := now - a.scheduled
		Record(class.Latency, latency)
		Record(class.interval, latency)
		Record(r.recent, latency)
	}
	return false
}
