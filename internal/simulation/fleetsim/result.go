package fleetsim

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a run. Its JSON keys are part of the stored results of experiments.
type Result struct {
	Requests int `json:"Requests"` // first requests and retries of clients
	Served   int `json:"Served"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`

	LoadSpread                    float64       `json:"Spread"`      // service time of the most loaded node, divided by the mean of the nodes that never restarted
	NodesUsed                     int           `json:"Asked"`       // number of nodes that received an attempt
	MeanConnectionsPerNode        float64       `json:"OpenNode"`    // mean over the nodes and over the second half of the run
	MaxConnectionsPerNode         float64       `json:"MostNode"`    // highest number of connections that one node had open
	MaxConnectionsPerSidecar      int           `json:"OpenSidecar"` // highest number of connections that one sidecar had open
	ConnectionsOpened             int           `json:"Opened"`
	ConnectionsPrewarmed          int           `json:"Ahead"`     // number of ConnectionsOpened that were opened before a request needed them
	RequestsDelayedByConnect      int           `json:"Waited"`    // requests whose first attempt had to open a connection
	MaxConnectionsOpenedPerSecond int           `json:"MostMade"`  // highest number of connections opened to one node in a second
	MeanSubsetSize                float64       `json:"Own"`       // mean size of the sidecars' subsets at the end of the run
	NodesOverloaded               int           `json:"Fell"`      // nodes that stopped for good from overload during slow start
	Decisions                     int           `json:"Decisions"` // number of events that the balancers handled
	Probes                        int           `json:"Probes"`    // number of probes sent
	ListCalls                     int           `json:"Calls"`     // number of calls for the endpoint list
	MaxListCallsPerSecond         int           `json:"MostCalls"`
	ListCallsRejected             int           `json:"CallsTurnedAway"`
	LastFullListAt                time.Duration `json:"Listed"`    // time since the start at which a sidecar last received a full list
	ConnectFailures               int           `json:"Unreached"` // number of attempts that found no idle connection and failed to open one
	P50                           time.Duration `json:"P50"`       // latency of served requests
	P99                           time.Duration `json:"P99"`

	Operations       int      `json:"Operations"` // number of operations that clients began; each consists of a request and its retries
	OperationsServed int      `json:"Done"`
	Attempts         int      `json:"Sends"` // number of attempts sent to nodes
	Points           []Point  `json:"Points"`
	Violations       int      `json:"Violations"` // number of violations of invariants
	ViolationTexts   []string `json:"Broken"`     // texts of the first violations, at most maxViolationTexts
}

// Point holds the counts of one interval of length Run.Interval.
type Point struct {
	At               time.Duration `json:"At"`    // start of the interval, since the start of the run
	Requests         int           `json:"Asked"` // requests that clients sent
	Served           int           `json:"Served"`
	Rejected         int           `json:"Refused"`
	Failed           int           `json:"Failed"`
	Operations       int           `json:"Operations"` // operations that clients began
	OperationsServed int           `json:"Done"`       // operations that were served, after any number of requests
	Attempts         int           `json:"Sends"`
	P50              time.Duration `json:"P50"` // latency of served operations
	P99              time.Duration `json:"P99"`
	Utilization      float64       `json:"Utilization"` // mean utilization of the nodes that are up at the end of the interval

	latencies *hdr.Histogram // latencies in microseconds; nil after the end of the interval
	busyTime  time.Duration  // total service time of all nodes
}

// summarize completes the result with values from the counters of nodes and sidecars and from the recorded
// latencies.
func (s *simulation) summarize() {
	s.summarizeNodes()
	s.summarizeSidecars()
	if s.openConnectionSamples > 0 {
		s.result.MeanConnectionsPerNode = s.openConnectionSum / float64(s.openConnectionSamples)
	}
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		s.result.P50, s.result.P99 = s.latencies[n/2], s.latencies[n*99/100]
	}
}

func (s *simulation) summarizeNodes() {
	result := &s.result
	var maxServed, totalServed time.Duration
	stableNodes := 0 // nodes that neither restarted nor were overloaded
	for _, n := range s.nodes {
		if n.attempts > 0 {
			result.NodesUsed++
		}
		result.MaxConnectionsPerNode = max(result.MaxConnectionsPerNode, float64(n.maxOpenConnections))
		if !n.restarted && !n.overloaded {
			maxServed = max(maxServed, n.servedTime)
			totalServed += n.servedTime
			stableNodes++
		}
	}
	if totalServed > 0 {
		result.LoadSpread = float64(maxServed) * float64(stableNodes) / float64(totalServed)
	}
}

func (s *simulation) summarizeSidecars() {
	result := &s.result
	for _, sc := range s.sidecars {
		result.MaxConnectionsPerSidecar = max(result.MaxConnectionsPerSidecar, sc.maxOpenConnections)
		if sc.subset == nil {
			result.MeanSubsetSize = float64(len(s.nodes))
			continue
		}
		size, _ := sc.subset.Size()
		result.MeanSubsetSize += float64(size) / float64(len(s.sidecars))
	}
}
