package routes

import (
	"fmt"
	"slices"
)

// Conflict is two patterns of which neither takes precedence, by their places in the list that the table was made of.
type Conflict struct{ First, Second int }

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
			case multiWildcard:
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
	if p.compare(q) == equivalent {
		return fmt.Sprintf("%s is for the same requests as %s", q, p)
	}
	return fmt.Sprintf("%s and %s both match some requests, and neither is the more specific", q, p)
}
