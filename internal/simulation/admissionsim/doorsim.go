// Package admissionsim plays requests through a door, the real balancer and modelled nodes in virtual time: what a discipline
// or a limit does to principals, to answers in time and to refusals that come back, at loads that sockets make noisy. The
// same seed gives the same run.
package admissionsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/simulation/virtualtime"
)

// Gate is a door, or what is held beside one. *door.Door is one.
type Gate interface {
	Arrive(now time.Duration, a admission.Arrival, acts []admission.Action) (admission.Ticket, []admission.Action)
	Done(now time.Duration, t admission.Ticket, how admission.Outcome, acts []admission.Action) []admission.Action
	Wake(now time.Duration, acts []admission.Action) []admission.Action
	Next() (time.Duration, bool)
}

// Client is one principal and its traffic.
type Client struct {
	Group, Flow string
	Class       string
	Work        time.Duration // mean, drawn from an exponential distribution
	Hint        float64       // what it says of its work, as a factor; 0: nothing
	Rate        float64       // first requests a second, as a Poisson process; 0: none
	Loops       int           // or so many that ask again as soon as they are answered
	Pause       time.Duration // of a loop after an answer
	Tries       int           // of one request in all; absent: 1
	Obeys       bool          // comes back when it is told, and not at once
	Marks       bool          // its repeats are marked
	From, To    time.Duration // when it asks; To 0: to the end
	Names       bool          // another flow with each request
}

// Run is a run's parameters.
type Run struct {
	Nodes     int
	Slow      func(t time.Duration) float64 // factor on all work; nil: 1
	NodeQueue int                           // requests that wait at a node, at most; absent: 1000
	Classes   []balancer.Class
	Settings  balancer.Settings // Classes are put in
	Clients   []Client
	Length    time.Duration
	Seed      uint64
	Bin       time.Duration // of Seen.Bins; absent: 1 s
}

// Seen is what one client saw.
type Seen struct {
	First, InAim, Late, Refused, Failed int // first requests, and how they ended in the end
	Asked                               int // with repeats
	Told, Kept                          int // came back when promised, and were served then
	Firsts, Repeats                     int // first tries, and others that came unbidden, that went on
	Chanced, Lucky                      int // came back when told without a promise, and were served then
	Took                                []time.Duration
	Work                                time.Duration // that nodes did for it
	Bins                                []float64     // answers in their aim, by time of the answer
}

// Share is the part of first requests that was answered in the aim.
func (s *Seen) Share() float64 { return float64(s.InAim) / float64(max(1, s.First)) }

// Quantile is of the time from the first try to the answer.
func (s *Seen) Quantile(q float64) time.Duration {
	if len(s.Took) == 0 {
		return 0
	}
	slices.Sort(s.Took)
	return s.Took[min(len(s.Took)-1, int(q*float64(len(s.Took))))]
}

// Result is what a run came to.
type Result struct {
	Clients []Seen
	Busy    float64   // part of the nodes' time that was work
	Wasted  float64   // part of it for answers that nobody waited for, or that were late
	InHand  []float64 // mean number beyond the gate, by bin
}

// Jain is R. Jain's index of fairness (1984) of some figures: 1 where all are equal, 1/n where one has all.
func Jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum, squares = sum+v, squares+v*v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(x)) * squares)
}

// asked is one try of a client's request.
type asked struct {
	id       string
	client   int
	loop     bool
	work     time.Duration
	first    time.Duration // when the first try was made
	begun    time.Duration // this one
	expires  time.Duration
	tries    int
	print    uint64
	ticket   admission.Ticket
	passed   bool
	ended    bool
	attempts []*attempt
	waited   bool // it has come when it was told
	promised bool // and that was a promise
}

type attempt struct {
	of     *asked
	number int
	node   *node
	sent   time.Duration
	ended  bool
}

type node struct {
	name  string
	queue []*attempt
	busy  bool
}

