package balancer

import "time"

// Idempotency says what a second execution of a request would do.
type Idempotency int

// The kinds of idempotency. Any other value is a Problem.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // the upstreams of one DedupScope drop repeats within DedupWindow
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of upstreams that share the deduplication of requests with an idempotency key.
type DedupScope int

// The deduplication scopes. Any other value is a Problem.
const (
	ScopeAll  DedupScope = iota // all upstreams
	ScopeZone                   // the upstreams of one zone
	ScopeCell                   // the upstreams of one cell
)

// Class describes one kind of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it earns the full priority weight; defaults to Deadline
	ObjectiveStretch  float64       // the objective grows by this multiple of the request's cost hint
	Deadline          time.Duration // how long a client waits, over all its retries
	PriorityWeight    float64       // value of an answer in time, relative to other classes; defaults to 1
	LateValueFraction float64       // share of the priority weight that a late answer still earns, 0 to 1
	Idempotency       Idempotency
	DedupScope        DedupScope    // of IdempotentWithKey: which upstreams drop repeats
	DedupWindow       time.Duration // of IdempotentWithKey: how long repeats are dropped
	Streaming         bool          // its answers are streams; no decision depends on it
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name  string
	Quota float64 // its share of all requests, 0 to 1
}

// Settings configures a Balancer. A zero value means that a setting is absent: the default in its comment
// applies, and a feature without a default is off.
type Settings struct {
	FleetSize int    // number of sidecars that share the upstreams; defaults to 1
	Zone      string // this sidecar's zone
	Classes   []Class
	Tenants   []Tenant

	MustSubscribe bool          // the endpoint list is only sent to subscribers
	Tick          time.Duration // shortest time between two calls of Handle; defaults to 1 ms

	MaxAttempts         int  // largest number of attempts of one request, including the first; defaults to 1
	HedgingAllowed      bool // several attempts of one request may be in flight, up to MaxAttempts
	CancellationAllowed bool
	ProbingAllowed      bool // no decision depends on this setting
	RetryAfterAllowed   bool // a Reject may carry RetryAfter
	MaxRetryAfter       time.Duration
	ConnectTimeout      time.Duration

	CrossZonePrice  float64 // cost of one cross-zone attempt per request, in points of service
	OverQuotaWeight float64 // factor on the priority of requests beyond their tenant's quota, 0 to 1
	WeightPerWork   bool    // PriorityWeight counts per unit of work instead of per request

	SlowStartMinCapacity float64       // least share of its full capacity that a starting upstream has; defaults to 1
	SlowStartWindow      time.Duration // time after its start by which an upstream has full capacity
	OverloadMultiple     float64       // load that overloads, as a multiple of present capacity; 0 if none does
	OverloadWindow       time.Duration // how long that load has to last to overload an upstream
}
