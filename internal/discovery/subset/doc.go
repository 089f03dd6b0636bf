// Package subset decides which endpoints a sidecar uses, so that neither its connections nor those of an upstream grow with the fleet.
//
// A Subset is a state machine. Its inputs are endpoint lists, the request rate and time; it returns the changes of the subset. It holds
// the latest endpoint list, the members of the subset, and the size that the request rate calls for. discovery.SubsetSink and the
// fleet simulator drive it.
//
// The members follow from the endpoints' names and the sidecar's index in its fleet, without any communication between sidecars. ring.go
// assigns endpoints to sidecars, choose.go chooses among zones and handles endpoints that are warming up, and size.go determines the
// size. docs/design/subset.md compares the alternatives.
//
// The package has no I/O and no clock. It may import internal/endpoints and internal/units.
package subset
