// Package figures counts requests and attempts, and words the counts for the operators. A request is counted where it is taken
// and where it ends, an attempt where its last byte has been written; there is no other place.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// End is how a request ended.
type End int

// The ends.
const (
	Completed End = iota // served
	Rejected             // refused: trying again is harmless
	Failed               // anything else
	ends
)

var endNames = [ends]string{"completed", "rejected", "failed"}

// Counts is safe for concurrent use, and counts from 0. It holds one entry for each class that it was ever told of; those come from
// configurations.
type Counts struct {
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
func New(classes ...string) *Counts {
	c := &Counts{}
	c.classes.Store(&map[string]*counts{})
	c.Add(classes...)
	return c
}

// Add has these classes stand among the figures from now on.
func (c *Counts) Add(classes ...string) {
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

// Taken is a request that was taken, until its End. The zero one counts nothing.
type Taken struct{ of *counts }

// Take counts a request of a class as taken. Classes that nobody has told of are added: they come from configurations only.
func (c *Counts) Take(class string) Taken {
	of := (*c.classes.Load())[class]
	if of == nil {
		c.Add(class)
		of = (*c.classes.Load())[class]
	}
	of.taken.Add(1)
	return Taken{of}
}

// Counts tells whether it was taken and has not ended.
func (t *Taken) Counts() bool { return t.of != nil }

// End counts it as ended. Only the first call does.
func (t *Taken) End(e End) {
	if t.of != nil {
		t.of.ended[e].Add(1)
		t.of = nil
	}
}

// Sent counts an attempt whose last byte has been written.
func (c *Counts) Sent() { c.sent.Add(1) }

// Reloaded counts a new configuration.
func (c *Counts) Reloaded(ok bool) {
	if ok {
		c.reloads.Add(1)
	} else {
		c.reloadsFailed.Add(1)
	}
}

// ClassFigures are the counts of one class.
type ClassFigures struct {
	Class   string
	Taken   int64
	Ended   [ends]int64
	Pending int64
}

// Figures is a reading. What has been taken is what has ended and what is pending, in each class.
type Figures struct {
	Classes []ClassFigures // by name
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
func (c *Counts) Read() Figures {
	f := Figures{ListAge: -1, Sent: c.sent.Load(), Reloads: c.reloads.Load(), ReloadsFailed: c.reloadsFailed.Load()}
	for name, of := range *c.classes.Load() {
		one := ClassFigures{Class: name}
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
	slices.SortFunc(f.Classes, func(a, b ClassFigures) int { return strings.Compare(a.Class, b.Class) })
	return f
}

// Text words a reading, one figure a line.
func (f Figures) Text() string {
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
