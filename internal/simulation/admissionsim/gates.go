package admissionsim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/admission"
)

// The disciplines that package door was weighed against. They are as small as their sources allow, share one frame, and
// are used by measurements alone.

// Limit is how many requests may be in hand beyond a Queue.
type Limit interface {
	Places() int
	Sample(now, took time.Duration, inHand int, turned bool)
}

// discipline orders what waits in a Queue.
type discipline interface {
	push(e *held)
	pop(now time.Duration) *held // nil: nothing
	took(e *held, cost float64)
	// full makes room for e among the most that may wait: it takes out who gives way, e or another; nil: there is room.
	full(e *held, waiting, most int) *held
}

type held struct {
	ticket  admission.Ticket
	a       admission.Arrival
	came    time.Duration
	went    time.Duration
	waits   bool
	queue   int
	charged float64
}

// Queue is a Gate of a discipline and a limit. What waits longer than its client does is refused, and so is what comes
// when Most wait. It tells nobody when to come back.
type Queue struct {
	of    discipline
	limit Limit
	most  int
	n     int
	in    int
	next  admission.Ticket
	all   map[admission.Ticket]*held
}

// NewQueue returns one in which at most so many wait.
func NewQueue(of discipline, limit Limit, most int) *Queue {
	return &Queue{of: of, limit: limit, most: most, all: map[admission.Ticket]*held{}}
}

// Arrive is Gate's.
func (q *Queue) Arrive(now time.Duration, a admission.Arrival, acts []admission.Action) (admission.Ticket, []admission.Action) {
	q.next++
	t := q.next
	e := &held{ticket: t, a: a, came: now, waits: true}
	if out := q.of.full(e, q.n, q.most); out != nil {
		acts = append(acts, admission.Action{Kind: admission.Reject, Ticket: out.ticket, Reason: admission.QueueFull})
		if out == e {
			return t, acts
		}
		delete(q.all, out.ticket)
		q.n--
	}
	q.all[t] = e
	q.n++
	q.of.push(e)
	return t, q.serve(now, acts)
}

func (q *Queue) serve(now time.Duration, acts []admission.Action) []admission.Action {
	for q.n > 0 && q.in < q.limit.Places() {
		e := q.of.pop(now)
		if e == nil {
			break
		}
		q.n--
		e.waits = false
		if now >= e.a.Deadline {
			delete(q.all, e.ticket)
			acts = append(acts, admission.Action{Kind: admission.Reject, Ticket: e.ticket, Reason: admission.QueueTimeout})
			continue
		}
		e.went = now
		q.in++
		acts = append(acts, admission.Action{Kind: admission.Admit, Ticket: e.ticket})
	}
	return acts
}

// Done is Gate's.
func (q *Queue) Done(now time.Duration, t admission.Ticket, how admission.Outcome, acts []admission.Action) []admission.Action {
	e := q.all[t]
	if e == nil {
		return acts
	}
	delete(q.all, t)
	q.limit.Sample(now, now-e.went, q.in, how == admission.RejectedByBalancer)
	q.in--
	q.of.took(e, (now - e.went).Seconds())
	return q.serve(now, acts)
}

// Wake is Gate's.
func (q *Queue) Wake(now time.Duration, acts []admission.Action) []admission.Action {
	return q.serve(now, acts)
}

// Next is Gate's.
func (q *Queue) Next() (time.Duration, bool) { return 0, false }

// fifo is one queue for all.
type fifo struct{ q []*held }

// NewFIFO returns one queue in the order of coming.
func NewFIFO() discipline { return &fifo{} }

// tailDrop is the usual rule.
func tailDrop(e *held, waiting, most int) *held {
	if waiting >= most {
		return e
	}
	return nil
}

func (f *fifo) full(e *held, waiting, most int) *held { return tailDrop(e, waiting, most) }
func (f *fifo) push(e *held)                          { f.q = append(f.q, e) }
func (f *fifo) took(*held, float64)                   {}
func (f *fifo) pop(time.Duration) *held {
	if len(f.q) == 0 {
		return nil
	}
	e := f.q[0]
	f.q = f.q[1:]
	return e
}

// codel is one queue under CoDel (K. Nichols, V. Jacobson, 2012; as Facebook's wangle and B. Maurer's "Fail at Scale"
// give it for requests) with adaptive LIFO: while the queue has not been empty for an interval, the newest goes first and
// what has waited longer than the target is passed over.
type codel struct {
	q         []*held
	lastEmpty time.Duration
	target    time.Duration
	interval  time.Duration
}

// NewCoDel returns one with the customary 5 ms and 100 ms.
func NewCoDel() discipline {
	return &codel{target: 5 * time.Millisecond, interval: 100 * time.Millisecond}
}

