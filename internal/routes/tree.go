package routes

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
)

// patternTree finds the pattern of a request: a tree by host and segment, with what is declared for a path at its leaf. A
// look-up goes down once in the usual case. Where literal and wildcard both lead on it may have to come back, and looks
// at no node twice: its cost depends on the request's segments, and not on how many patterns there are.
type patternTree[T any] struct {
	hosts map[string]*node[T] // "" for patterns without a host
	size  int
}

type node[T any] struct {
	children      map[string]*node[T] // by literal
	wildcard      *node[T]
	rest          []leaf[T] // what is left, whatever it is
	trailingSlash []leaf[T] // after {$}
	exact         []leaf[T] // the path ends here
}

// leaf is one pattern, and what it stands for. Those of one path are sorted: more headers first, then a method before
// any method, then HEAD before GET.
type leaf[T any] struct {
	pattern *Pattern
	value   T
}

func newPatternTree[T any]() *patternTree[T] { return &patternTree[T]{hosts: map[string]*node[T]{}} }

func (t *patternTree[T]) add(p *Pattern, to T) {
	n := t.hosts[p.Host]
	if n == nil {
		n = &node[T]{}
		t.hosts[p.Host] = n
	}
	put := func(list *[]leaf[T]) {
		*list = append(*list, leaf[T]{p, to})
		slices.SortStableFunc(*list, func(a, b leaf[T]) int {
			return cmp.Or(cmp.Compare(len(b.pattern.Headers), len(a.pattern.Headers)), cmp.Compare(b.pattern.Method, a.pattern.Method))
		})
	}
	t.size++
	for _, s := range p.segments {
		switch s.kind {
		case multiWildcard:
			put(&n.rest)
			return
		case exactSlash:
			put(&n.trailingSlash)
			return
		case wildcard:
			if n.wildcard == nil {
				n.wildcard = &node[T]{}
			}
			n = n.wildcard
		case literal:
			if n.children == nil {
				n.children = map[string]*node[T]{}
			}
			if n.children[s.text] == nil {
				n.children[s.text] = &node[T]{}
			}
			n = n.children[s.text]
		}
	}
	put(&n.exact)
}

// lookup is a request, for a look-up.
type lookup struct {
	method, path string
	header       http.Header
}

// find returns the most specific pattern that matches: with the request's host first, then without.
func (t *patternTree[T]) find(host string, q lookup) (found leaf[T], ok bool) {
	if host != "" {
		if n := t.hosts[host]; n != nil {
			if found, ok = n.find(q, q.path); ok {
				return found, true
			}
		}
	}
	if n := t.hosts[""]; n != nil {
		return n.find(q, q.path)
	}
	return found, false
}

// find goes on from a node with what is left of the path, from a slash on.
func (n *node[T]) find(q lookup, left string) (found leaf[T], ok bool) {
	if left == "" {
		return firstMatch(n.exact, q)
	}
	next, after := cutSegment(left)
	if next != "" {
		if child := n.children[next]; child != nil {
			if found, ok = child.find(q, after); ok {
				return found, true
			}
		}
		if n.wildcard != nil {
			if found, ok = n.wildcard.find(q, after); ok {
				return found, true
			}
		}
	} else if after == "" {
		if found, ok = firstMatch(n.trailingSlash, q); ok {
			return found, true
		}
	}
	return firstMatch(n.rest, q)
}

// cutSegment takes the first segment, behind its slash, off a path.
func cutSegment(path string) (segment, after string) {
	if i := strings.IndexByte(path[1:], '/'); i >= 0 {
		return path[1 : i+1], path[i+1:]
	}
	return path[1:], ""
}

// firstMatch returns the first of a path's leaves that takes the method and the headers.
func firstMatch[T any](list []leaf[T], q lookup) (found leaf[T], ok bool) {
	for _, l := range list {
		if m := l.pattern.Method; m != "" && m != q.method && !(m == http.MethodGet && q.method == http.MethodHead) {
			continue
		}
		if l.pattern.matchesHeaders(q.header) {
			return l, true
		}
	}
	return found, false
}

func (p *Pattern) matchesHeaders(header http.Header) bool {
	for name, value := range p.Headers {
		if !strings.EqualFold(header.Get(name), value) {
			return false
		}
	}
	return true
}

// methods lists, sorted, those that would have found something for this request.
func (t *patternTree[T]) methods(host string, q lookup) []string {
	seen := map[string]bool{}
	var walk func(n *node[T], left string)
	note := func(list []leaf[T]) {
		for _, l := range list {
			if l.pattern.matchesHeaders(q.header) {
				seen[l.pattern.Method] = true
				if l.pattern.Method == http.MethodGet {
					seen[http.MethodHead] = true
				}
			}
		}
	}
	walk = func(n *node[T], left string) {
		if n == nil {
			return
		}
		if left == "" {
			note(n.exact)
			return
		}
		next, after := cutSegment(left)
		if next != "" {
			walk(n.children[next], after)
			walk(n.wildcard, after)
		} else if after == "" {
			note(n.trailingSlash)
		}
		note(n.rest)
	}
	if host != "" {
		walk(t.hosts[host], q.path)
	}
	walk(t.hosts[""], q.path)
	var out []string
	for m := range seen {
		if m != "" {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}
