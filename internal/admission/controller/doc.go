// Package controller drives an admission.Queue for the protocol adapters: it blocks a request until the queue admits or
// rejects it, wakes the queue by a timer, and withdraws the requests of clients that disconnect.
//
// A Controller is safe for concurrent use. One mutex guards the queue, which runs on the goroutine on which an event
// occurs: that of a caller of Acquire or Permit.Done, or that of the timer. Each waiting request takes a channel and a
// map entry, whose number admission.Options.MaxQueued bounds. Log lines are written after the mutex has been released.
package controller
