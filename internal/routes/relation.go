package routes

import (
	"net/http"
	"strings"
)

// relation is how the sets of requests that two patterns match stand to each other.
type relation int8

const (
	equal    relation = iota
	within            // the first's is a part of the second's
	around            // the second's is a part of the first's
	crossing          // each has some of the other's, and some of its own
	disjoint
)

// both is the relation of two products of sets, from those of their parts.
func both(a, b relation) relation {
	switch {
	case a == disjoint || b == disjoint:
		return disjoint
	case a == equal:
		return b
	case b == equal, a == b:
		return a
	}
	return crossing
}

// compare relates two patterns without regard to their hosts, as net/http does: a pattern takes precedence over
// another one if it matches a part of what that one matches.
func (p *Pattern) compare(q *Pattern) relation {
	r := comparePaths(p.segments, q.segments)
	if r == disjoint { // most are, and this shows soonest
		return r
	}
	return both(both(r, compareMethods(p.Method, q.Method)), compareHeaders(p.Headers, q.Headers))
}

// conflicts tells whether a request may match both with neither taking precedence. A pattern with a host goes before
// one without.
func (p *Pattern) conflicts(q *Pattern) bool {
	if p.Host != q.Host {
		return false
	}
	r := p.compare(q)
	return r == equal || r == crossing
}

func compareMethods(a, b string) relation {
	switch {
	case a == b:
		return equal
	case a == "":
		return around
	case b == "":
		return within
	case a == http.MethodGet && b == http.MethodHead: // GET is for HEAD too
		return around
	case a == http.MethodHead && b == http.MethodGet:
		return within
	}
	return disjoint
}

// compareHeaders relates conditions: the more there are, the less they match.
func compareHeaders(a, b map[string]string) relation {
	same := 0
	for name, value := range a {
		if other, has := b[name]; has {
			if !strings.EqualFold(other, value) {
				return disjoint
			}
			same++
		}
	}
	switch {
	case same == len(a) && same == len(b):
		return equal
	case same == len(b):
		return within
	case same == len(a):
		return around
	}
	return crossing
}

func comparePaths(a, b []segment) relation {
	r := equal
	for i := 0; ; i++ {
		if i == len(a) || i == len(b) {
			if len(a) == len(b) {
				return r
			}
			return disjoint // neither ends with a rest, and one goes on
		}
		x, y := a[i], b[i]
		switch {
		case x.kind == rest && y.kind == rest:
			return r
		case x.kind == rest:
			return both(r, around)
		case y.kind == rest:
			return both(r, within)
		case x.kind == end || y.kind == end:
			if x.kind != y.kind {
				return disjoint // a segment has at least one byte
			}
		case x.kind == literal && y.kind == literal:
			if x.text != y.text {
				return disjoint
			}
		case x.kind == literal:
			r = both(r, within)
		case y.kind == literal:
			r = both(r, around)
		}
		if r == disjoint {
			return r
		}
	}
}
