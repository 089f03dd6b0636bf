// Package executor executes requests with an idempotency key, makes repeated requests wait for the outcome of the running one, and returns
// stored answers. An idempotency.Store makes the decisions. Package executor owns that Store, the running executions, the durable records
// (a RecordStore) and the claims in a store that several processes share (a SharedStore).
//
// An execution runs on the goroutine of the client that arrived first, or with Options.OwnGoroutine on a goroutine of its own. It continues
// when that client disconnects, since other clients may wait for it and its answer is stored for repeated requests. Its context is canceled
// once no client waits.
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
