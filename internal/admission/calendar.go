package admission

import (
	"math/rand/v2"
	"time"
)

const (
	minCalendarStep  = 10 * time.Millisecond
	maxCalendarSteps = 1024 // maximum number of steps; a longer calendar has longer steps
	minStepCapacity  = 1e-6 // least capacity of a step, in reservations; it bounds how many steps one reservation takes
	maxRunDivisor    = 4    // divides the number of steps: one reservation takes at most one step more than the quotient
)

// calendar counts the reservations in each time step from now to its end, so that no step has more reservations than
// can be served.
type calendar struct {
	step      time.Duration
	counts    []uint32 // reservations by step, a ring buffer
	firstStep int64    // the step that contains the current time
	rng       *rand.Rand
}

// newCalendar returns a calendar that covers the given length of time from now on.
func newCalendar(length time.Duration, rng *rand.Rand) calendar {
	step := max(minCalendarStep, (length+maxCalendarSteps-1)/maxCalendarSteps)
	return calendar{step: step, counts: make([]uint32, int(length/step)+2), rng: rng}
}

// advance clears the steps that have passed.
func (c *calendar) advance(now time.Duration) {
	current := int64(now / c.step)
	if current-c.firstStep >= int64(len(c.counts)) {
		clear(c.counts)
		c.firstStep = current
	}
	for ; c.firstStep < current; c.firstStep++ {
		c.counts[c.firstStep%int64(len(c.counts))] = 0
	}
}

// reserve takes the first step from earliest on that has fewer than stepCapacity reservations, and returns a random
// time in it. It returns false if no such step ends by latest. With a capacity below 1, a reservation takes several
// consecutive empty steps. Each step is visited at most once.
func (c *calendar) reserve(now, earliest, latest time.Duration, stepCapacity float64) (time.Duration, bool) {
	c.advance(now)
	needed := 1 // consecutive steps
	if stepCapacity < 1 {
		needed = int(min(1/max(stepCapacity, minStepCapacity), float64(len(c.counts)/maxRunDivisor))) + 1
	}
	maxCount := uint32(max(0, stepCapacity-1)) // largest count of a step that can take another reservation
	size, run := int64(len(c.counts)), 0
	for step := max(c.firstStep, int64(earliest/c.step)); step < c.firstStep+size && c.start(step+1) <= latest; step++ {
		if count := c.counts[step%size]; needed > 1 && count > 0 || count > maxCount {
			run = 0
			continue
		}
		run++
		if run < needed {
			continue
		}
		first := step - int64(run) + 1
		for i := first; i <= step; i++ {
			c.counts[i%size]++
		}
		start, end := max(earliest, c.start(first)), c.start(step+1)
		return start + time.Duration(c.rng.Int64N(int64(end-start)+1)), true
	}
	return 0, false
}

// start returns when a step begins.
func (c *calendar) start(step int64) time.Duration { return time.Duration(step) * c.step }
