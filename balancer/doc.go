// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar: whether a
// request is admitted, which upstream gets it, whether it is sent again or hedged, and how it ends when no
// answer comes.
//
// The package is a pure state machine. It does no I/O, reads no clock, starts no goroutine and imports only
// the standard library. The same settings, seed and events give the same actions. A Balancer is not safe for
// concurrent use: its driver (internal/engine, or a simulator) calls it from one goroutine or under a lock.
//
// # Driving a Balancer
//
// A driver calls New once with Settings and a seed. Then it calls Handle for each Event, with the time at
// which the event happened, and carries out the returned actions in their order:
//
//   - Send: start attempt number Attempt of request ID at Upstream, and report its Outcome exactly once.
//     Attempts of a request are numbered from 0 in the order of their Send actions.
//   - Cancel: stop waiting for an attempt. Its Outcome is still due.
//   - Reject, Fail: give the client its final answer.
//   - SetTimer: report TimerFired at FireAt. An earlier SetTimer may be dropped then.
//   - Subscribe: ask for the endpoint list. The answer is an EndpointUpdate, of Kind UpdateFailed if there
//     is none.
//   - Log: write Text to the operators' log.
//
// An answer whose Outcome is Final goes to the client without an action: the driver has it already.
//
// Snapshot and Restore carry what was learnt over a binary upgrade. View shows the state to operators.
//
// # The way of a request
//
//  1. Arrival (requests.go). The request gets its points in time: latency objective, time to give up,
//     deadline. A client's retry whose latency objective has passed is recognized as stale (retry.go).
//  2. Admission (load_shedding.go). Under load pressure, requests of the lowest priority are rejected.
//  3. Choice (picker.go). Of two random available upstreams the one of lower load is taken, where load is
//     latency x (pending + 1). Fresh load reports (load_report.go) and the zone (locality.go) may decide
//     instead. Latency is a peak-sensitive moving average (latency.go).
//  4. Attempt (requests.go). Send is emitted, and a timer is set for the time at which the attempt is late.
//  5. Late attempt (hedging.go). A hedged request is sent beside it, or the attempt is cancelled.
//  6. Outcome (requests.go). It feeds the latency estimates and outlier detection (outlier_detection.go,
//     locality.go). A final answer ends the request; a failure leads to a retry within the retry budget
//     (retry.go), or to the end.
//  7. End (retry.go). A request that ends without an answer is rejected if a client may safely repeat it,
//     and fails otherwise.
//
// The set of upstreams follows the endpoint list (endpoints.go, subscription.go). An upstream that has just started is held
// back by a token bucket (slow_start.go).
//
// # Invariants
//
//   - Each request has at most one final answer. Until its answer begins, each request has a timer for its
//     end, so that it gets one before its deadline.
//   - Each attempt passes mayAttempt. It never sends a non-idempotent request that may have run, never
//     repeats a request with an idempotency key outside its deduplication scope or window, never sends to an
//     upstream that is draining or removed, and never exceeds MaxAttempts, to which attempts that were not
//     sent do not count.
//   - Each Reject passes mayReject: it promises that repeating the request does no harm.
//   - An upstream in slow start gets an attempt only while its token bucket holds a token.
//   - Retries after a possible execution are bound by the retry budget (handleOutcome in requests.go).
//
// # Units
//
// Points in time are clock times of the driver: durations since an epoch of its own, never going back. Plain
// float64 latencies are in seconds. A normalized latency is divided by the cost of its request: the work
// expected of it relative to the mean request, without a unit. Rates are per second.
package balancer
