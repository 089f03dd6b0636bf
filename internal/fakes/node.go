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

	Cores int           // requests worked on at once; absent: 1
	Speed float64       // absent: 1, the yardstick
	Queue int           // requests that wait beside them; absent: 1000
	Work  time.Duration // of a request that brings no cost

	Started      time.Time     // of a cold start; zero: long ago
	ColdFrom     float64       // share of its capacity at the start
	WarmUp       time.Duration // and full after this
	FallMultiple float64       // sent more than this many times what it can do at that moment
	FallTime     time.Duration // for this long, it falls over for good

	Keys    *KeyMemory // where repeats of a key are found; the nodes of a group share one. Absent: none are
	Faults  []Fault
	Seed    uint64
	Ledger  *Ledger            // absent: one of its own
	Answer  func(j Job) []byte // the body; absent: the node's name
	Orca    bool               // gRPC: tell utilization and rate with each answer, as ORCA load reports
	Streams int                // gRPC: streams that a connection may have open at once, MAX_CONCURRENT_STREAMS; absent: not told
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

// verdict is what a transport is to do with a request.
type verdict struct {
	kind verdictKind
	body []byte
}

type verdictKind int

const (
	answer verdictKind = iota
	turnAway
	serverError
	breakOff // the connection
	silence
	garble
	cut
	refuseAtWire
	goAway
	errorUnrun
	errorRan
	abandoned // the client has left
)

// Node is a stand-in server. It is safe for concurrent use.
type Node struct {
	o      NodeOptions
	begun  time.Time
	cores  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	rng       *rand.Rand
	started   time.Time
	inHand    int
	drained   time.Time
	listeners []net.Listener
	conns     map[net.Conn]bool
	down      bool
	sent      []arrival // within FallTime, while cold
	served    float64   // answers, forgotten over a second
	servedAt  time.Time
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
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Queue == 0 {
		o.Queue = 1000
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	o.Ledger.count(o.Name, func(*NodeCount) {}) // it is listed, also if nothing is ever sent to it
	if o.Answer == nil {
		o.Answer = func(Job) []byte { return []byte(o.Name) }
	}
	n := &Node{o: o, begun: time.Now(), cores: make(chan struct{}, o.Cores), started: o.Started,
		rng: rand.New(rand.NewPCG(o.Seed, 1)), conns: map[net.Conn]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Options is what the node was made with.
func (n *Node) Options() NodeOptions { return n.o }

// Ledger is where the node writes.
func (n *Node) Ledger() *Ledger { return n.o.Ledger }

// Drain makes it turn away what comes from now on. It finishes what it has.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.drained.IsZero() {
		n.drained = time.Now()
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

// InHand is how many requests it works on or has waiting.
func (n *Node) InHand() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inHand
}

// load is the node's report of it, and counts that it was asked for.
func (n *Node) load() []byte {
	n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Probes++ })
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Appendf(nil, "TEXT inflight=%d, queue=%d", n.inHand, max(0, n.inHand-n.o.Cores))
}

// Warmth is the share of its capacity that it has now.
func (n *Node) Warmth() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.warmth(time.Now())
}

func (n *Node) warmth(now time.Time) float64 {
	if n.started.IsZero() || n.o.WarmUp <= 0 {
		return 1
	}
	age := float64(now.Sub(n.started)) / float64(n.o.WarmUp)
	return min(1, n.o.ColdFrom+(1-n.o.ColdFrom)*max(0, age))
}

