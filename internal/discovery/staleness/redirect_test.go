package staleness

import (
	"fmt"
	"testing"
	"time"
)

func openAction(id CallID, request Request) Action {
	return Action{Kind: OpenCall, Call: id, Request: request}
}

func closeAction(id CallID) Action { return Action{Kind: CloseCall, Call: id} }

// startedMachine returns a machine in a fleet of 6 that has opened call 1 at 0.
func startedMachine(seed uint64) *Machine {
	m := New(Options{FleetSize: 6}, newRand(seed))
	m.Start(0)
	return m
}

// What an earlier address delivers counts until the watch at the new one delivers, or until redirectDeadline.
func TestSupersededCallsGoOnAfterRedirect(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(m *Machine) [][]Action
		want [][]Action
	}{
		{"a watch, until the new address's watch delivers", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			return [][]Action{m.Redirect(second), m.CallActive(1100*ms, 1), m.CallActive(1100*ms, 2), m.CallActive(1200*ms, 1), m.CallActive(1300*ms, 3)}
		}, [][]Action{{openAction(2, FetchList)}, nil, {openAction(3, WatchChanges)}, nil, {closeAction(1)}}},
		{"a fetch, until its answer", func(m *Machine) [][]Action {
			m.CallEnded(0, 1)
			return [][]Action{m.Redirect(second), m.Redirect(4 * second), m.CallActive(4100*ms, 2), m.CallActive(4100*ms, 2), m.CallActive(4200*ms, 3)}
		}, [][]Action{{openAction(2, FetchList)}, {openAction(3, FetchList)}, nil, nil, {openAction(4, WatchChanges)}}},
		{"until the redirect deadline", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			first := m.Redirect(second)
			m.CallEnded(1100*ms, 2)
			m.nextCallAt = never
			return [][]Action{first, m.Tick(second + redirectDeadline - ms), m.Tick(second + redirectDeadline)}
		}, [][]Action{{openAction(2, FetchList)}, nil, {closeAction(1)}}},
		{"all of them through a series", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			return [][]Action{m.Redirect(second), m.Redirect(1300 * ms), m.Redirect(1700 * ms), m.CallActive(1800*ms, 1), m.CallActive(1900*ms, 2)}
		}, [][]Action{{openAction(2, FetchList)}, nil, nil, nil, nil}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := fmt.Sprint(c.do(startedMachine(1))); got != fmt.Sprint(c.want) {
				t.Errorf("%s, want %v", got, c.want)
			}
		})
	}
}

// Redirects without an end do not keep the list from being fetched.
func TestRedirectSeriesStillFetchesList(t *testing.T) {
	for _, interval := range []time.Duration{50 * ms, 300 * ms, 900 * ms, 1900 * ms} {
		for seed := range uint64(50) {
			m := startedMachine(seed)
			m.CallEnded(ms, 1)
			last, longest := time.Duration(0), time.Duration(0)
			failCalls := func(now time.Duration, actions []Action) {
				for _, a := range actions {
					if a.Kind == OpenCall {
						longest, last = max(longest, now-last), now
						m.CallEnded(now, a.Call)
					}
				}
			}
			for now := second; now < 30*second; now += 10 * ms {
				if now%interval == 0 {
					failCalls(now, m.Redirect(now))
				}
				failCalls(now, m.Tick(now))
			}
			if longest > redirectSeriesGap+interval {
				t.Fatalf("redirects %v apart: no call for %v", interval, longest)
			}
		}
	}
}

// A watch at an earlier address, however healthy, does not close a call to the new one that waits for its first byte.
func TestHealthySupersededWatchDoesNotCloseNewCall(t *testing.T) {
	m := startedMachine(1)
	m.CallActive(0, 1)
	m.Redirect(second)
	for now := second; now < second+redirectDeadline; now += 100 * ms {
		m.CallActive(now, 1)
		for _, a := range m.Tick(now) {
			if a.Kind == CloseCall && a.Call == 2 {
				t.Fatalf("the first call to the new address is closed %v after the redirect", now-second)
			}
		}
	}
}

