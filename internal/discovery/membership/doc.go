// Package membership merges the endpoint lists of several sources into one.
//
// A Merge is a state machine. Its inputs are the sources' lists, the loss and recovery of sources, and the passing of time. Its output is
// the changes of the merged list, each with a reason. A Merge stores the merged upstreams and, for each source and endpoint, a record of
// what the source reports. discovery.MergedSource calls the Merge.
//
// An input changes records and marks them dirty, which means that they must be merged again. At the end of the input the dirty records
// are grouped by upstream (group.go), the states in each group are combined by precedence (state.go), and the changes of the merged list
// are returned (upstream.go). Four rules depend on time:
//
//   - The last list of a lost source (silent or failed) counts in full for SilentSourceHold. Then it is withdrawn in steps (source.go).
//   - If a source removes most of its endpoints at once, the removals are doubted (not applied) for MassRemovalHold (removal.go).
//   - A removal by one source outweighs another source's report that the upstream is up for RemovalHold (removal.go).
//   - An upstream that flaps (stops being ready repeatedly) is held back (listed as draining) for FlapHold (flapping.go).
//
// A source's list may use the statuses of this package besides those of package endpoints. docs/design/membership.md has the table of all
// pairs of states.
//
// The package does no I/O and reads no clock. It may import internal/endpoints and internal/units.
package membership
