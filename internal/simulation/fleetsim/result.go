package fleetsim

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run came to.
type Result struct {
	Requests, Served, Refused, Failed int
	Spread                            float64       // the most loaded node's work over the mean of those that were up all the time
	Asked                             int           // nodes that got a request
	OpenNode, MostNode                float64       // connections a node, mean over time and nodes, and the most that one had
	OpenSidecar                       int           // the most that one sidecar had
	Opened                            int           // connections made
	Ahead                             int           // of them before a request needed them
	Waited                            int           // requests whose first send waited for a connection
	MostMade                          int           // most connections made to one node within a second
	Own                               float64       // mean number of a sidecar's own nodes, at the end
	Fell                              int           // nodes that were pushed over
	Decisions                         int           // calls of the modules
	Probes                            int           // sent
	Calls, MostCalls, CallsTurnedAway int           // for the list: all, within a second, in vain
	Listed                            time.Duration // when a sidecar last got the whole list
	Unreached                         int           // sends that found neither a connection nor a node
	P50, P99                          time.Duration
	Operations, Done, Sends           int // what clients wanted, what of it was served, and all that was sent to nodes
	Points                            []Point
	Violations                        int // of rules that must always hold, and the first of them
	Broken                            []string
}

// Point is what came in an interval of Run.Series.
type Point struct {
	At                             time.Duration
	Asked, Served, Refused, Failed int // requests
	Operations, Done               int // as clients see them: begun, and served after however many requests
	Sends                          int
	P50, P99                       time.Duration
	Utilization                    float64 // mean of the nodes that are up
	latencies                      *hdr.Histogram
	busy                           time.Duration
}

// summarize makes the result of what was counted.
func (s *simulation) summarize() {
	o := &s.result
	most, total, up := time.Duration(0), time.Duration(0), 0
	for _, n := range s.nodes {
		if n.attempts > 0 {
			o.Asked++
		}
		o.MostNode = max(o.MostNode, float64(n.maxOpenConnections))
		if !n.restarted && !n.overloaded {
			most, total, up = max(most, n.servedTime), total+n.servedTime, up+1
		}
	}
	if total > 0 {
		o.Spread = float64(most) * float64(up) / float64(total)
	}
	if s.openConnectionSamples > 0 {
		o.OpenNode = s.openConnectionSum / float64(s.openConnectionSamples)
	}
	for _, sc := range s.sidecars {
		o.OpenSidecar = max(o.OpenSidecar, sc.maxOpenConnections)
		if sc.subset != nil {
			own, _ := sc.subset.Size()
			o.Own += float64(own) / float64(len(s.sidecars))
		} else {
			o.Own = float64(len(s.nodes))
		}
	}
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		o.P50, o.P99 = s.latencies[n/2], s.latencies[n*99/100]
	}
}
