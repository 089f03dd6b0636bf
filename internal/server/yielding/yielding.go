// Package yielding makes long transfers pause together now and then, so that small requests get the processor.
//
// With one processor and transfers that never block, Go's scheduler does not poll the network: runnable goroutines, including those that
// yield, come first (runtime, findRunnable: own queue, global queue, then netpoll), and the monitor polls only once in 10 ms, behind
// them. A transfer that pauses alone changes nothing while another one is runnable; if all pause at once the run queues become empty.
package yielding

import (
	"sync/atomic"
	"time"
)

const (
	// BytesPerYield are transferred by all transfers together between two pauses.
	BytesPerYield = 2 << 20
	// YieldDuration of a pause lets all transfers come to the end of a piece. It is at most a twentieth of the time that one core takes
	// for BytesPerYield.
	YieldDuration = 100 * time.Microsecond
)

// Yielder counts the bytes of all transfers. The zero value is ready for use. It is safe for concurrent use.
type Yielder struct {
	sinceYield atomic.Int64 // bytes since the latest pause began
	yieldUntil atomic.Int64 // end of that pause, on the caller's clock
}

// Transferred notes n bytes at now, and returns how long the caller has to pause.
func (y *Yielder) Transferred(now time.Duration, n int) time.Duration {
	total := y.sinceYield.Add(int64(n))
	if total >= BytesPerYield && y.sinceYield.CompareAndSwap(total, 0) {
		y.yieldUntil.Store(int64(now + YieldDuration))
	}
	return max(0, time.Duration(y.yieldUntil.Load())-now)
}
