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

// NodeOptions are a node's parameters. The zero value is a warm node without service time, limits and faults.
type NodeOptions struct {
	Name, Zone, Type string
	Group            int
	TLS              *tls.Config // absent: connections are not encrypted

	Cores              int           // requests served at the same time; 0: 1
	ServiceRate        float64       // service times are divided by it; 0: 1
	MaxQueue           int           // requests that wait for a core; 0: 1000
	DefaultServiceTime time.Duration // of a request without a cost

	Started              time.Time     // begin of slow start; zero: it is warm
	SlowStartMinCapacity float64       // fraction of its capacity at the start
	SlowStartWindow      time.Duration // until full capacity
	OverloadMultiple     float64       // it stops for good when it receives more than this many times its present capacity
	OverloadWindow       time.Duration // over this window

	Keys                 *IdempotencyKeys // shared by the nodes of a deduplication group; nil: none
	Faults               []Fault
	Seed                 uint64
	Ledger               *Ledger            // nil: one of its own
	Answer               func(j Job) []byte // the body; nil: the node's name
	LoadReports          bool               // gRPC: send an ORCA load report with each answer
	MaxConcurrentStreams int                // gRPC: SETTINGS_MAX_CONCURRENT_STREAMS; 0: not sent
}

// Job is a request as a node's core sees it.
type Job struct {
	ID, Class, Key string
	Op             string        // the client's operation, the same for all its retries; empty: ID
	Work           time.Duration // service time at ServiceRate 1; 0: the node's default
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

// Node is a fake upstream. It is safe for concurrent use.
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

// Drain makes the node reject new requests. It finishes those in flight.
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

// Down reports whether the node was killed or stopped from overload.
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

// Capacity is the present fraction of full capacity.
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

// serve handles a complete request, whatever its transport: it waits for a core and for the service time, and returns how the
// transport has to respond. It stops when ctx ends.
func (n *Node) serve(ctx context.Context, j Job) response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	if j.Work == 0 {
		j.Work = n.options.DefaultServiceTime
	}
	if overloaded := n.recordArrival(j); overloaded {
		return response{kind: resetConnection}
	}
	if r, hit := n.faultResponse(j, faultsBeforeExecution, nil); hit {
		if r.kind == rejected || r.kind == refuseStream || r.kind == goAway || r.kind == errorNotExecuted {
			n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Rejected++ })
		}
		return respond(ctx, r)
	}
	if r, admitted := n.admit(j); !admitted {
		return r
	}
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
	serviceTime := float64(j.Work) / (n.options.ServiceRate * n.Capacity())
	if factor, slow := n.activeFault(Slow, j.Class); slow {
		serviceTime *= factor
	}
	if sleep(ctx, time.Duration(serviceTime)) != nil || n.waitWhileFrozen(ctx) != nil {
		return response{kind: abandoned}
	}
	if r, hit := n.faultResponse(j, faultsAfterExecution, body); hit {
		return respond(ctx, r)
	}
	return response{answer, body}
}

// faultEffect is how a node responds while a fault is active.
type faultEffect struct {
	fault    FaultKind
	response responseKind
}

// Faults in the order in which they are looked for; the first active one decides.
var (
	faultsBeforeExecution = []faultEffect{
		{RefuseStream, refuseStream},
		{GoAway, goAway},
		{Reject, rejected},
		{ErrorNotExecuted, errorNotExecuted},
		{FailNotExecuted, serverError},
		{ResetBefore, resetConnection},
		{Hang, noAnswer},
	}
	faultsAfterExecution = []faultEffect{
		{Fail, serverError},
		{ErrorExecuted, errorExecuted},
		{ResetAfter, resetConnection},
		{LoseAnswer, noAnswer},
		{Malformed, malformed},
		{Truncate, truncated},
	}
)

// faultResponse returns the response of the first active fault, if there is one, and counts it.
func (n *Node) faultResponse(j Job, effects []faultEffect, body []byte) (r response, hit bool) {
	for _, effect := range effects {
		if _, hit := n.activeFault(effect.fault, j.Class); hit {
			n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Faults++ })
			return response{effect.response, body}, true
		}
	}
	return response{}, false
}

// respond returns a fault's response; noAnswer only once ctx has ended.
func respond(ctx context.Context, r response) response {
	if r.kind == noAnswer {
		<-ctx.Done()
	}
	return r
}

// admit counts a request as in flight. If the node is full or draining, or has the answer stored under the request's
// idempotency key, it returns the response instead.
func (n *Node) admit(j Job) (r response, admitted bool) {
	n.mu.Lock()
	full := !n.drainedAt.IsZero() || n.inFlight >= n.options.Cores+n.options.MaxQueue
	stored, found := n.options.Keys.recall(j.Key)
	if !full && !found {
		n.inFlight++
	}
	inFlight := n.inFlight
	n.mu.Unlock()
	switch {
	case full:
		n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Rejected++ })
		return response{kind: rejected}, false
	case found:
		n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.StoredAnswers++ })
		return response{kind: answer, body: stored}, false
	}
	n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.MaxInFlight = max(c.MaxInFlight, inFlight) })
	return response{}, true
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
	present := n.capacity(now)
	if present >= 1 || n.options.OverloadMultiple <= 0 || n.down {
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
	capacity := float64(n.options.Cores) * n.options.ServiceRate * present * float64(n.options.OverloadWindow)
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
