package staleness

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetScenario describes a fleet of Machines that share one discovery service, and what happens to the fleet.
type fleetScenario struct {
	sidecars     int
	serviceTime  time.Duration // time that the discovery service needs to answer a call
	queueLimit   time.Duration // longest time that a call may wait in the queue
	outageBegins time.Duration
	outageEnds   time.Duration
	changedAt    time.Duration     // when the list changes
	redirects    [][]time.Duration // times at which each sidecar is redirected
	lossRate     float64           // fraction of answers and watch events that are lost; the call ends instead
}

type fleetEvent struct {
	at    time.Duration
	order int // sequence number of the event; events at the same time run in this order
	run   func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type fleetCall struct {
	request  Request
	watching bool // the call was answered, and receives changes
}

type fleetSidecar struct {
	machine   *Machine
	calls     map[CallID]*fleetCall
	noticedAt time.Duration // when the sidecar received the change, or -1 if it has not received the change yet
	timer     int           // number of the current timer; earlier timers are ignored
	opened    int           // number of calls opened
}

// openCalls returns the sidecar's calls in the order in which they were opened.
func (s *fleetSidecar) openCalls() []CallID {
	return slices.Sorted(maps.Keys(s.calls))
}

// fleet simulates sidecars and their discovery service in virtual time. The service serves calls one after another, and immediately rejects
// a call that would queue for too long. A call that the sidecar has closed keeps its place in the queue. After a redirect the old address
// ends its calls with a delay.
type fleet struct {
	scenario fleetScenario
	rng      *rand.Rand
	now      time.Duration
	events   fleetEvents
	order    int
	idleAt   time.Duration // when the queue of the discovery service becomes empty
	sidecars []*fleetSidecar
}

const (
	fleetOneWayDelay        = 3 * ms // network delay between a sidecar and the discovery service
	fleetStartInterval      = ms
	fleetOldAddressLifetime = 1500 * ms // time from a redirect until the old address ends its calls
)

// simulateFleet runs a scenario until the given time and returns the final state of the fleet.
func simulateFleet(scenario fleetScenario, seed uint64, until time.Duration) *fleet {
	f := &fleet{scenario: scenario, rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range scenario.sidecars {
		s := &fleetSidecar{machine: New(Options{FleetSize: scenario.sidecars}, newRand(seed*1000+uint64(i))), calls: map[CallID]*fleetCall{}, noticedAt: -1}
		f.sidecars = append(f.sidecars, s)
		f.schedule(time.Duration(i)*fleetStartInterval, func() { f.carryOut(s, s.machine.Start(f.now)) })
		if i < len(scenario.redirects) {
			for _, at := range scenario.redirects[i] {
				f.schedule(at, func() { f.redirect(s) })
			}
		}
	}
	f.schedule(scenario.outageBegins, f.endAllCalls)
	f.schedule(scenario.changedAt, f.notifyWatches)
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.run()
	}
	return f
}

func (f *fleet) schedule(at time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, fleetEvent{max(at, f.now), f.order, run})
}

func (f *fleet) isDown() bool {
	return f.now >= f.scenario.outageBegins && f.now < f.scenario.outageEnds
}

// carryOut executes the actions of a sidecar's machine, and sets its timer.
func (f *fleet) carryOut(s *fleetSidecar, actions []Action) {
	for _, a := range actions {
		if a.Kind == CloseCall {
			delete(s.calls, a.Call)
			continue
		}
		call := &fleetCall{request: a.Request}
		s.calls[a.Call] = call
		s.opened++
		f.enqueue(s, a.Call, call)
	}
	s.timer++
	timer := s.timer
	if next := s.machine.Next(); next < never {
		f.schedule(next, func() {
			if timer == s.timer {
				f.carryOut(s, s.machine.Tick(f.now))
			}
		})
	}
}

// enqueue sends a call to the discovery service, which queues or rejects the call.
func (f *fleet) enqueue(s *fleetSidecar, id CallID, call *fleetCall) {
	f.schedule(f.now+fleetOneWayDelay, func() {
		servedAt := max(f.idleAt, f.now)
		if f.isDown() || servedAt-f.now > f.scenario.queueLimit {
			f.schedule(f.now+fleetOneWayDelay, func() { f.end(s, id) })
			return
		}
		f.idleAt = servedAt + f.scenario.serviceTime
		f.schedule(f.idleAt, func() { f.answer(s, id, call) })
	})
}

func (f *fleet) answer(s *fleetSidecar, id CallID, call *fleetCall) {
	if s.calls[id] != call {
		return
	}
	if f.isDown() || f.rng.Float64() < f.scenario.lossRate {
		f.end(s, id)
		return
	}
	f.recordNotice(s)
	if call.request == FetchList {
		delete(s.calls, id)
		f.carryOut(s, s.machine.CallActive(f.now, id))
		return
	}
	call.watching = true
	f.carryOut(s, s.machine.CallActive(f.now, id))
	f.scheduleHeartbeat(s, id, call)
}

