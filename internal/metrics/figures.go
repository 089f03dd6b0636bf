// Package metrics counts requests and attempts, and words the counts for the operators. A request is counted where it is taken
// and where it ends, an attempt where its last byte has been written; there is no other place.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome int

// The ends.
const (
	Completed Outcome = iota // served
	Rejected                 // refused: trying again is harmless
	Failed                   // anything else
	ends
)

var endNames = [ends]string{"completed", "rejected", "failed"}

// Registry is safe for concurrent use, and counts from 0. It holds one entry for each class that it was ever told of; those come from
// configurations.
type Registry struct {
	sent          atomic.Int64
	reloads       atomic.Int64
	reloadsFailed atomic.Int64

	mu      sync.Mutex // of changes to classes
	classes atomic.Pointer[map[string]*counts]
}

type counts struct {
	taken atomic.Int64
	ended [ends]atomic.Int64
}

// New counts for these classes.
func New(classes ...string) *Registry {
	c := &Registry{}
	c.classes.Store(&map[string]*counts{})
	c.Add(classes...)
	return c
}

// Add has these classes stand among the figures from now on.
func (c *Registry) Add(classes ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]*counts{}
	for name, of := range *c.classes.Load() {
		next[name] = of
	}
	for _, name := range classes {
		if next[name] == nil {
			next[name] = &counts{}
		}
	}
	c.classes.Store(&next)
}

// Request is a request that was taken, until its End. The zero one counts nothing.
type Request struct{ of *counts }

// Start counts a request of a class as taken. Classes that nobody has told of are added: they come from configurations only.
func (c *Registry) Start(class string) Request {
	of := (*c.classes.Load())[class]
	if of == nil {
		c.Add(class)
		of = (*c.classes.Load())[class]
	}
	of.taken.Add(1)
	return Request{of}
}

// Open tells whether it was taken and has not ended.
func (t *Request) Open() bool { return t.of != nil }

// Finish counts it as ended. Only the first call does.
func (t *Request) Finish(e Outcome) {
	if t.of != nil {
		t.of.ended[e].Add(1)
		t.of = nil
	}
}

// AttemptSent counts an attempt whose last byte has been written.
func (c *Registry) AttemptSent() { c.sent.Add(1) }

// ConfigReloaded counts a new configuration.
func (c *Registry) ConfigReloaded(ok bool) {
	if ok {
		c.reloads.Add(1)
	} else {
		c.reloadsFailed.Add(1)
	}
}

// ClassReading are the counts of one class.
type ClassReading struct {
	Class   string
	Taken   int64
	Ended   [ends]int64
	Pending int64
}

// Reading is a reading. What has been taken is what has ended and what is pending, in each class.
type Reading struct {
	Classes []ClassReading // by name
	Pending int64
	Sent    int64
	Reloads, ReloadsFailed,
	Members, Unavailable int64
	// ListAge is how long ago the oldest list that is followed was known to be current, in milliseconds, and Overdue how many lists may be
	// too old. Below 0: none is followed.
	ListAge, Overdue int64
	// ListCalls is how many calls were made for the lists that are followed, and ListCallsFailed how many of these were refused, failed or
	// ended by discovery.
	ListCalls, ListCallsFailed int64
}

// Read reads all counts; the members are the caller's to fill in.
func (c *Registry) Read() Reading {
	f := Reading{ListAge: -1, Sent: c.sent.Load(), Reloads: c.reloads.Load(), ReloadsFailed: c.reloadsFailed.Load()}
	for name, of := range *c.classes.Load() {
		one := ClassReading{Class: name}
		var ended int64
		for i := range one.Ended { // before what was taken: each that has ended was
			one.Ended[i] = of.ended[i].Load()
			ended += one.Ended[i]
		}
		one.Taken = of.taken.Load()
		one.Pending = one.Taken - ended
		f.Pending += one.Pending
		f.Classes = append(f.Classes, one)
	}
	slices.SortFunc(f.Classes, func(a, b ClassReading) int { return strings.Compare(a.Class, b.Class) })
	return f
}

// Text words a reading, one figure a line.
func (f Reading) Text() string {
	out := make([]byte, 0, 64*(3*len(f.Classes)+8))
	line := func(n int64, name ...string) {
		for _, part := range name {
			out = append(out, part...)
		}
		out = append(strconv.AppendInt(append(out, '='), n, 10), '\n')
	}
	for _, class := range f.Classes {
		for i, n := range class.Ended {
			line(n, "downstream_requests.", class.Class, ".", endNames[i])
		}
	}
	line(f.Sent, "upstream_requests")
	line(f.Pending, "pending")
	line(f.Members, "members")
	line(f.Unavailable, "members_unavailable")
	if f.ListAge >= 0 {
		line(f.ListAge, "list_age_ms")
		line(f.Overdue, "lists_overdue")
		line(f.ListCalls, "list_calls")
		line(f.ListCallsFailed, "list_calls_failed")
	}
	line(f.Reloads, "config_reloads")
	line(f.ReloadsFailed, "config_reload_errors")
	return string(out)
}
