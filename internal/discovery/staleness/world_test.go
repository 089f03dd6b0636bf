package staleness

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// policy is what the world below tries: a Machine, or the baseline policy.
type policy interface {
	Start(now time.Duration) []Action
	CallActive(now time.Duration, id CallID) []Action
	CallEnded(now time.Duration, id CallID) []Action
	Tick(now time.Duration) []Action
	Next() time.Duration
}

const (
	ms     = time.Millisecond
	second = time.Second

	grace     = 250 * ms   // DrainGrace of the settings
	callDelay = 5 * ms     // from opening a call to its first byte
	missedAt  = 6 * second // the protocol's deadline for what a silent watch missed, or after discovery could be reached again
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// faultKind is a fault of a discovery, or of the way to it.
type faultKind int

const (
	silentFault faultKind = iota // open calls fall silent
	resetFault                   // open calls end
	downFault                    // open calls end and new ones fail; a pushed list's agent accepts calls and has nothing to deliver
	refuseFault                  // new calls fail; a pushed list's open calls end
	lateFault                    // calls opened within slowPeriod have their first byte later
	cutFault                     // open calls fall silent, and new ones fail after 1 s
)

// fault is one fault of a list.
type fault struct {
	at       time.Duration
	kind     faultKind
	duration time.Duration // of down, refuse and cut: how long it lasts; of late: the delay of the first byte
}

const (
	slowPeriod     = 5 * second
	refusalDelay   = 2 * ms
	cutFailureTime = second
)

// world is one discovery in virtual time and one sidecar that follows its list. It computes, independently of the policy, by when the
// platform's protocol has each change count as notified: what is written to a healthy watch is notified at once; what a silent call
// misses counts missedAt after it fell silent; without a call the list holds for defaultMaxPollAge. Where the list is pushed a change
// counts at once, except for a silent call.
type world struct {
	policy  policy
	pushed  bool
	faults  []fault
	changes []time.Duration // when each is made; change i is version i+1

	now    time.Duration
	events []worldEvent
	calls  map[CallID]*worldCall

	knownVersion   int           // of the sidecar
	silentSince    time.Duration // when the call that the list came from fell silent; -1: it did not
	disconnectedAt time.Duration // when the last watch ended, or the last call failed; -1: there is one
	listHoldsFor   time.Duration // from disconnectedAt
	noticedAt      []time.Duration
	deadlines      []time.Duration // when each change counts as notified; -1: not known yet

	opened       int // calls
	perSecond    map[time.Duration]int
	maxPerSecond int
	worst        time.Duration // the latest that a change was noticed after its deadline
}

type worldCall struct {
	answered bool
	silent   bool
}

func (c *worldCall) healthy() bool { return c.answered && !c.silent }

type worldEvent struct {
	at  time.Duration
	run func()
}

func (w *world) schedule(at time.Duration, run func()) {
	w.events = append(w.events, worldEvent{at, run})
}

// activeFault returns the fault of a kind that lasts at a time.
func (w *world) activeFault(t time.Duration, kind faultKind) (fault, bool) {
	for _, f := range w.faults {
		if f.kind == kind && t >= f.at && t < f.at+f.duration {
			return f, true
		}
	}
	return fault{}, false
}

func (w *world) isActive(t time.Duration, kind faultKind) bool {
	_, active := w.activeFault(t, kind)
	return active
}

// firstByteDelay returns how long a call opened at t takes to its first byte.
func (w *world) firstByteDelay(t time.Duration) time.Duration {
	for _, f := range w.faults {
		if f.kind == lateFault && t >= f.at && t < f.at+slowPeriod {
			return f.duration
		}
	}
	return callDelay
}

// carryOut does what the policy wants.
func (w *world) carryOut(actions []Action) {
	for _, a := range actions {
		if a.Kind == CloseCall {
			delete(w.calls, a.Call)
			continue
		}
		w.open(a.Call)
	}
}

func (w *world) open(id CallID) {
	w.calls[id] = &worldCall{}
	w.opened++
	w.perSecond[w.now/second]++
	w.maxPerSecond = max(w.maxPerSecond, w.perSecond[w.now/second])
	switch {
	case w.isActive(w.now, refuseFault), w.isActive(w.now, downFault) && !w.pushed:
		w.schedule(w.now+refusalDelay, func() { w.end(id, true) })
	case w.isActive(w.now, cutFault):
		w.schedule(w.now+cutFailureTime, func() { w.end(id, true) })
	default:
		w.schedule(w.now+w.firstByteDelay(w.now), func() { w.answer(id) })
	}
}

// answer delivers a call's first message; an agent whose discovery is down has none until that is back.
func (w *world) answer(id CallID) {
	c := w.calls[id]
	if f, down := w.activeFault(w.now, downFault); down {
		if w.pushed {
			w.schedule(f.at+f.duration, func() { w.answer(id) })
		} else {
			w.end(id, true)
		}
		return
	}
	if c == nil || c.silent {
		return
	}
	c.answered = true
	w.deliver(id)
	w.scheduleHeartbeat(id)
}

// deliver writes all that is new to a call.
func (w *world) deliver(id CallID) {
	c := w.calls[id]
	if c == nil || !c.healthy() {
		return
	}
	w.silentSince, w.disconnectedAt = -1, -1
	for i, at := range w.changes {
		if at <= w.now && i >= w.knownVersion {
			w.knownVersion = i + 1
			w.noticedAt[i] = w.now
		}
	}
	w.carryOut(w.policy.CallActive(w.now, id))
}

func (w *world) scheduleHeartbeat(id CallID) {
	w.schedule(w.now+heartbeatInterval, func() {
		down := w.isActive(w.now, downFault)
		if w.calls[id] == nil || w.calls[id].silent || down && !w.pushed {
			return
		}
		if !down {
			w.deliver(id)
		}
		w.scheduleHeartbeat(id)
	})
}

// end ends a call; failed tells whether it failed, or a watch was ended.
func (w *world) end(id CallID, failed bool) {
	if w.calls[id] == nil {
		return
	}
	delete(w.calls, id)
	if !w.anyHealthy() {
		w.disconnectedAt, w.listHoldsFor = w.now, defaultMaxPollAge
		if failed {
			w.listHoldsFor = 4 * defaultMaxPollAge
		}
	}
	w.carryOut(w.policy.CallEnded(w.now, id))
}

func (w *world) anyHealthy() bool {
	for _, c := range w.calls {
		if c.healthy() {
			return true
		}
	}
	return false
}

// ids returns the open calls in the order in which they were opened.
func (w *world) ids() []CallID {
	return slices.Sorted(maps.Keys(w.calls))
}

// reachableFrom returns when a call opened from t on is answered: discovery has the change, and can be reached.
func (w *world) reachableFrom(t time.Duration) time.Duration {
	for range len(w.faults) + 1 {
		for _, f := range w.faults {
			if (f.kind == downFault || f.kind == refuseFault || f.kind == cutFault) && t >= f.at && t < f.at+f.duration {
				t = f.at + f.duration
			}
		}
	}
	return t
}

// updateDeadlines sets by when each change that was not noticed yet counts as notified. Whatever the settings allow after calls that
// failed, were refused or closed, that is missedAt after discovery had the change and could be reached.
func (w *world) updateDeadlines() {
	if w.anyHealthy() {
		return
	}
	for i := w.knownVersion; i < len(w.changes) && w.changes[i] <= w.now; i++ {
		deadline := w.deadlineOf(w.changes[i])
		if strict := w.reachableFrom(w.changes[i]) + missedAt; deadline < 0 || strict < deadline {
			deadline = strict
		}
		if deadline >= 0 && (w.deadlines[i] < 0 || deadline < w.deadlines[i]) {
			w.deadlines[i] = deadline
		}
	}
}

// deadlineOf returns when a change made at changedAt counts as notified by the state of the calls; -1: that does not say.
func (w *world) deadlineOf(changedAt time.Duration) time.Duration {
	outage, down := w.activeFault(changedAt, downFault)
	if f, gone := w.activeFault(changedAt, refuseFault); gone && w.pushed { // the agent itself
		outage, down = f, true
	}
	switch {
	case w.silentSince >= 0:
		missed := w.silentSince + missedAt
		for _, f := range w.faults { // it could not be reached
			if f.kind == cutFault && f.at <= missed && f.at+f.duration > w.silentSince {
				missed = max(missed, f.at+f.duration+missedAt)
			}
		}
		return max(changedAt, missed)
	case w.pushed && down:
		return outage.at + outage.duration
	case w.pushed:
		return changedAt
	case w.disconnectedAt >= 0 && down:
		return w.reachableFrom(changedAt) + defaultMaxPollAge
	case w.disconnectedAt >= 0:
		return changedAt + w.listHoldsFor
	}
	return -1
}

// run plays until end, and sets worst.
func (w *world) run(end time.Duration) {
	w.calls, w.perSecond = map[CallID]*worldCall{}, map[time.Duration]int{}
	w.silentSince, w.disconnectedAt = -1, -1
	w.noticedAt, w.deadlines = slices.Repeat([]time.Duration{-1}, len(w.changes)), slices.Repeat([]time.Duration{-1}, len(w.changes))
	for _, f := range w.faults {
		w.scheduleFault(f)
	}
	w.carryOut(w.policy.Start(0))
	w.play(end)
	for i, deadline := range w.deadlines {
		if deadline < 0 || deadline >= end {
			continue
		}
		noticedAt := w.noticedAt[i]
		if noticedAt < 0 {
			noticedAt = end
		}
		w.worst = max(w.worst, noticedAt-deadline)
	}
}

// scheduleFault schedules what a fault does to the calls that are open when it begins, and what its end does.
func (w *world) scheduleFault(f fault) {
	switch f.kind {
	case silentFault, cutFault:
		w.schedule(f.at, func() {
			for _, id := range w.ids() {
				w.calls[id].silent = true
				if w.silentSince < 0 {
					w.silentSince = w.now
				}
			}
		})
	case refuseFault, resetFault, downFault:
		if f.kind == refuseFault && !w.pushed {
			return
		}
		w.schedule(f.at, func() {
			for _, id := range w.ids() {
				if f.kind != downFault || !w.pushed {
					w.end(id, f.kind == downFault)
				}
			}
		})
		if f.kind == downFault && w.pushed { // the agent has it all at the return
			w.schedule(f.at+f.duration, w.deliverToAll)
		}
	}
}

func (w *world) deliverToAll() {
	for _, id := range w.ids() {
		w.deliver(id)
	}
}

// play runs events, changes of the list and the policy's timer in the order of their times until end.
func (w *world) play(end time.Duration) {
	for nextChange := 0; w.now < end; {
		next := w.policy.Next()
		if nextChange < len(w.changes) && w.changes[nextChange] <= next {
			next = w.changes[nextChange]
		}
		if i := w.firstEvent(next); i >= 0 {
			e := w.events[i]
			w.events = slices.Delete(w.events, i, i+1)
			w.now = max(w.now, e.at)
			e.run()
		} else {
			if w.now = max(w.now, next); w.now >= end {
				break
			}
			if nextChange < len(w.changes) && w.changes[nextChange] <= w.now {
				nextChange++
				w.deliverToAll()
			} else {
				w.carryOut(w.policy.Tick(w.now))
			}
		}
		w.updateDeadlines()
	}
}

// firstEvent returns the index of the earliest event up to a time; -1: there is none.
func (w *world) firstEvent(until time.Duration) int {
	first := -1
	for i, e := range w.events {
		if e.at <= until && (first < 0 || e.at < w.events[first].at) {
			first = i
		}
	}
	return first
}

func changesEvery(step, until time.Duration) []time.Duration {
	var all []time.Duration
	for t := time.Duration(0); t < until; t += step {
		all = append(all, t)
	}
	return all
}
