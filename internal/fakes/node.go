package fakes

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// NodeOptions are a node's parameters. What is absent (zero) is harmless: instant work, no limit, warm, no fault.
type NodeOptions struct {
	Name, Zone, Type string
	Group            int
	TLS              *tls.Config // absent: connections are not encrypted

	Cores              int           // requests worked on at once; absent: 1
	ServiceRate        float64       // absent: 1, the yardstick
	MaxQueue           int           // requests that wait beside them; absent: 1000
	DefaultServiceTime time.Duration // of a request that brings no cost

	Started              time.Time     // of a cold start; zero: long ago
	SlowStartMinCapacity float64       // share of its capacity at the start
	SlowStartWindow      time.Duration // and full after this
	OverloadMultiple     float64       // sent more than this many times what it can do at that moment
	OverloadWindow       time.Duration // for this long, it falls over for good

	Keys                 *IdempotencyKeys // where repeats of a key are found; the nodes of a group share one. Absent: none are
	Faults               []Fault
	Seed                 uint64
	Ledger               *Ledger            // absent: one of its own
	Answer               func(j Job) []byte // the body; absent: the node's name
	LoadReports          bool               // gRPC: tell utilization and rate with each answer, as ORCA load reports
	MaxConcurrentStreams int                // gRPC: streams that a connection may have open at once, MAX_CONCURRENT_STREAMS; absent: not told
}

// Job is a request as a node's core sees it.
type Job struct {
	ID, Class, Key string
	Op             string        // the client's operation, the same over its own tries; empty: ID
	Work           time.Duration // on a yardstick core; 0: the node's
	Payload        []byte
}

func (j *Job) operation() string {
	if j.Op != "" {
		return j.Op
	}
	return j.ID
}

// response is what a transport is to do with a request.
type response struct {
	kind responseKind
	body []byte
}

type responseKind int

const (
	answer responseKind = iota
	rejected
	serverError
	resetConnection // the connection
	noAnswer
	malformed
	truncated
	refuseStream
	goAway
	errorNotExecuted
	errorExecuted
	abandoned // the client has left
)

// Node is a stand-in server. It is safe for concurrent use.
type Node struct {
	options   NodeOptions
	createdAt time.Time
	cores     chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu              sync.Mutex
	rng             *rand.Rand
	started         time.Time
	inFlight        int
	drainedAt       time.Time
	listeners       []net.Listener
	conns           map[net.Conn]bool
	down            bool
	recentArrivals  []arrival // within OverloadWindow, while cold
	recentAnswers   float64   // answers, forgotten over a second
	recentAnswersAt time.Time
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// NewNode returns a node that listens nowhere yet; see ListenHTTP and ListenGRPC.
func NewNode(o NodeOptions) *Node {
	if o.Cores == 0 {
		o.Cores = 1
	}
	if o.ServiceRate == 0 {
		o.ServiceRate = 1
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = 1000
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	o.Ledger.count(o.Name, func(*NodeCount) {}) // it is listed, also if nothing is ever sent to it
	if o.Answer == nil {
		o.Answer = func(Job) []byte { return []byte(o.Name) }
	}
	n := &Node{options: o, createdAt: time.Now(), cores: make(chan struct{}, o.Cores), started: o.Started,
		rng: rand.New(rand.NewPCG(o.Seed, 1)), conns: map[net.Conn]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Options is what the node was made with.
func (n *Node) Options() NodeOptions { return n.options }

// Ledger is where the node writes.
func (n *Node) Ledger() *Ledger { return n.options.Ledger }

// Drain makes it turn away what comes from now on. It finishes what it has.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.drainedAt.IsZero() {
		n.drainedAt = time.Now()
	}
}

// Kill ends the process that the node stands for: its connections break, new ones are refused. Its goroutines end.
func (n *Node) Kill() {
	n.mu.Lock()
	n.down = true
	for _, l := range n.listeners {
		l.Close()
	}
	for c := range n.conns {
		reset(c)
	}
	n.mu.Unlock()
	n.cancel()
}

// Close is Kill, and waits for the node's goroutines.
func (n *Node) Close() {
	n.Kill()
	n.wg.Wait()
}

// Down tells whether it was killed or fell over.
func (n *Node) Down() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down
}

// InFlight is how many requests it works on or has waiting.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inFlight
}

// loadReport is the node's report of it, and counts that it was asked for.
func (n *Node) loadReport() []byte {
	n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Probes++ })
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Appendf(nil, "TEXT inflight=%d, queue=%d", n.inFlight, max(0, n.inFlight-n.options.Cores))
}

// Capacity is the share of its capacity that it has now.
func (n *Node) Capacity() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.capacity(time.Now())
}

func (n *Node) capacity(now time.Time) float64 {
	if n.started.IsZero() || n.options.SlowStartWindow <= 0 {
		return 1
	}
	age := float64(now.Sub(n.started)) / float64(n.options.SlowStartWindow)
	return min(1, n.options.SlowStartMinCapacity+(1-n.options.SlowStartMinCapacity)*max(0, age))
}

