package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"orchiddrift/internal/simulation/virtualtime"
)

type sim struct {
	*virtualtime.Time
	r        Run
	rng      *rand.Rand
	wall     time.Time // at Origin
	nodes    []*node
	byName   map[string]*node
	sidecars []*sidecar
	out      Result
	ids      int
	took     []time.Duration
	none     Point
	openSum  float64
	openN    int
	served   time.Duration // when discovery has worked through its calls
	callsIn  time.Duration // the second that calls are counted in
	calls    int
}

const (
	wire      = 300 * time.Microsecond // one way and back
	toldMost  = 200 * time.Millisecond // a change of the list reaches every sidecar within this
	sweep     = time.Second
	rateBlend = 0.1
	nodeQueue = 1000
	warmEvery = 100 * time.Millisecond
	probeWork = 200 * time.Microsecond // of a node's core
)

// Play plays a run.
func Play(r Run) (*Result, error) {
	if r.Zones == 0 {
		r.Zones = 1
	}
	if r.Idle == 0 {
		r.Idle = 30 * time.Second
	}
	if r.Descriptors == 0 {
		r.Descriptors = 496
	}
	s := &sim{Time: virtualtime.New(), r: r, rng: rand.New(rand.NewPCG(r.Seed, 11)), wall: time.UnixMilli(1_800_000_000_000),
		byName: map[string]*node{}}
	for i := range r.Nodes {
		n := &node{name: fmt.Sprintf("node-%05d", i), index: i, zone: fmt.Sprint("z", i%r.Zones), up: true, listed: true, speed: 1}
		if r.Speed != nil {
			n.speed = r.Speed(i)
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	total := 0.0
	share := r.Share
	if share == nil {
		share = func(int) float64 { return 1 }
	}
	for i := range r.Sidecars {
		total += share(i)
	}
	for i := range r.Sidecars {
		c, err := s.sidecar(i)
		if err != nil {
			return nil, err
		}
		if rate := r.Rate * share(i) / total; rate > 0 {
			s.traffic(c, rate)
		}
		s.After(time.Duration(s.rng.Int64N(int64(sweep))), func() { s.sweep(c) })
	}
	s.restarts()
	s.faults()
	s.discovery()
	for _, z := range r.Sizes {
		s.At(virtualtime.Origin+z.At, func() { s.resize(z.Nodes) })
	}
	s.sample()
	s.Run(r.Length)
	s.closePoint()
	s.check()
	s.sum()
	return &s.out, nil
}

func (s *sim) at(t time.Duration) time.Time { return s.wall.Add(t - virtualtime.Origin) }
