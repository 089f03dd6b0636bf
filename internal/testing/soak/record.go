package soak

import (
	"sync"
	"time"
)

// Effect says whether a request of a class may be retried.
type Effect string

// The effects.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// RequestID identifies a client's request.
type RequestID string

// Request is a request as its client recorded it. All times are since the start of the load.
type Request struct {
	ID             RequestID
	Sidecar        int
	Effect         Effect
	SentAt         time.Duration `json:"Begun"` // after its last byte was written
	Deadline       time.Duration // of the client, from SentAt
	DisconnectedAt time.Duration `json:"LeftAt"` // time at which the client closed its connection; 0: it did not
	Status         int           // of the response; 0: there was none
	Ended          time.Duration
	Refused        bool   // the sidecar did not get the request: the connection was refused or closed
	Failure        string // why there is no response
}

// Attempt is a request as an upstream saw it.
type Attempt struct {
	Request  RequestID
	Upstream string
	At       time.Duration
	Timeout  time.Duration `json:"Told"`   // announced by the sidecar
	Rejected bool          `json:"Turned"` // rejected without execution
}

// Change is a change of the endpoint list that drains or removes an upstream.
type Change struct {
	Upstream string
	Version  int64
	At       time.Duration
}

// Write is a message of discovery to a sidecar.
type Write struct {
	Sidecar int
	Version int64 // of the endpoint list
	At      time.Duration
}

// Span is an interval of time.
type Span struct{ From, To time.Duration }

// ProcessRun is a process of a sidecar from its start to its end.
type ProcessRun struct {
	Sidecar int
	Span
	Ready      time.Duration // 0: it never was
	Terminated time.Duration // when it got SIGTERM; 0: it did not
	Killed     bool          // by SIGKILL
	Crashed    string        // error or exit status, if the process failed to start or ended by itself
}

// Record holds all observations of a run of a script.
type Record struct {
	Grace    time.Duration
	Requests []Request
	Attempts []Attempt
	Changes  []Change
	Writes   []Write
	Outages  []Span       // of discovery
	Runs     []ProcessRun `json:"Lives"`
}

// recorder collects a Record. It is safe for concurrent use.
type recorder struct {
	started time.Time
	mu      sync.Mutex
	Record
}

func (r *recorder) now() time.Duration { return time.Since(r.started) }

func (r *recorder) do(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.Record)
}
