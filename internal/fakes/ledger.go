package fakes

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Ledger is what the nodes of a fleet did, kept in one place so that runs of one request on two nodes are seen. It
// holds an entry for each operation that is not counted only, and is safe for concurrent use.
type Ledger struct {
	CountOnly bool // keep no operations, for long runs; set before use

	mu    sync.Mutex
	ops   map[string]*Operation
	nodes map[string]*NodeCount
}

// Operation is what one request of a client did, over all nodes and all tries.
type Operation struct {
	ID         string // Job.Operation
	Class      string
	Key        string
	Executions []Execution // executions that began, oldest first
}

// Execution is one execution.
type Execution struct {
	Node  string
	Group int
	At    time.Time
}

// NodeCount is what one node saw.
type NodeCount struct {
	Arrived        int           // complete requests, whatever their result
	Executed       int           // executions that began
	Rejected       int           // proved not to have run
	Faults         int           // requests that a scripted fault struck; Slow and Freeze strike nobody in particular
	StoredAnswers  int           // keyed requests answered from memory
	Work           time.Duration // asked for by what arrived, on a yardstick core
	MaxInFlight    int           // in hand at once
	Overloaded     bool          // pushed over while cold
	AfterDrain     int           // arrived after Node.Drain
	LastAfterDrain time.Duration // the longest after it
	Probes         int           // requests for its load
	StreamsRefused int           // of them gRPC streams that were refused by the wire: REFUSED_STREAM, GOAWAY
}

// NewLedger returns an empty one.
func NewLedger() *Ledger {
	return &Ledger{ops: map[string]*Operation{}, nodes: map[string]*NodeCount{}}
}

// count changes a node's counts.
func (l *Ledger) count(node string, change func(*NodeCount)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.nodes[node]
	if c == nil {
		c = &NodeCount{}
		l.nodes[node] = c
	}
	change(c)
}

// recordExecution notes an execution that begins.
func (l *Ledger) recordExecution(n *Node, j Job) {
	l.count(n.options.Name, func(c *NodeCount) { c.Executed++ })
	if l.CountOnly {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	op := l.ops[j.operation()]
	if op == nil {
		op = &Operation{ID: j.operation(), Class: j.Class, Key: j.Key}
		l.ops[op.ID] = op
	}
	op.Executions = append(op.Executions, Execution{n.options.Name, n.options.Group, time.Now()})
}

// Operation is what an operation did; no Runs if none began.
func (l *Ledger) Operation(id string) Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op := l.ops[id]; op != nil {
		c := *op
		c.Executions = slices.Clone(op.Executions)
		return c
	}
	return Operation{ID: id}
}

// ExecutedTwice is the operations of a class that ran more than once, sorted by ID.
func (l *Ledger) ExecutedTwice(class string) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, op := range l.ops {
		if op.Class == class && len(op.Executions) > 1 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Operations is how many operations of a class ran at least once.
func (l *Ledger) Operations(class string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, op := range l.ops {
		if op.Class == class {
			n++
		}
	}
	return n
}

// Nodes is the counts by node.
func (l *Ledger) Nodes() map[string]NodeCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]NodeCount, len(l.nodes))
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		out[name] = *l.nodes[name]
	}
	return out
}
