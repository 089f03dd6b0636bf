package staleness

import "time"

// The timing budget: how the time from a change of the list to its notification deadline is spent.
//
// With a watch, counted from its last heartbeat. The sum is notificationDeadline.
//
//	silenceTimeout                       until the watch counts as silent                 2.5 s
//	maxSilenceSpread                     a fleet does not open its next calls at once     0 to 0.5 s
//	half of the remaining time           the first byte of the call opened then           1.5 s or more
//	the other half                       the first byte of the call opened beside it      1.5 s or more
//
// Without a watch, counted from the return of the discovery service just after a call was opened. The sum is within
// notificationDeadline.
//
//	discovery's minConnectTimeout,       that call fails, or times out                    1 s, or 3 s without a backoff
//	or maxFirstByteTimeout
//	maxBackoff with its jitter           until the next call                              3.3 s
//	the first byte                       the server rejects a call that queues longer     1 s
//
// A crowded server rejects calls at once, so that no number of calls is sure to suffice. Backoffs therefore get shorter with the age of
// the list: a sidecar with a current list leaves the server's queue to the others, and one with a stale list polls at a short interval
// that does not grow.

// Notification deadlines: a change that was missed counts as notified after this time.
const (
	notificationDeadline = 6 * time.Second        // after a watch fell silent, or the server could be reached again
	redirectDeadline     = 4 * time.Second        // after a Redirect
	defaultMaxPollAge    = 10 * time.Second       // after a poll without a watch behind it, where Options.MaxPollAge is 0
	maxPushedGrace       = 250 * time.Millisecond // the longest part of Options.DrainGrace that is used for a pushed list
)

// Silence detection of a connected watch.
const (
	heartbeatInterval       = 2 * time.Second                    // between two signs of life of a healthy watch
	heartbeatSlack          = 500 * time.Millisecond             // that a heartbeat may be late on a busy network or host
	silenceTimeout          = heartbeatInterval + heartbeatSlack // from the last sign of life until the watch times out
	silenceSpreadPerSidecar = 2 * time.Millisecond               // upper bound of the drawn spread: 500 calls a second from a fleet
	maxSilenceSpread        = 500 * time.Millisecond             // upper bound of the drawn spread in a fleet of any size
)

// Call timeouts, and how many calls are open at a time.
const (
	minFirstByteTimeout = 1500 * time.Millisecond  // more than the server lets a call queue
	maxFirstByteTimeout = notificationDeadline / 2 // two calls in a row fit
	maxTimeoutDoublings = 8                        // of the first byte timeout, by consecutive timeouts

	crowdedFailures         = 2               // calls in a row that ended without an answer, from which on the server counts as crowded
	crowdedFirstByteTimeout = 4 * time.Second // then: a queue of up to 3 s, and the call itself

	maxOpenCalls       = 2 // at the present address: the one that timed out, and its successor
	maxSupersededCalls = 4 // at earlier addresses
)

// Backoff after a call that ended, while the list is not stale. The jitter draws each from half to one and a half of it.
const (
	initialBackoff             = 400 * time.Millisecond  // after the first failure
	initialBackoffPerSidecar   = 5 * time.Millisecond    // or this, where it is more: 200 calls a second from a fleet
	maxBackoff                 = 2200 * time.Millisecond // before the jitter
	maxBackoffDoublings        = 16                      // of a backoff, by consecutive failures
	initialBackoffNearDeadline = 250 * time.Millisecond  // after the first failure, where a change may have been missed
	minBackoffNearDeadline     = 200 * time.Millisecond  // before the jitter, where a change may have been missed
	remainingTimeDivisor       = 3                       // a backoff takes at most one part in so many of the time until the deadline
	maxPollAgeNumerator        = 3                       // a backoff takes at most this part of MaxPollAge, three fifths
	maxPollAgeDenominator      = 5
	maxCountedSidecars         = 1000 // a larger fleet backs off as this one
)

// Calls for a stale list. The interval between them does not grow.
const (
	minStalePollInterval        = 150 * time.Millisecond  // before the jitter
	stalePollIntervalPerSidecar = 7500 * time.Microsecond // or this, where it is more: 133 calls a second from a fleet
)

// The watch that follows a fetched list.
const (
	crowdedLatency = 250 * time.Millisecond  // an answer that takes longer has queued behind the calls of others
	maxWatchDelay  = 2500 * time.Millisecond // before the jitter, from the answer until the watch is opened
)

// Redirects.
const (
	redirectSeriesGap = 2 * time.Second         // redirects closer together are one series, which fetches the list at least this often
	minRedirectHold   = 700 * time.Millisecond  // before the jitter, from a redirect in a series until the list is fetched
	maxRedirectHold   = 1200 * time.Millisecond // the same
)

// Timing of a list that is pushed to a local agent, in percent of the grace.
const (
	pushedInitialBackoffPercent      = 20  // after the first failure
	pushedMaxBackoffPercent          = 48  // with its jitter and a connect it is within the grace
	pushedFirstByteTimeoutPercent    = 60  // of the first call that is silent; it doubles by consecutive timeouts
	pushedMaxFirstByteTimeoutPercent = 200 // up to this
)
