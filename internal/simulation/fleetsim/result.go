package fleetsim

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run came to.
type Result struct {
	Requests                      int           `json:"Requests"`
	Served                        int           `json:"Served"`
	Rejected                      int           `json:"Refused"`
	Failed                        int           `json:"Failed"`
	LoadSpread                    float64       `json:"Spread"`          // the most loaded node's work over the mean of those that were up all the time
	NodesUsed                     int           `json:"Asked"`           // nodes that got a request
	MeanConnectionsPerNode        float64       `json:"OpenNode"`        // connections a node, mean over time and nodes, and the most that one had
	MaxConnectionsPerNode         float64       `json:"MostNode"`        // connections a node, mean over time and nodes, and the most that one had
	MaxConnectionsPerSidecar      int           `json:"OpenSidecar"`     // the most that one sidecar had
	ConnectionsOpened             int           `json:"Opened"`          // connections made
	ConnectionsPrewarmed          int           `json:"Ahead"`           // of them before a request needed them
	RequestsDelayedByConnect      int           `json:"Waited"`          // requests whose first send waited for a connection
	MaxConnectionsOpenedPerSecond int           `json:"MostMade"`        // most connections made to one node within a second
	MeanSubsetSize                float64       `json:"Own"`             // mean number of a sidecar's own nodes, at the end
	NodesOverloaded               int           `json:"Fell"`            // nodes that were pushed over
	Decisions                     int           `json:"Decisions"`       // calls of the modules
	Probes                        int           `json:"Probes"`          // sent
	ListCalls                     int           `json:"Calls"`           // for the list: all, within a second, in vain
	MaxListCallsPerSecond         int           `json:"MostCalls"`       // for the list: all, within a second, in vain
	ListCallsRejected             int           `json:"CallsTurnedAway"` // for the list: all, within a second, in vain
	LastFullListAt                time.Duration `json:"Listed"`          // when a sidecar last got the whole list
	ConnectFailures               int           `json:"Unreached"`       // sends that found neither a connection nor a node
	P50                           time.Duration `json:"P50"`
	P99                           time.Duration `json:"P99"`
	Operations                    int           `json:"Operations"` // what clients wanted, what of it was served, and all that was sent to nodes
	OperationsServed              int           `json:"Done"`       // what clients wanted, what of it was served, and all that was sent to nodes
	Attempts                      int           `json:"Sends"`      // what clients wanted, what of it was served, and all that was sent to nodes
	Points                        []Point       `json:"Points"`
	Violations                    int           `json:"Violations"` // of rules that must always hold, and the first of them
	ViolationTexts                []string      `json:"Broken"`
}

// Point is what came in an interval of Run.Interval.
type Point struct {
	At               time.Duration `json:"At"`
	Requests         int           `json:"Asked"`      // requests
	Served           int           `json:"Served"`     // requests
	Rejected         int           `json:"Refused"`    // requests
	Failed           int           `json:"Failed"`     // requests
	Operations       int           `json:"Operations"` // as clients see them: begun, and served after however many requests
	OperationsServed int           `json:"Done"`       // as clients see them: begun, and served after however many requests
	Attempts         int           `json:"Sends"`
	P50              time.Duration `json:"P50"`
	P99              time.Duration `json:"P99"`
	Utilization      float64       `json:"Utilization"` // mean of the nodes that are up
	latencies        *hdr.Histogram
	busyTime         time.Duration
}

// summarize makes the result of what was counted.
func (s *simulation) summarize() {
	o := &s.result
	most, total, up := time.Duration(0), time.Duration(0), 0
	for _, n := range s.nodes {
		if n.attempts > 0 {
			o.NodesUsed++
		}
		o.MaxConnectionsPerNode = max(o.MaxConnectionsPerNode, float64(n.maxOpenConnections))
		if !n.restarted && !n.overloaded {
			most, total, up = max(most, n.servedTime), total+n.servedTime, up+1
		}
	}
	if total > 0 {
		o.LoadSpread = float64(most) * float64(up) / float64(total)
	}
	if s.openConnectionSamples > 0 {
		o.MeanConnectionsPerNode = s.openConnectionSum / float64(s.openConnectionSamples)
	}
	for _, sc := range s.sidecars {
		o.MaxConnectionsPerSidecar = max(o.MaxConnectionsPerSidecar, sc.maxOpenConnections)
		if sc.subset != nil {
			own, _ := sc.subset.Size()
			o.MeanSubsetSize += float64(own) / float64(len(s.sidecars))
		} else {
			o.MeanSubsetSize = float64(len(s.nodes))
		}
	}
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		o.P50, o.P99 = s.latencies[n/2], s.latencies[n*99/100]
	}
}
