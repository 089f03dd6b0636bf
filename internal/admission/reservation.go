package admission

import (
	"math/rand/v2"
	"time"
)

const (
	calendarStep        = 10 * time.Millisecond
	maxCalendarSteps    = 1024 // at most; long waits have longer steps
	reservableFraction  = 0.5  // of what drains may be promised
	maxFlowReservations = 256  // of one flow that are remembered at once
	reservationHorizon  = 0.75 // of the longest time to stay away; what lies beyond is no promise
	earlyTolerance      = 10 * time.Millisecond
	minGrace            = 250 * time.Millisecond
	maxGrace            = 2 * time.Second
	graceFraction       = 0.25 // of the wait
)

// reservation is a time at which one request of a flow may come.
type reservation struct {
	at, until   time.Duration
	cost        float64
	fingerprint uint64 // of the request that was refused
}

// calendar counts what was promised by steps of time, from now to its end.
type calendar struct {
	step      time.Duration
	counts    []uint32
	firstStep int64 // the step that now lies in
	rng       *rand.Rand
}

func newCalendar(longest time.Duration, rng *rand.Rand) calendar {
	step := max(calendarStep, (longest+maxCalendarSteps-1)/maxCalendarSteps)
	return calendar{step: step, counts: make([]uint32, int(longest/step)+2), rng: rng}
}

// advance forgets the steps that have passed.
func (c *calendar) advance(now time.Duration) {
	to := int64(now / c.step)
	if to-c.firstStep >= int64(len(c.counts)) {
		clear(c.counts)
		c.firstStep = to
	}
	for ; c.firstStep < to; c.firstStep++ {
		c.counts[c.firstStep%int64(len(c.counts))] = 0
	}
}

// reserve finds the first time from at on at which no more than most a step would be promised, and a moment in it; false:
// there is none that ends by last. Where most is under one, a promise takes several steps for itself. It looks through
// all steps at most, 1,026.
func (c *calendar) reserve(now, at, last time.Duration, most float64) (time.Duration, bool) {
	c.advance(now)
	need := 1 // steps in a row
	if most < 1 {
		need = int(min(1/max(most, 1e-6), float64(len(c.counts)/4))) + 1
	}
	room := uint32(max(0, most-1))
	size, run := int64(len(c.counts)), 0
	for s := max(c.firstStep, int64(at/c.step)); s < c.firstStep+size && time.Duration(s+1)*c.step <= last; s++ {
		if n := c.counts[s%size]; need > 1 && n > 0 || n > room {
			run = 0
			continue
		}
		if run++; run < need {
			continue
		}
		for i := s - int64(run) + 1; i <= s; i++ {
			c.counts[i%size]++
		}
		begin, end := max(at, time.Duration(s-int64(run)+1)*c.step), time.Duration(s+1)*c.step
		return begin + time.Duration(c.rng.Int64N(int64(end-begin)+1)), true
	}
	return 0, false
}

// addReservation remembers a promise of a flow, the earliest first.
func (f *flow) addReservation(p reservation) {
	i := len(f.reservations)
	for i > 0 && f.reservations[i-1].at > p.at {
		i--
	}
	f.reservations = append(f.reservations, reservation{})
	copy(f.reservations[i+1:], f.reservations[i:])
	f.reservations[i] = p
	f.reservedCost += p.cost
}

// dropReservation forgets the i-th.
func (f *flow) dropReservation(i int) {
	f.reservedCost -= f.reservations[i].cost
	f.reservations = append(f.reservations[:i], f.reservations[i+1:]...)
	if len(f.reservations) == 0 {
		f.reservedCost = 0
	}
	if cap(f.reservations) > 8 && cap(f.reservations) > 4*len(f.reservations) { // what all flows keep follows what is promised
		f.reservations = append(make([]reservation, 0, 2*len(f.reservations)), f.reservations...)
	}
}

// redeemReservation uses up the earliest promise that holds now and was given to such a request. Others of the principal don't use it
// up, and a request for something else gains nothing by coming in its place.
func (q *Queue) redeemReservation(f *flow, print uint64) bool {
	for i := range f.reservations {
		p := f.reservations[i]
		if q.now < p.at-earlyTolerance {
			break
		}
		if q.now <= p.until && p.fingerprint == print {
			f.dropReservation(i)
			q.reservations--
			q.updateExpiry(f)
			return true
		}
	}
	return false
}

// reserve finds when a flow's next refused request is to come back, and tells whether that is remembered. What is stays
// within reservationHorizon of the longest time, what is not is spread over the rest of it.
func (q *Queue) reserve(e *entry) (in time.Duration, kept bool) {
	f, cost := e.flow, max(minCost, e.class.meanCost)
	longest := q.options.maxRetryAfter()
	within := time.Duration(reservationHorizon * float64(longest))
	if rate := q.serviceRate(f); rate > 0 && len(f.reservations) < maxFlowReservations && q.reservations < q.options.MaxReservations {
		// Half of what the flow gets goes to those who were promised it, and so does half of what all get.
		wait := max(earlyTolerance, time.Duration(min((q.costAhead(f)+(f.reservedCost+cost)/reservableFraction)/rate, longest.Seconds())*float64(time.Second)))
		most := q.limiter.limit / q.costUnderLoad() * reservableFraction * q.calendar.step.Seconds()
		if at, ok := q.calendar.reserve(q.now, q.now+wait, q.now+within, most); ok {
			in = at - q.now
			grace := min(maxGrace, max(minGrace, time.Duration(graceFraction*float64(in))))
			f.addReservation(reservation{at: at, until: at + grace, cost: cost, fingerprint: e.fingerprint})
			q.reservations++
			q.updateExpiry(f)
			return in, true
		}
	}
	return within + time.Duration(q.rng.Int64N(int64(longest-within)+1)), false
}

// updateExpiry keeps a flow in the order in which its next promise lapses.
func (q *Queue) updateExpiry(f *flow) {
	if len(f.reservations) == 0 {
		q.reservationExpiries.Remove(f)
		return
	}
	f.nextExpiry = f.reservations[0].until // a later one may lapse a little sooner: it is forgotten with this one
	q.reservationExpiries.Set(f, float64(f.nextExpiry), 0)
}

// expireReservations forgets what was promised and not come for.
func (q *Queue) expireReservations() {
	for q.reservationExpiries.Len() > 0 && q.reservationExpiries.First().nextExpiry < q.now {
		f := q.reservationExpiries.First()
		for i := 0; i < len(f.reservations); {
			if f.reservations[i].until < q.now {
				f.dropReservation(i)
				q.reservations--
			} else {
				i++
			}
		}
		q.updateExpiry(f)
		q.forgetFlow(f)
	}
}
