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

// sidecar is the state of one sidecar: its balancer or policy, its endpoints and its connections.
type sidecar struct {
	index       int
	zone        string
	zoneNode    *node // a node in the sidecar's zone; a partition of the zone is a fault of all its nodes, so this node shows it
	settings    balancer.Settings
	balancer    *balancer.Balancer
	policy      Policy // if nil, the balancer chooses nodes
	rng         *rand.Rand
	incarnation int                 // number of restarts
	timerAt     time.Duration       // time of the balancer's timer; 0 if none is set
	pending     map[string]*request // requests without an answer, by ID

	subset          *subset.Subset       // if nil, the sidecar uses all nodes
	inactive        map[string]bool      // nodes that the sidecar knows to be draining or removed
	activeUpstreams []string             // names of the active nodes; set for policies and SyncProbes only
	pendingUpdates  []endpoints.Endpoint // list changes that have not reached the sidecar yet
	watching        bool                 // the discovery service sends changes to the sidecar
	cachedList      []endpoints.Endpoint // last list from the discovery service

	pools              map[*node]*connectionPool
	openConnections    int
	maxOpenConnections int
	requestsSinceSweep int
	requestRate        float64 // smoothed requests per second

	prewarmer      *prewarm.Prewarmer // if nil, the sidecar has no prewarming
	prewarmMembers map[string]uint64  // incarnations of the active nodes, in the form that the prewarmer takes
	prober         *loadprobe.Prober  // if nil, the sidecar sends no load probes
	probedInFlight []int              // numbers in flight in the latest SyncProbes answers, the newest last
}

// addSidecar creates a sidecar and delivers its first list.
func (s *simulation) addSidecar(i int) (*sidecar, error) {
	settings := s.run.Settings
	settings.FleetSize = s.run.Sidecars
	if s.run.HideStartTimes {
		settings.SlowStartMinCapacity, settings.SlowStartWindow = 0, 0
		settings.OverloadMultiple, settings.OverloadWindow = 0, 0
	}
	settings.Zone = s.zone(i)
	settings.MustSubscribe = s.run.Discovery != nil
	b, err := balancer.New(settings, s.run.Seed<<16+uint64(i))
	if err != nil {
		return nil, err
	}
	sc := &sidecar{
		index:    i,
		settings: settings,
		zone:     settings.Zone,
		zoneNode: s.nodes[i%s.run.Zones],
		balancer: b,
		pending:  map[string]*request{},
		pools:    map[*node]*connectionPool{},
		inactive: map[string]bool{},
		rng:      rand.New(rand.NewPCG(s.run.Seed, uint64(i))),
	}
	if s.run.Policy != nil {
		sc.policy = s.run.Policy(rand.New(rand.NewPCG(s.run.Seed, uint64(i)+policyStreamOffset)))
	}
	s.addSubset(sc)
	if s.run.Prewarming.Enabled {
		sc.prewarmer = prewarm.New(s.run.Prewarming, s.run.MaxConnections, rand.New(rand.NewPCG(s.run.Seed, uint64(i)+prewarmStreamOffset)))
		sc.prewarmMembers = map[string]uint64{}
		s.After(time.Duration(s.rng.Int64N(int64(prewarmPeriod))), func() { s.prewarmConnections(sc) })
	}
	if s.run.LoadProbes.Enabled {
		sc.prober = loadprobe.New(s.run.LoadProbes, rand.New(rand.NewPCG(s.run.Seed, uint64(i)+probeStreamOffset)))
	}
	s.sidecars = append(s.sidecars, sc)
	s.deliverFirstList(sc)
	return sc, nil
}

// addSubset sets a sidecar's subset, if the run has subsets.
func (s *simulation) addSubset(sc *sidecar) {
	if !s.run.Subset.Enabled {
		return
	}
	options := s.run.Subset
	options.Index = -1 // the index is unknown
	if s.run.IndexKnown {
		options.FleetSize, options.Index = s.run.Sidecars, sc.index
	}
	sc.subset = subset.New(options, fmt.Sprint("sidecar-", sc.index), sc.zone, s.run.MaxConnections)
}

// handleEvent passes an event to a sidecar's balancer and carries out the resulting actions.
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

// finishRequest gives a request its final answer. counter points to the field of s.result that counts answers of this kind.
func (s *simulation) finishRequest(sc *sidecar, id string, counter *int, retryAfter time.Duration) {
	if req := sc.pending[id]; req != nil && !req.done {
		req.done = true
		*counter++
		delete(sc.pending, id)
		s.requestEnded(sc, req, counter, retryAfter)
	}
}

// scheduleKills selects a random fraction of the sidecars, which are killed at the same moment.
func (s *simulation) scheduleKills(f Fault) {
	indices := s.rng.Perm(len(s.sidecars))[:int(f.Fraction*float64(len(s.sidecars))+0.5)]
	slices.Sort(indices)
	s.After(f.At, func() {
		for _, i := range indices {
			s.restartSidecar(s.sidecars[i])
		}
	})
}

// restartSidecar kills a sidecar's process and starts a new one with the cached list and no other state. Pending requests fail.
func (s *simulation) restartSidecar(sc *sidecar) {
	sc.incarnation++
	sc.watching, sc.timerAt = false, 0
	failed := make([]*request, 0, len(sc.pending))
	for _, req := range sc.pending {
		failed = append(failed, req)
	}
	slices.SortFunc(failed, func(a, b *request) int { return int(a.arrivedAt - b.arrivedAt) })
	clear(sc.pending)
	for n, pool := range sc.pools {
		s.connectionsClosed(sc, n, len(pool.idleSince)+pool.inUse)
	}
	clear(sc.pools)
	clear(sc.inactive)
	b, err := balancer.New(sc.settings, s.run.Seed<<16+uint64(sc.index)+uint64(sc.incarnation)<<40)
	if err != nil {
		panic(err) // cannot happen, because the same settings were accepted before
	}
	sc.balancer = b
	if sc.policy != nil {
		sc.policy = s.run.Policy(sc.rng)
	}
	s.deliverFirstList(sc)
	for _, req := range failed { // done after the restart, so that retries go to the new process
		if !req.done {
			req.done = true
			s.result.Failed++
			s.requestEnded(sc, req, &s.result.Failed, 0)
		}
	}
}

// deliverFirstList gives a new process of a sidecar its first list. Without a discovery service, it is the full list. With a
// discovery service it counts as a cached list, and after a restart it is the last list of the previous process.
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