type sim struct {
	r    Run
	gate Gate
	b    *balancer.Balancer
	rng  *rand.Rand
	*virtualtime.Time
	nodes  map[string]*node
	asked  map[string]*asked
	doors  map[admission.Ticket]*asked
	ids    int
	prints uint64
	out    Result
	wakeAt time.Duration
	timer  time.Duration
	inHand int
	busy   time.Duration
	wasted time.Duration
	doActs []admission.Action
}

const (
	wire   = 300 * time.Microsecond // one way and back
	origin = virtualtime.Origin
)

// Play plays a run through a gate.
func Play(r Run, gate Gate) (*Result, error) {
	if r.NodeQueue == 0 {
		r.NodeQueue = 1000
	}
	if r.Bin == 0 {
		r.Bin = time.Second
	}
	r.Settings.Classes = r.Classes
	b, err := balancer.New(r.Settings, r.Seed)
	if err != nil {
		return nil, err
	}
	s := &sim{r: r, gate: gate, b: b, rng: rand.New(rand.NewPCG(r.Seed, 7)), Time: virtualtime.New(), nodes: map[string]*node{},
		asked: map[string]*asked{}, doors: map[admission.Ticket]*asked{}}
	s.out.Clients = make([]Seen, len(r.Clients))
	bins := int(r.Length/r.Bin) + 2
	s.out.InHand = make([]float64, bins)
	var list []balancer.Endpoint
	for i := range r.Nodes {
		n := &node{name: fmt.Sprintf("n%03d", i)}
		s.nodes[n.name] = n
		list = append(list, balancer.Endpoint{Name: n.name})
	}
	s.module(balancer.EndpointUpdate{Kind: balancer.FullUpdate, Endpoints: list})
	for i := range r.Clients {
		s.out.Clients[i].Bins = make([]float64, bins)
		s.begin(i)
	}
	for t := time.Duration(0); t < r.Length; t += 10 * time.Millisecond {
		s.At(origin+t, func() { s.out.InHand[s.bin()] += float64(s.inHand) / float64(r.Bin/(10*time.Millisecond)) })
	}
	s.Run(r.Length)
	span := r.Length * time.Duration(r.Nodes)
	s.out.Busy, s.out.Wasted = float64(s.busy)/float64(span), float64(s.wasted)/float64(span)
	return &s.out, nil
}

func (s *sim) bin() int { return min(len(s.out.InHand)-1, int((s.Now()-origin)/s.r.Bin)) }

func (s *sim) open(c *Client) bool {
	t := s.Now() - origin
	return t >= c.From && (c.To == 0 || t < c.To)
}

// begin starts a client's traffic.
func (s *sim) begin(i int) {
	c := &s.r.Clients[i]
	for range c.Loops {
		s.At(origin+c.From+time.Duration(s.rng.Int64N(int64(time.Millisecond))), func() { s.ask(i, true) })
	}
	if c.Rate <= 0 {
		return
	}
	var next func()
	next = func() {
		if c.To > 0 && s.Now()-origin >= c.To {
			return
		}
		s.ask(i, false)
		s.At(s.Now()+time.Duration(s.rng.ExpFloat64()/c.Rate*float64(time.Second)), next)
	}
	s.At(origin+c.From+time.Duration(s.rng.ExpFloat64()/c.Rate*float64(time.Second)), next)
}

// ask makes a client's new request.
func (s *sim) ask(i int, loop bool) {
	c := &s.r.Clients[i]
	if !s.open(c) {
		return
	}
	s.out.Clients[i].First++
	work := time.Duration(s.rng.ExpFloat64() * float64(c.Work))
	s.prints++
	s.try(&asked{client: i, loop: loop, work: work, first: s.Now(), tries: 1, print: s.prints})
}

func (s *sim) class(c *Client) *balancer.Class {
	for i := range s.r.Classes {
		if s.r.Classes[i].Name == c.Class {
			return &s.r.Classes[i]
		}
	}
	return &s.r.Classes[0]
}

