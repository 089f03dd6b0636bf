package admission

import (
	"time"
)

// Ticket is one request at the door. It is never used again.
type Ticket uint64

// Arrival is a request that has come. Times are those of the clock that Door's calls bring.
type Arrival struct {
	Group, Flow string // see By.Names
	Class       string
	CostHint    time.Duration // what the client says it costs; 0: nothing
	ArrivedAt   time.Duration // when its time began to count: its aim counts from here
	Deadline    time.Duration // when its client stops waiting
	Bytes       int64         // of its body, kept while it waits
	Retry       bool          // marked as a repeat by its client
	Fingerprint uint64        // tells requests apart, the same for a repeat; 0: not known
}

// ActionKind tells actions apart.
type ActionKind int

// What is to be done with a request.
const (
	Admit  ActionKind = iota // goes on; Done must follow
	Reject                   // is turned away: it was not done, trying again is harmless
)

// Reason says why a request was refused.
type Reason int

// The reasons, in the order in which they are looked at.
const (
	RetryBudgetExhausted Reason = iota // its principal's repeats, or all, are more than their part
	WaitTooLong                        // its principal's turn won't come in its wanted time
	QueueFull                          // its principal holds the most of a full queue, for its weight
	QueueTimeout                       // its turn did not come in time
)

var reasons = [...]string{"repeats over their budget", "no turn in its wanted time", "the queue is full", "no turn in time"}

func (r Reason) String() string { return reasons[r] }

// Action is one thing to do.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket
	RetryAfter time.Duration // of Refuse: when to come back
	Reserved   bool          // of Refuse: it is remembered, and who comes then goes before others
	Reason     Reason        // of Refuse
}

// Outcome is how a request that went on ended.
type Outcome int

// The results.
const (
	Completed          Outcome = iota // by an upstream, well or not, or it failed after its time
	RejectedByBalancer                // the balancer refused it: the upstreams have too much
	ClientGone                        // its client left
)
