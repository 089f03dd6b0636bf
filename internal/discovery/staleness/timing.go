package staleness

import "time"

// The timing budget divides the time from a change of the list to the change's notification deadline.
//
// While a watch is open, the budget starts at the watch's last heartbeat, and its parts add up to notificationDeadline:
//
//	silenceTimeout                       the watch counts as silent                       2.5 s
//	maxSilenceSpread                     spreads the next calls of a fleet                0 to 0.5 s
//	half of the remaining time           first byte of the next call                      1.5 s or more
//	the other half                       first byte of a second call                      1.5 s or more
//
// Without a watch, the budget starts when the discovery service becomes reachable again just after a call was opened. Its parts add up to
// at most notificationDeadline:
//
//	discovery.minConnectTimeout          the open call fails, and a backoff follows       1 s
//	  or maxFirstByteTimeout             the open call times out, without a backoff       3 s
//	maxBackoff with its jitter           wait until the next call                         3.3 s
//	first byte                           the server rejects calls that queue longer       1 s
//
// An overloaded server rejects calls at once, so that no number of calls guarantees an answer. Backoffs therefore get shorter with the
// age of the list. A sidecar with a current list leaves the server's queue to the other sidecars, and a sidecar with a stale list polls at
// a short interval that does not grow.

// Notification deadlines. A missed change counts as notified this long after the event that is named beside the value.
const (
	notificationDeadline = 6 * time.Second        // a watch fell silent, or the server became reachable again
	redirectDeadline     = 4 * time.Second        // a Redirect
	defaultMaxPollAge    = 10 * time.Second       // a poll that no watch followed, if Options.MaxPollAge is 0
	maxPushedGrace       = 250 * time.Millisecond // a call for a pushed list ended or timed out: upper bound of Options.DrainGrace
)

// Silence detection of a connected watch.
const (
	heartbeatInterval       = 2 * time.Second                    // longest time between two messages of a healthy watch
	heartbeatSlack          = 500 * time.Millisecond             // how late a heartbeat may be on a busy network or host
	silenceTimeout          = heartbeatInterval + heartbeatSlack // time from the last message until the watch times out
	silenceSpreadPerSidecar = 2 * time.Millisecond               // random spread per sidecar; limits a fleet to 500 calls a second
	maxSilenceSpread        = 500 * time.Millisecond             // upper bound of the random spread for any fleet size
)

// Call timeouts, and limits on the number of open calls.
const (
	minFirstByteTimeout = 1500 * time.Millisecond  // longer than the time for which the server lets a call queue
	maxFirstByteTimeout = notificationDeadline / 2 // two consecutive calls fit into the deadline
	maxTimeoutDoublings = 8                        // maximum number of doublings of the first byte timeout, one per consecutive timeout

	overloadFailures         = 2               // the server counts as overloaded after this number of consecutive failed calls
	overloadFirstByteTimeout = 4 * time.Second // covers up to 3 s in an overloaded server's queue, and the call itself

	maxOpenCalls       = 2 // calls to the current address: a call that timed out, and its successor
	maxSupersededCalls = 4 // calls to earlier addresses
)

// Backoff after a call that ended, while the list is not stale. The values are without jitter, which multiplies a backoff by 0.5 to 1.5.
const (
	initialBackoff             = 400 * time.Millisecond  // backoff after the first failure
	initialBackoffPerSidecar   = 5 * time.Millisecond    // initial backoff per sidecar in a large fleet; limits a fleet to 200 calls a second
	maxBackoff                 = 2200 * time.Millisecond // upper bound of a backoff
	maxBackoffDoublings        = 16                      // maximum number of doublings of a backoff, one per consecutive failure
	initialBackoffNearDeadline = 250 * time.Millisecond  // backoff after the first failure, if a change may have been missed
	minBackoffNearDeadline     = 200 * time.Millisecond  // lower bound of a backoff, if a change may have been missed
	remainingTimeDivisor       = 3                       // a backoff takes at most a third of the time until the deadline
	maxPollAgeNumerator        = 3                       // a backoff takes at most three fifths of MaxPollAge
	maxPollAgeDenominator      = 5
	maxCountedSidecars         = 1000 // a larger fleet has the backoffs of a fleet of this size
)

// Interval between the calls for a stale list, without its jitter. The interval does not grow with the number of failures.
const (
	minStalePollInterval        = 150 * time.Millisecond  // lower bound for any fleet size
	stalePollIntervalPerSidecar = 7500 * time.Microsecond // interval per sidecar in a large fleet; limits a fleet to 133 calls a second
)

// The watch that follows a fetched list.
const (
	overloadLatency = 250 * time.Millisecond  // a call that takes longer has queued behind other sidecars' calls
	maxWatchDelay   = 2500 * time.Millisecond // longest delay from the answer until the watch is opened, without the jitter
)

// Redirects.
const (
	redirectSeriesGap = 2 * time.Second         // redirects that are closer together form a series. A series opens a call at least this often
	minRedirectDelay  = 700 * time.Millisecond  // lower bound of the delay from a redirect in a series to the fetch, without jitter
	maxRedirectDelay  = 1200 * time.Millisecond // upper bound of the same delay
)

// Timing of a list that is pushed to a local agent, in percent of the drain grace (Options.grace).
const (
	pushedInitialBackoffPercent      = 20  // backoff after the first failure
	pushedMaxBackoffPercent          = 48  // longest backoff, which is shorter than the grace even with jitter and the time to connect
	pushedFirstByteTimeoutPercent    = 60  // first byte timeout, which doubles with each consecutive timeout
	pushedMaxFirstByteTimeoutPercent = 200 // upper bound of the doubled first byte timeout
)
