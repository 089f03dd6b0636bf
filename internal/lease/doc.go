// Package lease decides which client holds a named lease. It is pure: it has no I/O, clock or goroutine. Its callers pass in times, requests
// and replies, and it returns replies and actions.
//
// # Parts
//
//   - Table is the replicated record of leases, their fencing tokens and their waiters. Every member of the raft group applies the same
//     requests to it in the same order.
//   - Expirations is the leader's own, unreplicated state: when each lease and each wait expires by the leader's clock.
//   - Holder is the client's side: it acquires and renews a lease, decides until when its work may go on, and releases the lease.
//   - Declaration is the [fleet] section of the operator's configuration file.
//
// Table, Expirations and Holder are state machines, which package raftgroup drives. Package lease imports only the standard library and
// internal/units.
//
// # Why two holders never act at once
//
// Let D be the duration of a grant, and Drift the largest relative error of any process's clock rate.
//
//  1. A holder acts until sent + D×(1−Drift) − Margin by its own clock, where sent is when it sent the request that was granted. It stops
//     without contacting the group.
//  2. The leader expires the grant no sooner than applied + D×(1+Drift) by its own clock, where applied is when it applied or confirmed the
//     grant. The lease is granted to the next client only after this, or after the holder has
//     released the lease, which it does when its work has ended.
//  3. applied is later than sent, and each clock is within Drift of true time. So the holder stops before the leader expires the grant.
//  4. A new leader restarts every timer from the moment at which it begins to lead, which is later than anything that its predecessor
//     confirmed. A renewal is confirmed only by a leader that has made sure, after the request arrived, that it still leads.
//
// # Why fencing tokens never decrease
//
// Clocks cannot protect against a holder that is paused between reading its clock and its write. Therefore each grant carries a Token, and the
// system that the holder writes to rejects a token lower than one that it has seen.
//
//   - Table.grant is the only place that issues a token. It takes the successor of Table.lastToken, one counter for all names, so the next
//     grant of a name that was free for a while still has a higher token.
//   - The counter is part of the snapshot (Table.LastToken, Table.Restore), and Restore never sets it below a token of a restored entry.
//   - A holder ignores a grant with a lower token than its own (Holder.handleGrant).
//   - The counter is lost only together with the files of most members of the group.
package lease
