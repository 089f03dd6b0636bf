package fleetsim

import (
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/upstream/loadprobe"
	"orchiddrift/internal/upstream/prewarm"
)

// Run is a run's parameters.
type Run struct {
	Sidecars, Nodes int
	Zones           int                 // absent: 1
	Rate            float64             // requests a second, of all sidecars
	TrafficWeight   func(i int) float64 // of the traffic, relative to the others'; nil: all alike
	MeanServiceTime time.Duration       // mean, exponential
	Length          time.Duration
	Seed            uint64
	Subset          subset.Options // Sidecars and Index are filled in, where Known; not On: all know all
	IndexKnown      bool           // each sidecar is told its index and how many there are
	Settings        balancer.Settings
	IdleTimeout     time.Duration   // connections are closed after so long; absent: 30 s
	ConnectDelay    time.Duration   // what a new connection adds
	Prewarming      prewarm.Options // not On: connections are made as requests need them
	MaxConnections  int             // connections that a sidecar may have, which bounds its subset; absent: 496

	HideStartTimes   bool                // modules are not told what cold nodes can take, nor which are cold
	NodeSpeed        func(i int) float64 // of a node; nil: 1
	LoadProbes       loadprobe.Options   // probes beside the module, which decides
	HideProbeLatency bool                // answers to those tell no latency
	SyncProbes       *SyncProbes         // in place of the module; nil: the module chooses

	Policy         func(rng *rand.Rand) Policy // in place of the module; nil: the module chooses
	MaxAttempts    int                         // of a Policy's request, on nodes that it picks anew, where it is proved not to have run or is safe
	Faults         []Fault
	RateSteps      []RateStep // of the rate; none: Rate all the time
	CostHints      bool       // modules are told a request's work
	ClassFractions []float64  // shares of Settings.Classes; absent: the first alone
	Clients        Clients
	Interval       time.Duration // what Result.Points are for; 0: there are none

	RestartAt       time.Duration // so that a part of the nodes restarts, spread over RestartOver; 0: none
	RestartOver     time.Duration
	RestartFraction float64
	RestartDowntime time.Duration // a node is away so long
	Discovery       *Discovery    // nil: the list reaches all by itself
	ListSizes       []ListSize    // of the list at times; the first Nodes names are listed before
}

// ListSize is how many nodes are listed from a time on.
type ListSize struct {
	At    time.Duration
	Nodes int
}

// RateStep is a rate from a time on, as a multiple of Run.Rate.
type RateStep struct {
	At       time.Duration
	Multiple float64
}

// Clients is what clients do on their own: they ask again where they were refused, or failed and it is safe.
type Clients struct {
	MaxRetries      int           // after the first
	InitialBackoff  time.Duration // before each, doubled, where no time was named
	HonorRetryAfter bool          // they wait as long as a refusal says
}