// recordNotice records that a sidecar has received the current list.
func (f *fleet) recordNotice(s *fleetSidecar) {
	if f.now >= f.scenario.changedAt && s.noticedAt < 0 {
		s.noticedAt = f.now
	}
}

func (f *fleet) scheduleHeartbeat(s *fleetSidecar, id CallID, call *fleetCall) {
	f.schedule(f.now+heartbeatInterval, func() {
		if s.calls[id] == call && !f.isDown() {
			f.carryOut(s, s.machine.CallActive(f.now, id))
			f.scheduleHeartbeat(s, id, call)
		}
	})
}

// notifyWatches sends the change to all watches. If the change is lost for a watch, the watch ends instead.
func (f *fleet) notifyWatches() {
	for _, s := range f.sidecars {
		for _, id := range s.openCalls() {
			if call := s.calls[id]; call == nil || !call.watching {
				continue
			}
			if f.rng.Float64() < f.scenario.lossRate {
				f.end(s, id)
				continue
			}
			f.recordNotice(s)
			f.carryOut(s, s.machine.CallActive(f.now, id))
		}
	}
}

func (f *fleet) end(s *fleetSidecar, id CallID) {
	if s.calls[id] != nil {
		delete(s.calls, id)
		f.carryOut(s, s.machine.CallEnded(f.now, id))
	}
}

func (f *fleet) endAllCalls() {
	for _, s := range f.sidecars {
		for _, id := range s.openCalls() {
			f.end(s, id)
		}
	}
}

func (f *fleet) redirect(s *fleetSidecar) {
	for _, id := range s.openCalls() {
		f.schedule(f.now+fleetOldAddressLifetime, func() { f.end(s, id) })
	}
	f.carryOut(s, s.machine.Redirect(f.now))
}

// latestNotice returns the time from the change until the last sidecar noticed it. The parameter until is the end of the simulation: a
// sidecar that has not noticed the change counts as if it had noticed the change then.
func (f *fleet) latestNotice(until time.Duration) time.Duration {
	latest := time.Duration(0)
	for _, s := range f.sidecars {
		noticedAt := s.noticedAt
		if noticedAt < 0 {
			noticedAt = until
		}
		latest = max(latest, noticedAt-f.scenario.changedAt)
	}
	return latest
}

// opened returns the number of calls that the fleet opened.
func (f *fleet) opened() int {
	calls := 0
	for _, s := range f.sidecars {
		calls += s.opened
	}
	return calls
}

// redirectsInSeries returns four redirects within 1.6 s for each sidecar. The interval separates the first redirects of two sidecars.
func redirectsInSeries(sidecars int, from, interval time.Duration) [][]time.Duration {
	var all [][]time.Duration
	for i := range sidecars {
		first := from + time.Duration(i)*interval
		all = append(all, []time.Duration{first, first + 300*ms, first + 700*ms, first + 1600*ms})
	}
	return all
}

// TestCrowdedFleetMeetsDeadline guards against sidecars with a current list that take places in the discovery service's queue from sidecars
// without a current list. After an outage the service needs 1.5 or 2 s to answer one call of each sidecar, and rejects calls that would
// queue for longer than 1 s. The list changes, each sidecar is redirected four times, and 15 % of the answers are lost.
func TestCrowdedFleetMeetsDeadline(t *testing.T) {
	const (
		runs = 200
		end  = 60 * second
	)
	for _, load := range []struct {
		fleetServiceTime time.Duration // time that the discovery service needs to answer one call of each sidecar
		maxLate          int
	}{
		{1500 * ms, 0},
		{2 * second, runs / 100}, // a run is late if two consecutive answers are lost
	} {
		for _, sidecars := range []int{6, 12, 30, 80} {
			lateRuns, worst, calls := 0, time.Duration(0), 0
			for seed := range uint64(runs) {
				scenario := fleetScenario{sidecars: sidecars, serviceTime: load.fleetServiceTime / time.Duration(sidecars), queueLimit: second,
					outageBegins: 10 * second, outageEnds: 23 * second, changedAt: 26800 * ms, lossRate: 0.15,
					redirects: redirectsInSeries(sidecars, 26400*ms, 2400*ms/time.Duration(sidecars))}
				f := simulateFleet(scenario, seed, end)
				latest := f.latestNotice(end)
				if latest > notificationDeadline+maxNoticeDelay {
					lateRuns++
				}
				worst = max(worst, latest)
				calls += f.opened()
			}
			t.Logf("%d sidecars, %v service time for one call of each: %d of %d runs late, change noticed after %v at most, %.1f calls per sidecar", sidecars, load.fleetServiceTime,
				lateRuns, runs, worst, float64(calls)/runs/float64(sidecars))
			if lateRuns > load.maxLate {
				t.Errorf("%d sidecars, %v service time for one call of each: a sidecar misses the notification deadline in %d of %d runs, more than maxLate", sidecars, load.fleetServiceTime, lateRuns, runs)
			}
		}
	}
}
