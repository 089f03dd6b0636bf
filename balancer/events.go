package balancer

import "time"

// Event is what a driver reports to Handle: EndpointUpdate, Request, UploadDone, FirstByte, Outcome,
// ClientDisconnected, TimerFired, ProbeResult or PeerMessage.
type Event interface{ event() }

// EndpointState is an upstream's state in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Active   EndpointState = iota
	Draining               // gets no further attempts
	Removed                // gets no further attempts
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Name, Zone  string
	MachineType string // absent: all machines are alike
	Cell        int
	State       EndpointState
	StartedAt   time.Duration // clock time of its latest start; 0: long ago
}

// UpdateKind says how an EndpointUpdate is to be read.
type UpdateKind int

// The kinds of EndpointUpdate.
const (
	FullUpdate        UpdateKind = iota // all endpoints
	IncrementalUpdate                   // only those that changed
	CachedUpdate                        // all endpoints as last known; may be stale
	UpdateFailed                        // a subscription failed or broke; there are no endpoints
)

// EndpointUpdate brings the endpoint list, changes of it, or the failure to get it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request. It is to be answered exactly once before Deadline.
type Request struct {
	ID, Class, Tenant string
	Deadline          time.Duration    // clock time
	CostHint          time.Duration    // expected work; 0: unknown
	EarlierAttempts   []EarlierAttempt // of the same idempotency key
	StreamedBody      bool             // forwarded as it arrives: see UploadDone and Outcome.BodyConsumed
}

// EarlierAttempt is an attempt of an earlier request of the same idempotency key that may have run. It counts
// as an attempt of this request.
type EarlierAttempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration // clock time
}

// UploadDone says that the last byte of a streamed body has been written. The time of its request begins
// now.
type UploadDone struct {
	ID       string
	Attempt  int
	Deadline time.Duration // replaces the request's, which bounds the time that the body may take
}

// FirstByte says that a streamed answer has begun.
type FirstByte struct {
	ID          string
	Attempt     int
	PassThrough bool // the rest is only passed on: the upstream no longer works on it
}

// Result is how an attempt or a load probe ended.
type Result int

// The results.
const (
	OK            Result = iota
	ServerError          // error answer; may have run
	Rejected             // refused before execution (queue full, draining): did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // did not run
	Reset                // the connection broke; may have run
	Cancelled            // may have run
	NotSent              // never sent
	Malformed            // unreadable answer; may have run
)

// Outcome ends an attempt. Each Send has exactly one.
type Outcome struct {
	ID           string
	Attempt      int
	Result       Result
	Elapsed      time.Duration // since the Send
	Final        bool          // the request has its final answer
	BodyConsumed bool          // the body of a streamed request can't be had again
}

// ClientDisconnected says that no answer to the request is expected any more.
type ClientDisconnected struct{ ID string }

// TimerFired reports that the time of a SetTimer has come.
type TimerFired struct{}

// ProbeResult ends a load probe. The package sends no probes itself; internal/upstream/loadprobe does.
type ProbeResult struct {
	Upstream string
	Result   Result
	Elapsed  time.Duration
	InFlight int           // of OK: requests that it has, queued ones included
	Latency  time.Duration // of OK: latency of its recent requests; 0: not reported
}

// PeerMessage is a message from another sidecar. It is ignored.
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
