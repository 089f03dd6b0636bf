package soak

import (
	"sync"
	"time"
)

// Effect is what a request's class says of repeating it.
type Effect string

// The effects.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// RequestID names a request of a client.
type RequestID string

// Request is one as its client saw it. All times are since the load began.
type Request struct {
	ID             RequestID
	Sidecar        int
	Effect         Effect
	SentAt         time.Duration `json:"Begun"` // its last byte was written, or later
	Deadline       time.Duration // how long the client waits
	DisconnectedAt time.Duration `json:"LeftAt"` // the client closed its connection; 0: it did not
	Status         int           // of the answer; 0: none came
	Ended          time.Duration
	Refused        bool   // no connection was made
	Failure        string // why there is no answer
}

// Attempt is a request as an upstream saw it.
type Attempt struct {
	Request  RequestID
	Upstream string
	At       time.Duration
	Timeout  time.Duration `json:"Told"`   // the time that its sidecar says it will wait
	Rejected bool          `json:"Turned"` // it was turned away, and has not run
}

// Change is an upstream that is listed as draining or gone.
type Change struct {
	Upstream string
	Version  int64
	At       time.Duration
}

// Write is a message of discovery to a sidecar.
type Write struct {
	Sidecar int
	Version int64 // that the sidecar then knows
	At      time.Duration
}

// Span is a time from one moment to another.
type Span struct{ From, To time.Duration }

// ProcessRun is one process of a sidecar.
type ProcessRun struct {
	Sidecar int
	Span
	Ready      time.Duration // 0: never
	Terminated time.Duration // when it got SIGTERM; 0: it did not
	Killed     bool          // by SIGKILL
	Crashed    string        // how it ended where nothing had told it to
}

// Record is all that was seen.
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
	begun time.Time
	mu    sync.Mutex
	Record
}

func (r *recorder) now() time.Duration { return time.Since(r.begun) }

func (r *recorder) do(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.Record)
}
