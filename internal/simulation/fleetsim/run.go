package fleetsim

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/upstream/loadprobe"
	"orchiddrift/internal/upstream/prewarm"
)

// Run holds the parameters of a run.
type Run struct {
	Sidecars, Nodes int
	Zones           int                 // nodes and sidecars are assigned to zones in turn; 0: 1
	Rate            float64             // requests per second, of all sidecars together
	TrafficWeight   func(i int) float64 // a sidecar's weight in Rate; nil: equal weights
	MeanServiceTime time.Duration       // of a request on a warm node, drawn from an exponential distribution
	Length          time.Duration
	Seed            uint64
	Settings        balancer.Settings
	Clients         Clients
	CostHints       bool          // the balancers know each request's service time
	ClassFractions  []float64     // of the traffic, by index of Settings.Classes; empty: the first class only
	RateSteps       []RateStep    // changes of Rate, in order of time
	Interval        time.Duration // of Result.Points; 0: no points

	Subset         subset.Options  // FleetSize and Index are filled in if IndexKnown; not Enabled: every sidecar uses all nodes
	IndexKnown     bool            // each sidecar knows its index and the number of sidecars
	IdleTimeout    time.Duration   // of connections; 0: 30 s
	ConnectDelay   time.Duration   // that opening a connection adds
	Prewarming     prewarm.Options // not Enabled: connections are opened when a request needs them
	MaxConnections int             // of a sidecar; limits the size of its subset; 0: 496

	NodeSpeed        func(i int) float64 // multiplies a node's service rate; nil: 1
	HideStartTimes   bool                // the balancers know neither the nodes' start times nor the slow start settings
	LoadProbes       loadprobe.Options   // probes whose answers go to the balancer
	HideProbeLatency bool                // answers of load probes contain no latency
	SyncProbes       *SyncProbes         // if not nil, probes choose nodes in place of the balancer

	Policy      func(rng *rand.Rand) Policy // creates each sidecar's policy, which chooses nodes in place of the balancer; nil: the balancer chooses
	MaxAttempts int                         // of a Policy's request, if retrying it is safe

	Faults          []Fault
	RestartAt       time.Duration // when the restarts of RestartFraction of the nodes begin; 0: no restarts
	RestartOver     time.Duration // the restarts are spread over this time
	RestartFraction float64       // of the nodes
	RestartDowntime time.Duration // from a node's stop to its start
	Discovery       *Discovery    // nil: list changes reach every sidecar without a call
	ListSizes       []ListSize    // changes of the number of listed nodes
}

// ListSize is the number of listed nodes from a time on. The nodes with the highest indices are removed first.
type ListSize struct {
	At    time.Duration // since the start
	Nodes int
}

// RateStep is a rate from a time on.
type RateStep struct {
	At       time.Duration // since the start
	Multiple float64       // of Run.Rate
}

// Clients is how clients retry requests that were rejected, or that failed and are idempotent.
type Clients struct {
	MaxRetries      int
	InitialBackoff  time.Duration // before the first retry; it doubles with each further one
	HonorRetryAfter bool          // they wait at least as long as Retry-After says
}
