package fleetsim

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a run. Its JSON keys are part of the stored results of experiments.
type Result struct {
	Requests int `json:"Requests"` // first requests and clients' retries
	Served   int `json:"Served"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`

	LoadSpread                    float64       `json:"Spread"`      // the most loaded node's service time over the mean of the nodes that never restarted
	NodesUsed                     int           `json:"Asked"`       // nodes that received an attempt
	MeanConnectionsPerNode        float64       `json:"OpenNode"`    // over the nodes and the second half of the run
	MaxConnectionsPerNode         float64       `json:"MostNode"`    // the most that one node ever had open
	MaxConnectionsPerSidecar      int           `json:"OpenSidecar"` // the most that one sidecar ever had open
	ConnectionsOpened             int           `json:"Opened"`
	ConnectionsPrewarmed          int           `json:"Ahead"`     // of ConnectionsOpened, those opened before a request needed them
	RequestsDelayedByConnect      int           `json:"Waited"`    // requests whose first attempt had to open a connection
	MaxConnectionsOpenedPerSecond int           `json:"MostMade"`  // to one node
	MeanSubsetSize                float64       `json:"Own"`       // of the sidecars, at the end of the run
	NodesOverloaded               int           `json:"Fell"`      // nodes that stopped for good from overload during slow start
	Decisions                     int           `json:"Decisions"` // events handled by the balancers
	Probes                        int           `json:"Probes"`    // probes sent
	ListCalls                     int           `json:"Calls"`     // calls for the endpoint list
	MaxListCallsPerSecond         int           `json:"MostCalls"`
	ListCallsRejected             int           `json:"CallsTurnedAway"`
	LastFullListAt                time.Duration `json:"Listed"`    // since the start, when a sidecar last received a full list
	ConnectFailures               int           `json:"Unreached"` // attempts that found no idle connection and whose connect failed
	P50                           time.Duration `json:"P50"`       // latency of served requests
	P99                           time.Duration `json:"P99"`

	Operations       int      `json:"Operations"` // begun by clients; each is a request and its retries
	OperationsServed int      `json:"Done"`
	Attempts         int      `json:"Sends"` // sent to nodes
	Points           []Point  `json:"Points"`
	Violations       int      `json:"Violations"` // of invariants
	ViolationTexts   []string `json:"Broken"`     // the first maxViolationTexts of them
}

// Point holds the counts of one interval of length Run.Interval.
type Point struct {
	At               time.Duration `json:"At"`    // start of the interval, since the start of the run
	Requests         int           `json:"Asked"` // sent by clients
	Served           int           `json:"Served"`
	Rejected         int           `json:"Refused"`
	Failed           int           `json:"Failed"`
	Operations       int           `json:"Operations"` // begun
	OperationsServed int           `json:"Done"`       // served, after any number of requests
	Attempts         int           `json:"Sends"`
	P50              time.Duration `json:"P50"` // latency of served operations
	P99              time.Duration `json:"P99"`
	Utilization      float64       `json:"Utilization"` // mean of the nodes that are up at the end of the interval

	latencies *hdr.Histogram // in microseconds; nil once the interval is closed
	busyTime  time.Duration  // service time of all nodes
}

// summarize completes the result from the counters of the nodes and sidecars and from the recorded latencies.
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
