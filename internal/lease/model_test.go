package lease

import (
	"flag"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var maxStates = flag.Int("states", 30_000, "the largest number of states that TestModel visits for each of its bounds")

// recoveryCheckInterval is the number of visited states per check of recovery, which is slow.
const recoveryCheckInterval = 64

const notRecovered = "a name is not held again after all faults have ended"

// path is a sequence of steps of the model: a world, the last step that led to this world, and the path before that step.
type path struct {
	world    *world
	step     string
	previous *path
}

// trace returns the steps that led to the end of a path, followed by the violation there.
func (p *path) trace(violation string) []string {
	trace := []string{violation}
	for ; p != nil; p = p.previous {
		trace = append(trace, p.step)
	}
	slices.Reverse(trace)
	return trace
}

// search visits each state within the bounds once, depth first, up to limit states. It returns the number of visited states, the trace to a violation
// (or nil if it found no violation), and whether it has visited all states.
func search(bounds searchBounds, limit int) (states int, trace []string, exhaustive bool) {
	seed := maphash.MakeSeed()
	var encoded []byte
	seen := map[uint64]struct{}{}
	stack := []*path{{world: newWorld(&bounds), step: "start"}}
	for len(stack) > 0 {
		current := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		encoded = current.world.fingerprint(encoded[:0])
		hash := maphash.Bytes(seed, encoded)
		if _, ok := seen[hash]; ok {
			continue
		}
		if len(seen) >= limit {
			return len(seen), nil, false
		}
		seen[hash] = struct{}{}
		if violation := current.world.violation(); violation != "" {
			return len(seen), current.trace(violation), false
		}
		if hash%recoveryCheckInterval == 0 && !current.world.recovers() {
			return len(seen), current.trace(notRecovered), false
		}
		for _, step := range current.world.steps() {
			next := current.world.clone()
			step.apply(next)
			stack = append(stack, &path{next, step.name, current})
		}
		current.world = nil // the paths that continue this path need only its step
	}
	return len(seen), nil, true
}

// Guards against two holders that act on one name at once, and against a name that can never be held again. Every order of a few steps is tried:
// messages are lost, late or duplicated, clocks run at both limits of their drift, holders pause, and the leader changes with or without its
// proposals.
func TestModel(t *testing.T) {
	for name, bounds := range map[string]searchBounds{
		"slow holders and a fast leader":      {holders: 2, names: 1, rates: []time.Duration{3, 3}, leaderRate: 5, quanta: 7, inTransit: 2, acquisitions: 1, faults: 1},
		"the leader changes":                  {holders: 2, names: 1, rates: []time.Duration{3, 5}, leaderRate: 5, quanta: 6, inTransit: 2, acquisitions: 1, faults: 2},
		"three holders":                       {holders: 3, names: 1, rates: []time.Duration{3, 5, 3}, leaderRate: 5, quanta: 5, inTransit: 2, acquisitions: 1, faults: 1},
		"two names":                           {holders: 2, names: 2, rates: []time.Duration{3, 3}, leaderRate: 5, quanta: 5, inTransit: 2, acquisitions: 1, faults: 1},
		"repeated acquisition, a slow leader": {holders: 2, names: 1, rates: []time.Duration{5, 3}, leaderRate: 3, quanta: 6, inTransit: 2, acquisitions: 2, faults: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, trace, exhaustive := search(bounds, *maxStates)
			if trace != nil {
				t.Errorf("violation found after %d states, by these steps:\n%s", states, strings.Join(trace, "\n"))
			}
			t.Logf("visited %d states; these are all states within the bounds: %v", states, exhaustive)
		})
	}
}

// faultOdds sets the probability of a fault: where both faults and other steps are possible, one step in faultOdds is a fault on average.
const faultOdds = 12

// walk takes steps that draw chooses, and returns the trace to a violation, or nil if it met no violation.
func walk(bounds *searchBounds, draw func(label string, n int) int, steps int) (trace []string) {
	w := newWorld(bounds)
	for range steps {
		var ordinary, faults []modelStep
		for _, step := range w.steps() {
			if step.fault {
				faults = append(faults, step)
			} else {
				ordinary = append(ordinary, step)
			}
		}
		candidates := ordinary
		if len(faults) > 0 && (len(ordinary) == 0 || draw("fault", faultOdds) == 0) {
			candidates = faults
		}
		if len(candidates) == 0 {
			return nil
		}
		step := candidates[draw("step", len(candidates))]
		step.apply(w)
		trace = append(trace, step.name)
		if violation := w.violation(); violation != "" {
			return append(trace, violation)
		}
	}
	if !w.recovers() {
		return append(trace, notRecovered)
	}
	return nil
}

// Extends TestModel by random walks that have more steps and faults, and three processes that each try to hold two names. rapid shrinks the walk to a
// violation.
func TestModelAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]time.Duration{3, 4, 5})
		bounds := searchBounds{holders: 3, names: 2, rates: []time.Duration{rate.Draw(t, "rate"), rate.Draw(t, "rate"), rate.Draw(t, "rate")},
			leaderRate: rate.Draw(t, "leader"), quanta: 1000, inTransit: 6, acquisitions: 3, faults: 20}
		draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if trace := walk(&bounds, draw, 300); trace != nil {
			t.Fatal(strings.Join(trace, "\n"))
		}
	})
}

// Guards against a model that cannot detect violations: whichever rule of the lease is omitted, the random search finds two holders of one name.
func TestModelBites(t *testing.T) {
	const walks = 200_000
	for _, c := range []struct {
		omitted      omittedRule
		acquisitions uint64
		firstSeed    uint64 // a search from seed 0 finds a violation too, but takes about a minute
	}{
		{omitted: countFromSend, acquisitions: 1},
		{omitted: subtractDrift, acquisitions: 1},
		{omitted: restartTimers, acquisitions: 1},
		{omitted: noGrantAfterProposal, acquisitions: 4, firstSeed: 82_000},
	} {
		t.Run(string(c.omitted), func(t *testing.T) {
			t.Parallel()
			bounds := searchBounds{holders: 2, names: 1, rates: []time.Duration{3, 3}, leaderRate: 5, quanta: 30, inTransit: 4,
				acquisitions: c.acquisitions, faults: 4, omitted: c.omitted}
			for seed := c.firstSeed; seed < c.firstSeed+walks; seed++ {
				rng := rand.New(rand.NewPCG(seed, 1))
				if trace := walk(&bounds, func(_ string, n int) int { return rng.IntN(n) }, 80); trace != nil {
					t.Logf("walk %d found a violation after %d steps", seed, len(trace))
					return
				}
			}
			t.Error("the search found no violation although a rule is omitted")
		})
	}
}
