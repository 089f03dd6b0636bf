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
	index int
	zone  string
	home  *node // of its zone: a cut is its own too
	b     *balancer.Balancer
	p     Policy          // nil: the module chooses
	leave map[string]bool // told to be leaving or gone
	s     *subset.Subset
	asked map[string]*request
	conns map[*node]*pool
	open  int
	top   int
	timer time.Duration
	sent  int
	rate  float64
	rng   *rand.Rand
	warm  *prewarm.Prewarmer   // nil: there is none
	probe *loadprobe.Prober    // nil: there is none
	ready map[string]uint64    // what the warmer is told of
	own   []string             // active ones, where probes choose
	seen  []int                // requests in hand, by the last probes
	news  []endpoints.Endpoint // of the list, on its way

	set     balancer.Settings
	life    int // of its processes, the present one
	watches bool
	known   []endpoints.Endpoint
}

func (s *sim) sidecar(i int) (*sidecar, error) {
	set := s.r.Settings
	set.FleetSize = s.r.Sidecars
	if s.r.Blind {
		set.SlowStartMinCapacity, set.SlowStartWindow, set.OverloadMultiple, set.OverloadWindow = 0, 0, 0, 0
	}
	zone := fmt.Sprint("z", i%s.r.Zones)
	set.Zone = zone
	set.MustSubscribe = s.r.Discovery != nil
	b, err := balancer.New(set, s.r.Seed<<16+uint64(i))
	if err != nil {
		return nil, err
	}
	c := &sidecar{index: i, set: set, zone: zone, b: b, asked: map[string]*request{}, conns: map[*node]*pool{}, leave: map[string]bool{}, home: s.nodes[i%s.r.Zones],
		rng: rand.New(rand.NewPCG(s.r.Seed, uint64(i)))}
	if s.r.Policy != nil {
		c.p = s.r.Policy(rand.New(rand.NewPCG(s.r.Seed, uint64(i)+3<<32)))
	}
	if s.r.Subset.Enabled {
		o := s.r.Subset
		if o.Index = -1; s.r.Known {
			o.FleetSize, o.Index = s.r.Sidecars, i
		}
		c.s = subset.New(o, fmt.Sprint("sidecar-", i), zone, s.r.Descriptors)
	}
	if s.r.Warm.Enabled {
		c.warm, c.ready = prewarm.New(s.r.Warm, s.r.Descriptors, rand.New(rand.NewPCG(s.r.Seed, uint64(i)+1<<32))), map[string]uint64{}
		s.After(time.Duration(s.rng.Int64N(int64(warmEvery))), func() { s.keepWarm(c) })
	}
	if s.r.Ask.Enabled {
		c.probe = loadprobe.New(s.r.Ask, rand.New(rand.NewPCG(s.r.Seed, uint64(i)+2<<32)))
	}
	s.sidecars = append(s.sidecars, c)
	s.begin(c)
	return c, nil
}

// module tells a sidecar's balancer, and does what it says.
func (s *sim) module(c *sidecar, ev balancer.Event) {
	s.out.Decisions++
	for _, x := range c.b.Handle(s.Now(), ev, nil) {
		switch x.Kind {
		case balancer.Send:
			s.send(c, x)
		case balancer.Cancel:
			if q := c.asked[x.ID]; q != nil && x.Attempt < len(q.attempts) {
				a := q.attempts[x.Attempt]
				s.After(0, func() { s.outcome(a, balancer.Cancelled) })
			}
		case balancer.Reject:
			s.answer(c, x.ID, &s.out.Refused, x.RetryAfter)
		case balancer.Fail:
			s.answer(c, x.ID, &s.out.Failed, 0)
		case balancer.Subscribe:
			s.subscribe(c)
		case balancer.SetTimer:
			at := x.FireAt
			c.timer = at
			s.At(at, func() {
				if c.timer == at {
					c.timer = 0
					s.module(c, balancer.TimerFired{})
				}
			})
		}
	}
}

func (s *sim) answer(c *sidecar, id string, count *int, retryIn time.Duration) {
	if q := c.asked[id]; q != nil && !q.done {
		q.done = true
		*count++
		delete(c.asked, id)
		s.ended(c, q, count, retryIn)
	}
}

// kills has a part of the sidecars be killed at once.
func (s *sim) kills(f Fault) {
	of := s.rng.Perm(len(s.sidecars))[:int(f.Part*float64(len(s.sidecars))+0.5)]
	slices.Sort(of)
	s.After(f.At, func() {
		for _, i := range of {
			s.kill(s.sidecars[i])
		}
	})
}

// kill ends a sidecar's process and starts it again: it knows its last list, and nothing else.
func (s *sim) kill(c *sidecar) {
	c.life++
	c.watches, c.timer = false, 0
	held := make([]*request, 0, len(c.asked))
	for _, q := range c.asked {
		held = append(held, q)
	}
	slices.SortFunc(held, func(a, b *request) int { return int(a.came - b.came) })
	clear(c.asked)
	for n, p := range c.conns {
		s.close(c, n, len(p.idle)+p.out)
	}
	clear(c.conns)
	clear(c.leave)
	b, err := balancer.New(c.set, s.r.Seed<<16+uint64(c.index)+uint64(c.life)<<40)
	if err != nil { // the same settings were taken before
		panic(err)
	}
	c.b = b
	if c.p != nil {
		c.p = s.r.Policy(c.rng)
	}
	s.begin(c)
	for _, q := range held { // their clients come again, to the new process
		if !q.done {
			q.done = true
			s.out.Failed++
			s.ended(c, q, &s.out.Failed, 0)
		}
	}
}

// begin gives a sidecar's new process its first list.
func (s *sim) begin(c *sidecar) {
	kind, l := balancer.FullUpdate, s.list()
	if s.r.Discovery != nil {
		kind = balancer.CachedUpdate
		if c.life > 0 {
			l = &endpoints.List{Snapshot: true, Endpoints: slices.Clone(c.known)}
		}
	}
	s.tell(c, l, kind)
	if c.p != nil {
		s.subscribe(c)
	}
}
