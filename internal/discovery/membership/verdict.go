package membership

import "orchiddrift/internal/endpoints"

// State is what a source says of an upstream.
type State int

// The states, from none to the end.
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

// stateOf reads a Status; what is not known counts as gone, as it does in the directory.
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

// voice is what one source says of an upstream, and how much that counts.
type voice struct {
	source string
	state  State
	aged   bool // the source has been silent for too long: it counts where no other does
}

// weight orders what is said: of two voices the heavier one counts. In words: who says that an upstream wants nothing new
// is believed by all; then who says that it has gone; then who says that it is not ready yet; then who says it is up.
var weight = [...]int{Absent: 0, Unknown: 1, Up: 2, Starting: 3, Removed: 4, Down: 5, OutOfService: 6, Draining: 7}

// verdict is the merged state, and whose word it is. It does not depend on the order of the voices but for the source that
// is named.
func verdict(voices []voice) (State, string) {
	fresh := false
	for _, v := range voices {
		fresh = fresh || !v.aged && v.state != Absent && v.state != Unknown
	}
	best := voice{}
	for _, v := range voices {
		if !(v.aged && fresh) && weight[v.state] > weight[best.state] {
			best = v
		}
	}
	return best.state, best.source
}

// status is the word for a merged state in the merged list: what is not ready and was never told of is not told of.
func status(s State, told bool) string {
	switch s {
	case Up:
		return endpoints.StatusReady
	case Draining, OutOfService, Down:
		return endpoints.StatusTerminating
	case Starting, Unknown:
		if told {
			return endpoints.StatusTerminating
		}
	}
	return endpoints.StatusGone
}
