// Package idempotency decides what becomes of requests that bear an idempotency key: which one is executed, which waits for a running
// one, which gets a stored answer, and which is rejected. It is a pure state machine without I/O, goroutines or a clock: arrivals,
// attempts and outcomes go in, decisions come out. Package executor drives it; packages boltstore and etcdstore keep its records.
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
// While a key is running, Arrive returns Wait, or Reject when too many requests wait already.
//
// A key is identified by tenant, class and key. The same key with another fingerprint (method, path, body) is a Conflict, as in the
// IETF's draft-ietf-httpapi-idempotency-key-header. A key is never evicted early: it stays for Options.Retention after its last
// event, and new keys are rejected while the store is full.
//
// All times are durations on the caller's clock. It may stand still while the process is down and must not follow the wall clock, so
// that a clock adjustment can't expire a key before its time.
package idempotency
