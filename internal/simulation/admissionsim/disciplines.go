package admissionsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fifo is one queue for all.
type fifo struct{ queue []*queuedRequest }

// NewFIFO returns one queue in the order of coming.
func NewFIFO() discipline { return &fifo{} }

// tailDrop is the usual rule.
func tailDrop(e *queuedRequest, waiting, most int) *queuedRequest {
	if waiting >= most {
		return e
	}
	return nil
}

func (f *fifo) evict(e *queuedRequest, waiting, most int) *queuedRequest {
	return tailDrop(e, waiting, most)
}

func (f *fifo) enqueue(e *queuedRequest) { f.queue = append(f.queue, e) }

func (f *fifo) observeCost(*queuedRequest, float64) {}

func (f *fifo) dequeue(time.Duration) *queuedRequest {
	if len(f.queue) == 0 {
		return nil
	}
	e := f.queue[0]
	f.queue = f.queue[1:]
	return e
}

// codel is one queue under CoDel (K. Nichols, V. Jacobson, 2012; as Facebook's wangle and B. Maurer's "Fail at Scale"
// give it for requests) with adaptive LIFO: while the queue has not been empty for an interval, the newest goes first and
// what has waited longer than the target is passed over.
type codel struct {
	queue     []*queuedRequest
	lastEmpty time.Duration
	target    time.Duration
	interval  time.Duration
}

// NewCoDel returns one with the customary 5 ms and 100 ms.
func NewCoDel() discipline {
	return &codel{target: 5 * time.Millisecond, interval: 100 * time.Millisecond}
}

func (c *codel) evict(e *queuedRequest, waiting, most int) *queuedRequest {
	return tailDrop(e, waiting, most)
}

func (c *codel) enqueue(e *queuedRequest) { c.queue = append(c.queue, e) }

func (c *codel) observeCost(*queuedRequest, float64) {}

func (c *codel) dequeue(now time.Duration) *queuedRequest {
	if len(c.queue) == 0 {
		c.lastEmpty = now
		return nil
	}
	if now-c.lastEmpty < c.interval {
		e := c.queue[0]
		if c.queue = c.queue[1:]; len(c.queue) == 0 {
			c.lastEmpty = now
		}
		return e
	}
	// Overloaded: what waited beyond the target is dropped from the old end by ending its time, one with each turn.
	if old := c.queue[0]; now-old.arrivedAt > c.target && len(c.queue) > 1 {
		c.queue = c.queue[1:]
		old.arrival.Deadline = 0
		return old
	}
	e := c.queue[len(c.queue)-1]
	if c.queue = c.queue[:len(c.queue)-1]; len(c.queue) == 0 {
		c.lastEmpty = now
	}
	return e
}

// drr is deficit round robin (M. Shreedhar, G. Varghese, 1995) by principal, its cost what the request before took.
type drr struct {
	quantum float64
	flows   map[string]*drrFlow
	active  []*drrFlow
}

type drrFlow struct {
	queue    []*queuedRequest
	deficit  float64
	meanCost float64
}

// NewDRR returns one with a quantum of 20 ms of place.
func NewDRR() discipline { return &drr{quantum: 0.02, flows: map[string]*drrFlow{}} }

func (d *drr) enqueue(e *queuedRequest) {
	name := e.arrival.Group + "\x00" + e.arrival.Flow
	f := d.flows[name]
	if f == nil {
		f = &drrFlow{meanCost: 0.02}
		d.flows[name] = f
	}
	if len(f.queue) == 0 {
		f.deficit = 0
		d.active = append(d.active, f)
	}
	f.queue = append(f.queue, e)
}

// evict steals from the longest (McKenney's buffer stealing).
func (d *drr) evict(e *queuedRequest, waiting, most int) *queuedRequest {
	if waiting < most {
		return nil
	}
	longest := d.active[0]
	for _, f := range d.active {
		if len(f.queue) > len(longest.queue) {
			longest = f
		}
	}
	last := longest.queue[len(longest.queue)-1]
	if len(longest.queue) > 1 { // one that becomes empty would have to leave the ring
		longest.queue = longest.queue[:len(longest.queue)-1]
		return last
	}
	return e
}

func (d *drr) dequeue(time.Duration) *queuedRequest {
	for range len(d.active) * 1024 {
		if len(d.active) == 0 {
			return nil
		}
		f := d.active[0]
		if f.deficit < f.meanCost {
			f.deficit += d.quantum
			d.active = append(d.active[1:], f)
			continue
		}
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.deficit -= f.meanCost
		if len(f.queue) == 0 {
			d.active = d.active[1:]
		}
		return e
	}
	return nil
}

func (d *drr) observeCost(e *queuedRequest, cost float64) {
	f := d.flows[e.arrival.Group+"\x00"+e.arrival.Flow]
	f.meanCost += (cost - f.meanCost) * 0.1
}

// shuffleSharded is Kubernetes' API priority and fairness (KEP-1040) at one priority level: queues to which a principal is dealt
// a hand by its name's hash, the shortest of the hand takes the request, and the queue whose next would finish first by
// virtual time goes. With a hand of one it is stochastic fair queueing (P. McKenney, 1990).
type shuffleSharded struct {
	shards      []shard
	handSize    int
	virtualTime float64
	meanCost    float64
}

type shard struct {
	queue  []*queuedRequest
	finish float64
}

// NewShuffleSharded returns one of so many queues, of which a principal has hand.
func NewShuffleSharded(queues, hand int) discipline {
	return &shuffleSharded{shards: make([]shard, queues), handSize: hand, meanCost: 0.02}
}

// evict turns away who would go to a queue that has its part of all that may wait, as Kubernetes' queueLengthLimit; each
// may have three times the even part, since most are empty.
func (s *shuffleSharded) evict(e *queuedRequest, waiting, most int) *queuedRequest {
	if len(s.shards[s.shardOf(e)].queue) >= 3*most/len(s.shards) {
		return e
	}
	return nil
}

// shardOf is the shortest queue of a principal's hand.
func (s *shuffleSharded) shardOf(e *queuedRequest) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(e.arrival.Group+"\x00"+e.arrival.Flow), 1))
	best, least := 0, math.MaxInt
	for _, i := range rng.Perm(len(s.shards))[:s.handSize] {
		if n := len(s.shards[i].queue); n < least {
			best, least = i, n
		}
	}
	return best
}

func (s *shuffleSharded) enqueue(e *queuedRequest) {
	best := s.shardOf(e)
	q := &s.shards[best]
	if len(q.queue) == 0 {
		q.finish = max(q.finish, s.virtualTime)
	}
	e.shard = best
	q.queue = append(q.queue, e)
}

func (s *shuffleSharded) dequeue(time.Duration) *queuedRequest {
	best := -1
	for i := range s.shards {
		if len(s.shards[i].queue) > 0 && (best < 0 || s.shards[i].finish < s.shards[best].finish) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	q := &s.shards[best]
	s.virtualTime = max(s.virtualTime, q.finish)
	e := q.queue[0]
	q.queue = q.queue[1:]
	e.chargedCost = s.meanCost
	q.finish += s.meanCost
	return e
}

func (s *shuffleSharded) observeCost(e *queuedRequest, cost float64) {
	s.shards[e.shard].finish += cost - e.chargedCost
	s.meanCost += (cost - s.meanCost) * 0.05
}
