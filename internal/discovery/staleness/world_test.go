package staleness

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// policy schedules the calls in a world: a Machine, or the baseline policy.
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

	drainGrace           = 250 * ms   // default of Options.DrainGrace
	callDelay            = 5 * ms     // time from opening a call to its first byte without a fault
	missedChangeDeadline = 6 * second // the protocol's deadline after a watch fell silent or discovery became reachable again
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// faultKind is a kind of fault of the discovery service, or of the network between it and the sidecar.
type faultKind int

const (
	silentFault    faultKind = iota // open calls fall silent
	resetFault                      // open calls end
	downFault                       // open calls end and new calls fail; if the list is pushed, calls stay open without messages
	refuseFault                     // new calls fail; if the list is pushed, open calls end too
	slowFault                       // the first byte of calls opened within slowPeriod is delayed
	partitionFault                  // open calls fall silent, and new calls fail after 1 s
)

// fault is one fault of a list.
type fault struct {
	at       time.Duration
	kind     faultKind
	duration time.Duration // length of downFault, refuseFault and partitionFault; delay of the first byte for slowFault
}

const (
	slowPeriod           = 5 * second
	refusalDelay         = 2 * ms
	partitionFailureTime = second
)

// world simulates, in virtual time, one discovery service and one sidecar that follows its list. Independently of the policy it computes
// the notification deadline of each change by the platform's protocol:
//
//   - A change that is sent to a healthy watch counts as notified at once.
//   - A change that a silent call misses counts as notified missedChangeDeadline after the call fell silent.
//   - A change while no call is open counts as notified after defaultMaxPollAge, the time for which the list is valid.
//   - A change of a pushed list counts as notified at once, unless the open call is silent.
type world struct {
	policy  policy
	pushed  bool
	faults  []fault
	changes []time.Duration // times of the changes; change i creates version i+1

	now    time.Duration
	events []worldEvent
	calls  map[CallID]*worldCall

	knownVersion   int           // latest version that the sidecar has
	silentSince    time.Duration // when the call that delivered the list fell silent, or -1 if it is not silent
	disconnectedAt time.Duration // when the last watch ended or the last call failed, or -1 while a watch is connected
	listValidFor   time.Duration // how long the list is valid after disconnectedAt
	noticedAt      []time.Duration
	deadlines      []time.Duration // notification deadline of each change, or -1 if it is not known yet

	opened       int // number of calls opened
	perSecond    map[time.Duration]int
	maxPerSecond int
	worst        time.Duration // longest time from a change's deadline until the change was noticed
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

// activeFault returns the fault of the given kind that is active at time t, or false if there is none.
func (w *world) activeFault(t time.Duration, kind faultKind) (fault, bool) {
	for _, f := range w.faults {
		if f.kind == kind && t >= f.at && t < f.at+f.duration {
			return f, true
		}
	}
	return fault{}, false
}

func (w *world) isFaultActive(t time.Duration, kind faultKind) bool {
	_, active := w.activeFault(t, kind)
	return active
}

// firstByteDelay returns the time from opening a call at t until its first byte.
func (w *world) firstByteDelay(t time.Duration) time.Duration {
	for _, f := range w.faults {
		if f.kind == slowFault && t >= f.at && t < f.at+slowPeriod {
			return f.duration
		}
	}
	return callDelay
}

// carryOut executes the actions of the policy.
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
	case w.isFaultActive(w.now, refuseFault), w.isFaultActive(w.now, downFault) && !w.pushed:
		w.schedule(w.now+refusalDelay, func() { w.end(id, true) })
	case w.isFaultActive(w.now, partitionFault):
		w.schedule(w.now+partitionFailureTime, func() { w.end(id, true) })
	default:
		w.schedule(w.now+w.firstByteDelay(w.now), func() { w.answer(id) })
	}
}

// answer delivers a call's first message. While the discovery service is down, a call for a pushed list gets its message after the outage,
// and any other call ends.
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

// deliver delivers all changes that the sidecar lacks, over the given call.
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
		down := w.isFaultActive(w.now, downFault)
		if w.calls[id] == nil || w.calls[id].silent || down && !w.pushed {
			return
		}
		if !down {
			w.deliver(id)
		}
		w.scheduleHeartbeat(id)
	})
}