func (c *codel) full(e *held, waiting, most int) *held { return tailDrop(e, waiting, most) }
func (c *codel) push(e *held)                          { c.q = append(c.q, e) }
func (c *codel) took(*held, float64)                   {}
func (c *codel) pop(now time.Duration) *held {
	if len(c.q) == 0 {
		c.lastEmpty = now
		return nil
	}
	if now-c.lastEmpty < c.interval {
		e := c.q[0]
		if c.q = c.q[1:]; len(c.q) == 0 {
			c.lastEmpty = now
		}
		return e
	}
	// Overloaded: what waited beyond the target is dropped from the old end by ending its time, one with each turn.
	if old := c.q[0]; now-old.came > c.target && len(c.q) > 1 {
		c.q = c.q[1:]
		old.a.Deadline = 0
		return old
	}
	e := c.q[len(c.q)-1]
	if c.q = c.q[:len(c.q)-1]; len(c.q) == 0 {
		c.lastEmpty = now
	}
	return e
}

// drr is deficit round robin (M. Shreedhar, G. Varghese, 1995) by principal, its cost what the request before took.
type drr struct {
	quantum float64
	flows   map[string]*drrFlow
	ring    []*drrFlow
}

type drrFlow struct {
	q       []*held
	deficit float64
	usual   float64
}

// NewDRR returns one with a quantum of 20 ms of place.
func NewDRR() discipline { return &drr{quantum: 0.02, flows: map[string]*drrFlow{}} }

func (d *drr) push(e *held) {
	name := e.a.Group + "\x00" + e.a.Flow
	f := d.flows[name]
	if f == nil {
		f = &drrFlow{usual: 0.02}
		d.flows[name] = f
	}
	if len(f.q) == 0 {
		f.deficit = 0
		d.ring = append(d.ring, f)
	}
	f.q = append(f.q, e)
}

// full steals from the longest (McKenney's buffer stealing).
func (d *drr) full(e *held, waiting, most int) *held {
	if waiting < most {
		return nil
	}
	longest := d.ring[0]
	for _, f := range d.ring {
		if len(f.q) > len(longest.q) {
			longest = f
		}
	}
	last := longest.q[len(longest.q)-1]
	if len(longest.q) > 1 { // one that becomes empty would have to leave the ring
		longest.q = longest.q[:len(longest.q)-1]
		return last
	}
	return e
}

func (d *drr) pop(time.Duration) *held {
	for range len(d.ring) * 1024 {
		if len(d.ring) == 0 {
			return nil
		}
		f := d.ring[0]
		if f.deficit < f.usual {
			f.deficit += d.quantum
			d.ring = append(d.ring[1:], f)
			continue
		}
		e := f.q[0]
		f.q = f.q[1:]
		f.deficit -= f.usual
		if len(f.q) == 0 {
			d.ring = d.ring[1:]
		}
		return e
	}
	return nil
}

func (d *drr) took(e *held, cost float64) {
	f := d.flows[e.a.Group+"\x00"+e.a.Flow]
	f.usual += (cost - f.usual) * 0.1
}

// shuffled is Kubernetes' API priority and fairness (KEP-1040) at one priority level: queues to which a principal is dealt
// a hand by its name's hash, the shortest of the hand takes the request, and the queue whose next would finish first by
// virtual time goes. With a hand of one it is stochastic fair queueing (P. McKenney, 1990).
type shuffled struct {
	queues []sq
	hand   int
	v      float64
	usual  float64
}

type sq struct {
	q      []*held
	finish float64
}

// NewShuffled returns one of so many queues, of which a principal has hand.
func NewShuffled(queues, hand int) discipline {
	return &shuffled{queues: make([]sq, queues), hand: hand, usual: 0.02}
}

// full turns away who would go to a queue that has its part of all that may wait, as Kubernetes' queueLengthLimit; each
// may have three times the even part, since most are empty.
func (s *shuffled) full(e *held, waiting, most int) *held {
	if len(s.queues[s.pick(e)].q) >= 3*most/len(s.queues) {
		return e
	}
	return nil
}

// pick is the shortest queue of a principal's hand.
func (s *shuffled) pick(e *held) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(e.a.Group+"\x00"+e.a.Flow), 1))
	best, least := 0, math.MaxInt
	for _, i := range rng.Perm(len(s.queues))[:s.hand] {
		if n := len(s.queues[i].q); n < least {
			best, least = i, n
		}
	}
	return best
}

func (s *shuffled) push(e *held) {
	best := s.pick(e)
	q := &s.queues[best]
	if len(q.q) == 0 {
		q.finish = max(q.finish, s.v)
	}
	e.queue = best
	q.q = append(q.q, e)
}

