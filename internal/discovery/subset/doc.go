// Package subset chooses the endpoints that a sidecar uses, so that the number of connections of a sidecar or an upstream does not grow
// with the fleet.
//
// A Subset is a state machine. Its inputs are endpoint lists, the request rate and time. It returns the changes of the subset. It stores
// the latest endpoint list, the members (the endpoints in the subset), and the size that the request rate calls for.
// discovery.SubsetSink and the fleet simulator call it.
//
// The members are determined by the endpoints' names and the sidecar's index in its fleet, without any communication between sidecars.
// ring.go assigns endpoints to sidecars, choose.go chooses among zones and handles endpoints that are warming up, and size.go determines
// the size. docs/design/subset.md compares the alternatives.
//
// The package has no I/O and no clock. It may import internal/endpoints and internal/units.
package subset
