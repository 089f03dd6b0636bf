// Package staleness schedules the list calls to a discovery service, so that no change of an endpoint list is noticed later than its
// notification deadline.
//
// It decides when a call is opened, when it is closed, when the next one follows a failure, and from when on the list counts as stale.
// It is driven by discovery.Watcher, which reports what happened to each call and carries out the returned actions. The only state is
// the Machine: the open calls, the deadline and a few counters. The package has no I/O, no clock and no goroutine, and imports the
// standard library alone.
//
// # Calls
//
// A call is either a poll (FetchList: the whole list, then the call is over) or a watch (WatchChanges: a stream of changes, with a
// heartbeat where there are none). The list is current as long as a watch delivers. The states of a call:
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
// Only complete messages count: the first byte timeout runs until the first one, and part of a message is no sign of life.
//
// A call that timed out stays open beside its successor, since it may still wait for its turn at a server that works through its calls
// one after another. It is closed once a newer call has delivered.
//
// # Deadline
//
// A call that ends or times out leaves it open whether a change was missed. From then on there is one deadline, Machine.Deadline, at
// which a missed change counts as notified. All timeouts and backoffs are derived from the time that remains until then; the
// constants and the sums behind them are in timing.go, the formulas in schedule.go.
//
// # Another address
//
// After Redirect nothing is known of the versions at the new address: the whole list is fetched first, then watched. The calls to
// earlier addresses are superseded, and go on until the watch at the new address delivers; see redirect.go.
package staleness
