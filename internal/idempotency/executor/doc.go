// Package executor drives an idempotency.Store: it executes requests that bear an idempotency key, lets repeats of a running one wait for
// its outcome, and returns stored answers. It owns the Store, the running executions, the durable records (a RecordStore) and the claims
// in a store that several processes share (a SharedStore).
//
// An execution runs on the goroutine of the client that arrived first, or on its own one with Options.OwnGoroutine. It goes on when that
// client disconnects, since others may wait for it and its answer is stored for repeats. Its context is canceled once no client waits.
//
// The steps of an execution, and what a crash between them leaves behind:
//
//	arrived    the Store has decided on Execute    no record: the key is unknown
//	recorded   the record says running; claimed    never executed again
//	sent       an attempt is about to be sent      never executed again
//	answered   the outcome is known                never executed again
//	notified   the clients have the outcome        never executed again
//	stored     the record holds the outcome        replayed
package executor
