package balancer

import "time"

// Event is what a driver reports to Handle: EndpointUpdate, Request, UploadDone, FirstByte, Outcome,
// ClientDisconnected, TimerFired, ProbeResult or PeerMessage.
type Event interface{ event() }

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Active   EndpointState = iota
	Draining               // gets no further attempts
	Removed                // gets no further attempts
)

// UnknownCell is the Cell of an upstream whose cell is in no list. An unknown zone is the empty string. What may have run at an
// upstream of unknown zone or cell is in no other upstream's deduplication scope of that kind.
const UnknownCell = -1

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Name, Zone  string
	MachineType string // upstreams of one type, or without a type, are assumed to be equally fast
	Cell        int    // UnknownCell if no list has it
	State       EndpointState
	StartedAt   time.Duration // clock time of the endpoint's latest start; 0 if that was long ago
}

// UpdateKind says what the Endpoints of an EndpointUpdate are.
type UpdateKind int

// The kinds of EndpointUpdate.
const (
	FullUpdate        UpdateKind = iota // all endpoints
	IncrementalUpdate                   // only the endpoints that changed
	CachedUpdate                        // all endpoints as last known; they may be stale
	UpdateFailed                        // a subscription failed or broke; Endpoints is empty
)

// EndpointUpdate carries the endpoint list, changes to it, or the failure to get it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request. It must be answered exactly once, before Deadline.
type Request struct {
	ID, Class, Tenant string
	Deadline          time.Duration    // clock time
	CostHint          time.Duration    // expected work; 0 if unknown
	EarlierAttempts   []EarlierAttempt // attempts of earlier requests with the same idempotency key
	StreamedBody      bool             // the body is forwarded as it arrives: see UploadDone and Outcome.BodyConsumed
}

// EarlierAttempt is an attempt of an earlier request with the same idempotency key that may have run. It
// counts as an attempt of this request, except towards MaxAttempts.
type EarlierAttempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration // clock time
}

// UploadDone reports that the last byte of a streamed body has been written. The request's latency and
// latency objective are measured from now on.
type UploadDone struct {
	ID       string
	Attempt  int
	Deadline time.Duration // replaces the request's deadline, which until now limited the time of the upload
}

// FirstByte reports that a streamed answer has begun.
type FirstByte struct {
	ID          string
	Attempt     int
	PassThrough bool // the upstream has finished its work: the rest of the answer is only forwarded
}

// Result is how an attempt or a load probe ended.
type Result int

// The results of an attempt or a load probe.
const (
	OK            Result = iota
	ServerError          // error answer; may have run
	Rejected             // rejected by the upstream before execution (queue full, draining): did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // did not run
	Reset                // the connection broke; may have run
	Cancelled            // may have run
	NotSent              // never sent
	Malformed            // unreadable answer; may have run
)

// Outcome reports the end of an attempt. Each Send has exactly one Outcome.
type Outcome struct {
	ID           string
	Attempt      int
	Result       Result
	Elapsed      time.Duration // since the Send
	Final        bool          // the request has its final answer
	BodyConsumed bool          // the body of a streamed request can't be sent again
}

// ClientDisconnected reports that the client no longer waits for an answer to the request.
type ClientDisconnected struct{ ID string }

// TimerFired reports that the FireAt time of a SetTimer action has come.
type TimerFired struct{}

// ProbeResult reports the end of a load probe. This package sends no probes itself;
// internal/upstream/loadprobe does.
type ProbeResult struct {
	Upstream string
	Result   Result
	Elapsed  time.Duration
	InFlight int           // with OK: requests at the upstream, queued ones included
	Latency  time.Duration // with OK: latency of the upstream's recent requests; 0 if it is not reported
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
