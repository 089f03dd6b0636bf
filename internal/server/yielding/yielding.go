// Package yielding makes long transfers pause together at intervals, so that small requests get processor time.
//
// With one processor and transfers that never block, Go's scheduler does not poll the network: runnable goroutines, including those that
// yield, come first (runtime, findRunnable: own queue, global queue, then netpoll). The runtime's monitor polls only once in 10 ms, and
// queues what it finds behind them. The pause of a single transfer has no effect while another one is runnable. If all transfers pause at
// once, the run queues become empty and the scheduler polls the network.
package yielding

import (
	"sync/atomic"
	"time"
)

const (
	// BytesPerYield is the number of bytes that all transfers together transfer between two pauses.
	BytesPerYield = 2 << 20
	// YieldDuration is the length of a pause. All transfers finish their current pieces within it. It is at most a twentieth of the time
	// that one core takes to transfer BytesPerYield.
	YieldDuration = 100 * time.Microsecond
)

// Yielder counts the bytes of all transfers. The zero value is ready for use. It is safe for concurrent use.
type Yielder struct {
	sinceYield atomic.Int64 // bytes since the latest pause began
	yieldUntil atomic.Int64 // end of that pause, on the caller's clock
}

// Transferred records that n bytes were transferred, and returns how long the caller has to pause. The parameter now is the time of the
// transfer on the caller's clock.
func (y *Yielder) Transferred(now time.Duration, n int) time.Duration {
	total := y.sinceYield.Add(int64(n))
	if total >= BytesPerYield && y.sinceYield.CompareAndSwap(total, 0) {
		y.yieldUntil.Store(int64(now + YieldDuration))
	}
	return max(0, time.Duration(y.yieldUntil.Load())-now)
}
