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
	Zones           int                 // number of zones, to which nodes and sidecars are assigned in turn; 0 means 1
	Rate            float64             // requests per second of all sidecars together
	TrafficWeight   func(i int) float64 // returns a sidecar's weight in Rate; nil means equal weights
	MeanServiceTime time.Duration       // mean of the exponentially distributed service time of a request, on a node that is not in slow start
	Length          time.Duration
	Seed            uint64
	Settings        balancer.Settings
	Clients         Clients
	CostHints       bool          // the balancers know the service time of each request
	ClassFractions  []float64     // fractions of the traffic by index of Settings.Classes; if empty, all traffic is of the first class
	RateSteps       []RateStep    // changes of Rate in order of time
	Interval        time.Duration // length of the intervals of Result.Points; 0 means that there are no points

	Subset         subset.Options  // options of the subsets; if not Enabled, every sidecar uses all nodes; FleetSize and Index are filled in if IndexKnown is set
	IndexKnown     bool            // each sidecar knows its index and the number of sidecars
	IdleTimeout    time.Duration   // idle timeout of connections; 0 means 30 s
	ConnectDelay   time.Duration   // delay of opening a connection
	Prewarming     prewarm.Options // options of prewarming; if not Enabled, connections are opened when a request needs them
	MaxConnections int             // limit of a sidecar's connections, which limits the size of its subset; 0 means 496

	NodeSpeed        func(i int) float64 // returns the factor of a node's service rate; nil means 1
	HideStartTimes   bool                // the balancers know neither the start times of nodes nor the slow start settings
	LoadProbes       loadprobe.Options   // probes whose answers go to the balancer
	HideProbeLatency bool                // answers of load probes contain no latency
	SyncProbes       *SyncProbes         // if not nil, probes choose the nodes in place of the balancer

	Policy      func(rng *rand.Rand) Policy // creates the policy of a sidecar, which chooses nodes in place of the balancer; if nil, the balancer chooses
	MaxAttempts int                         // maximum number of attempts of a request that a Policy sends and that may be retried

	Faults          []Fault
	RestartAt       time.Duration // time at which the restarts of RestartFraction of the nodes begin; 0 means that there are none
	RestartOver     time.Duration // time over which the restarts are spread
	RestartFraction float64       // fraction of the nodes that restart
	RestartDowntime time.Duration // time from a node's stop to its start
	Discovery       *Discovery    // if nil, changes of the list reach every sidecar without a call
	ListSizes       []ListSize    // changes of the number of listed nodes
}

// ListSize sets the number of listed nodes from a given time on. The nodes with the highest indices are
// removed first.
type ListSize struct {
	At    time.Duration // time since the start
	Nodes int
}

// RateStep sets the request rate from a given time on.
type RateStep struct {
	At       time.Duration // time since the start
	Multiple float64       // factor of Run.Rate
}

// Clients describes how clients retry. They retry requests that were rejected, and idempotent requests that
// failed.
type Clients struct {
	MaxRetries      int
	InitialBackoff  time.Duration // pause before the first retry, doubled for each further retry
	HonorRetryAfter bool          // clients wait at least for the time that Retry-After states
}
