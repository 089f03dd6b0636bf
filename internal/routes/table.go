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

// Request is the head of a request. ContentLength is -1 for a body of unknown length.
type Request struct {
	Method, Host, Target string
	Header               http.Header
	ContentLength        int64
}

// Decision holds the route and the class of a request, and the values that the route's sources have for it.
type Decision struct {
	Route          *Route
	Class          *balancer.Class
	ID             string // empty if the caller has to generate an id
	IdempotencyKey string // set only if the class needs one
	Tenant         string
	CostHint       time.Duration // expected work; 0 if unknown
	Timeout        time.Duration // how long the client waits, at most the class's deadline
}

// Table is a set of routes. It is immutable and safe for concurrent use.
type Table struct {
	tree     *patternTree[*Route]
	routes   []*Route
	hasHosts bool // some route has a host

	decisiveHeaders    []string // headers that influence decisions: a request may have each at most once, in one spelling
	singleValueHeaders []string // the decisive headers that must not hold a list

	// Fields of the platform's rules.
	classInPath bool            // the path's first segment names a class, without encoding
	classes     map[string]bool // the classes that a ClassHeader may name
}

// New returns a table of the routes. If some routes conflict, it returns the pairs of conflicting routes instead.
func New(routes []*Route) (*Table, []Conflict) {
	patterns := make([]*Pattern, len(routes))
	for i, route := range routes {
		patterns[i] = route.Pattern
	}
	if found := conflicts(patterns); len(found) > 0 {
		return nil, found
	}
	t := &Table{
		tree:               newPatternTree[*Route](),
		routes:             routes,
		decisiveHeaders:    slices.Clone(platformHeaders),
		singleValueHeaders: []string{},
		classes:            map[string]bool{},
	}
	for _, route := range routes {
		t.add(route)
	}
	slices.Sort(t.singleValueHeaders)
	t.singleValueHeaders = slices.Compact(t.singleValueHeaders)
	return t, nil
}

func (t *Table) add(route *Route) {
	t.tree.add(route.Pattern, route)
	t.hasHosts = t.hasHosts || route.Pattern.Host != ""
	for _, source := range []Source{route.Key, route.Tenant, route.Cost, route.ID, route.Deadline} {
		t.addDecisiveHeader(source.header())
	}
	for name := range route.Pattern.Headers {
		t.addDecisiveHeader(name)
		t.singleValueHeaders = append(t.singleValueHeaders, name)
	}
	if route.ClassHeader == "" {
		return
	}
	t.addDecisiveHeader(route.ClassHeader)
	t.singleValueHeaders = append(t.singleValueHeaders, route.ClassHeader)
	t.classInPath = true
	if route.Class != nil {
		t.classes[route.Class.Name] = true
	}
}

func (t *Table) addDecisiveHeader(name string) {
	if name != "" && !slices.Contains(t.decisiveHeaders, name) {
		t.decisiveHeaders = append(t.decisiveHeaders, name)
	}
}

// Routes returns the routes in the order given to New.
func (t *Table) Routes() []*Route { return t.routes }

// Decide returns the decision on a request, or its rejection.
func (t *Table) Decide(request Request) (Decision, *Rejection) {
	path, err := targetPath(request.Target)
	if err != nil {
		return Decision{}, reject(http.StatusBadRequest, "%v", err)
	}
	if problem := t.checkHeaders(request.Header); problem != "" {
		return Decision{}, reject(http.StatusBadRequest, "%s", problem)
	}
	if t.classInPath {
		if first, _ := cutSegment(path); strings.Contains(first, "%") {
			return Decision{}, reject(http.StatusBadRequest, "the class stands in the path as it is, without encoding")
		}
	}
	host := ""
	if t.hasHosts {
		host = normalizeHost(request.Host)
	}
	wanted := lookup{method: request.Method, path: path, header: request.Header}
	var readings []string // empty if all servers read the path in the same way, apart from a trailing slash
	if !hasOneReading(path) {
		readings = pathReadings(path)
		wanted.path = readings[0]
	}
	found, ok := t.tree.find(host, wanted)
	if !ok {
		return Decision{}, t.rejectUnmatched(host, path, wanted)
	}
	route := found.value
	d := Decision{Class: route.class(request.Method)}
	if d.Class == nil {
		return d, rejectMethod(found.pattern, route.allowed())
	}
	if rejection := t.checkReadings(d.Class, host, wanted, found, readings); rejection != nil {
		return d, rejection
	}
	d.Route = route
	return d, t.readFields(&d, wanted.path, request)
}

// checkReadings rejects a request if any other reading of its path has a stricter class than the route found.
func (t *Table) checkReadings(class *balancer.Class, host string, wanted lookup, found leaf[*Route], readings []string) *Rejection {
	if len(readings) > 0 {
		for _, reading := range readings[1:] {
			if rejection := t.checkReading(class, host, wanted, found, reading, false); rejection != nil {
				return rejection
			}
			if rejection := t.checkReading(class, host, wanted, found, toggleTrailingSlash(reading), true); rejection != nil {
				return rejection
			}
		}
	}
	return t.checkReading(class, host, wanted, found, toggleTrailingSlash(wanted.path), true)
}

// checkReading rejects a request if another reading of its path has a stricter class. If the reading differs only by the trailing slash
// (slashOnly), a more specific pattern for the path as sent decides, because the operator distinguishes the two paths.
func (t *Table) checkReading(class *balancer.Class, host string, wanted lookup, found leaf[*Route], reading string, slashOnly bool) *Rejection {
	sent := wanted.path
	wanted.path = reading
	other, ok := t.tree.find(host, wanted)
	if !ok || other.value == found.value || slashOnly && found.pattern.compare(other.pattern) == moreSpecific {
		return nil
	}
	if otherClass := other.value.class(wanted.method); otherClass != nil && lessStrict(class, otherClass) {
		return reject(http.StatusBadRequest, "%s may be read as %s, which is for %s and stricter", sent, reading, other.pattern)
	}
	return nil
}

// rejectUnmatched returns the rejection of a request that no route matches.
func (t *Table) rejectUnmatched(host, path string, wanted lookup) *Rejection {
	first, _ := cutSegment(wanted.path)
	if t.classInPath {
		if rejection := t.checkClassName(wanted.header.Get(httpheader.Class), first); rejection != nil {
			return rejection
		}
	}
	if methods := t.tree.methods(host, wanted); len(methods) > 0 {
		if t.classInPath {
			methods = slices.DeleteFunc(methods, func(method string) bool { return method == http.MethodHead })
		}
		return rejectMethod(nil, methods)
	}
	if t.classInPath {
		return rejectUnknownClass(first)
	}
	return reject(http.StatusNotFound, "no route is for %s", path)
}

// checkClassName rejects a request whose header names another class than its path. named is empty if there is no such header.
func (t *Table) checkClassName(named, inPath string) *Rejection {
	switch {
	case named == "" || named == inPath:
		return nil
	case !t.classes[named]:
		return rejectUnknownClass(named)
	}
	return reject(http.StatusBadRequest, "the header names class %q, the path %q", named, inPath)
}

// normalizeHost returns a Host header in the form that patterns have.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
