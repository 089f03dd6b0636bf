package routes

import (
	"net/http"
	"strings"
)

// relation is the relation between the sets of requests that two patterns match. The names are those of net/http.
type relation int8

const (
	equivalent   relation = iota
	moreSpecific          // the first set is a subset of the second
	moreGeneral           // the second set is a subset of the first
	overlapping           // each set has requests that the other lacks, and some requests are in both
	disjoint
)

// combineRelations returns the relation between two products of sets, from the relations between their factors.
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

// compare returns the relation between two patterns, without regard to their hosts. As in net/http, the more specific one takes precedence.
func (p *Pattern) compare(q *Pattern) relation {
	r := comparePaths(p.segments, q.segments)
	if r == disjoint { // the usual case
		return r
	}
	return combineRelations(combineRelations(r, compareMethods(p.Method, q.Method)), compareHeaders(p.Headers, q.Headers))
}

// conflicts reports whether a request may match both patterns without one taking precedence. A pattern with a host takes precedence over
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
	case a == http.MethodGet && b == http.MethodHead: // GET includes HEAD
		return moreGeneral
	case a == http.MethodHead && b == http.MethodGet:
		return moreSpecific
	}
	return disjoint
}

// compareHeaders returns the relation between two sets of conditions. An additional condition makes a set more specific.
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
			return disjoint // one path is longer, and neither has a multi wildcard up to here
		}
		x, y := a[i], b[i]
		switch {
		case x.kind == multiWildcard && y.kind == multiWildcard:
			return r
		case x.kind == multiWildcard:
			return combineRelations(r, moreGeneral)
		case y.kind == multiWildcard:
			return combineRelations(r, moreSpecific)
		}
		r = combineRelations(r, compareSegments(x, y))
		if r == disjoint {
			return disjoint
		}
	}
}

// compareSegments compares two segments that are not multi wildcards.
func compareSegments(a, b segment) relation {
	switch {
	case a.kind == exactSlash || b.kind == exactSlash:
		if a.kind != b.kind {
			return disjoint // a segment has at least one byte
		}
	case a.kind == literal && b.kind == literal:
		if a.text != b.text {
			return disjoint
		}
	case a.kind == literal:
		return moreSpecific
	case b.kind == literal:
		return moreGeneral
	}
	return equivalent
}
