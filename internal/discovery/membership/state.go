package membership

import "orchiddrift/internal/endpoints"

// Statuses that a source's list may use besides those of package endpoints. The merged list does not use them.
const (
	StatusStarting     = "Starting"     // not ready yet
	StatusUnknown      = "Unknown"      // the source does not know the status
	StatusOutOfService = "OutOfService" // an operator has taken the endpoint out of service
	StatusDown         = "Down"         // the health check of the endpoint fails
)

// State is the state of an endpoint according to one source.
type State int

// The states that a source reports.
const (
	Absent State = iota // the source has never listed the endpoint
	Up
	Starting
	Unknown
	Draining
	OutOfService
	Down
	Removed // the source listed the endpoint earlier and no longer lists it
)

var stateNames = [...]string{"absent", "up", "starting", "unknown", "draining", "out of service", "down", "gone"}

func (s State) String() string { return stateNames[s] }

// stateOf returns the state that a listed status stands for. An unrecognized status counts as removed, as in endpoints.Registry.
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

// report is the state of an upstream according to one source.
type report struct {
	source string
	state  State
	aged   bool // the source has been lost for longer than SilentSourceHold
}

// precedence orders the states: of two reports, the one whose state has the higher precedence counts. From highest to lowest the order is
// draining, out of service, down (these stop new requests), removed, starting, up, unknown, absent.
var precedence = [...]int{Absent: 0, Unknown: 1, Up: 2, Starting: 3, Removed: 4, Down: 5, OutOfService: 6, Draining: 7}

// combine returns the merged state and the name of the source that reports it. The report of an aged source counts only if all other
// reports are aged, absent or unknown. The merged state does not depend on the order of the reports.
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

// mergedStatus returns the status in the merged list for a merged state. An upstream whose state is starting or unknown stays listed, as
// draining, but is not added to the list.
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
