// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar.
//
// This file is the whole interface: Settings, events in, actions out. The decisions are in balancer.go and the files that it names.
// A sidecar calls New once, then Handle for each thing that happens, and carries out the actions in order.
// The package does no I/O and reads no clock; a Balancer is not safe for concurrent use.
package balancer

import "time"

// Idempotency says what a second run of a request would do.
type Idempotency int

// The three effects. Anything else makes New fail.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // upstreams of one Group drop repeats within Window
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of upstreams that share the memory of a keyed request.
type DedupScope int

// The groups of keyed classes.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // answers within it earn full worth; absent: Deadline
	ObjectiveStretch  float64       // the aim grows by this multiple of the request's own work
	Deadline          time.Duration // what a client waits over all of its tries
	PriorityWeight    float64       // absent: 1
	LateValueFraction float64       // share of the worth still earned after the aim
	Idempotency       Idempotency
	DedupScope        DedupScope
	DedupWindow       time.Duration // keyed: how long repeats are dropped
	Streaming         bool
}

// Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name  string
	Quota float64 // its share of the service
}

// Settings is what a sidecar is told at its start. Absent (zero) values mean: feature not allowed, price nil.
type Settings struct {
	FleetSize int    // sidecars of this tier in all; absent: 1
	Zone      string // this sidecar's zone
	Classes   []Class
	Tenants   []Tenant

	MustSubscribe bool          // the list comes only to those who ask
	Tick          time.Duration // least time between two calls of Handle; absent: 1 ms

	MaxAttempts         int // absent: 1
	HedgingAllowed      bool
	CancellationAllowed bool
	ProbingAllowed      bool
	RetryAfterAllowed   bool
	MaxRetryAfter       time.Duration
	ConnectTimeout      time.Duration

	CrossZonePrice  float64 // points of service for crossing zones once a request
	OverQuotaWeight float64 // worth of a request beyond its tenant's share, as a fraction
	WeightPerWork   bool    // worth counts by unit of work

	SlowStartMinCapacity float64       // a started upstream has at least this share of its capacity; absent: 1
	SlowStartWindow      time.Duration // and is warm after at most this long
	OverloadMultiple     float64       // times present capacity that pushes it over; absent: no such rule
	OverloadWindow       time.Duration // when kept up for this long
}

// Event is anything a sidecar reports: Members, Request, Uploaded, FirstByte, Outcome, Gone, Wake, ProbeResult, Peer.
type Event interface{ event() }

// EndpointState is an upstream's state in the list.
type EndpointState int

// States of list entries.
const (
	Active EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the list of upstreams.
type Endpoint struct {
	Name, Zone  string
	MachineType string // what kind of machine it runs on; absent: all are alike
	Cell        int
	State       EndpointState
	StartedAt   time.Duration // clock time of its latest start; 0: long ago
}

// UpdateKind says how a list is to be read.
type UpdateKind int

// The kinds of Members events.
const (
	FullUpdate        UpdateKind = iota // the whole list
	IncrementalUpdate                   // changed entries only
	CachedUpdate                        // the whole list as last held; may be stale
	UpdateFailed                        // a Subscribe or Fetch failed, or the subscription broke
)

// EndpointUpdate brings the list of upstreams, or news of it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request, to be answered exactly once before Expires.
type Request struct {
	ID, Class, Tenant string
	Deadline          time.Duration    // clock time
	CostHint          time.Duration    // expected work; 0: unknown
	EarlierAttempts   []EarlierAttempt // keyed: sends of its client's earlier tries that may have run
	StreamedBody      bool             // its body is passed on as it comes: see Uploaded, and Outcome.BodyConsumed
}

// UploadDone says that the last byte of a streamed request has been written: its time counts from now.
type UploadDone struct {
	ID       string
	Attempt  int
	Deadline time.Duration // in place of the request's, which bounds what its body may take
}

// EarlierAttempt is a send of an earlier request of the same key: it counts as if it were this one's.
type EarlierAttempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration // clock time
}

// FirstByte says that a streamed answer has begun.
type FirstByte struct {
	ID          string
	Attempt     int
	PassThrough bool // what follows is only passed on: its upstream works on it no more
}

// Result is how an attempt ended.
type Result int

// Results of attempts and probes.
const (
	OK            Result = iota
	ServerError          // error answer; may have run
	Rejected             // turned away unseen (queue full, draining): did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // did not run
	Reset                // connection broke; may have run
	Cancelled            // may have run
	NotSent              // never sent
	Malformed            // an answer that can't be read; may have run
)

// Outcome ends an attempt. Each Send has exactly one.
type Outcome struct {
	ID           string
	Attempt      int
	Result       Result
	Elapsed      time.Duration
	Final        bool // the request has its final answer
	BodyConsumed bool // a streamed request's body can't be had again
}

// ClientDisconnected says that the client left: no answer is owed any more.
type ClientDisconnected struct{ ID string }

// TimerFired is the timer set by the last SetTimer.
type TimerFired struct{}

// ProbeResult ends a probe that somebody beside the module has sent: a request that follows is sent, of several upstreams that
// answered just now, to the one of lowest load. The module itself sends none.
type ProbeResult struct {
	Upstream string
	Result   Result
	Elapsed  time.Duration
	InFlight int           // of OK: requests that it has, waiting ones included
	Latency  time.Duration // of OK: what its requests take of late; 0: not told
}

// PeerMessage is a message from another sidecar. The module sends none, and ignores it.
type PeerMessage struct {
	From    int
	Message string
}

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (UploadDone) event()         {}
func (FirstByte) event()          {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeResult) event()        {}
func (PeerMessage) event()        {}

// ActionKind tells actions apart.
type ActionKind int

// What a sidecar can be asked to do.
const (
	Send      ActionKind = iota // start the request's next attempt at Upstream, ending after Timeout
	Cancel                      // stop waiting for attempt number Attempt
	Reject                      // final answer: not done, trying again is harmless; RetryAfter is advice
	Fail                        // final answer: no promise
	SetTimer                    // report Wake at time At; an earlier SetTimer may be dropped
	Subscribe                   // ask for the list and its changes
	Log                         // a line for the operators, of Upstream if that is set
)

// Action is one thing to do. Only the fields named at its Kind are set.
type Action struct {
	Kind       ActionKind
	ID         string
	Upstream   string
	Zone       string // of Upstream, with Send
	Cell       int    // the same
	Attempt    int
	Timeout    time.Duration
	SendBy     time.Duration // clock time, with Send: its last byte is to be written before, or it is Moot; 0: at any time
	RetryAfter time.Duration
	FireAt     time.Duration
	Text       string
}
