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

var maxStates = flag.Int("states", 30_000, "how many states TestModel visits at most, for each of its bounds")

// recoveryCheckInterval is how many states the search visits for each check of recovery, which is slow.
const recoveryCheckInterval = 64

const notRecovered = "nobody ever holds it again"

// path is a world with the steps that led to it.
type path struct {
	world    *world
	step     string
	previous *path
}

// trace returns the steps that led to a path's end, and what is wrong there.
func (p *path) trace(violation string) []string {
	trace := []string{violation}
	for ; p != nil; p = p.previous {
		trace = append(trace, p.step)
	}
	slices.Reverse(trace)
	return trace
}

// search visits each state within the bounds once, depth first, up to limit states. It returns the trace to a violation, nil if there is none, and
// whether it has visited all states.
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
		current.world = nil // its successors need only its step
	}
	return len(seen), nil, true
}

// Every order of a few steps is tried: messages that are lost, late or duplicated, clocks at both limits of their drift, holders that are stopped,
// and leaders that change with or without their proposals. Two holders never act on one name, and from no state is it lost for good.
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
				t.Errorf("after %d states:\n%s", states, strings.Join(trace, "\n"))
			}
			t.Logf("%d states, all of them: %v", states, exhaustive)
		})
	}
}

// faultOdds is how many ordinary steps a walk takes for each fault, on average, where both are possible.
const faultOdds = 12

// walk takes steps that draw chooses, and returns the trace to a violation; nil if there is none.
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

// A longer search at random: more steps, more faults, three holders of two names. A violation is shrunk.
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

// Each rule that is left out leads to two holders, and the random search finds it.
func TestModelBites(t *testing.T) {
	const walks = 200_000
	for _, c := range []struct {
		omitted      omittedRule
		acquisitions uint64
		firstSeed    uint64 // a search from 0 finds a violation too, in about a minute
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
					t.Logf("walk %d: %d steps", seed, len(trace))
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}
