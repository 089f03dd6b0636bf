// Package routes decides what a request is, from its method, host, target and headers alone: which service it goes to,
// as which class, under which key, tenant, cost, id and deadline, and how large it may be. It does no I/O.
//
// Patterns are those of net/http, with its order: of two that match, the one that matches a part of what the other
// matches goes first, one with a host before one without; where neither holds they conflict, and New says so.
//
// The rule behind every check: the class, the key and the id that are acted by must be those that any upstream would
// read. What two readers may understand in two ways is turned down, or taken only if the class decided on is at least as
// strict as any other reading's.
package routes

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// maxTimeout bounds what a client may say that it waits, or that its request costs.
const maxTimeout = time.Hour

// Route says what the requests of a pattern are. A nil Class leaves that to the method: Read for GET, HEAD and OPTIONS,
// Write for all others.
type Route struct {
	Pattern     *Pattern
	Service     string
	Class       *balancer.Class
	Read, Write *balancer.Class

	Key, Tenant, Cost, ID, Deadline Source

	// Repeats are the methods which HTTP calls unsafe that may all the same reach a class that is safe to repeat.
	Repeats []string
	MaxBody int64 // bytes

	// Endpoint names what decides on the requests' classes in place of the route, by their bodies; empty: the route does.
	Endpoint string

	// What the platform's header rules add, see Platform.
	ClassHeader  string // names the class again, where it is there
	NeedID       bool   // a request without ID is turned down; else one is made
	StrictKey    bool   // a key on a class that is not keyed is turned down
	GetOnly      bool   // GET is not for HEAD too
	CompleteOnly bool   // only whole answers count: what asks for another is not passed on
}

// Decision is what a request is.
type Decision struct {
	Route          *Route
	Class          *balancer.Class
	ID             string // empty: one is to be made
	IdempotencyKey string // of a keyed class
	Tenant         string
	CostHint       time.Duration // expected work; 0: unknown
	Timeout        time.Duration // what the client waits, at most its class's deadline
}

// Rejection answers a request that is not taken. Status is a 4xx, or 505; never 429, which would be a refusal.
type Rejection struct {
	Status int
	Allow  string // of 405: the methods to use
	Text   string // one line
}

// Request is a request's head. ContentLength is -1 where it has a body of unknown length.
type Request struct {
	Method, Host, Target string
	Header               http.Header
	ContentLength        int64
}

// Table is a set of routes. It is immutable and safe for concurrent use.
type Table struct {
	t       *table[*Route]
	routes  []*Route
	hosts   bool            // some route has a host
	own     []string        // headers that decide something: once at most, spelled in one way
	listed  []string        // of them those that may hold no list
	classes map[string]bool // that a ClassHeader may name
	plain   bool            // the path's first segment is to be there unencoded
}

// New makes a table, or tells which pairs of routes conflict.
func New(routes []*Route) (*Table, []Conflict) {
	patterns := make([]*Pattern, len(routes))
	for i, r := range routes {
		patterns[i] = r.Pattern
	}
	if bad := conflicts(patterns); len(bad) > 0 {
		return nil, bad
	}
	t := &Table{t: newTable[*Route](), routes: routes, own: slices.Clone(platformHeaders), classes: map[string]bool{},
		listed: []string{}}
	owned := func(name string) {
		if name != "" && !slices.Contains(t.own, name) {
			t.own = append(t.own, name)
		}
	}
	for _, r := range routes {
		t.t.add(r.Pattern, r)
		t.hosts = t.hosts || r.Pattern.Host != ""
		for _, s := range []Source{r.Key, r.Tenant, r.Cost, r.ID, r.Deadline} {
			owned(s.header())
		}
		for name := range r.Pattern.Headers {
			owned(name)
			t.listed = append(t.listed, name)
		}
		if r.ClassHeader != "" {
			owned(r.ClassHeader)
			t.listed = append(t.listed, r.ClassHeader)
			t.plain = true
			if r.Class != nil {
				t.classes[r.Class.Name] = true
			}
		}
	}
	slices.Sort(t.listed)
	t.listed = slices.Compact(t.listed)
	return t, nil
}

// Routes lists them, in the order given.
func (t *Table) Routes() []*Route { return t.routes }

