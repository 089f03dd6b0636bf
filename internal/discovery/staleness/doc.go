// Package staleness schedules the list calls to a discovery service, so that no change of an endpoint list is noticed later than its
// notification deadline.
//
// A Machine decides when a call is opened and closed, how long to wait after a failed call, and from when on the list counts as stale.
// discovery.Watcher is its driver: the Watcher reports what happened to each call and carries out the returned actions. The Machine stores
// the whole state: the open calls, the deadline and a few counters. The package has no I/O, no clock and no goroutine, and imports only
// the standard library.
//
// # Calls
//
// A call is either a poll or a watch. The answer to a poll (FetchList) is the complete list and ends the call. A watch (WatchChanges)
// delivers a stream of changes, with heartbeats while nothing changes. The list is current as long as a watch delivers messages. The
// states of a call are:
//
//	            first message (watch)
//	waiting --------------------------> connected --+
//	  |  |                               |    ^     | heartbeat or change
//	  |  | first byte timeout            |    +-----+
//	  |  v                               | silence timeout
//	  | timed out <----------------------+
//	  |  |  \
//	  |  |   +--> connected, if a message arrives after all
//	  v  v
//	ended: the answer to a poll, an error, the end of the stream, or CloseCall
//
// Only complete messages count: the first byte timeout runs until the first complete message, and part of a message does not show
// that the call is alive.
//
// A call that timed out stays open beside its successor, since a server that handles its calls one after another may still have the call
// in its queue. The call is closed when a newer call has delivered a message.
//
// # Deadline
//
// When a call ends or times out, a change may have been missed. The platform assumes that the sidecar knows of such a change from the
// notification deadline on, which Machine.Deadline returns. All timeouts and backoffs are derived from the time that remains until the
// deadline. timing.go contains the constants and their sums, and schedule.go contains the formulas.
//
// # Redirects
//
// After Redirect the list's version at the new address is unknown. The complete list is therefore fetched first, and then watched. The
// calls to earlier addresses are superseded, and stay open until the watch at the new address delivers a message; see redirect.go.
package staleness
