// Package subset decides which endpoints a sidecar uses, so that neither its connections nor those of an upstream grow with the fleet.
//
// A Subset is a state machine. It is driven by endpoint lists, the request rate and time, and returns the changes of the smaller list. It
// owns the list as last received, the members of the subset, and the size that the request rate calls for. discovery.SubsetSink drives
// it, and the fleet simulator.
//
// The choice follows from the endpoints' names and the sidecar's index in its fleet, without any communication between sidecars: ring.go
// has the assignment, choose.go the choice among zones and warming endpoints, size.go the size. docs/design/subset.md compares the ways.
//
// The package has no I/O and no clock. It may import internal/endpoints and internal/units.
package subset
