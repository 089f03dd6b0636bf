package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"orchiddrift/internal/simulation/virtualtime"
)

type simulation struct {
	*virtualtime.Time
	run                   Run
	rng                   *rand.Rand
	wallClockOrigin       time.Time // at Origin
	nodes                 []*node
	byName                map[string]*node
	sidecars              []*sidecar
	result                Result
	lastID                int
	latencies             []time.Duration
	discardedPoint        Point
	openConnectionSum     float64
	openConnectionSamples int
	discoveryBusyUntil    time.Duration // when discovery has worked through its calls
	callCountSecond       time.Duration // the second that calls are counted in
	callsInSecond         int
}

const (
	networkRoundTrip = 300 * time.Microsecond // one way and back
	maxListDelay     = 200 * time.Millisecond // a change of the list reaches every sidecar within this
	sweepPeriod      = time.Second
	rateSmoothing    = 0.1
	maxNodeQueue     = 1000
	prewarmPeriod    = 100 * time.Millisecond
	probeServiceTime = 200 * time.Microsecond // of a node's core
)

// Play plays a run.
func Play(r Run) (*Result, error) {
	if r.Zones == 0 {
		r.Zones = 1
	}
	if r.IdleTimeout == 0 {
		r.IdleTimeout = 30 * time.Second
	}
	if r.MaxConnections == 0 {
		r.MaxConnections = 496
	}
	s := &simulation{Time: virtualtime.New(), run: r, rng: rand.New(rand.NewPCG(r.Seed, 11)), wallClockOrigin: time.UnixMilli(1_800_000_000_000),
		byName: map[string]*node{}}
	for i := range r.Nodes {
		n := &node{name: fmt.Sprintf("node-%05d", i), index: i, zone: fmt.Sprint("z", i%r.Zones), up: true, listed: true, speed: 1}
		if r.NodeSpeed != nil {
			n.speed = r.NodeSpeed(i)
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	total := 0.0
	share := r.TrafficWeight
	if share == nil {
		share = func(int) float64 { return 1 }
	}
	for i := range r.Sidecars {
		total += share(i)
	}
	for i := range r.Sidecars {
		sc, err := s.addSidecar(i)
		if err != nil {
			return nil, err
		}
		if rate := r.Rate * share(i) / total; rate > 0 {
			s.startTraffic(sc, rate)
		}
		s.After(time.Duration(s.rng.Int64N(int64(sweepPeriod))), func() { s.sweepSidecar(sc) })
	}
	s.scheduleRestarts()
	s.scheduleFaults()
	s.scheduleDiscoveryOutage()
	for _, z := range r.ListSizes {
		s.At(virtualtime.Origin+z.At, func() { s.resize(z.Nodes) })
	}
	s.sampleOpenConnections()
	s.Run(r.Length)
	s.closePoint()
	s.checkUnanswered()
	s.summarize()
	return &s.result, nil
}

func (s *simulation) wallTime(t time.Duration) time.Time {
	return s.wallClockOrigin.Add(t - virtualtime.Origin)
}
