// Package fleetsim plays a fleet in virtual time: up to hundreds of sidecars, each with the real module and the real subset,
// in front of thousands of modelled nodes, from one seed. It tells what sockets don't show at that size: the load of each node,
// what each has open of all sidecars, which cold ones are pushed over.
//
// Modelled are nodes (one core, a queue, warm-up and falling over, restarts), the list (told to each sidecar with a delay of
// its own), connections (opened when no idle one is there, at a cost; closed after they stood idle) and clients (Poisson).
// Not modelled are the daemon's I/O, limits of descriptors and the network's losses.
package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/simulation/virtualtime"
	"orchiddrift/internal/upstream/loadprobe"
	"orchiddrift/internal/upstream/prewarm"
)

// Run is a run's parameters.
type Run struct {
	Sidecars, Nodes int
	Zones           int                 // absent: 1
	Rate            float64             // requests a second, of all sidecars
	Share           func(i int) float64 // of the traffic, relative to the others'; nil: all alike
	Work            time.Duration       // mean, exponential
	Length          time.Duration
	Seed            uint64
	Subset          subset.Options // Sidecars and Index are filled in, where Known; not On: all know all
	Known           bool           // each sidecar is told its index and how many there are
	Settings        balancer.Settings
	Idle            time.Duration   // connections are closed after so long; absent: 30 s
	Connect         time.Duration   // what a new connection adds
	Warm            prewarm.Options // not On: connections are made as requests need them
	Descriptors     int             // connections that a sidecar may have, which bounds its subset; absent: 496

	Blind  bool                // modules are not told what cold nodes can take, nor which are cold
	Speed  func(i int) float64 // of a node; nil: 1
	Ask    loadprobe.Options   // probes beside the module, which decides
	Latent bool                // answers to those tell no latency
	Probes *Probes             // in place of the module; nil: the module chooses

	Policy  func(rng *rand.Rand) Policy // in place of the module; nil: the module chooses
	Tries   int                         // of a Policy's request, on nodes that it picks anew, where it is proved not to have run or is safe
	Faults  []Fault
	Steps   []Step    // of the rate; none: Rate all the time
	Hints   bool      // modules are told a request's work
	Mix     []float64 // shares of Settings.Classes; absent: the first alone
	Clients Clients
	Series  time.Duration // what Result.Points are for; 0: there are none

	RestartAt   time.Duration // so that a part of the nodes restarts, spread over RestartOver; 0: none
	RestartOver time.Duration
	RestartPart float64
	Down        time.Duration // a node is away so long
	Discovery   *Discovery    // nil: the list reaches all by itself
	Sizes       []Size        // of the list at times; the first Nodes names are listed before
}

// Size is how many nodes are listed from a time on.
type Size struct {
	At    time.Duration
	Nodes int
}

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

type node struct {
	name      string
	index     int
	zone      string
	up        bool
	listed    bool
	fallen    bool
	silent    bool // it is down and its machine with it: nothing is refused or reset
	restarted bool
	started   time.Duration // 0: long ago
	queue     []*attempt
	busy      bool
	running   *attempt
	speed     float64
	made      int // connections since madeFrom
	madeFrom  time.Duration
	took      float64       // mean time here, s
	owed      time.Duration // work that probes have cost
	epoch     int           // of its process: what it had before is lost
	work      time.Duration
	asked     int
	open, top int
	faults    []*Fault
	util      Report
	latencies []recentLatencies // by requests in hand that were found
	busyFrom  time.Duration     // of the second that util is counted in
	busyTime  time.Duration
	answers   int
	recent    float64 // work that came, forgotten over FallTime, s
	recentAt  time.Duration
	overSince time.Duration
}

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

type pool struct {
	idle []time.Duration // since when, the newest last
	out  int
}

type request struct {
	id       string
	work     time.Duration
	came     time.Duration
	expires  time.Duration
	attempts []*attempt
	done     bool
	op       *operation
	ran      int // times that it ran to its end
}

type attempt struct {
	of     *request
	by     *sidecar
	number int
	node   *node
	sent   time.Duration
	ended  bool
	conn   bool // it holds a connection
	found  int  // in hand at its node
	in     time.Duration
	life   int // of its sidecar's process
}

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

