package admissionsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

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

func (f *fifo) push(e *held) { f.q = append(f.q, e) }

func (f *fifo) took(*held, float64) {}

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

func (c *codel) push(e *held) { c.q = append(c.q, e) }

func (c *codel) took(*held, float64) {}

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

// NewShuffleSharded returns one of so many queues, of which a principal has hand.
func NewShuffleSharded(queues, hand int) discipline {
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
