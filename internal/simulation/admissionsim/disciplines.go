package admissionsim

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const initialCost = 0.02 // seconds; assumed mean cost of a principal or discipline before any of its requests has ended

// rejectWhenFull implements tail drop: if the queue is full, the arriving request is rejected.
func rejectWhenFull(arriving *queuedRequest, queued, maxQueued int) *queuedRequest {
	if queued >= maxQueued {
		return arriving
	}
	return nil
}

// fifo is one queue for all principals. It serves requests in the order of arrival.
type fifo struct{ queue []*queuedRequest }

// NewFIFO returns a single queue that serves requests in the order of arrival.
func NewFIFO() discipline { return &fifo{} }

func (f *fifo) evict(arriving *queuedRequest, queued, maxQueued int) *queuedRequest {
	return rejectWhenFull(arriving, queued, maxQueued)
}

func (f *fifo) enqueue(r *queuedRequest) { f.queue = append(f.queue, r) }

func (f *fifo) observeCost(*queuedRequest, float64) {}

func (f *fifo) dequeue(time.Duration) *queuedRequest {
	if len(f.queue) == 0 {
		return nil
	}
	r := f.queue[0]
	f.queue = f.queue[1:]
	return r
}

// codel is a single queue under CoDel (K. Nichols, V. Jacobson, 2012) with adaptive LIFO. It treats requests as in
// Facebook's wangle and B. Maurer's "Fail at Scale": once the queue has not been empty for an interval, the newest request
// is dequeued first, and requests that have waited longer than the target are rejected.
type codel struct {
	queue     []*queuedRequest
	lastEmpty time.Duration
	target    time.Duration
	interval  time.Duration
}

// NewCoDel returns CoDel with the usual target of 5 ms and interval of 100 ms.
func NewCoDel() discipline {
	return &codel{target: 5 * time.Millisecond, interval: 100 * time.Millisecond}
}

func (c *codel) evict(arriving *queuedRequest, queued, maxQueued int) *queuedRequest {
	return rejectWhenFull(arriving, queued, maxQueued)
}

func (c *codel) enqueue(r *queuedRequest) { c.queue = append(c.queue, r) }

func (c *codel) observeCost(*queuedRequest, float64) {}

func (c *codel) dequeue(now time.Duration) *queuedRequest {
	if len(c.queue) == 0 {
		c.lastEmpty = now
		return nil
	}
	oldest := c.queue[0]
	if now-c.lastEmpty < c.interval {
		c.setQueue(now, c.queue[1:])
		return oldest
	}
	if now-oldest.arrivedAt > c.target && len(c.queue) > 1 {
		c.setQueue(now, c.queue[1:])
		oldest.arrival.Deadline = 0 // makes Queue reject the request
		return oldest
	}
	newest := c.queue[len(c.queue)-1]
	c.setQueue(now, c.queue[:len(c.queue)-1])
	return newest
}

func (c *codel) setQueue(now time.Duration, queue []*queuedRequest) {
	c.queue = queue
	if len(queue) == 0 {
		c.lastEmpty = now
	}
}

// drr is deficit round robin (M. Shreedhar, G. Varghese, 1995) between principals. It estimates the cost of a request as a
// moving average of the costs of earlier requests of the same principal.
type drr struct {
	quantum float64 // seconds
	flows   map[string]*drrFlow
	active  []*drrFlow // flows with queued requests, in the order in which they are served next
}

type drrFlow struct {
	queue    []*queuedRequest
	deficit  float64 // seconds
	meanCost float64 // seconds
}

const (
	drrQuantum       = 0.02 // seconds
	drrCostSmoothing = 0.1  // weight of one request in a flow's mean cost
	drrMaxRounds     = 1024 // limits the search for a flow with a sufficient deficit
)

// NewDRR returns deficit round robin. Its quantum is 20 ms, because the cost of a request is its time in flight.
func NewDRR() discipline { return &drr{quantum: drrQuantum, flows: map[string]*drrFlow{}} }

func (d *drr) enqueue(r *queuedRequest) {
	name := r.principal()
	f := d.flows[name]
	if f == nil {
		f = &drrFlow{meanCost: initialCost}
		d.flows[name] = f
	}
	if len(f.queue) == 0 {
		f.deficit = 0
		d.active = append(d.active, f)
	}
	f.queue = append(f.queue, r)
}