func (s *sim) endpoint(n *node, status string) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: n.name, Address: "127.0.0.1:1", Zone: n.zone, Status: status}
	if n.started > 0 {
		e.StartedMs = float64(s.at(n.started).UnixMilli())
	}
	return e
}

func (s *sim) at(t time.Duration) time.Time { return s.wall.Add(t - virtualtime.Origin) }

// tell brings a list, or a change, to a sidecar: through its subset, if it has one.
func (s *sim) tell(c *sidecar, l *endpoints.List, kind balancer.UpdateKind) {
	s.knows(c, l)
	if c.s != nil {
		if l = c.s.Update(s.at(s.Now()), l); l == nil {
			return
		}
		if kind == balancer.FullUpdate {
			kind = balancer.IncrementalUpdate
		}
	}
	s.members(c, l, kind)
}

func (s *sim) members(c *sidecar, l *endpoints.List, kind balancer.UpdateKind) {
	if l == nil {
		return
	}
	m := balancer.EndpointUpdate{Kind: kind}
	for _, e := range l.Endpoints {
		member := balancer.Endpoint{Name: e.Name, Zone: e.Zone}
		switch e.Status {
		case endpoints.StatusTerminating:
			member.State = balancer.Draining
		case endpoints.StatusGone:
			member.State = balancer.Removed
		}
		if e.StartedMs > 0 && !s.r.Blind {
			member.StartedAt = virtualtime.Origin + time.UnixMilli(int64(e.StartedMs)).Sub(s.wall)
		}
		m.Endpoints = append(m.Endpoints, member)
		if c.warm != nil {
			if delete(c.ready, e.Name); member.State == balancer.Active {
				c.ready[e.Name] = uint64(e.StartedMs) + 1
			}
		}
		if c.probe != nil {
			if c.probe.Remove(e.Name); member.State == balancer.Active {
				c.probe.Add(e.Name)
			}
		}
		c.leave[e.Name] = member.State != balancer.Active
		if s.r.Probes != nil || c.p != nil {
			c.own = slices.DeleteFunc(c.own, func(name string) bool { return name == e.Name })
			if member.State == balancer.Active {
				c.own = append(c.own, e.Name)
			}
		}
		if member.State != balancer.Active { // its connections are closed as they come back
			if p := c.conns[s.byName[e.Name]]; p != nil {
				s.close(c, s.byName[e.Name], len(p.idle))
				p.idle = p.idle[:0]
			}
		}
	}
	if c.p != nil {
		c.p.Members(c.own)
		return
	}
	s.module(c, m)
}

// announce tells all sidecars of a node's state, each after a delay of its own.
func (s *sim) announce(n *node, status string) {
	e := s.endpoint(n, status)
	n.listed = status == endpoints.StatusReady
	for _, c := range s.sidecars {
		if s.r.Discovery != nil {
			if !c.watches {
				continue // it gets the whole list when its call is taken
			}
			s.spend(1)
		}
		if c.news = append(c.news, e); len(c.news) > 1 {
			continue // they come together, as a poll or a watch brings them
		}
		s.After(time.Duration(s.rng.Int64N(int64(toldMost))), func() {
			news := c.news
			c.news = nil
			if s.r.Discovery != nil && !c.watches {
				return
			}
			s.tell(c, &endpoints.List{Endpoints: news}, balancer.IncrementalUpdate)
		})
	}
}

// restarts has a part of the nodes drain, go, and come back cold.
func (s *sim) restarts() {
	if s.r.RestartAt == 0 {
		return
	}
	for _, i := range s.rng.Perm(len(s.nodes))[:int(s.r.RestartPart*float64(len(s.nodes)))] {
		n := s.nodes[i]
		s.After(s.r.RestartAt+time.Duration(s.rng.Int64N(int64(s.r.RestartOver)+1)), func() {
			n.restarted = true
			s.announce(n, endpoints.StatusTerminating)
			s.After(toldMost+time.Second, func() {
				s.stop(n)
				s.announce(n, endpoints.StatusGone)
				s.After(s.r.Down, func() {
					n.up, n.started = true, s.Now()
					s.announce(n, endpoints.StatusReady)
				})
			})
		})
	}
}