func (s *sim) try(a *asked) {
	c := &s.r.Clients[a.client]
	s.out.Clients[a.client].Asked++
	s.ids++
	a.id = strconv.Itoa(s.ids)
	a.begun, a.expires = s.Now(), s.Now()+s.class(c).Deadline
	flow := c.Flow
	if c.Names {
		flow = a.id
	}
	arrival := admission.Arrival{Group: c.Group, Flow: flow, Class: c.Class, CostHint: time.Duration(c.Hint * float64(a.work)),
		ArrivedAt: s.Now(), Deadline: a.expires, Bytes: 512, Retry: c.Marks && a.tries > 1, Fingerprint: a.print}
	t, acts := s.gate.Arrive(s.Now(), arrival, s.doActs[:0])
	s.doActs = nil
	a.ticket = t
	s.doors[t] = a
	s.act(acts)
}

// act does what the gate said.
func (s *sim) act(acts []admission.Action) {
	for _, x := range acts {
		a := s.doors[x.Ticket]
		if a == nil {
			continue
		}
		if x.Kind == admission.Reject {
			delete(s.doors, x.Ticket)
			s.refused(a, x.RetryAfter, x.Reserved)
			continue
		}
		a.passed = true
		switch seen := &s.out.Clients[a.client]; {
		case a.tries == 1:
			seen.Firsts++
		case !a.waited:
			seen.Repeats++
		}
		s.inHand++
		s.asked[a.id] = a
		s.module(balancer.Request{ID: a.id, Class: s.r.Clients[a.client].Class, Deadline: a.expires,
			CostHint: time.Duration(s.r.Clients[a.client].Hint * float64(a.work))})
	}
	s.doActs = acts[:0]
	if at, ok := s.gate.Next(); ok && at != s.wakeAt {
		s.wakeAt = at
		s.At(at, func() {
			if s.wakeAt == at {
				s.wakeAt = 0
				acts := s.gate.Wake(s.Now(), nil)
				s.act(acts)
			}
		})
	}
}

// refused has a client come back, or give up.
func (s *sim) refused(a *asked, in time.Duration, kept bool) {
	c := &s.r.Clients[a.client]
	s.back(a, false)
	if a.tries >= max(1, c.Tries) {
		s.out.Clients[a.client].Refused++
		s.again(a)
		return
	}
	next := &asked{client: a.client, loop: a.loop, work: a.work, first: a.first, print: a.print, tries: a.tries + 1, waited: c.Obeys && in > 0}
	next.promised = next.waited && kept
	wait := time.Millisecond + time.Duration(s.rng.Int64N(int64(20*time.Millisecond)))
	if next.waited {
		wait = in + time.Duration(s.rng.Int64N(int64(5*time.Millisecond)))
	}
	s.At(s.Now()+wait, func() { s.try(next) })
}

// back counts how a try ended that came when it was told.
func (s *sim) back(a *asked, served bool) {
	seen, one := &s.out.Clients[a.client], 0
	if served {
		one = 1
	}
	switch {
	case a.promised:
		seen.Told, seen.Kept = seen.Told+1, seen.Kept+one
	case a.waited:
		seen.Chanced, seen.Lucky = seen.Chanced+1, seen.Lucky+one
	}
}

// again goes on with a loop.
func (s *sim) again(a *asked) {
	if a.loop {
		s.At(s.Now()+time.Millisecond+s.r.Clients[a.client].Pause, func() { s.ask(a.client, true) })
	}
}