// serve is the core: it decides what becomes of a request that came whole, works on it, and says how to answer.
// Work stops when ctx ends.
func (n *Node) serve(ctx context.Context, j Job) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	if j.Work == 0 {
		j.Work = n.o.Work
	}
	if fell := n.arrive(j); fell {
		return verdict{kind: breakOff}
	}
	for _, f := range []struct {
		kind FaultKind
		then verdictKind
	}{{RefuseAtWire, refuseAtWire}, {GoAway, goAway}, {TurnAway, turnAway}, {ErrorUnrun, errorUnrun}, {FailUnrun, serverError},
		{ResetBefore, breakOff}, {Hang, silence}} {
		if _, hit := n.strikes(f.kind, j.Class); hit {
			n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Faults++ })
			if f.then == turnAway || f.then == refuseAtWire || f.then == goAway || f.then == errorUnrun {
				n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.TurnedAway++ })
			}
			if f.then == silence {
				<-ctx.Done()
			}
			return verdict{kind: f.then}
		}
	}
	n.mu.Lock()
	full := !n.drained.IsZero() || n.inHand >= n.o.Cores+n.o.Queue
	kept, repeat := n.o.Keys.recall(j.Key)
	if !full && !repeat {
		n.inHand++
	}
	most := n.inHand
	n.mu.Unlock()
	switch {
	case full:
		n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.TurnedAway++ })
		return verdict{kind: turnAway}
	case repeat:
		n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Repeats++ })
		return verdict{kind: answer, body: kept}
	}
	n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Most = max(c.Most, most) })
	defer func() {
		n.mu.Lock()
		n.inHand--
		n.mu.Unlock()
	}()
	select {
	case n.cores <- struct{}{}:
		defer func() { <-n.cores }()
	case <-ctx.Done():
		return verdict{kind: abandoned}
	}
	if n.thaw(ctx) != nil {
		return verdict{kind: abandoned}
	}
	body := n.run(j)
	took := float64(j.Work) / (n.o.Speed * n.Warmth())
	if factor, slow := n.strikes(Slow, j.Class); slow {
		took *= factor
	}
	if sleep(ctx, time.Duration(took)) != nil || n.thaw(ctx) != nil {
		return verdict{kind: abandoned}
	}
	for _, f := range []struct {
		kind FaultKind
		then verdictKind
	}{{Fail, serverError}, {ErrorRan, errorRan}, {ResetAfter, breakOff}, {LoseAnswer, silence}, {Garble, garble}, {Cut, cut}} {
		if _, hit := n.strikes(f.kind, j.Class); hit {
			n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Faults++ })
			if f.then == silence {
				<-ctx.Done()
			}
			return verdict{f.then, body}
		}
	}
	return verdict{answer, body}
}

// run begins the execution: from here on it counts as run. A key is claimed in the same moment: a repeat that comes
// while the first is at work is dropped like one that comes after it.
func (n *Node) run(j Job) []byte {
	body := n.o.Answer(j)
	if kept, repeat := n.o.Keys.claim(j.Key, body); repeat {
		n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Repeats++ })
		return kept
	}
	n.o.Ledger.ran(n, j)
	return body
}

// arrive counts a request, and tells whether it pushed a cold node over: more than FallMultiple times its present
// capacity, over any window of FallTime, with slack for two of the largest requests.
func (n *Node) arrive(j Job) (fell bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.o.Ledger.count(n.o.Name, func(c *NodeCount) {
		c.Arrived++
		c.Work += j.Work
		if !n.drained.IsZero() {
			c.AfterDrain++
			c.LastAfter = max(c.LastAfter, now.Sub(n.drained))
		}
	})
	warmth := n.warmth(now)
	if warmth >= 1 || n.o.FallMultiple <= 0 || n.down {
		n.sent = nil
		return n.down
	}
	keep := n.sent[:0]
	sum, largest := j.Work, j.Work
	for _, a := range n.sent {
		if now.Sub(a.at) < n.o.FallTime {
			keep = append(keep, a)
			sum += a.work
			largest = max(largest, a.work)
		}
	}
	n.sent = append(keep, arrival{now, j.Work})
	capacity := float64(n.o.Cores) * n.o.Speed * warmth * float64(n.o.FallTime)
	if float64(sum) <= n.o.FallMultiple*capacity+2*float64(largest) {
		return false
	}
	n.down = true
	n.o.Ledger.count(n.o.Name, func(c *NodeCount) { c.Fell = true })
	for _, l := range n.listeners {
		l.Close()
	}
	for c := range n.conns {
		reset(c)
	}
	n.cancel()
	return true
}
