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
//   - SetTimer: report TimerFired at FireAt. The driver may drop an earlier SetTimer then.
//   - Subscribe: request the endpoint list. The reply is an EndpointUpdate, whose Kind is UpdateFailed if
//     the list is not available.
//   - Log: write Text to the operators' log.
//
// An answer whose Outcome is Final goes to the client without an action: the driver has the answer already.
//
// Snapshot and Restore carry the learnt state over a binary upgrade. View shows the state to operators.
//
// # How a request is processed
//
//  1. Arrival (requests.go). The balancer sets the request's points in time: the end of its latency
//     objective, the time to give up, and the deadline. A client's retry whose latency objective has passed
//     is recognized as stale (retry.go).
//  2. Admission (load_shedding.go). Under load pressure, requests of the lowest priority are rejected.
//  3. Choice (picker.go). Of two random available upstreams, the one with the lower load is chosen, where
//     load is latency x (pending + 1). Fresh load reports (load_report.go) and the zone (locality.go) may
//     decide instead. Latency is a peak-sensitive moving average (latency.go).
//  4. Attempt (requests.go). Send is emitted, and a timer is set for the time at which the attempt is late.
//  5. Late attempt (hedging.go). A hedged request is sent in addition, or the attempt is cancelled.
//  6. Outcome (requests.go). It updates the latency estimates and outlier detection (outlier_detection.go,
//     locality.go). A final answer ends the request; a failure leads to a retry within the retry budget
//     (retry.go), or to the end of the request.
//  7. End (retry.go). A request that ends without an answer is rejected if a client may safely repeat it,
//     and fails otherwise.
//
// The set of upstreams follows the endpoint list (endpoints.go, subscription.go). A token bucket limits the
// attempts at an upstream that has just started (slow_start.go).
//
// # Invariants
//
//   - Each request has at most one final answer. Until its answer begins, each request has a timer that ends
//     it, so that it gets a final answer before its deadline.
//   - Each attempt is allowed by mayAttempt, which never sends a non-idempotent request that may have run,
//     never repeats a request with an idempotency key outside its deduplication scope or window, never sends
//     to an upstream that is draining or removed, and never exceeds MaxAttempts. Attempts that were not sent
//     do not count towards MaxAttempts.
//   - Each Reject is allowed by mayReject: a Reject promises that repeating the request does no harm.
//   - An upstream in slow start gets an attempt only while its token bucket holds a token.
//   - The retry budget limits retries after a possible execution (handleOutcome in requests.go).
//
// # Units
//
// Points in time are clock times of the driver: durations since an epoch of its own, never going back. Plain
// float64 latencies are in seconds. A normalized latency is a latency divided by the cost of its request; the
// cost is the expected work relative to the mean request, without a unit. Rates are per second.
package balancer