// module tells the balancer, and does what it says.
func (s *sim) module(ev balancer.Event) {
	for _, x := range s.b.Handle(s.Now(), ev, nil) {
		switch x.Kind {
		case balancer.Send:
			s.send(x)
		case balancer.Reject:
			s.finish(x.ID, balancer.Rejected, x.RetryAfter)
		case balancer.Fail:
			s.finish(x.ID, balancer.Timeout, 0)
		case balancer.SetTimer:
			at := x.FireAt
			s.timer = at
			s.At(at, func() {
				if s.timer == at {
					s.module(balancer.TimerFired{})
				}
			})
		}
	}
}

func (s *sim) send(x balancer.Action) {
	a := s.asked[x.ID]
	if a == nil {
		return
	}
	n := s.nodes[x.Upstream]
	at := &attempt{of: a, number: len(a.attempts), node: n, sent: s.Now()}
	a.attempts = append(a.attempts, at)
	limit := a.expires - s.Now()
	if x.Timeout > 0 {
		limit = min(limit, x.Timeout)
	}
	s.At(s.Now()+limit, func() { s.outcome(at, balancer.Timeout) })
	if len(n.queue) >= s.r.NodeQueue {
		s.At(s.Now()+wire, func() { s.outcome(at, balancer.Rejected) })
		return
	}
	n.queue = append(n.queue, at)
	s.work(n)
}

// work has a node take its next.
func (s *sim) work(n *node) {
	for !n.busy && len(n.queue) > 0 {
		at := n.queue[0]
		n.queue = n.queue[1:]
		if at.ended { // its connection is closed: nobody waits
			continue
		}
		factor := 1.0
		if s.r.Slow != nil {
			factor = s.r.Slow(s.Now() - origin)
		}
		took := time.Duration(float64(at.of.work) * factor)
		n.busy = true
		s.At(s.Now()+took, func() {
			n.busy = false
			s.busy += took
			s.out.Clients[at.of.client].Work += took
			if at.ended || s.Now()-at.of.begun > s.class(&s.r.Clients[at.of.client]).LatencyObjective {
				s.wasted += took
			}
			s.At(s.Now()+wire, func() { s.outcome(at, balancer.OK) })
			s.work(n)
		})
	}
}

func (s *sim) outcome(at *attempt, r balancer.Result) {
	if at.ended {
		return
	}
	at.ended = true
	a := at.of
	if r == balancer.OK {
		s.finish(a.id, balancer.OK, 0)
	}
	s.module(balancer.Outcome{ID: a.id, Attempt: at.number, Result: r, Elapsed: s.Now() - at.sent, Final: a.ended})
}

// finish gives a request its answer.
func (s *sim) finish(id string, r balancer.Result, in time.Duration) {
	a := s.asked[id]
	if a == nil || a.ended {
		return
	}
	a.ended = true
	delete(s.asked, id)
	delete(s.doors, a.ticket)
	s.inHand--
	seen := &s.out.Clients[a.client]
	how := admission.Completed
	switch r {
	case balancer.OK:
		took := s.Now() - a.first
		seen.Took = append(seen.Took, took)
		if s.Now()-a.begun <= s.class(&s.r.Clients[a.client]).LatencyObjective {
			seen.InAim++
			seen.Bins[s.bin()]++
		} else {
			seen.Late++
		}
		s.back(a, true)
		s.again(a)
	case balancer.Rejected:
		how = admission.RejectedByBalancer
	default:
		s.back(a, false)
		seen.Failed++
		s.again(a)
	}
	acts := s.gate.Done(s.Now(), a.ticket, how, nil)
	if how == admission.RejectedByBalancer {
		s.refused(a, in, false)
	}
	s.act(acts)
}

// RelativeTo is one share over another, 1 where there was nothing to get.
func RelativeTo(with, alone float64) float64 {
	if alone == 0 {
		return 1
	}
	return with / alone
}

// Spread is the largest of some figures over their mean.
func Spread(x []float64) float64 {
	sum, most := 0.0, 0.0
	for _, v := range x {
		sum, most = sum+v, math.Max(most, v)
	}
	if sum == 0 {
		return 1
	}
	return most * float64(len(x)) / sum
}
