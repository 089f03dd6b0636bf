package loadgen

import (
	"container/heap"
	"net/http"
	"time"
)

// attempt is the next attempt of a request: its first, or a retry that waits.
type attempt struct {
	request   ScheduledRequest // At is the time of this attempt
	scheduled time.Duration    // time of the first attempt, from which latency counts
	sent      int              // attempts sent before
	backoff   time.Duration    // before this one
	outcome   Outcome          // of the one before
}

// attemptHeap is a heap by the time at which attempts are due.
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

// idempotent reports whether a request of a class may be sent again after a fault.
func (c *Class) idempotent() bool { return c.Method == http.MethodGet || c.Method == http.MethodHead }

// retryable reports whether an outcome allows a retry: after a refusal always, after a fault only for idempotent requests.
func retryable(outcome Outcome, idempotent bool) bool {
	switch outcome {
	case Refused:
		return true
	case Broken, TimedOut, Failed:
		return idempotent
	}
	return false
}

// serve makes one attempt, then settles the request or schedules a retry. Each worker calls it with a sender of its own.
func (r *run) serve(s sender, x attempt) {
	result := s.send(x.request, r.options.Timeout)
	now := time.Since(r.started)
	x.sent++
	class := &r.options.Classes[x.request.Class]
	retry := x.sent <= r.options.Retries && retryable(result.outcome, class.idempotent())
	retry = r.settle(x, result, now, retry)
	r.idle.Add(1)
	if left := r.unsettled.Add(-1); retry || left == 0 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// settle counts an attempt that ended at now. It schedules the retry if one is wanted and few enough wait, and reports whether it did.
func (r *run) settle(x attempt, result attemptResult, now time.Duration, retry bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := &r.classes[x.request.Class]
	class.Attempts++
	if retry && len(r.waiting) >= r.options.MaxWaitingRetries {
		class.GivenUp++
		retry = false
	}
	if retry {
		x.outcome = result.outcome
		x.backoff = max(r.options.RetryBackoff, 2*x.backoff)
		x.request.At = now + max(x.backoff, result.retryAfter)
		heap.Push(&r.waiting, x)
		return true
	}
	class.Outcomes[result.outcome]++
	r.progress.Outcomes[result.outcome]++
	if result.outcome == OK {
		latency := now - x.scheduled
		Record(class.Latency, latency)
		Record(class.interval, latency)
		Record(r.recent, latency)
	}
	return false
}
