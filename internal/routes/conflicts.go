package routes

import (
	"fmt"
	"slices"
)

// Conflict is two patterns of which neither takes precedence, by their indices in the list that the table is made of.
type Conflict struct{ First, Second int }

// maxConflicts is how many conflicts are reported at most.
const maxConflicts = 100

// position is a segment of the patterns with a host. text is empty but for literals.
type position struct {
	host, text string
	index      int
}

// conflictIndex finds the patterns with which another may conflict. Two patterns can match the same path only if at each position they have
// the same literal or one of them has a wildcard. So a pattern is compared only with those that can share its literal at the position where
// they are fewest.
type conflictIndex struct {
	literals       map[position][]int // patterns with this literal there
	wildcards      map[position][]int // with a wildcard for one segment, or the end, there
	multiWildcards map[position][]int // whose remainder begins there
	all            map[string][]int   // by host
}

// conflicts returns the pairs of patterns of which neither takes precedence, sorted by the second and the first.
func conflicts(patterns []*Pattern) []Conflict {
	index := &conflictIndex{literals: map[position][]int{}, wildcards: map[position][]int{}, multiWildcards: map[position][]int{},
		all: map[string][]int{}}
	var found []Conflict
	for i, pattern := range patterns {
		for _, j := range index.candidates(pattern) {
			if !pattern.conflicts(patterns[j]) {
				continue
			}
			found = append(found, Conflict{j, i})
			if len(found) == maxConflicts {
				return found
			}
		}
		index.add(pattern, i)
	}
	return found
}

// candidates returns, sorted, the patterns added before that may match a path of this one.
func (x *conflictIndex) candidates(pattern *Pattern) []int {
	candidates := x.all[pattern.Host]
	fewest := len(candidates)
	var reaching [][]int // patterns whose remainder begins at the position or before
	for i, s := range pattern.segments {
		reaching = append(reaching, x.multiWildcards[position{pattern.Host, "", i}])
		if s.kind != literal {
			continue
		}
		sharing := append(slices.Clone(reaching), x.literals[position{pattern.Host, s.text, i}], x.wildcards[position{pattern.Host, "", i}])
		n := 0
		for _, list := range sharing {
			n += len(list)
		}
		if n < fewest {
			candidates, fewest = slices.Concat(sharing...), n
		}
	}
	candidates = slices.Clone(candidates)
	slices.Sort(candidates)
	return slices.Compact(candidates)
}

func (x *conflictIndex) add(pattern *Pattern, number int) {
	for i, s := range pattern.segments {
		list, at := x.wildcards, position{pattern.Host, "", i}
		switch s.kind {
		case literal:
			list, at.text = x.literals, s.text
		case multiWildcard:
			list = x.multiWildcards
		}
		list[at] = append(list[at], number)
	}
	x.all[pattern.Host] = append(x.all[pattern.Host], number)
}

// Describe says why two patterns conflict.
func Describe(p, q *Pattern) string {
	if p.compare(q) == equivalent {
		return fmt.Sprintf("%s is for the same requests as %s", q, p)
	}
	return fmt.Sprintf("%s and %s both match some requests, and neither is the more specific", q, p)
}
