package membership

import "orchiddrift/internal/endpoints"

// Statuses of a source's endpoint besides those of package endpoints. They are not used in the merged list.
const (
	StatusStarting     = "Starting"     // not ready yet
	StatusUnknown      = "Unknown"      // the source does not know
	StatusOutOfService = "OutOfService" // taken out by an operator
	StatusDown         = "Down"         // its health check fails
)

// State is what a source reports of an endpoint.
type State int

// The states.
const (
	Absent State = iota // nothing, ever
	Up
	Starting
	Unknown
	Draining
	OutOfService
	Down
	Removed // it was listed, and is no longer
)

var stateNames = [...]string{"absent", "up", "starting", "unknown", "draining", "out of service", "down", "gone"}

func (s State) String() string { return stateNames[s] }

// stateOf returns the state for a listed status. An unknown status counts as removed, as in the endpoint registry.
func stateOf(status string) State {
	switch status {
	case endpoints.StatusReady:
		return Up
	case endpoints.StatusTerminating:
		return Draining
	case StatusStarting:
		return Starting
	case StatusUnknown:
		return Unknown
	case StatusOutOfService:
		return OutOfService
	case StatusDown:
		return Down
	}
	return Removed
}

// report is what one source reports of an upstream.
type report struct {
	source string
	state  State
	aged   bool // the source has been lost for too long: it counts where no other does
}

// precedence orders the states. Of two reports the one with the higher precedence counts: no new requests (draining, out of service,
// down), then removed, then not ready yet, then up.
var precedence = [...]int{Absent: 0, Unknown: 1, Up: 2, Starting: 3, Removed: 4, Down: 5, OutOfService: 6, Draining: 7}

// combine returns the merged state, and the source that it comes from. The state does not depend on the order of the reports.
func combine(reports []report) (State, string) {
	hasFresh := false
	for _, r := range reports {
		hasFresh = hasFresh || !r.aged && r.state != Absent && r.state != Unknown
	}
	best := report{}
	for _, r := range reports {
		if !(r.aged && hasFresh) && precedence[r.state] > precedence[best.state] {
			best = r
		}
	}
	return best.state, best.source
}

// mergedStatus returns the status of a merged state in the merged list. An upstream that is not ready and was never listed is not listed.
func mergedStatus(s State, listed bool) string {
	switch s {
	case Up:
		return endpoints.StatusReady
	case Draining, OutOfService, Down:
		return endpoints.StatusTerminating
	case Starting, Unknown:
		if listed {
			return endpoints.StatusTerminating
		}
	}
	return endpoints.StatusGone
}