// class is what a request of this method is by this route; nil: it is not for this method.
func (r *Route) class(method string) *balancer.Class {
	reads := method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	switch {
	case method == http.MethodConnect || method == http.MethodTrace:
		return nil
	case r.GetOnly && method == http.MethodHead:
		return nil
	case r.Class == nil && reads:
		return r.Read
	case r.Class == nil:
		return r.Write
	case r.Class.Idempotency == balancer.Idempotent && !reads && !slices.Contains(r.Repeats, method):
		return nil // who only reads the route's pattern must not make a method repeatable
	}
	return r.Class
}

// Decide says what a request is, or how to turn it down.
func (t *Table) Decide(q Request) (d Decision, bad *Rejection) {
	path, err := pathOf(q.Target)
	if err != nil {
		return d, reject(http.StatusBadRequest, "%v", err)
	}
	if problem := t.headers(q.Header); problem != "" {
		return d, reject(http.StatusBadRequest, "%s", problem)
	}
	if t.plain {
		if first, _, _ := strings.Cut(path[1:], "/"); strings.Contains(first, "%") {
			return d, reject(http.StatusBadRequest, "the class stands in the path as it is, without encoding")
		}
	}
	host := ""
	if t.hosts {
		host = plainHost(q.Host)
	}
	asked := asked{method: q.Method, path: path, header: q.Header}
	plain := isPlain(path)
	var ways []string
	if !plain {
		ways = readings(path)
		asked.path = ways[0]
	}
	found, ok := t.t.find(host, asked)
	if !ok {
		return d, t.missing(host, path, asked)
	}
	r := found.to
	if d.Class = r.class(q.Method); d.Class == nil {
		return d, notAllowed(found.p, r.allowed())
	}
	if plain {
		bad = t.compare(&d, host, asked, found, otherEnd(path), true)
	} else {
		for _, way := range ways[1:] {
			if bad = t.compare(&d, host, asked, found, way, false); bad == nil {
				bad = t.compare(&d, host, asked, found, otherEnd(way), true)
			}
			if bad != nil {
				break
			}
		}
		if bad == nil {
			bad = t.compare(&d, host, asked, found, otherEnd(ways[0]), true)
		}
	}
	if bad != nil {
		return d, bad
	}
	d.Route = r
	return d, t.fill(&d, asked.path, q)
}

// compare turns a request down which another reading of its path makes one of a stricter class. What the file says of a
// path with or without its last slash (bySlash) stands against a pattern for more than that path.
func (t *Table) compare(d *Decision, host string, q asked, found leaf[*Route], way string, bySlash bool) *Rejection {
	was := q.path
	q.path = way
	of, ok := t.t.find(host, q)
	if !ok || of.to == found.to || bySlash && found.p.compare(of.p) == within {
		return nil
	}
	if class := of.to.class(q.method); class != nil && loose(d.Class, class) {
		return reject(http.StatusBadRequest, "%s may be read as %s, which is for %s and stricter", was, way, of.p)
	}
	return nil
}

