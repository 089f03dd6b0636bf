// Package yielding has long transfers rest together now and then, so that whoever waits for the processor gets it.
//
// With one processor and transfers that never wait, Go's scheduler does not look at the network by itself: runnable goroutines, also
// those that yield, come before that (runtime, findRunnable: own queue, global queue, then netpoll), and the monitor looks once in 10 ms,
// behind them. A transfer that rests alone changes nothing while another one is runnable; where all rest at once the queues run empty.
package yielding

import (
	"sync/atomic"
	"time"
)

// BytesPerYield is how many bytes all transfers together pass on between two rests, and Rest how long one is: long enough for all to come to the
// end of a piece, a twentieth of the time that one core takes for so many bytes, or less.
const (
	BytesPerYield = 2 << 20
	YieldDuration = 100 * time.Microsecond
)

// Yielder counts what transfers pass on. The zero one is ready. It is safe for concurrent use.
type Yielder struct {
	sinceYield atomic.Int64 // bytes since the latest rest began
	yieldUntil atomic.Int64 // when that ends, on the caller's clock
}

// Transferred notes n bytes at now, and tells how long who passed them on is to rest.
func (i *Yielder) Transferred(now time.Duration, n int) time.Duration {
	if total := i.sinceYield.Add(int64(n)); total >= BytesPerYield && i.sinceYield.CompareAndSwap(total, 0) {
		i.yieldUntil.Store(int64(now + YieldDuration))
	}
	return max(0, time.Duration(i.yieldUntil.Load())-now)
}