func (s *shuffled) pop(time.Duration) *held {
	best := -1
	for i := range s.queues {
		if len(s.queues[i].q) > 0 && (best < 0 || s.queues[i].finish < s.queues[best].finish) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	q := &s.queues[best]
	s.v = max(s.v, q.finish)
	e := q.q[0]
	q.q = q.q[1:]
	e.charged = s.usual
	q.finish += s.usual
	return e
}

func (s *shuffled) took(e *held, cost float64) {
	s.queues[e.queue].finish += cost - e.charged
	s.usual += (cost - s.usual) * 0.05
}

// The limits.

// Fixed is a Limit that stays.
type Fixed int

// Places is Limit's.
func (f Fixed) Places() int { return int(f) }

// Sample is Limit's.
func (f Fixed) Sample(time.Duration, time.Duration, int, bool) {}

// places is a limit that moves.
type places struct{ limit float64 }

// Places is Limit's.
func (p *places) Places() int {
	if p.limit == 0 {
		p.limit = 64
	}
	return int(p.limit)
}

func (p *places) set(limit float64) { p.limit = max(8, min(1024, limit)) }

// rounds gathers samples.
type rounds struct {
	begun, took time.Duration
	n, most     int
}

// round is one of at least 32 samples.
type round struct {
	mean, rate float64 // s, and answers a second
	most       int     // in hand
}

func (r *rounds) add(now, took time.Duration, inHand int, least time.Duration) (_ round, ended bool) {
	if r.begun == 0 {
		r.begun = now
	}
	r.took, r.n, r.most = r.took+took, r.n+1, max(r.most, inHand)
	if r.n < 32 || now-r.begun < least {
		return round{}, false
	}
	out := round{r.took.Seconds() / float64(r.n), float64(r.n) / (now - r.begun).Seconds(), r.most}
	*r = rounds{begun: now}
	return out, true
}

// AIMD adds one for a limit's worth of answers in time, and takes two hundredths for one that is later than Late.
type AIMD struct {
	Late time.Duration
	places
}

// Sample is Limit's.
func (l *AIMD) Sample(_, took time.Duration, inHand int, turned bool) {
	switch {
	case turned || took > l.Late:
		l.set(l.limit * 0.98)
	case float64(inHand)*2 > l.limit:
		l.set(l.limit + 1/l.limit)
	}
}

// Gradient is Netflix's Gradient2 behind its WindowedLimit (concurrency-limits): the long mean of times over that of a window,
// plus room for a queue.
type Gradient struct {
	places
	rounds
	long float64
}

// Sample is Limit's.
func (l *Gradient) Sample(now, took time.Duration, inHand int, _ bool) {
	r, ended := l.add(now, took, inHand, 100*time.Millisecond)
	if !ended {
		return
	}
	if l.long == 0 {
		l.long = r.mean
	}
	l.long += (r.mean - l.long) * 2 / 601
	if l.long > 2*r.mean {
		l.long *= 0.95
	}
	if float64(r.most) < l.limit/2 {
		return
	}
	next := l.limit*max(0.5, min(1, 1.5*l.long/max(r.mean, 1e-9))) + 4
	l.set(l.limit*0.8 + next*0.2)
}

// RateDelay is what BBR's model comes to for requests: the highest rate of answers seen lately, times the least mean time
// seen lately, times a gain.
type RateDelay struct {
	places
	rounds
	rates, delays []float64
}

// Sample is Limit's.
func (l *RateDelay) Sample(now, took time.Duration, inHand int, turned bool) {
	if turned {
		return
	}
	r, ended := l.add(now, took, inHand, 100*time.Millisecond)
	if !ended {
		return
	}
	const kept, recent, gain = 50, 10, 1.25
	l.rates, l.delays = append(l.rates, r.rate), append(l.delays, r.mean)
	if len(l.rates) > kept {
		l.rates, l.delays = l.rates[1:], l.delays[1:]
	}
	l.set(gain * slices.Max(l.rates[max(0, len(l.rates)-recent):]) * slices.Min(l.delays))
}

// Vegas is TCP Vegas' rule by rounds, for requests: what of the limit waits, by the least mean time ever seen.
type Vegas struct {
	places
	rounds
	base float64
}

// Sample is Limit's.
func (l *Vegas) Sample(now, took time.Duration, inHand int, _ bool) {
	r, ended := l.add(now, took, inHand, 50*time.Millisecond)
	if !ended {
		return
	}
	if l.base == 0 || r.mean < l.base {
		l.base = r.mean
	}
	switch queue := l.limit * (1 - l.base/r.mean); {
	case queue > 6*math.Log10(l.limit)+l.limit/2:
		l.set(l.limit * 0.85)
	case queue < 3*math.Log10(l.limit)+l.limit/4 && float64(r.most) > l.limit*0.8:
		l.set(l.limit * 1.15)
	}
}
