package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/upstream/loadprobe"
	"orchiddrift/internal/upstream/prewarm"
)

type sidecar struct {
	index              int
	zone               string
	zoneNode           *node // of its zone: a cut is its own too
	balancer           *balancer.Balancer
	policy             Policy          // nil: the module chooses
	inactive           map[string]bool // told to be leaving or gone
	subset             *subset.Subset
	pending            map[string]*request
	pools              map[*node]*connectionPool
	openConnections    int
	maxOpenConnections int
	timerAt            time.Duration
	requestsSinceSweep int
	requestRate        float64
	rng                *rand.Rand
	prewarmer          *prewarm.Prewarmer   // nil: there is none
	prober             *loadprobe.Prober    // nil: there is none
	prewarmMembers     map[string]uint64    // what the warmer is told of
	activeUpstreams    []string             // active ones, where probes choose
	probedInFlight     []int                // requests in hand, by the last probes
	pendingUpdates     []endpoints.Endpoint // of the list, on its way

	settings    balancer.Settings
	incarnation int // of its processes, the present one
	watching    bool
	cachedList  []endpoints.Endpoint
}

func (s *simulation) addSidecar(i int) (*sidecar, error) {
	set := s.run.Settings
	set.FleetSize = s.run.Sidecars
	if s.run.HideStartTimes {
		set.SlowStartMinCapacity, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow = 0, 0, 0, 0
	}
	zone := fmt.Sprint("z", i%s.run.Zones)
	set.Zone = zone
	set.MustSubscribe = s.run.Discovery != nil
	b, err := balancer.New(set, s.run.Seed<<16+uint64(i))
	if err != nil {
		return nil, err
	}
	sc := &sidecar{index: i, settings: set, zone: zone, balancer: b, pending: map[string]*request{}, pools: map[*node]*connectionPool{}, inactive: map[string]bool{}, zoneNode: s.nodes[i%s.run.Zones],
		rng: rand.New(rand.NewPCG(s.run.Seed, uint64(i)))}
	if s.run.Policy != nil {
		sc.policy = s.run.Policy(rand.New(rand.NewPCG(s.run.Seed, uint64(i)+3<<32)))
	}
	if s.run.Subset.Enabled {
		o := s.run.Subset
		if o.Index = -1; s.run.IndexKnown {
			o.FleetSize, o.Index = s.run.Sidecars, i
		}
		sc.subset = subset.New(o, fmt.Sprint("sidecar-", i), zone, s.run.MaxConnections)
	}
	if s.run.Prewarming.Enabled {
		sc.prewarmer, sc.prewarmMembers = prewarm.New(s.run.Prewarming, s.run.MaxConnections, rand.New(rand.NewPCG(s.run.Seed, uint64(i)+1<<32))), map[string]uint64{}
		s.After(time.Duration(s.rng.Int64N(int64(prewarmPeriod))), func() { s.prewarmConnections(sc) })
	}
	if s.run.LoadProbes.Enabled {
		sc.prober = loadprobe.New(s.run.LoadProbes, rand.New(rand.NewPCG(s.run.Seed, uint64(i)+2<<32)))
	}
	s.sidecars = append(s.sidecars, sc)
	s.deliverFirstList(sc)
	return sc, nil
}

// handleEvent tells a sidecar's balancer, and does what it says.
func (s *simulation) handleEvent(sc *sidecar, event balancer.Event) {
	s.result.Decisions++
	for _, action := range sc.balancer.Handle(s.Now(), event, nil) {
		switch action.Kind {
		case balancer.Send:
			s.sendAttempt(sc, action)
		case balancer.Cancel:
			if req := sc.pending[action.ID]; req != nil && action.Attempt < len(req.attempts) {
				a := req.attempts[action.Attempt]
				s.After(0, func() { s.attemptEnded(a, balancer.Cancelled) })
			}
		case balancer.Reject:
			s.finishRequest(sc, action.ID, &s.result.Rejected, action.RetryAfter)
		case balancer.Fail:
			s.finishRequest(sc, action.ID, &s.result.Failed, 0)
		case balancer.Subscribe:
			s.subscribe(sc)
		case balancer.SetTimer:
			at := action.FireAt
			sc.timerAt = at
			s.At(at, func() {
				if sc.timerAt == at {
					sc.timerAt = 0
					s.handleEvent(sc, balancer.TimerFired{})
				}
			})
		}
	}
}

func (s *simulation) finishRequest(sc *sidecar, id string, count *int, retryIn time.Duration) {
	if req := sc.pending[id]; req != nil && !req.done {
		req.done = true
		*count++
		delete(sc.pending, id)
		s.requestEnded(sc, req, count, retryIn)
	}
}

// scheduleKills has a part of the sidecars be killed at once.
func (s *simulation) scheduleKills(f Fault) {
	of := s.rng.Perm(len(s.sidecars))[:int(f.Fraction*float64(len(s.sidecars))+0.5)]
	slices.Sort(of)
	s.After(f.At, func() {
		for _, i := range of {
			s.restartSidecar(s.sidecars[i])
		}
	})
}

// restartSidecar ends a sidecar's process and starts it again: it knows its last list, and nothing else.
func (s *simulation) restartSidecar(sc *sidecar) {
	sc.incarnation++
	sc.watching, sc.timerAt = false, 0
	held := make([]*request, 0, len(sc.pending))
	for _, req := range sc.pending {
		held = append(held, req)
	}
	slices.SortFunc(held, func(a, b *request) int { return int(a.arrivedAt - b.arrivedAt) })
	clear(sc.pending)
	for n, pool := range sc.pools {
		s.connectionsClosed(sc, n, len(pool.idleSince)+pool.inUse)
	}
	clear(sc.pools)
	clear(sc.inactive)
	b, err := balancer.New(sc.settings, s.run.Seed<<16+uint64(sc.index)+uint64(sc.incarnation)<<40)
	if err != nil { // the same settings were taken before
		panic(err)
	}
	sc.balancer = b
	if sc.policy != nil {
		sc.policy = s.run.Policy(sc.rng)
	}
	s.deliverFirstList(sc)
	for _, req := range held { // their clients come again, to the new process
		if !req.done {
			req.done = true
			s.result.Failed++
			s.requestEnded(sc, req, &s.result.Failed, 0)
		}
	}
}

// deliverFirstList gives a sidecar's new process its first list.
func (s *simulation) deliverFirstList(sc *sidecar) {
	kind, list := balancer.FullUpdate, s.currentList()
	if s.run.Discovery != nil {
		kind = balancer.CachedUpdate
		if sc.incarnation > 0 {
			list = &endpoints.List{Snapshot: true, Endpoints: slices.Clone(sc.cachedList)}
		}
	}
	s.deliverList(sc, list, kind)
	if sc.policy != nil {
		s.subscribe(sc)
	}
}
