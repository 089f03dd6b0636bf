package soak

import (
	"sync"
	"time"
)

// Effect says whether a request of a class may be retried.
type Effect string

// The effects. They tell which retries are allowed.
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
	SentAt         time.Duration `json:"Begun"` // time at which the last byte was written
	Deadline       time.Duration // deadline of the client, counted from SentAt
	DisconnectedAt time.Duration `json:"LeftAt"` // time at which the client closed its connection; 0 if it did not
	Status         int           // status of the response; 0 if there was none
	Ended          time.Duration
	Refused        bool   // the sidecar did not get the request, because the connection was refused or closed
	Failure        string // reason for which there is no response
}

// Attempt is a request as an upstream saw it.
type Attempt struct {
	Request  RequestID
	Upstream string
	At       time.Duration
	Timeout  time.Duration `json:"Told"`   // timeout that the sidecar announced
	Rejected bool          `json:"Turned"` // the upstream rejected the request without executing it
}

// Change is a change of the endpoint list that drains or removes an upstream.
type Change struct {
	Upstream string
	Version  int64
	At       time.Duration
}

// Write records that discovery sent a version of the endpoint list to a sidecar.
type Write struct {
	Sidecar int
	Version int64 // version of the endpoint list
	At      time.Duration
}

// Span is an interval of time.
type Span struct{ From, To time.Duration }

// ProcessRun is a process of a sidecar from its start to its end.
type ProcessRun struct {
	Sidecar int
	Span
	Ready      time.Duration // time at which the process was ready; 0 if it never was
	Terminated time.Duration // time at which the process got SIGTERM; 0 if it did not
	Killed     bool          // the process got SIGKILL
	Crashed    string        // error or exit status of a process that failed to start or ended by itself; otherwise empty
}

// Record holds all observations of a run of a script.
type Record struct {
	Grace    time.Duration
	Requests []Request
	Attempts []Attempt
	Changes  []Change
	Writes   []Write
	Outages  []Span       // times at which discovery was down
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
