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

// NodeOptions are the parameters of a node. The zero value describes a node with one core, a queue of 1000 requests and a
// service time of 0, without slow start and faults.
type NodeOptions struct {
	Name, Zone, Type string
	Group            int
	TLS              *tls.Config // if nil, connections are not encrypted

	Cores              int           // number of requests that are served at the same time; 0 means 1
	ServiceRate        float64       // divides the service times; 0 means 1
	MaxQueue           int           // number of requests that may wait for a core; 0 means 1000
	DefaultServiceTime time.Duration // service time of a request that states no cost

	Started              time.Time     // start of the slow start; the zero time means no slow start
	SlowStartMinCapacity float64       // fraction of the full capacity at the start of the slow start
	SlowStartWindow      time.Duration // duration of the slow start, in which capacity grows linearly
	OverloadMultiple     float64       // in slow start, the node stops when the load exceeds this multiple of its capacity
	OverloadWindow       time.Duration // time window over which the load is compared with OverloadMultiple

	Keys                 *IdempotencyKeys // store shared by the nodes of a deduplication group; if nil, keys are ignored
	Faults               []Fault
	Seed                 uint64
	Ledger               *Ledger            // if nil, the node creates its own ledger
	Answer               func(j Job) []byte // returns the body of an answer; if nil, the body is the node's name
	LoadReports          bool               // gRPC: the node sends an ORCA load report with each answer
	MaxConcurrentStreams int                // gRPC: value of SETTINGS_MAX_CONCURRENT_STREAMS; 0 means that the setting is not sent
}

// Job is a request in a form that does not depend on its protocol.
type Job struct {
	ID, Class, Key string
	Op             string        // operation of the client, which is the same for all its retries; if empty, ID is used
	Work           time.Duration // service time on a node with ServiceRate 1; 0 means the default of the node
	Payload        []byte
}

// operation returns the ID under which the ledger records the job.
func (j *Job) operation() string {
	if j.Op != "" {
		return j.Op
	}
	return j.ID
}

// response tells a transport how to respond to a request.
type response struct {
	kind responseKind
	body []byte
}

type responseKind int

const (
	answer responseKind = iota
	rejected
	serverError
	resetConnection
	noAnswer
	malformed
	truncated
	refuseStream
	goAway
	errorNotExecuted
	errorExecuted
	abandoned // the client has cancelled the request or closed the connection
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
	recentArrivals  []arrival // arrivals within OverloadWindow, recorded during slow start
	recentAnswers   float64   // number of answers, decaying exponentially with a time constant of 1 s
	recentAnswersAt time.Time
}

type arrival struct {
	at   time.Time
	work time.Duration
}

// NewNode returns a node that does not listen until ListenHTTP, ListenGRPC or ListenGraphQL is called.
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
	o.Ledger.count(o.Name, func(*NodeCount) {}) // lists the node even if it never receives a request
	if o.Answer == nil {
		o.Answer = func(Job) []byte { return []byte(o.Name) }
	}
	n := &Node{options: o, createdAt: time.Now(), cores: make(chan struct{}, o.Cores), started: o.Started,
		rng: rand.New(rand.NewPCG(o.Seed, 1)), conns: map[net.Conn]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Options returns the node's options with their defaults filled in.
func (n *Node) Options() NodeOptions { return n.options }

// Ledger returns the ledger in which the node records requests.
func (n *Node) Ledger() *Ledger { return n.options.Ledger }

// Drain makes the node reject new requests. Requests in flight are finished.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.drainedAt.IsZero() {
		n.drainedAt = time.Now()
	}
}

// Kill simulates the sudden end of an upstream process: it resets all connections and closes the listeners. The node's
// goroutines end soon afterwards.
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

// Close kills the node and waits until its goroutines have ended.
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

// InFlight returns the number of requests that are executing or waiting for a core.
func (n *Node) InFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inFlight
}

// loadReport returns the node's load report, and counts the request for it.
func (n *Node) loadReport() []byte {
	n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Probes++ })
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Appendf(nil, "TEXT inflight=%d, queue=%d", n.inFlight, max(0, n.inFlight-n.options.Cores))
}

// Capacity returns the present fraction of the full capacity.
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

// serve handles a complete request of any protocol: it waits for a core, then for the service time, and returns how the
// protocol has to respond. It stops when ctx ends.
func (n *Node) serve(ctx context.Context, j Job) response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	if j.Work == 0 {
		j.Work = n.options.DefaultServiceTime
	}
	if stopped := n.recordArrival(j); stopped {
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

// faultEffect is the response of a node while a fault is active.
type faultEffect struct {
	fault    FaultKind
	response responseKind
}

// Faults in the order in which they are checked; the first active one decides the response.
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

// faultResponse returns the response of the first active fault and counts the fault. hit is false if no fault is active.
func (n *Node) faultResponse(j Job, effects []faultEffect, body []byte) (r response, hit bool) {
	for _, effect := range effects {
		if _, hit := n.activeFault(effect.fault, j.Class); hit {
			n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.Faults++ })
			return response{effect.response, body}, true
		}
	}
	return response{}, false
}

// respond returns the response of a fault. If the response is noAnswer, it returns only after ctx has ended.
func respond(ctx context.Context, r response) response {
	if r.kind == noAnswer {
		<-ctx.Done()
	}
	return r
}

// admit counts a request as in flight. It returns a response instead if the node is full or draining, or if an answer is
// stored under the idempotency key of the request.
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

// execute starts the execution of a job, which counts as executed from then on. It claims the idempotency key at once, so
// that a repeated request is deduplicated during the execution as well as after it.
func (n *Node) execute(j Job) []byte {
	body := n.options.Answer(j)
	if stored, repeated := n.options.Keys.claim(j.Key, body); repeated {
		n.options.Ledger.count(n.options.Name, func(c *NodeCount) { c.StoredAnswers++ })
		return stored
	}
	n.options.Ledger.recordExecution(n, j)
	return body
}

// recordArrival counts a request and reports whether the node is down. During slow start it stops the node if the work that
// arrived within OverloadWindow is too much: more than OverloadMultiple times the current capacity, plus twice the work of
// the largest request.
func (n *Node) recordArrival(j Job) (stopped bool) {
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
	presentCapacity := n.capacity(now)
	if presentCapacity >= 1 || n.options.OverloadMultiple <= 0 || n.down {
		n.recentArrivals = nil
		return n.down
	}
	recent := n.recentArrivals[:0]
	totalWork, largest := j.Work, j.Work
	for _, a := range n.recentArrivals {
		if now.Sub(a.at) < n.options.OverloadWindow {
			recent = append(recent, a)
			totalWork += a.work
			largest = max(largest, a.work)
		}
	}
	n.recentArrivals = append(recent, arrival{now, j.Work})
	capacity := float64(n.options.Cores) * n.options.ServiceRate * presentCapacity * float64(n.options.OverloadWindow)
	if float64(totalWork) <= n.options.OverloadMultiple*capacity+2*float64(largest) {
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
