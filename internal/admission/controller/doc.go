// Package controller drives an admission.Queue for the protocol adapters: it blocks a request until the queue admits or
// rejects it, wakes the queue by a timer, and withdraws the requests of clients that disconnect.
//
// A Controller is safe for concurrent use. The queue is guarded by one mutex and run by whoever brings an event: the
// goroutines in Acquire and Permit.Done, and the timer's. A waiting request costs a channel and a map entry, bounded by
// admission.Options.MaxQueued. Log lines are written after the mutex has been released.
package controller
