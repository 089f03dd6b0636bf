// Package idempotency decides how requests with an idempotency key are handled: which requests are executed, which wait for a running
// request with the same key, which get a stored answer, and which are rejected. It is a pure state machine without I/O, goroutines or a
// clock: callers report arrivals, attempts and outcomes, and get decisions. Package executor calls it, and packages boltstore and etcdstore
// store its records.
//
// The states of a key, with the calls that change them:
//
//	           Arrive: Execute                 Finish(Answered)
//	(unknown) -----------------> running -------------------------> answered    Arrive: Replay or AnswerNotStored
//	    ^                        |  ^  |
//	    |  Finish(NotExecuted)   |  |  |       Finish(MayHaveRun)
//	    '------------------------'  |  '--------------------------> uncertain   Arrive: Fail after the deduplication window
//	                                |                                   |
//	                                '-----------------------------------'
//	                                   Arrive: Execute, within the window
//
// While a key is running, Arrive returns Wait, or Reject if too many requests are already waiting.
//
// A key is identified by tenant, class and key. A request with a known key but another fingerprint (method, path, body) is a Conflict, as
// in the IETF's draft-ietf-httpapi-idempotency-key-header. A key is never evicted early: it stays for Options.Retention after its last
// event, and new keys are rejected while the store is full.
//
// All times are durations on the caller's clock. This clock may stop while the process is down. It must not follow the wall clock, so
// that a clock adjustment can't expire a key early.
package idempotency
