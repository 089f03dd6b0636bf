package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"orchiddrift/internal/simulation/virtualtime"
)

// simulation is the state of a run.
type simulation struct {
	*virtualtime.Time
	run             Run
	rng             *rand.Rand
	wallClockOrigin time.Time // wall-clock time of virtualtime.Origin
	nodes           []*node
	byName          map[string]*node
	sidecars        []*sidecar
	result          Result
	lastID          int             // ID of the latest request
	latencies       []time.Duration // latencies of the served requests
	discardedPoint  Point           // receives the counts if Run.Interval is 0

	openConnectionSum     float64
	openConnectionSamples int

	discoveryBusyUntil time.Duration // time at which the discovery service will have finished its accepted work
	callCountSecond    time.Duration // second since the start to which callsInSecond refers
	callsInSecond      int
}

const (
	networkRoundTrip      = 300 * time.Microsecond // round-trip time between a sidecar and a node
	maxListDelay          = 200 * time.Millisecond // maximum time from a change of the list until a sidecar receives it
	drainTime             = time.Second            // time from the latest possible notification of a sidecar until a draining node stops
	sweepPeriod           = time.Second            // interval of a sidecar's checks for idle connections
	rateSmoothing         = 0.1                    // weight of the last sweep in a sidecar's request rate, as in discovery.SubsetSink
	maxNodeQueue          = 1000                   // maximum number of requests that wait at a node
	prewarmPeriod         = 100 * time.Millisecond // interval of a prewarmer's ticks
	probeServiceTime      = 200 * time.Microsecond // CPU time that a load probe costs its node
	defaultZones          = 1
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxConnections = 496
	wallClockOriginMs     = 1_800_000_000_000 // Unix time of virtualtime.Origin in milliseconds
)

// Streams of random numbers, which are all derived from Run.Seed. The stream of a sidecar is its
// index plus an offset.
const (
	fleetStream         = 11
	prewarmStreamOffset = 1 << 32
	probeStreamOffset   = 2 << 32
	policyStreamOffset  = 3 << 32
)

// Play simulates a run. It returns an error if a balancer setting is invalid.
func Play(r Run) (*Result, error) {
	if r.Zones == 0 {
		r.Zones = defaultZones
	}
	if r.IdleTimeout == 0 {
		r.IdleTimeout = defaultIdleTimeout
	}
	if r.MaxConnections == 0 {
		r.MaxConnections = defaultMaxConnections
	}
	s := &simulation{
		Time:            virtualtime.New(),
		run:             r,
		rng:             rand.New(rand.NewPCG(r.Seed, fleetStream)),
		wallClockOrigin: time.UnixMilli(wallClockOriginMs),
		byName:          map[string]*node{},
	}
	s.addNodes()
	if err := s.addSidecars(); err != nil {
		return nil, err
	}
	s.scheduleRestarts()
	s.scheduleFaults()
	s.scheduleDiscoveryOutage()
	for _, size := range r.ListSizes {
		s.At(virtualtime.Origin+size.At, func() { s.resize(size.Nodes) })
	}
	s.sampleOpenConnections()
	s.Run(r.Length)
	s.closePoint()
	s.checkUnanswered()
	s.summarize()
	return &s.result, nil
}

// addNodes creates the nodes. All of them are listed and have their full capacity.
func (s *simulation) addNodes() {
	for i := range s.run.Nodes {
		n := &node{name: fmt.Sprintf("node-%05d", i), index: i, zone: s.zone(i), up: true, listed: true, speed: 1}
		if s.run.NodeSpeed != nil {
			n.speed = s.run.NodeSpeed(i)
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
}

// addSidecars creates the sidecars and starts their traffic.
func (s *simulation) addSidecars() error {
	weight := s.run.TrafficWeight
	if weight == nil {
		weight = func(int) float64 { return 1 }
	}
	total := 0.0
	for i := range s.run.Sidecars {
		total += weight(i)
	}
	for i := range s.run.Sidecars {
		sc, err := s.addSidecar(i)
		if err != nil {
			return err
		}
		if rate := s.run.Rate * weight(i) / total; rate > 0 {
			s.startTraffic(sc, rate)
		}
		s.After(time.Duration(s.rng.Int64N(int64(sweepPeriod))), func() { s.sweepSidecar(sc) })
	}
	return nil
}

// zone returns the zone of the node or sidecar with the given index.
func (s *simulation) zone(index int) string { return fmt.Sprint("z", index%s.run.Zones) }

// wallTime converts a time of the run to wall-clock time.
func (s *simulation) wallTime(t time.Duration) time.Time {
	return s.wallClockOrigin.Add(t - virtualtime.Origin)
}