// The watch behind a slow fetch is opened early enough that it is connected before the list's deadline, even where it takes half as
// long again as the fetch did.
func TestWatchAfterSlowFetchMeetsDeadline(t *testing.T) {
	for fetchDuration := 300 * ms; fetchDuration < 2900*ms; fetchDuration += 100 * ms {
		for seed := range uint64(50) {
			m := startedMachine(seed)
			m.CallEnded(0, 1)
			m.Redirect(second)
			fetchedAt := second + fetchDuration
			m.CallActive(fetchedAt, 2)
			if connectedAt := max(m.Next(), fetchedAt) + fetchDuration + fetchDuration/2; connectedAt > fetchedAt+notificationDeadline {
				t.Errorf("a fetch that took %v: its watch is connected %v behind it", fetchDuration, connectedAt-fetchedAt)
				break
			}
		}
	}
}

// The watch at the earlier address goes on behind the fetched list until the new watch delivers. What it delivers meanwhile has the list
// fetched again at once.
func TestSupersededWatchGoesOnAfterFetch(t *testing.T) {
	m := startedMachine(1)
	m.CallActive(0, 1)
	m.Redirect(second)
	if actions := m.CallActive(2*second, 2); len(actions) != 0 { // the fetch took long: the watch behind it is delayed
		t.Errorf("behind a list that took 1 s: %v", actions)
	}
	if !m.Accepts(1) || !m.Connected(2*second) {
		t.Error("the watch at the earlier address is no longer followed")
	}
	m.CallActive(2100*ms, 1)
	if got := fmt.Sprint(m.Recheck(2100 * ms)); got != fmt.Sprint([]Action{openAction(3, FetchList)}) {
		t.Errorf("behind a change at the earlier address: %s", got)
	}
	m.CallActive(2110*ms, 3)
	if got := fmt.Sprint(m.CallActive(2120*ms, 4)); got != fmt.Sprint([]Action{closeAction(1)}) {
		t.Errorf("behind the new address's watch: %s", got)
	}
}

// A call that may be about to be answered is not closed by a redirect, and the number of superseded calls is bounded.
func TestRedirectKeepsWaitingCalls(t *testing.T) {
	m := startedMachine(1)
	m.CallEnded(0, 1)
	m.Redirect(second) // call 2 is silent; another is opened beside it
	var beside CallID
	for now := second; beside == 0; now += 100 * ms {
		for _, a := range m.Tick(now) {
			beside = a.Call
		}
	}
	if actions := m.Redirect(5 * second); len(actions) != 1 || actions[0].Kind != OpenCall || !m.Accepts(2) || !m.Accepts(beside) {
		t.Errorf("%v; call 2 counts: %v, call %d: %v", actions, m.Accepts(2), beside, m.Accepts(beside))
	}
	for range 2 * maxSupersededCalls {
		m.Redirect(20 * second)
		m.openCall(20 * second)
	}
	if len(m.superseded) > maxSupersededCalls {
		t.Errorf("%d superseded calls", len(m.superseded))
	}
}

// A stale list is fetched at once at each address, also in a series of redirects.
func TestStaleListIsFetchedAtOnceInRedirectSeries(t *testing.T) {
	m := startedMachine(1)
	m.CallEnded(0, 1)
	for _, at := range []time.Duration{10 * second, 10300 * ms, 10700 * ms, 11600 * ms} {
		actions := m.Redirect(at)
		if len(actions) != 1 || actions[0].Kind != OpenCall || actions[0].Request != FetchList {
			t.Fatalf("at %v: %v", at, actions)
		}
		m.CallEnded(at+ms, actions[0].Call)
	}
}

// Once a silent call of a stale list timed out and the call beside it was rejected, the next one follows as soon as behind any rejected
// call.
func TestRejectedCallBesideSilentOneIsRetriedSoon(t *testing.T) {
	for seed := range uint64(50) {
		m := startedMachine(seed)
		m.CallEnded(10*second, 1)
		now := m.Next()
		m.Tick(now) // the call opened here stays silent
		now = m.Next()
		beside := m.Tick(now)
		if len(beside) != 1 || beside[0].Kind != OpenCall {
			t.Fatalf("beside a silent call: %v", beside)
		}
		m.CallEnded(now, beside[0].Call)
		if wait := m.Next() - now; wait > 2*minStalePollInterval {
			t.Fatalf("the next call %v behind one that was rejected", wait)
		}
	}
}
