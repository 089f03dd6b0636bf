package staleness

import "time"

// The timing budget: how the time from a change of the list to its notification deadline is spent.
//
// With a watch, the budget starts at its last heartbeat, and its sum is notificationDeadline:
//
//	silenceTimeout                       the watch counts as silent                       2.5 s
//	maxSilenceSpread                     spreads the next calls of a fleet                0 to 0.5 s
//	half of the remaining time           first byte of the next call                      1.5 s or more
//	the other half                       first byte of a second call beside it            1.5 s or more
//
// Without a watch, the budget starts when the discovery service returns just after a call was opened, and its sum is at most
// notificationDeadline:
//
//	discovery.minConnectTimeout          the open call fails, and a backoff follows       1 s
//	  or maxFirstByteTimeout             the open call times out, without a backoff       3 s
//	maxBackoff with its jitter           until the next call                              3.3 s
//	first byte                           the server rejects calls that queue longer       1 s
//
// An overloaded server rejects calls at once, so that no number of calls guarantees an answer. Backoffs therefore get shorter with the
// age of the list: a sidecar with a current list leaves the server's queue to the others, and one with a stale list polls at a short
// interval that does not grow.

// Notification deadlines: a missed change counts as notified this long after the event named beside each value.
const (
	notificationDeadline = 6 * time.Second        // a watch fell silent, or the server became reachable again
	redirectDeadline     = 4 * time.Second        // a Redirect
	defaultMaxPollAge    = 10 * time.Second       // a poll that no watch followed, where Options.MaxPollAge is 0
	maxPushedGrace       = 250 * time.Millisecond // a call for a pushed list ended or timed out: upper bound of Options.DrainGrace
)

// Silence detection of a connected watch.
const (
	heartbeatInterval       = 2 * time.Second                    // between two messages of a healthy watch at most
	heartbeatSlack          = 500 * time.Millisecond             // how late a heartbeat may be on a busy network or host
	silenceTimeout          = heartbeatInterval + heartbeatSlack // from the last message until the watch times out
	silenceSpreadPerSidecar = 2 * time.Millisecond               // upper bound of the random spread: 500 calls a second from a fleet
	maxSilenceSpread        = 500 * time.Millisecond             // upper bound of the random spread for any fleet size
)

// Call timeouts, and limits on the number of open calls.
const (
	minFirstByteTimeout = 1500 * time.Millisecond  // longer than the server lets a call queue
	maxFirstByteTimeout = notificationDeadline / 2 // two consecutive calls fit into the deadline
	maxTimeoutDoublings = 8                        // the first byte timeout doubles with each consecutive timeout, this often at most

	overloadFailures         = 2               // consecutive calls without an answer from which on the server counts as overloaded
	overloadFirstByteTimeout = 4 * time.Second // for an overloaded server: up to 3 s in its queue, and the call itself

	maxOpenCalls       = 2 // at the current address: a call that timed out, and its successor
	maxSupersededCalls = 4 // at earlier addresses
)

// Backoff after a call that ended, while the list is not stale. With jitter, each backoff is from 0.5 to 1.5 times its value.
const (
	initialBackoff             = 400 * time.Millisecond  // after the first failure
	initialBackoffPerSidecar   = 5 * time.Millisecond    // multiplied by the fleet size, where that is more: 200 calls a second
	maxBackoff                 = 2200 * time.Millisecond // before the jitter
	maxBackoffDoublings        = 16                      // a backoff doubles with each consecutive failure, this often at most
	initialBackoffNearDeadline = 250 * time.Millisecond  // after the first failure, where a change may have been missed
	minBackoffNearDeadline     = 200 * time.Millisecond  // before the jitter, where a change may have been missed
	remainingTimeDivisor       = 3                       // a backoff takes at most a third of the time until the deadline
	maxPollAgeNumerator        = 3                       // a backoff takes at most three fifths of MaxPollAge, before the jitter
	maxPollAgeDenominator      = 5
	maxCountedSidecars         = 1000 // a larger fleet backs off like one of this size
)

// Calls for a stale list. The interval between them does not grow.
const (
	minStalePollInterval        = 150 * time.Millisecond  // before the jitter
	stalePollIntervalPerSidecar = 7500 * time.Microsecond // multiplied by the fleet size, where that is more: 133 calls a second
)

// The watch that follows a fetched list.
const (
	overloadLatency = 250 * time.Millisecond  // an answer that takes longer has queued behind other sidecars' calls
	maxWatchDelay   = 2500 * time.Millisecond // before the jitter, from the answer until the watch is opened
)

// Redirects.
const (
	redirectSeriesGap = 2 * time.Second         // redirects closer together form a series, which fetches the list at least this often
	minRedirectDelay  = 700 * time.Millisecond  // before the jitter, from a redirect in a series until the list is fetched
	maxRedirectDelay  = 1200 * time.Millisecond // upper bound of the same delay, before the jitter
)

// Timing of a list that is pushed to a local agent, in percent of the grace.
const (
	pushedInitialBackoffPercent      = 20  // after the first failure
	pushedMaxBackoffPercent          = 48  // with the jitter and the time to connect it is shorter than the grace
	pushedFirstByteTimeoutPercent    = 60  // of the first call; it doubles with each consecutive timeout
	pushedMaxFirstByteTimeoutPercent = 200 // upper bound of the doubled first byte timeout
)