// stop ends a node's process: what it has is reset.
func (s *sim) stop(n *node) {
	n.up, n.busy = false, false
	n.epoch++
	lost := n.queue
	if n.running != nil {
		lost = append(lost, n.running)
	}
	n.queue, n.running = nil, nil
	if n.silent {
		lost = nil // their senders wait until they have had enough
	}
	for _, a := range lost {
		s.After(wire/2, func() { s.outcome(a, balancer.Reset) })
	}
	for _, c := range s.sidecars {
		if p := c.conns[n]; p != nil {
			s.close(c, n, len(p.idle))
			p.idle = p.idle[:0]
		}
	}
}

// resize has the list lose its last nodes, or get them back.
func (s *sim) resize(size int) {
	for i, n := range s.nodes {
		switch {
		case i >= size && n.up:
			n.restarted = true
			s.announce(n, endpoints.StatusTerminating)
			s.After(toldMost+time.Second, func() { s.stop(n); s.announce(n, endpoints.StatusGone) })
		case i < size && !n.up && !n.fallen:
			n.up, n.started = true, s.Now()
			s.announce(n, endpoints.StatusReady)
		}
	}
}

func (s *sim) traffic(c *sidecar, rate float64) {
	var next func()
	next = func() {
		now := s.rate()
		if now > 0 {
			s.ask(c)
		}
		s.After(time.Duration(c.rng.ExpFloat64()/rate/max(now, 0.01)*float64(time.Second)), next)
	}
	s.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

func (s *sim) ask(c *sidecar) {
	op := &operation{came: s.Now()}
	if len(s.r.Mix) > 1 {
		for x := c.rng.Float64(); op.class < len(s.r.Mix)-1; op.class++ {
			if x -= s.r.Mix[op.class]; x < 0 {
				break
			}
		}
	}
	op.work = time.Duration(c.rng.ExpFloat64() * float64(s.r.Work))
	s.out.Operations++
	s.point().Operations++
	s.request(c, op)
}

// request is one of an operation's.
func (s *sim) request(c *sidecar, op *operation) {
	s.ids++
	class := &s.r.Settings.Classes[op.class]
	q := &request{id: strconv.Itoa(s.ids), work: op.work, came: s.Now(), expires: s.Now() + class.Deadline, op: op}
	c.asked[q.id] = q
	c.sent++
	s.out.Requests++
	s.point().Asked++
	if c.p != nil {
		s.choose(c, q)
		return
	}
	if s.r.Probes != nil {
		s.probed(c, q)
		return
	}
	decide := func() {
		s.module(c, balancer.Request{ID: q.id, Class: class.Name, Deadline: q.expires, CostHint: s.hint(q)})
	}
	if c.probe != nil {
		if names := c.probe.Targets(s.Now()); len(names) > 0 {
			s.probe(c, names, decide)
			return
		}
	}
	decide()
}

// probe asks nodes, and goes on once all have answered or patience has ended.
func (s *sim) probe(c *sidecar, names []string, then func()) {
	wait := wire
	for _, name := range names {
		n := s.byName[name]
		s.out.Probes++
		if !n.up {
			wait = s.r.Ask.Timeout.D()
			continue
		}
		n.owed += probeWork
	}
	s.After(wait, func() {
		for _, name := range names {
			n := s.byName[name]
			c.probe.Answered(s.Now(), name, n.up)
			answer := balancer.ProbeResult{Upstream: name, Result: balancer.Timeout}
			if n.up {
				answer.Result, answer.InFlight = balancer.OK, n.inHand()
				if !s.r.Latent {
					answer.Latency = time.Duration(n.took * float64(time.Second))
				}
			}
			s.module(c, answer)
		}
		then()
	})
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

// send has an attempt go out, on an idle connection or a new one.
func (s *sim) send(c *sidecar, x balancer.Action) {
	q := c.asked[x.ID]
	if q == nil {
		return
	}
	n := s.byName[x.Upstream]
	a := &attempt{of: q, by: c, number: len(q.attempts), node: n, sent: s.Now(), life: c.life}
	q.attempts = append(q.attempts, a)
	s.out.Sends++
	s.point().Sends++
	if c.leave[n.name] {
		s.broken("sent to " + n.name + " after it was told to be leaving")
	}
	limit := q.expires - s.Now()
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	s.After(limit, func() { s.outcome(a, balancer.Timeout) })
	if c.warm != nil {
		c.warm.RecordUse(s.Now(), n.name)
	}
	p := c.pool(n)
	delay := time.Duration(0)
	if last := len(p.idle) - 1; last >= 0 {
		p.idle = p.idle[:last]
	} else {
		if !n.up {
			wait := wire
			if n.silent {
				wait = max(wire, s.r.Settings.ConnectTimeout)
			}
			s.out.Unreached++
			s.After(wait, func() { s.outcome(a, balancer.ConnectFailed) })
			return
		}
		delay = s.r.Connect
		s.made(c, n)
		if a.number == 0 {
			s.out.Waited++
		}
	}
	p.out++
	a.conn = true
	s.After(delay+wire/2, func() { s.arrive(a) })
}

// capacity is the part of a warm node's that a node has now.
func (s *sim) capacity(n *node) float64 {
	set := &s.r.Settings
	age := s.Now() - n.started
	if n.started == 0 || set.SlowStartWindow == 0 || age >= set.SlowStartWindow || set.SlowStartMinCapacity == 0 {
		return 1
	}
	return set.SlowStartMinCapacity + (1-set.SlowStartMinCapacity)*float64(age)/float64(set.SlowStartWindow)
}

func (s *sim) arrive(a *attempt) {
	n := a.node
	if a.ended || a.by.cut(n) {
		return
	}
	if !n.up {
		if !n.silent {
			s.outcome(a, balancer.Reset)
		}
		return
	}
	n.asked++
	switch {
	case n.has(TurnAway) != nil:
		s.after(wire/2, a, balancer.Rejected)
		return
	case n.has(Errors) != nil:
		s.ran(a)
		s.after(wire/2, a, balancer.ServerError)
		return
	}
	s.pushed(n, a.of.work)
	if len(n.queue) >= nodeQueue {
		s.after(wire/2, a, balancer.Rejected)
		return
	}
	a.found, a.in = n.inHand(), s.Now()
	n.queue = append(n.queue, a)
	s.work(n)
}

// pushed counts what comes to a cold node: more than FallMultiple of what it can do, kept up for FallTime, and it falls over.
func (s *sim) pushed(n *node, work time.Duration) {
	set := &s.r.Settings
	if set.OverloadMultiple == 0 || set.OverloadWindow == 0 || s.capacity(n) >= 1 {
		n.recent, n.overSince = 0, 0
		return
	}
	window := set.OverloadWindow.Seconds()
	if passed := (s.Now() - n.recentAt).Seconds(); passed > 0 {
		n.recent *= max(0, 1-passed/window)
	}
	n.recentAt = s.Now()
	n.recent += work.Seconds()
	switch over := n.recent/window > set.OverloadMultiple*s.capacity(n); {
	case !over:
		n.overSince = 0
	case n.overSince == 0:
		n.overSince = s.Now()
	case s.Now()-n.overSince >= set.OverloadWindow && !n.fallen:
		n.fallen = true
		s.out.Fell++
		s.stop(n)
	}
}

func (s *sim) work(n *node) {
	for !n.busy && len(n.queue) > 0 && n.has(Freeze) == nil {
		a := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if a.ended {
			continue
		}
		took := time.Duration(float64(a.of.work+n.owed) / s.capacity(n) / n.speed)
		if f := n.has(Slow); f != nil {
			took = time.Duration(float64(took) * f.Factor)
		}
		n.owed = 0
		n.busy, n.running = true, a
		epoch := n.epoch
		var over func()
		over = func() {
			if n.epoch != epoch {
				return // it was reset
			}
			if f := n.has(Freeze); f != nil {
				s.At(max(s.Now()+time.Millisecond, virtualtime.Origin+f.At+f.For), over)
				return
			}
			s.worked(n, took)
			if s.r.Policy != nil {
				n.keepLatency(a.found, s.Now()-a.in)
			}
			s.ran(a)
			n.busy, n.running = false, nil
			n.work += a.of.work
			n.took += ((s.Now() - a.sent).Seconds() - n.took) * tookBlend
			s.after(wire/2, a, balancer.OK)
			s.work(n)
		}
		s.After(took, over)
	}
}

func (s *sim) outcome(a *attempt, r balancer.Result) {
	if a.ended || a.life != a.by.life {
		return
	}
	a.ended = true
	c, q := a.by, a.of
	if a.conn {
		p := c.conns[a.node]
		p.out--
		if (r == balancer.OK || r == balancer.Rejected) && a.node.up {
			p.idle = append(p.idle, s.Now())
		} else {
			s.close(c, a.node, 1)
		}
	}
	if r == balancer.OK && !q.done {
		s.took = append(s.took, s.Now()-q.came)
		s.answer(c, q.id, &s.out.Served, 0)
	}
	if c.p != nil {
		s.chosen(c, q, a, r)
		return
	}
	if s.r.Probes != nil {
		if r != balancer.OK {
			s.answer(c, q.id, &s.out.Failed, 0)
		}
		return
	}
	s.module(c, balancer.Outcome{ID: q.id, Attempt: a.number, Result: r, Elapsed: s.Now() - a.sent, Final: q.done})
}

func (c *sidecar) pool(n *node) *pool {
	p := c.conns[n]
	if p == nil {
		p = &pool{}
		c.conns[n] = p
	}
	return p
}

// made counts a connection that is being made.
func (s *sim) made(c *sidecar, n *node) {
	c.open++
	c.top = max(c.top, c.open)
	n.open++
	n.top = max(n.top, n.open)
	s.out.Opened++
	if s.Now()-n.madeFrom >= time.Second {
		n.made, n.madeFrom = 0, s.Now()
	}
	n.made++
	s.out.MostMade = max(s.out.MostMade, n.made)
}

// keepWarm opens what the sidecar's warmer names, as upstream.Pool.Prewarm does.
func (s *sim) keepWarm(c *sidecar) {
	c.warm.SetMembers(s.Now(), c.ready)
	open := func(name string) int {
		p := c.conns[s.byName[name]]
		if p == nil {
			return 0
		}
		return len(p.idle) + p.out
	}
	for _, name := range c.warm.Tick(s.Now(), open, c.open) {
		n, process := s.byName[name], c.warm.Process(name)
		if !n.up {
			s.After(wire, func() { c.warm.Connected(s.Now(), name, process, false) })
			continue
		}
		s.made(c, n)
		s.out.Ahead++
		epoch := n.epoch
		s.After(s.r.Connect, func() {
			ok := n.up && n.epoch == epoch
			if ok {
				p := c.pool(n)
				p.idle = append(p.idle, s.Now())
			} else {
				s.close(c, n, 1)
			}
			c.warm.Connected(s.Now(), name, process, ok)
		})
	}
	s.After(warmEvery, func() { s.keepWarm(c) })
}

func (s *sim) close(c *sidecar, n *node, count int) {
	c.open -= count
	n.open -= count
}

// sweep closes what has stood idle, and has the subset follow the traffic and the time.
func (s *sim) sweep(c *sidecar) {
	for n, p := range c.conns {
		drop := 0
		for drop < len(p.idle) && s.Now()-p.idle[drop] >= s.r.Idle {
			drop++
		}
		p.idle = p.idle[drop:]
		s.close(c, n, drop)
		if len(p.idle)+p.out == 0 {
			delete(c.conns, n)
		}
	}
	if c.s != nil {
		c.rate += rateBlend * (float64(c.sent)/sweep.Seconds() - c.rate) // as discovery.SubsetSink does
		c.sent = 0
		s.members(c, c.s.Rate(s.at(s.Now()), c.rate), balancer.IncrementalUpdate)
	}
	s.After(sweep, func() { s.sweep(c) })
}

// sample takes the mean of open connections over the second half.
func (s *sim) sample() {
	s.After(sweep, func() {
		if s.Since() > s.r.Length/2 {
			for _, n := range s.nodes {
				s.openSum += float64(n.open)
				s.openN++
			}
		}
		s.sample()
	})
}
