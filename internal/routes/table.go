package routes

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

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

// Request is a request's head. ContentLength is -1 where it has a body of unknown length.
type Request struct {
	Method, Host, Target string
	Header               http.Header
	ContentLength        int64
}

// Table is a set of routes. It is immutable and safe for concurrent use.
type Table struct {
	tree               *patternTree[*Route]
	routes             []*Route
	hasHosts           bool            // some route has a host
	decisiveHeaders    []string        // headers that decide something: once at most, spelled in one way
	singleValueHeaders []string        // of them those that may hold no list
	classes            map[string]bool // that a ClassHeader may name
	classInPath        bool            // the path's first segment is to be there unencoded
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
	t := &Table{tree: newPatternTree[*Route](), routes: routes, decisiveHeaders: slices.Clone(platformHeaders), classes: map[string]bool{},
		singleValueHeaders: []string{}}
	owned := func(name string) {
		if name != "" && !slices.Contains(t.decisiveHeaders, name) {
			t.decisiveHeaders = append(t.decisiveHeaders, name)
		}
	}
	for _, r := range routes {
		t.tree.add(r.Pattern, r)
		t.hasHosts = t.hasHosts || r.Pattern.Host != ""
		for _, s := range []Source{r.Key, r.Tenant, r.Cost, r.ID, r.Deadline} {
			owned(s.header())
		}
		for name := range r.Pattern.Headers {
			owned(name)
			t.singleValueHeaders = append(t.singleValueHeaders, name)
		}
		if r.ClassHeader != "" {
			owned(r.ClassHeader)
			t.singleValueHeaders = append(t.singleValueHeaders, r.ClassHeader)
			t.classInPath = true
			if r.Class != nil {
				t.classes[r.Class.Name] = true
			}
		}
	}
	slices.Sort(t.singleValueHeaders)
	t.singleValueHeaders = slices.Compact(t.singleValueHeaders)
	return t, nil
}

// Routes lists them, in the order given.
func (t *Table) Routes() []*Route { return t.routes }

// Decide says what a request is, or how to turn it down.
func (t *Table) Decide(q Request) (d Decision, bad *Rejection) {
	path, err := targetPath(q.Target)
	if err != nil {
		return d, reject(http.StatusBadRequest, "%v", err)
	}
	if problem := t.checkHeaders(q.Header); problem != "" {
		return d, reject(http.StatusBadRequest, "%s", problem)
	}
	if t.classInPath {
		if first, _, _ := strings.Cut(path[1:], "/"); strings.Contains(first, "%") {
			return d, reject(http.StatusBadRequest, "the class stands in the path as it is, without encoding")
		}
	}
	host := ""
	if t.hasHosts {
		host = normalizeHost(q.Host)
	}
	asked := lookup{method: q.Method, path: path, header: q.Header}
	plain := hasOneReading(path)
	var ways []string
	if !plain {
		ways = pathReadings(path)
		asked.path = ways[0]
	}
	found, ok := t.tree.find(host, asked)
	if !ok {
		return d, t.rejectUnmatched(host, path, asked)
	}
	r := found.value
	if d.Class = r.class(q.Method); d.Class == nil {
		return d, notAllowed(found.pattern, r.allowed())
	}
	if plain {
		bad = t.checkReading(&d, host, asked, found, toggleTrailingSlash(path), true)
	} else {
		for _, way := range ways[1:] {
			if bad = t.checkReading(&d, host, asked, found, way, false); bad == nil {
				bad = t.checkReading(&d, host, asked, found, toggleTrailingSlash(way), true)
			}
			if bad != nil {
				break
			}
		}
		if bad == nil {
			bad = t.checkReading(&d, host, asked, found, toggleTrailingSlash(ways[0]), true)
		}
	}
	if bad != nil {
		return d, bad
	}
	d.Route = r
	return d, t.readFields(&d, asked.path, q)
}

// checkReading turns a request down which another reading of its path makes one of a stricter class. What the file says of a
// path with or without its last slash (bySlash) stands against a pattern for more than that path.
func (t *Table) checkReading(d *Decision, host string, q lookup, found leaf[*Route], way string, bySlash bool) *Rejection {
	was := q.path
	q.path = way
	of, ok := t.tree.find(host, q)
	if !ok || of.value == found.value || bySlash && found.pattern.compare(of.pattern) == moreSpecific {
		return nil
	}
	if class := of.value.class(q.method); class != nil && lessStrict(d.Class, class) {
		return reject(http.StatusBadRequest, "%s may be read as %s, which is for %s and stricter", was, way, of.pattern)
	}
	return nil
}

// rejectUnmatched words why no route was found.
func (t *Table) rejectUnmatched(host, path string, q lookup) *Rejection {
	first, _ := cutSegment(q.path)
	name := q.header.Get(httpheader.Class)
	if t.classInPath && name != "" && name != first {
		if !t.classes[name] {
			return reject(http.StatusNotFound, "unknown class %q", name)
		}
		return reject(http.StatusBadRequest, "the header names class %q, the path %q", name, first)
	}
	if methods := t.tree.methods(host, q); len(methods) > 0 {
		if t.classInPath {
			methods = slices.DeleteFunc(methods, func(m string) bool { return m == http.MethodHead })
		}
		return notAllowed(nil, methods)
	}
	if t.classInPath {
		return reject(http.StatusNotFound, "unknown class %q", first)
	}
	return reject(http.StatusNotFound, "no route is for %s", path)
}

// normalizeHost is a Host header as patterns have it.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
