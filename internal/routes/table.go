package routes

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Conflict is two patterns of which neither takes precedence, by their places in the list that the table was made of.
type Conflict struct{ First, Second int }

// table finds the pattern of a request: a tree by host and segment, with what is declared for a path at its leaf. A
// look-up goes down once in the usual case. Where literal and wildcard both lead on it may have to come back, and looks
// at no node twice: its cost depends on the request's segments, and not on how many patterns there are.
type table[T any] struct {
	hosts map[string]*node[T] // "" for patterns without a host
	size  int
}

type node[T any] struct {
	children map[string]*node[T] // by literal
	single   *node[T]
	rest     []leaf[T] // what is left, whatever it is
	end      []leaf[T] // after {$}
	here     []leaf[T] // the path ends here
}

// leaf is one pattern, and what it stands for. Those of one path are sorted: more headers first, then a method before
// any method, then HEAD before GET.
type leaf[T any] struct {
	p  *Pattern
	to T
}

func newTable[T any]() *table[T] { return &table[T]{hosts: map[string]*node[T]{}} }

func (t *table[T]) add(p *Pattern, to T) {
	n := t.hosts[p.Host]
	if n == nil {
		n = &node[T]{}
		t.hosts[p.Host] = n
	}
	put := func(list *[]leaf[T]) {
		*list = append(*list, leaf[T]{p, to})
		slices.SortStableFunc(*list, func(a, b leaf[T]) int {
			return cmp.Or(cmp.Compare(len(b.p.Headers), len(a.p.Headers)), cmp.Compare(b.p.Method, a.p.Method))
		})
	}
	t.size++
	for _, s := range p.segments {
		switch s.kind {
		case rest:
			put(&n.rest)
			return
		case end:
			put(&n.end)
			return
		case single:
			if n.single == nil {
				n.single = &node[T]{}
			}
			n = n.single
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
	put(&n.here)
}

// asked is a request, for a look-up.
type asked struct {
	method, path string
	header       http.Header
}

// find returns the most specific pattern that matches: with the request's host first, then without.
func (t *table[T]) find(host string, q asked) (found leaf[T], ok bool) {
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
func (n *node[T]) find(q asked, left string) (found leaf[T], ok bool) {
	if left == "" {
		return pick(n.here, q)
	}
	next, after := cut(left)
	if next != "" {
		if child := n.children[next]; child != nil {
			if found, ok = child.find(q, after); ok {
				return found, true
			}
		}
		if n.single != nil {
			if found, ok = n.single.find(q, after); ok {
				return found, true
			}
		}
	} else if after == "" {
		if found, ok = pick(n.end, q); ok {
			return found, true
		}
	}
	return pick(n.rest, q)
}

// cut takes the first segment, behind its slash, off a path.
func cut(path string) (segment, after string) {
	if i := strings.IndexByte(path[1:], '/'); i >= 0 {
		return path[1 : i+1], path[i+1:]
	}
	return path[1:], ""
}

// pick returns the first of a path's leaves that takes the method and the headers.
func pick[T any](list []leaf[T], q asked) (found leaf[T], ok bool) {
	for _, l := range list {
		if m := l.p.Method; m != "" && m != q.method && !(m == http.MethodGet && q.method == http.MethodHead) {
			continue
		}
		if l.p.fits(q.header) {
			return l, true
		}
	}
	return found, false
}

func (p *Pattern) fits(header http.Header) bool {
	for name, value := range p.Headers {
		if !strings.EqualFold(header.Get(name), value) {
			return false
		}
	}
	return true
}

// methods lists, sorted, those that would have found something for this request.
func (t *table[T]) methods(host string, q asked) []string {
	seen := map[string]bool{}
	var walk func(n *node[T], left string)
	note := func(list []leaf[T]) {
		for _, l := range list {
			if l.p.fits(q.header) {
				seen[l.p.Method] = true
				if l.p.Method == http.MethodGet {
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
			note(n.here)
			return
		}
		next, after := cut(left)
		if next != "" {
			walk(n.children[next], after)
			walk(n.single, after)
		} else if after == "" {
			note(n.end)
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

// maxConflicts bounds how many are reported.
const maxConflicts = 100

// conflicts finds pairs of patterns of which neither takes precedence, the later against the earlier. Two patterns can
// match the same path only if at each place they have the same literal or one of them a wildcard, so that a pattern is
// held against those only that share its literal at the place where these are fewest.
func conflicts(patterns []*Pattern) (out []Conflict) {
	type place struct {
		host, text string
		at         int
	}
	literals := map[place][]int{} // patterns with this literal there
	wild := map[place][]int{}     // with a wildcard for one segment there (text is empty)
	rests := map[place][]int{}    // that end with a rest there
	all := map[string][]int{}     // by host
	for i, p := range patterns {
		candidates, fewest := all[p.Host], len(all[p.Host])
		var reach [][]int // the patterns whose rest begins there or before
		for at, s := range p.segments {
			reach = append(reach, rests[place{p.Host, "", at}])
			if s.kind != literal {
				continue
			}
			at := append(slices.Clone(reach), literals[place{p.Host, s.text, at}], wild[place{p.Host, "", at}])
			n := 0
			for _, list := range at {
				n += len(list)
			}
			if n < fewest {
				candidates, fewest = slices.Concat(at...), n
			}
		}
		candidates = slices.Clone(candidates)
		slices.Sort(candidates)
		for _, j := range slices.Compact(candidates) {
			if p.conflicts(patterns[j]) {
				out = append(out, Conflict{j, i})
				if len(out) == maxConflicts {
					return out
				}
			}
		}
		for at, s := range p.segments {
			switch s.kind {
			case literal:
				key := place{p.Host, s.text, at}
				literals[key] = append(literals[key], i)
			case rest:
				key := place{p.Host, "", at}
				rests[key] = append(rests[key], i)
			default:
				key := place{p.Host, "", at}
				wild[key] = append(wild[key], i)
			}
		}
		all[p.Host] = append(all[p.Host], i)
	}
	return out
}

// Describe says why two patterns conflict.
func Describe(p, q *Pattern) string {
	if p.compare(q) == equal {
		return fmt.Sprintf("%s is for the same requests as %s", q, p)
	}
	return fmt.Sprintf("%s and %s both match some requests, and neither is the more specific", q, p)
}
