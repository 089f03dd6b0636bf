package fakes

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Ledger records what all nodes of a fleet did, so that it shows when two nodes executed the same request. It holds
// an entry for each operation unless CountOnly is set. It is safe for concurrent use.
type Ledger struct {
	CountOnly bool // the ledger keeps counts but no operations, for long runs; set before use

	mu    sync.Mutex
	ops   map[string]*Operation
	nodes map[string]*NodeCount
}

// Operation is the record of one client operation, over all nodes and all attempts.
type Operation struct {
	ID         string // Job.Op, or Job.ID if Job.Op is empty
	Class      string
	Key        string
	Executions []Execution // executions that started, oldest first
}

// Execution is one execution that started on a node.
type Execution struct {
	Node  string
	Group int
	At    time.Time
}

// NodeCount holds the counts of one node.
type NodeCount struct {
	Arrived        int           // complete requests that arrived, whatever their result
	Executed       int           // executions that started
	Rejected       int           // requests that were provably not executed
	Faults         int           // requests that a scheduled fault other than Slow and Freeze affected
	StoredAnswers  int           // keyed requests answered with a stored answer
	Work           time.Duration // sum of the service times of the requests that arrived, on a core with ServiceRate 1
	MaxInFlight    int           // highest number of requests in flight at once
	Overloaded     bool          // the node was stopped by overload during slow start
	AfterDrain     int           // requests that arrived after Node.Drain
	LastAfterDrain time.Duration // time from Node.Drain to the last request that arrived after it
	Probes         int           // requests for the node's load report
	StreamsRefused int           // gRPC streams refused with REFUSED_STREAM or GOAWAY, which Rejected includes
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ops: map[string]*Operation{}, nodes: map[string]*NodeCount{}}
}

// count applies a change to a node's counts.
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

// recordExecution records that an execution starts.
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

// Operation returns the record of an operation. Its Executions are empty if no execution started.
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

// ExecutedTwice returns the IDs of the operations of a class that were executed more than once, sorted.
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

// Operations returns the number of operations of a class that were executed at least once.
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

// Nodes returns the counts by node name.
func (l *Ledger) Nodes() map[string]NodeCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]NodeCount, len(l.nodes))
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		out[name] = *l.nodes[name]
	}
	return out
}
