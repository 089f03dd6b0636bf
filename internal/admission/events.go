package admission

import "time"

// Ticket identifies one request. Tickets are not reused.
type Ticket uint64

// Arrival is a request that has arrived. Its times are on the clock that the calls of Queue use.
type Arrival struct {
	Group, Flow string // see PrincipalSources.Names
	Class       string
	CostHint    time.Duration // cost that the client states; 0 if it states none
	ArrivedAt   time.Duration // when the time that its latency objective limits began
	Deadline    time.Duration // when its client stops waiting
	Bytes       int64         // size of its body, which stays in memory while it waits
	Retry       bool          // marked as a retry by its client
	Fingerprint uint64        // of the request, equal for its retries; 0 if unknown
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Admit  ActionKind = iota // the request is in flight now; Queue.Done must follow
	Reject                   // the request was not executed, so a retry is safe
)

// Reason says why a request was rejected.
type Reason int

// The reasons, in the order in which they are tested.
const (
	RetryBudgetExhausted Reason = iota // the retry budget of its group, or that of all groups, has no token
	WaitTooLong                        // on arrival: it would be admitted too late for its latency objective or deadline
	QueueFull                          // the queue is full, and its principal has the highest load for its weight
	QueueTimeout                       // it waited, and was not admitted in time
)

var reasonTexts = [...]string{"repeats over their budget", "no turn in its wanted time", "the queue is full", "no turn in time"}

// String returns the reason as docs/operate/door.md lists it.
func (r Reason) String() string { return reasonTexts[r] }

// Action is a decision on one request.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket
	RetryAfter time.Duration // of Reject: time after which the client should come back
	Reserved   bool          // of Reject: that time is reserved, and a retry then goes before other requests
	Reason     Reason        // of Reject
}

// Outcome is how an admitted request ended.
type Outcome int

// The outcomes of an admitted request.
const (
	Completed          Outcome = iota // answered by an upstream, successfully or not, or timed out
	RejectedByBalancer                // rejected by the balancer, because the upstreams are overloaded
	ClientGone                        // its client disconnected
)
