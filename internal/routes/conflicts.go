package routes

import (
	"fmt"
	"slices"
)

// Conflict is a pair of patterns of which neither takes precedence. First and Second are their indices in the list that the table is made
// from.
type Conflict struct{ First, Second int }

// maxConflicts is the maximum number of conflicts that are reported.
const maxConflicts = 100

// position is the position of a segment in the patterns of a host. text is the segment's literal, and empty for wildcards.
type position struct {
	host, text string
	index      int
}

// conflictIndex finds the patterns that may conflict with a given pattern. Two patterns can match the same path only if, at each position,
// they have the same literal or one of them has a wildcard. A pattern is therefore compared only with the patterns that can match one of
// its literals: the literal for which these patterns are fewest.
type conflictIndex struct {
	literals       map[position][]int // patterns with the literal at the position
	wildcards      map[position][]int // patterns with a wildcard for one segment, or {$}, at the position
	multiWildcards map[position][]int // patterns with a multi wildcard at the position
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

// candidates returns the sorted indices of the patterns, among those added so far, that may match a path of the given pattern.
func (x *conflictIndex) candidates(pattern *Pattern) []int {
	candidates := x.all[pattern.Host]
	fewest := len(candidates)
	var reaching [][]int // patterns with a multi wildcard at the position or before it
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

// Describe returns the reason why two patterns conflict.
func Describe(p, q *Pattern) string {
	if p.compare(q) == equivalent {
		return fmt.Sprintf("%s is for the same requests as %s", q, p)
	}
	return fmt.Sprintf("%s and %s both match some requests, and neither is the more specific", q, p)
}
