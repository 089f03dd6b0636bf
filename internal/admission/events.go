package admission

import "time"

// Ticket identifies one request. It is never used again.
type Ticket uint64

// Arrival is a request that has arrived. Times are on the clock of Queue's calls.
type Arrival struct {
	Group, Flow string // see PrincipalSources.Names
	Class       string
	CostHint    time.Duration // the cost that the client states; 0: none
	ArrivedAt   time.Duration // when its latency objective began to count
	Deadline    time.Duration // when its client stops waiting
	Bytes       int64         // of its body, held while it waits
	Retry       bool          // marked as a retry by its client
	Fingerprint uint64        // of the request, equal for its retries; 0: unknown
}

// ActionKind tells actions apart.
type ActionKind int

// What happens to a request.
const (
	Admit  ActionKind = iota // it is in flight now; Queue.Done must follow
	Reject                   // it was not executed: a retry does no harm
)

// Reason says why a request was rejected.
type Reason int

// The reasons, in the order in which they are tested.
const (
	RetryBudgetExhausted Reason = iota // a retry, beyond the budget of its group or of all
	WaitTooLong                        // on arrival: its turn will not come within its latency objective
	QueueFull                          // the queue is full, and its principal holds the most of it for its weight
	QueueTimeout                       // it waited, and its turn did not come in time
)

var reasonTexts = [...]string{"repeats over their budget", "no turn in its wanted time", "the queue is full", "no turn in time"}

// String returns the reason as docs/operate/door.md lists it.
func (r Reason) String() string { return reasonTexts[r] }

// Action is one thing to do with a request.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket
	RetryAfter time.Duration // Reject: when to come back
	Reserved   bool          // Reject: that time is reserved, and a retry then goes before others
	Reason     Reason        // Reject
}

// Outcome is how an admitted request ended.
type Outcome int

// The outcomes.
const (
	Completed          Outcome = iota // answered by an upstream, successfully or not, or timed out
	RejectedByBalancer                // rejected by the balancer: the upstreams are overloaded
	ClientGone                        // its client disconnected
)
