// Package executor executes requests with an idempotency key, makes repeated requests wait for the outcome of the running request, and
// returns stored answers. An idempotency.Store makes the decisions. An Executor manages this Store, the running executions, the durable
// records (in a RecordStore) and the claims in a store that several processes share (a SharedStore).
//
// An execution runs on the goroutine of the client that arrived first, or on its own goroutine if Options.OwnGoroutine is set. It continues
// when the client disconnects, since other clients may wait for its outcome, and its answer is stored for repeated requests. Its context is
// canceled when no client waits any more.
//
// The steps of an execution are listed below, each with its meaning and with the effect of a crash before the next step on a repeated
// request:
//
//	arrived    the Store has decided on Execute    executed, since there is no record
//	recorded   record written, request claimed     never executed again
//	sent       an attempt is about to be sent      never executed again
//	answered   the outcome is known                never executed again
//	notified   the clients have the outcome        never executed again
//	stored     the record holds the outcome        replayed
package executor