// serve is the core: it decides what becomes of a request that came whole, works on it, and says how to answer.
// Work stops when ctx ends.
func (n *Node) serve(ctx context.Context, j Job) response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	if j.Work == 0 {
		j.Work = n.options.DefaultServiceTime
	}
	if fell := n.recordArrival(j); fell {
		return response{kind: resetConnection}
	}
	for _, f := range []struct {
		kind FaultKind
		then responseKind
	}{{RefuseStream, refuseStream}, {GoAway, goAway}, {Reject, rejected}, {ErrorNotExecuted, errorNotExecuted}, {FailNotExecuted, serverError},
		{ResetBefore, resetConnection}, {Hang, noAnswer}} {
		if _, hit := n.activeFault(f.kind, j.Class); hit {
			n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Faults++ })
			if f.then == rejected || f.then == refuseStream || f.then == goAway || f.then == errorNotExecuted {
				n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Rejected++ })
			}
			if f.then == noAnswer {
				<-ctx.Done()
			}
			return response{kind: f.then}
		}
	}
	n.mu.Lock()
	full := !n.drainedAt.IsZero() || n.inFlight >= n.options.Cores+n.options.MaxQueue
	kept, repeat := n.options.Keys.recall(j.Key)
	if !full && !repeat {
		n.inFlight++
	}
	most := n.inFlight
	n.mu.Unlock()
	switch {
	case full:
		n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Rejected++ })
		return response{kind: rejected}
	case repeat:
		n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.StoredAnswers++ })
		return response{kind: answer, body: kept}
	}
	n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.MaxInFlight = max(c.MaxInFlight, most) })
	defer func() {
		n.mu.Lock()
		n.inFlight--
		n.mu.Unlock()
	}()
	select {
	case n.cores <- struct{}{}:
		defer func() { <-n.cores }()
	case <-ctx.Done():
		return response{kind: abandoned}
	}
	if n.waitWhileFrozen(ctx) != nil {
		return response{kind: abandoned}
	}
	body := n.execute(j)
	took := float64(j.Work) / (n.options.ServiceRate * n.Capacity())
	if factor, slow := n.activeFault(Slow, j.Class); slow {
		took *= factor
	}
	if sleep(ctx, time.Duration(took)) != nil || n.waitWhileFrozen(ctx) != nil {
		return response{kind: abandoned}
	}
	for _, f := range []struct {
		kind FaultKind
		then responseKind
	}{{Fail, serverError}, {ErrorExecuted, errorExecuted}, {ResetAfter, resetConnection}, {LoseAnswer, noAnswer}, {Malformed, malformed}, {Truncate, truncated}} {
		if _, hit := n.activeFault(f.kind, j.Class); hit {
			n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Faults++ })
			if f.then == noAnswer {
				<-ctx.Done()
			}
			return response{f.then, body}
		}
	}
	return response{answer, body}
}

// execute begins the execution: from here on it counts as run. A key is claimed in the same moment: a repeat that comes
// while the first is at work is dropped like one that comes after it.
func (n *Node) execute(j Job) []byte {
	body := n.options.Answer(j)
	if kept, repeat := n.options.Keys.claim(j.Key, body); repeat {
		n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.StoredAnswers++ })
		return kept
	}
	n.options.Ledger.recordExecution(n, j)
	return body
}

// recordArrival counts a request, and tells whether it pushed a cold node over: more than OverloadMultiple times its present
// capacity, over any window of OverloadWindow, with slack for two of the largest requests.
func (n *Node) recordArrival(j Job) (fell bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.options.Ledger.count(n.options.Name, func(c *NodeCount) {
		c.Arrived++
		c.Work += j.Work
		if !n.drainedAt.IsZero() {
			c.AfterDrain++
			c.LastAfterDrain = max(c.LastAfterDrain, now.Sub(n.drainedAt))
		}
	})
	warmth := n.capacity(now)
	if warmth >= 1 || n.options.OverloadMultiple <= 0 || n.down {
		n.recentArrivals = nil
		return n.down
	}
	keep := n.recentArrivals[:0]
	sum, largest := j.Work, j.Work
	for _, a := range n.recentArrivals {
		if now.Sub(a.at) < n.options.OverloadWindow {
			keep = append(keep, a)
			sum += a.work
			largest = max(largest, a.work)
		}
	}
	n.recentArrivals = append(keep, arrival{now, j.Work})
	capacity := float64(n.options.Cores) * n.options.ServiceRate * warmth * float64(n.options.OverloadWindow)
	if float64(sum) <= n.options.OverloadMultiple*capacity+2*float64(largest) {
		return false
	}
	n.down = true
	n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Overloaded = true })
	for _, l := range n.listeners {
		l.Close()
	}
	for c := range n.conns {
		reset(c)
	}
	n.cancel()
	return true
}
