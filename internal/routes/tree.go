package routes

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// patternTree finds the pattern of a request. It is a tree by host and path segment with the patterns of a path at its nodes. A lookup is
// usually one descent. Where both a literal and a wildcard match, it may backtrack, but it visits no node twice: its cost depends on the
// number of segments in the request, and not on the number of patterns.
type patternTree[T any] struct {
	hosts map[string]*node[T] // "" for patterns without a host
}

type node[T any] struct {
	children      map[string]*node[T] // by literal segment
	wildcard      *node[T]            // any one segment
	multiWildcard []leaf[T]           // any remainder of the path
	trailingSlash []leaf[T]           // after {$}
	exact         []leaf[T]           // the path ends here
}

// leaf is one pattern and its value. The leaves of one path are sorted: patterns with more headers first, then patterns with a method
// before those without, then HEAD before GET.
type leaf[T any] struct {
	pattern *Pattern
	value   T
}

func newPatternTree[T any]() *patternTree[T] { return &patternTree[T]{hosts: map[string]*node[T]{}} }

func (t *patternTree[T]) add(pattern *Pattern, value T) {
	n := t.hosts[pattern.Host]
	if n == nil {
		n = &node[T]{}
		t.hosts[pattern.Host] = n
	}
	added := leaf[T]{pattern, value}
	for _, s := range pattern.segments {
		switch s.kind {
		case multiWildcard:
			n.multiWildcard = insertLeaf(n.multiWildcard, added)
			return
		case exactSlash:
			n.trailingSlash = insertLeaf(n.trailingSlash, added)
			return
		case wildcard:
			if n.wildcard == nil {
				n.wildcard = &node[T]{}
			}
			n = n.wildcard
		case literal:
			n = n.child(s.text)
		}
	}
	n.exact = insertLeaf(n.exact, added)
}

// child returns the node of a literal segment. It adds the node if there is none.
func (n *node[T]) child(text string) *node[T] {
	if n.children == nil {
		n.children = map[string]*node[T]{}
	}
	if n.children[text] == nil {
		n.children[text] = &node[T]{}
	}
	return n.children[text]
}

func insertLeaf[T any](leaves []leaf[T], added leaf[T]) []leaf[T] {
	leaves = append(leaves, added)
	slices.SortStableFunc(leaves, func(a, b leaf[T]) int {
		return cmp.Or(cmp.Compare(len(b.pattern.Headers), len(a.pattern.Headers)), cmp.Compare(b.pattern.Method, a.pattern.Method))
	})
	return leaves
}

// lookup is the part of a request that patterns match, without its host.
type lookup struct {
	method, path string
	header       http.Header
}

// find returns the most specific pattern that matches. Patterns with the request's host take precedence over patterns without a host.
func (t *patternTree[T]) find(host string, wanted lookup) (found leaf[T], ok bool) {
	if host != "" {
		if n := t.hosts[host]; n != nil {
			if found, ok = n.find(wanted, wanted.path); ok {
				return found, true
			}
		}
	}
	if n := t.hosts[""]; n != nil {
		return n.find(wanted, wanted.path)
	}
	return found, false
}

// find continues from a node with the remainder of the path, which begins with a slash or is empty.
func (n *node[T]) find(wanted lookup, remainder string) (found leaf[T], ok bool) {
	if remainder == "" {
		return firstMatch(n.exact, wanted)
	}
	next, after := cutSegment(remainder)
	if next != "" {
		if child := n.children[next]; child != nil {
			if found, ok = child.find(wanted, after); ok {
				return found, true
			}
		}
		if n.wildcard != nil {
			if found, ok = n.wildcard.find(wanted, after); ok {
				return found, true
			}
		}
	} else if after == "" {
		if found, ok = firstMatch(n.trailingSlash, wanted); ok {
			return found, true
		}
	}
	return firstMatch(n.multiWildcard, wanted)
}

// cutSegment splits the first segment, without its slash, off a path.
func cutSegment(path string) (segment, after string) {
	if i := strings.IndexByte(path[1:], '/'); i >= 0 {
		return path[1 : i+1], path[i+1:]
	}
	return path[1:], ""
}

// firstMatch returns the first of a path's leaves that matches the method and the headers.
func firstMatch[T any](leaves []leaf[T], wanted lookup) (found leaf[T], ok bool) {
	for _, l := range leaves {
		if l.pattern.matchesMethod(wanted.method) && l.pattern.matchesHeaders(wanted.header) {
			return l, true
		}
	}
	return found, false
}

// methods returns, sorted, the methods for which find would have found a pattern.
func (t *patternTree[T]) methods(host string, wanted lookup) []string {
	methods := map[string]bool{}
	if host != "" {
		t.hosts[host].collectMethods(wanted, wanted.path, methods)
	}
	t.hosts[""].collectMethods(wanted, wanted.path, methods)
	delete(methods, "")
	return slices.Sorted(maps.Keys(methods))
}

// collectMethods adds the methods of all patterns that match the request apart from its method. The node may be nil.
func (n *node[T]) collectMethods(wanted lookup, remainder string, into map[string]bool) {
	if n == nil {
		return
	}
	if remainder == "" {
		leafMethods(n.exact, wanted, into)
		return
	}
	next, after := cutSegment(remainder)
	if next != "" {
		n.children[next].collectMethods(wanted, after, into)
		n.wildcard.collectMethods(wanted, after, into)
	} else if after == "" {
		leafMethods(n.trailingSlash, wanted, into)
	}
	leafMethods(n.multiWildcard, wanted, into)
}

func leafMethods[T any](leaves []leaf[T], wanted lookup, into map[string]bool) {
	for _, l := range leaves {
		if !l.pattern.matchesHeaders(wanted.header) {
			continue
		}
		into[l.pattern.Method] = true
		if l.pattern.Method == http.MethodGet {
			into[http.MethodHead] = true
		}
	}
}
