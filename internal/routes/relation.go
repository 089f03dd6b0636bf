package routes

import (
	"net/http"
	"strings"
)

// relation is how the sets of requests that two patterns match stand to each other.
type relation int8

const (
	equivalent   relation = iota
	moreSpecific          // the first's is a part of the second's
	moreGeneral           // the second's is a part of the first's
	overlapping           // each has some of the other's, and some of its own
	disjoint
)

// combineRelations is the relation of two products of sets, from those of their parts.
func combineRelations(a, b relation) relation {
	switch {
	case a == disjoint || b == disjoint:
		return disjoint
	case a == equivalent:
		return b
	case b == equivalent, a == b:
		return a
	}
	return overlapping
}

// compare relates two patterns without regard to their hosts, as net/http does: a pattern takes precedence over
// another one if it matches a part of what that one matches.
func (p *Pattern) compare(q *Pattern) relation {
	r := comparePaths(p.segments, q.segments)
	if r == disjoint { // most are, and this shows soonest
		return r
	}
	return combineRelations(combineRelations(r, compareMethods(p.Method, q.Method)), compareHeaders(p.Headers, q.Headers))
}

// conflicts tells whether a request may match both with neither taking precedence. A pattern with a host goes before
// one without.
func (p *Pattern) conflicts(q *Pattern) bool {
	if p.Host != q.Host {
		return false
	}
	r := p.compare(q)
	return r == equivalent || r == overlapping
}

func compareMethods(a, b string) relation {
	switch {
	case a == b:
		return equivalent
	case a == "":
		return moreGeneral
	case b == "":
		return moreSpecific
	case a == http.MethodGet && b == http.MethodHead: // GET is for HEAD too
		return moreGeneral
	case a == http.MethodHead && b == http.MethodGet:
		return moreSpecific
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
		return equivalent
	case same == len(b):
		return moreSpecific
	case same == len(a):
		return moreGeneral
	}
	return overlapping
}

func comparePaths(a, b []segment) relation {
	r := equivalent
	for i := 0; ; i++ {
		if i == len(a) || i == len(b) {
			if len(a) == len(b) {
				return r
			}
			return disjoint // neither ends with a rest, and one goes on
		}
		x, y := a[i], b[i]
		switch {
		case x.kind == multiWildcard && y.kind == multiWildcard:
			return r
		case x.kind == multiWildcard:
			return combineRelations(r, moreGeneral)
		case y.kind == multiWildcard:
			return combineRelations(r, moreSpecific)
		case x.kind == exactSlash || y.kind == exactSlash:
			if x.kind != y.kind {
				return disjoint // a segment has at least one byte
			}
		case x.kind == literal && y.kind == literal:
			if x.text != y.text {
				return disjoint
			}
		case x.kind == literal:
			r = combineRelations(r, moreSpecific)
		case y.kind == literal:
			r = combineRelations(r, moreGeneral)
		}
		if r == disjoint {
			return r
		}
	}
}