// evict removes the newest request of the longest queue (P. McKenney's buffer stealing).
func (d *drr) evict(arriving *queuedRequest, queued, maxQueued int) *queuedRequest {
	if queued < maxQueued {
		return nil
	}
	longest := d.active[0]
	for _, f := range d.active {
		if len(f.queue) > len(longest.queue) {
			longest = f
		}
	}
	if len(longest.queue) <= 1 { // the flow must not become empty, because it would have to be removed from active
		return arriving
	}
	newest := longest.queue[len(longest.queue)-1]
	longest.queue = longest.queue[:len(longest.queue)-1]
	return newest
}

func (d *drr) dequeue(time.Duration) *queuedRequest {
	for range len(d.active) * drrMaxRounds {
		f := d.active[0]
		if f.deficit < f.meanCost {
			f.deficit += d.quantum
			d.active = append(d.active[1:], f)
			continue
		}
		r := f.queue[0]
		f.queue = f.queue[1:]
		f.deficit -= f.meanCost
		if len(f.queue) == 0 {
			d.active = d.active[1:]
		}
		return r
	}
	return nil
}

func (d *drr) observeCost(r *queuedRequest, cost float64) {
	f := d.flows[r.principal()]
	f.meanCost += (cost - f.meanCost) * drrCostSmoothing
}

// shuffleSharded is Kubernetes' API priority and fairness (KEP-1040) with one priority level. The queue is divided into
// shards. The hash of a principal's name selects a few shards, the hand of the principal. A request joins the shortest shard
// of the hand, and the shard with the lowest finish tag is served next. With a hand of one shard this is stochastic fair
// queueing (P. McKenney, 1990).
type shuffleSharded struct {
	shards      []shard
	handSize    int
	virtualTime float64
	meanCost    float64 // seconds
}

type shard struct {
	queue     []*queuedRequest
	finishTag float64
}

const (
	shardCostSmoothing = 0.05 // weight of one request in the mean cost
	shardCapacity      = 3    // maximum length of a shard as a multiple of maxQueued per shard; it is above 1 because most shards are empty
)

// NewShuffleSharded returns shuffle sharding with the given number of shards. Each hand has handSize shards.
func NewShuffleSharded(shards, handSize int) discipline {
	return &shuffleSharded{shards: make([]shard, shards), handSize: handSize, meanCost: initialCost}
}

// evict rejects a request whose shard is full, as Kubernetes' queueLengthLimit does.
func (s *shuffleSharded) evict(arriving *queuedRequest, _, maxQueued int) *queuedRequest {
	if len(s.shards[s.shardFor(arriving)].queue) >= shardCapacity*maxQueued/len(s.shards) {
		return arriving
	}
	return nil
}

// shardFor returns the index of the shortest shard in the hand of the request's principal.
func (s *shuffleSharded) shardFor(r *queuedRequest) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(r.principal()), 1))
	shortest, length := 0, math.MaxInt
	for _, i := range rng.Perm(len(s.shards))[:s.handSize] {
		if n := len(s.shards[i].queue); n < length {
			shortest, length = i, n
		}
	}
	return shortest
}

func (s *shuffleSharded) enqueue(r *queuedRequest) {
	r.shard = s.shardFor(r)
	shard := &s.shards[r.shard]
	if len(shard.queue) == 0 {
		shard.finishTag = max(shard.finishTag, s.virtualTime)
	}
	shard.queue = append(shard.queue, r)
}

func (s *shuffleSharded) dequeue(time.Duration) *queuedRequest {
	next := -1
	for i := range s.shards {
		if len(s.shards[i].queue) > 0 && (next < 0 || s.shards[i].finishTag < s.shards[next].finishTag) {
			next = i
		}
	}
	if next < 0 {
		return nil
	}
	shard := &s.shards[next]
	s.virtualTime = max(s.virtualTime, shard.finishTag)
	r := shard.queue[0]
	shard.queue = shard.queue[1:]
	r.chargedCost = s.meanCost
	shard.finishTag += s.meanCost
	return r
}

func (s *shuffleSharded) observeCost(r *queuedRequest, cost float64) {
	s.shards[r.shard].finishTag += cost - r.chargedCost
	s.meanCost += (cost - s.meanCost) * shardCostSmoothing
}
