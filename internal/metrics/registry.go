// Package metrics counts requests and attempts, and formats the counts for operators. A request is counted when it starts and when it
// finishes, an attempt when its last byte has been written. The package keeps only the counters; a Registry may be used concurrently.
package metrics

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Outcome says how a request finished.
type Outcome int

// The outcomes of a request.
const (
	Completed   Outcome = iota // answered
	Rejected                   // not executed: a retry is safe
	Failed                     // anything else
	outcomesEnd                // number of outcomes
)

// outcomeNames are the parts of metric names that stand for the outcomes.
var outcomeNames = [outcomesEnd]string{"completed", "rejected", "failed"}

// Registry holds all counters since the start of the process. It keeps the counters of every class that it was given, even when the class
// is no longer configured. It is safe for concurrent use.
type Registry struct {
	attemptsSent  atomic.Int64
	reloads       atomic.Int64
	reloadsFailed atomic.Int64

	mu      sync.Mutex // serializes changes of classes
	classes atomic.Pointer[map[string]*classCounters]
}

// classCounters count the requests of one class.
type classCounters struct {
	started  atomic.Int64
	finished [outcomesEnd]atomic.Int64
}

// New returns a Registry with these classes.
func New(classes ...string) *Registry {
	r := &Registry{}
	r.classes.Store(&map[string]*classCounters{})
	r.Add(classes...)
	return r
}

// Add adds classes, which then appear in readings before their first request.
func (r *Registry) Add(classes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := maps.Clone(*r.classes.Load())
	for _, class := range classes {
		if next[class] == nil {
			next[class] = &classCounters{}
		}
	}
	r.classes.Store(&next)
}

// Request stands for a request that Start has counted as started. Finish counts it as finished. The zero Request counts nothing. A Request
// is not safe for concurrent use.
type Request struct{ counters *classCounters }

// Start counts a request of a class as started. It adds an unknown class; the number of classes is bounded, since they all come from the
// configuration.
func (r *Registry) Start(class string) Request {
	counters := (*r.classes.Load())[class]
	if counters == nil {
		r.Add(class)
		counters = (*r.classes.Load())[class]
	}
	counters.started.Add(1)
	return Request{counters}
}

// Open reports whether the request has started and not finished.
func (q *Request) Open() bool { return q.counters != nil }

// Finish counts the request as finished. Only the first call has an effect.
func (q *Request) Finish(outcome Outcome) {
	if q.counters != nil {
		q.counters.finished[outcome].Add(1)
		q.counters = nil
	}
}

// AttemptSent counts an attempt whose last byte has been written.
func (r *Registry) AttemptSent() { r.attemptsSent.Add(1) }

// ConfigReloaded counts a reload of the configuration that succeeded or failed.
func (r *Registry) ConfigReloaded(ok bool) {
	if ok {
		r.reloads.Add(1)
	} else {
		r.reloadsFailed.Add(1)
	}
}

// Read reads all counters. The caller fills in the fields of Reading on members and endpoint lists.
func (r *Registry) Read() Reading {
	reading := Reading{
		ListAge:       -1,
		AttemptsSent:  r.attemptsSent.Load(),
		Reloads:       r.reloads.Load(),
		ReloadsFailed: r.reloadsFailed.Load(),
	}
	for name, counters := range *r.classes.Load() {
		class := counters.read(name)
		reading.Pending += class.Pending
		reading.Classes = append(reading.Classes, class)
	}
	slices.SortFunc(reading.Classes, func(a, b ClassReading) int { return strings.Compare(a.Class, b.Class) })
	return reading
}

// read reads the counters of one class. It reads the finished requests before the started ones, so that Pending is never negative.
func (c *classCounters) read(name string) ClassReading {
	class := ClassReading{Class: name}
	var finished int64
	for outcome := range class.Finished {
		class.Finished[outcome] = c.finished[outcome].Load()
		finished += class.Finished[outcome]
	}
	class.Started = c.started.Load()
	class.Pending = class.Started - finished
	return class
}