// end ends a call. failed is true if the call failed, and false if the discovery service reset it.
func (w *world) end(id CallID, failed bool) {
	if w.calls[id] == nil {
		return
	}
	delete(w.calls, id)
	if !w.anyHealthy() {
		w.disconnectedAt, w.listValidFor = w.now, defaultMaxPollAge
		if failed {
			w.listValidFor = 4 * defaultMaxPollAge
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

// openCalls returns the open calls in the order in which they were opened.
func (w *world) openCalls() []CallID {
	return slices.Sorted(maps.Keys(w.calls))
}

// reachableFrom returns the earliest time, not before t, at which the discovery service is up and reachable.
func (w *world) reachableFrom(t time.Duration) time.Duration {
	for range len(w.faults) + 1 {
		for _, f := range w.faults {
			if (f.kind == downFault || f.kind == refuseFault || f.kind == partitionFault) && t >= f.at && t < f.at+f.duration {
				t = f.at + f.duration
			}
		}
	}
	return t
}

// updateDeadlines sets the deadline of each change that has not been noticed yet. The deadline is at most missedChangeDeadline after the
// discovery service has the change and is reachable, even where the list would be valid for longer.
func (w *world) updateDeadlines() {
	if w.anyHealthy() {
		return
	}
	for i := w.knownVersion; i < len(w.changes) && w.changes[i] <= w.now; i++ {
		deadline := w.deadlineOf(w.changes[i])
		if latestAllowed := w.reachableFrom(w.changes[i]) + missedChangeDeadline; deadline < 0 || latestAllowed < deadline {
			deadline = latestAllowed
		}
		if deadline >= 0 && (w.deadlines[i] < 0 || deadline < w.deadlines[i]) {
			w.deadlines[i] = deadline
		}
	}
}

// deadlineOf returns the time at which a change made at changedAt counts as notified, or -1 if the state of the calls does not determine it.
func (w *world) deadlineOf(changedAt time.Duration) time.Duration {
	outage, down := w.activeFault(changedAt, downFault)
	if f, agentDown := w.activeFault(changedAt, refuseFault); agentDown && w.pushed { // the agent itself is down
		outage, down = f, true
	}
	switch {
	case w.silentSince >= 0:
		deadline := w.silentSince + missedChangeDeadline
		for _, f := range w.faults { // a partition, during which the service is not reachable, postpones the deadline
			if f.kind == partitionFault && f.at <= deadline && f.at+f.duration > w.silentSince {
				deadline = max(deadline, f.at+f.duration+missedChangeDeadline)
			}
		}
		return max(changedAt, deadline)
	case w.pushed && down:
		return outage.at + outage.duration
	case w.pushed:
		return changedAt
	case w.disconnectedAt >= 0 && down:
		return w.reachableFrom(changedAt) + defaultMaxPollAge
	case w.disconnectedAt >= 0:
		return changedAt + w.listValidFor
	}
	return -1
}

// run simulates the world and sets worst. The parameter end is the time at which the simulation ends.
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

// scheduleFault schedules the effect of a fault on the open calls when the fault begins, and on a pushed list when the fault ends.
func (w *world) scheduleFault(f fault) {
	switch f.kind {
	case silentFault, partitionFault:
		w.schedule(f.at, func() {
			for _, id := range w.openCalls() {
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
			for _, id := range w.openCalls() {
				if f.kind != downFault || !w.pushed {
					w.end(id, f.kind == downFault)
				}
			}
		})
		if f.kind == downFault && w.pushed { // the agent receives all changes when discovery returns
			w.schedule(f.at+f.duration, w.deliverToAll)
		}
	}
}

func (w *world) deliverToAll() {
	for _, id := range w.openCalls() {
		w.deliver(id)
	}
}

// play runs the events, the changes of the list and the policy's timer in order of time. The parameter end is the time at which play stops.
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

// firstEvent returns the index of the earliest event that is not after the given time, or -1 if there is none.
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
