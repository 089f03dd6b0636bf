// Package membership merges the endpoint lists of several sources into one.
//
// A Merge is a state machine. It is driven by the sources' lists, their losses and recoveries, and time, and returns the changes of the
// merged list, each with a reason. It owns what each source reports of each endpoint (a record) and the merged upstreams.
// discovery.MergedSource drives it.
//
// An input changes records and marks them dirty. At its end the dirty records are grouped by upstream (group.go), each group's states are
// combined by precedence (state.go), and what differs from the merged list is returned (upstream.go). The rules by time:
//
//   - the last list of a lost source counts in full for SilentSourceHold; then it is withdrawn step by step (source.go);
//   - a source that lacks most of its endpoints at once is doubted for MassRemovalHold (removal.go);
//   - a removal outweighs another source's up for RemovalHold (removal.go);
//   - an upstream that flaps is held back for FlapHold (flapping.go).
//
// Besides the statuses of package endpoints a source's list may have those of this package. docs/design/membership.md has the table of
// all pairs of states.
//
// The package has no I/O and no clock. It may import internal/endpoints and internal/units.
package membership