// fill reads what the route's sources say.
func (t *Table) fill(d *Decision, path string, q Request) *Rejection {
	r, class := d.Route, d.Class
	get := func(s Source) string {
		v, _ := s.value(r.Pattern, path, q.Header)
		return v
	}
	if d.ID = get(r.ID); d.ID == "" && r.NeedID {
		return reject(http.StatusBadRequest, "one %s is needed", display(r.ID.header()))
	}
	if name := q.Header.Get(r.ClassHeader); r.ClassHeader != "" && name != "" && name != class.Name {
		if !t.classes[name] {
			return reject(http.StatusNotFound, "unknown class %q", name)
		}
		return reject(http.StatusBadRequest, "the header names class %q, the path %q", name, class.Name)
	}
	key, has := r.Key.value(r.Pattern, path, q.Header)
	switch keyed := class.Idempotency == balancer.IdempotentWithKey; {
	case keyed && !has, r.StrictKey && keyed != has:
		return reject(http.StatusBadRequest, "class %s: keyed is %v, and that is what a key says (%s)", class.Name, keyed,
			display(r.Key.header()))
	case keyed && !usableKey(key):
		return reject(http.StatusBadRequest, "%s: one key is needed, without commas outside quotes", display(r.Key.header()))
	case keyed:
		d.IdempotencyKey = key
	}
	if q.ContentLength != 0 && (q.Method == http.MethodGet || q.Method == http.MethodHead) {
		return reject(http.StatusBadRequest, "class %s has no body", class.Name)
	}
	if class.Idempotency != balancer.Idempotent {
		for _, name := range conditions {
			if _, has := q.Header[name]; has && r.CompleteOnly {
				return reject(http.StatusBadRequest, "%s is not taken: an answer that it leads to can't be told from a failure", name)
			}
		}
	}
	d.Tenant, d.Timeout = get(r.Tenant), class.Deadline
	if text := get(r.Deadline); text != "" {
		timeout, err := ParseTimeout(text)
		if err != nil {
			return reject(http.StatusBadRequest, "%s: %v", display(r.Deadline.header()), err)
		}
		d.Timeout = min(timeout, class.Deadline)
	}
	if text := get(r.Cost); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0) || us > maxTimeout.Seconds()*1e6 {
			return reject(http.StatusBadRequest, "%s: %q is not a usable number of microseconds", display(r.Cost.header()), text)
		}
		d.CostHint = time.Duration(us * float64(time.Microsecond))
	}
	if q.ContentLength > r.MaxBody {
		return reject(http.StatusRequestEntityTooLarge, "a body holds %d bytes at most", r.MaxBody)
	}
	return nil
}

// Forward is the headers that go on to an upstream.
func (d *Decision) Forward(h http.Header) http.Header {
	header := httpheader.EndToEnd(h)
	delete(header, httpheader.Timeout)
	if d.Route.CompleteOnly {
		for _, name := range conditions {
			delete(header, name)
		}
		for _, name := range partial {
			delete(header, name)
		}
	}
	return header
}

// missing words why no route was found.
func (t *Table) missing(host, path string, q asked) *Rejection {
	first, _ := cut(q.path)
	name := q.header.Get(httpheader.Class)
	if t.plain && name != "" && name != first {
		if !t.classes[name] {
			return reject(http.StatusNotFound, "unknown class %q", name)
		}
		return reject(http.StatusBadRequest, "the header names class %q, the path %q", name, first)
	}
	if methods := t.t.methods(host, q); len(methods) > 0 {
		if t.plain {
			methods = slices.DeleteFunc(methods, func(m string) bool { return m == http.MethodHead })
		}
		return notAllowed(nil, methods)
	}
	if t.plain {
		return reject(http.StatusNotFound, "unknown class %q", first)
	}
	return reject(http.StatusNotFound, "no route is for %s", path)
}

// allowed lists the methods that a route is for, as far as they can be listed.
func (r *Route) allowed() (methods []string) {
	for _, m := range append([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete}, r.Repeats...) {
		of := r.Pattern.Method
		matches := of == "" || of == m || of == http.MethodGet && m == http.MethodHead
		if matches && r.class(m) != nil && !slices.Contains(methods, m) {
			methods = append(methods, m)
		}
	}
	return methods
}

func notAllowed(p *Pattern, methods []string) *Rejection {
	allow := strings.Join(methods, ", ")
	bad := reject(http.StatusMethodNotAllowed, "this is asked for with %s", allow)
	if p != nil && allow == "" {
		bad.Text = "not a method to ask with"
	}
	bad.Allow = allow
	return bad
}

func reject(status int, format string, args ...any) *Rejection {
	return &Rejection{Status: status, Text: fmt.Sprintf(format, args...)}
}

// plainHost is a Host header as patterns have it.
func plainHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// display is a header's name as people write it.
func display(name string) string {
	if name == httpheader.RequestID {
		return "X-Request-ID"
	}
	return name
}

// ParseTimeout reads a number and a unit: m milliseconds or u microseconds.
func ParseTimeout(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if d := v * float64(unit); !ok || err != nil || math.IsNaN(v) || v < 0 || d > float64(maxTimeout) {
		return 0, fmt.Errorf("%q is not a usable number with the unit m or u", text)
	}
	return time.Duration(v * float64(unit)), nil
}
