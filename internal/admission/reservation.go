package admission

import (
	"math/rand/v2"
	"time"
)

const (
	calendarStep   = 10 * time.Millisecond
	calendarSteps  = 1024 // at most; long waits have longer steps
	promisedPart   = 0.5  // of what drains may be promised
	flowPromises   = 256  // of one flow that are remembered at once
	promisedWithin = 0.75 // of the longest time to stay away; what lies beyond is no promise
	early          = 10 * time.Millisecond
	graceLeast     = 250 * time.Millisecond
	graceMost      = 2 * time.Second
	gracePart      = 0.25 // of the wait
)

// promise is a time at which one request of a flow may come.
type promise struct {
	at, until time.Duration
	cost      float64
	print     uint64 // of the request that was refused
}

// calendar counts what was promised by steps of time, from now to its end.
type calendar struct {
	step   time.Duration
	counts []uint32
	from   int64 // the step that now lies in
	rng    *rand.Rand
}

func newCalendar(longest time.Duration, rng *rand.Rand) calendar {
	step := max(calendarStep, (longest+calendarSteps-1)/calendarSteps)
	return calendar{step: step, counts: make([]uint32, int(longest/step)+2), rng: rng}
}

// advance forgets the steps that have passed.
func (c *calendar) advance(now time.Duration) {
	to := int64(now / c.step)
	if to-c.from >= int64(len(c.counts)) {
		clear(c.counts)
		c.from = to
	}
	for ; c.from < to; c.from++ {
		c.counts[c.from%int64(len(c.counts))] = 0
	}
}

// take finds the first time from at on at which no more than most a step would be promised, and a moment in it; false:
// there is none that ends by last. Where most is under one, a promise takes several steps for itself. It looks through
// all steps at most, 1,026.
func (c *calendar) take(now, at, last time.Duration, most float64) (time.Duration, bool) {
	c.advance(now)
	need := 1 // steps in a row
	if most < 1 {
		need = int(min(1/max(most, 1e-6), float64(len(c.counts)/4))) + 1
	}
	room := uint32(max(0, most-1))
	size, run := int64(len(c.counts)), 0
	for s := max(c.from, int64(at/c.step)); s < c.from+size && time.Duration(s+1)*c.step <= last; s++ {
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

// keep remembers a promise of a flow, the earliest first.
func (f *flow) keep(p promise) {
	i := len(f.promises)
	for i > 0 && f.promises[i-1].at > p.at {
		i--
	}
	f.promises = append(f.promises, promise{})
	copy(f.promises[i+1:], f.promises[i:])
	f.promises[i] = p
	f.promised += p.cost
}

// drop forgets the i-th.
func (f *flow) drop(i int) {
	f.promised -= f.promises[i].cost
	f.promises = append(f.promises[:i], f.promises[i+1:]...)
	if len(f.promises) == 0 {
		f.promised = 0
	}
	if cap(f.promises) > 8 && cap(f.promises) > 4*len(f.promises) { // what all flows keep follows what is promised
		f.promises = append(make([]promise, 0, 2*len(f.promises)), f.promises...)
	}
}

// redeem uses up the earliest promise that holds now and was given to such a request. Others of the principal don't use it
// up, and a request for something else gains nothing by coming in its place.
func (d *Queue) redeem(f *flow, print uint64) bool {
	for i := range f.promises {
		p := f.promises[i]
		if d.now < p.at-early {
			break
		}
		if d.now <= p.until && p.print == print {
			f.drop(i)
			d.promises--
			d.fixLapse(f)
			return true
		}
	}
	return false
}

// promise finds when a flow's next refused request is to come back, and tells whether that is remembered. What is stays
// within promisedWithin of the longest time, what is not is spread over the rest of it.
func (d *Queue) promise(e *entry) (in time.Duration, kept bool) {
	f, cost := e.flow, max(costLeast, e.class.usual)
	longest := d.o.longest()
	within := time.Duration(promisedWithin * float64(longest))
	if rate := d.rateOf(f); rate > 0 && len(f.promises) < flowPromises && d.promises < d.o.MaxReservations {
		// Half of what the flow gets goes to those who were promised it, and so does half of what all get.
		wait := max(early, time.Duration(min((d.ahead(f)+(f.promised+cost)/promisedPart)/rate, longest.Seconds())*float64(time.Second)))
		most := d.limit.limit / d.crowdedCost() * promisedPart * d.calendar.step.Seconds()
		if at, ok := d.calendar.take(d.now, d.now+wait, d.now+within, most); ok {
			in = at - d.now
			grace := min(graceMost, max(graceLeast, time.Duration(gracePart*float64(in))))
			f.keep(promise{at: at, until: at + grace, cost: cost, print: e.print})
			d.promises++
			d.fixLapse(f)
			return in, true
		}
	}
	return within + time.Duration(d.rng.Int64N(int64(longest-within)+1)), false
}

// fixLapse keeps a flow in the order in which its next promise lapses.
func (d *Queue) fixLapse(f *flow) {
	if len(f.promises) == 0 {
		d.lapses.Remove(f)
		return
	}
	f.lapse = f.promises[0].until // a later one may lapse a little sooner: it is forgotten with this one
	d.lapses.Set(f, float64(f.lapse), 0)
}

// lapse forgets what was promised and not come for.
func (d *Queue) lapse() {
	for d.lapses.Len() > 0 && d.lapses.First().lapse < d.now {
		f := d.lapses.First()
		for i := 0; i < len(f.promises); {
			if f.promises[i].until < d.now {
				f.drop(i)
				d.promises--
			} else {
				i++
			}
		}
		d.fixLapse(f)
		d.forget(f)
	}
}
