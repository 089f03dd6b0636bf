package staleness

import (
	"slices"
	"time"
)

// CallID identifies a call of one Machine. The first call has ID 1, and each further call has the next number.
type CallID uint64

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	OpenCall  ActionKind = iota // open a call
	CloseCall                   // close a call and ignore its further messages
)

// Request is the kind of data that a call requests from the discovery service.
type Request int

// The requests of list calls.
const (
	WatchChanges Request = iota // request a stream of changes since the known version
	FetchList                   // request the complete list; the answer ends the call
)

func (r Request) String() string {
	if r == FetchList {
		return "list"
	}
	return "watch"
}

// Action is an operation on a call. The driver, which is the code that uses a Machine, carries it out.
type Action struct {
	Kind    ActionKind
	Call    CallID
	Request Request // set for OpenCall only
}

// call is a call that has not ended. All times are on the driver's clock.
type call struct {
	id        CallID
	request   Request
	openedAt  time.Duration
	connected bool // the call is a watch that has delivered its first message

	firstByteTimeout time.Duration // longest time from openedAt to the first byte
	lastActive       time.Duration // when the call last delivered a message
	silenceSpread    time.Duration // random time that is added to silenceTimeout
	closeAt          time.Duration // when the call is closed at the latest, set for superseded calls only
}

// timeoutAt returns the time at which the call times out unless it delivers a message before.
func (c *call) timeoutAt() time.Duration {
	if c.connected {
		return c.lastActive + silenceTimeout + c.silenceSpread
	}
	return c.openedAt + c.firstByteTimeout
}

// healthy reports whether the call is a connected watch whose last message is not too long ago.
func (c *call) healthy(now time.Duration) bool {
	return c.connected && now < c.timeoutAt()
}

// callSet holds open calls, ordered from oldest to youngest.
type callSet []call

// find returns the index of a call, or a negative number.
func (s callSet) find(id CallID) int {
	return slices.IndexFunc(s, func(c call) bool { return c.id == id })
}

// anyHealthy reports whether one of the calls is healthy.
func (s callSet) anyHealthy(now time.Duration) bool {
	return slices.ContainsFunc(s, func(c call) bool { return c.healthy(now) })
}

// remove removes call i, which has ended by itself, from the set.
func (s *callSet) remove(i int) {
	*s = slices.Delete(*s, i, i+1)
}

// close removes call i from the set and returns the action that closes the call.
func (s *callSet) close(i int) Action {
	id := (*s)[i].id
	s.remove(i)
	return Action{Kind: CloseCall, Call: id}
}

// closeOldest closes the count oldest calls.
func (s *callSet) closeOldest(count int) []Action {
	var actions []Action
	for range count {
		actions = append(actions, s.close(0))
	}
	return actions
}

// closeAll closes all calls.
func (s *callSet) closeAll() []Action {
	return s.closeOldest(len(*s))
}
