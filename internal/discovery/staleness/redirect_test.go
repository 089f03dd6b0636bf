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

// startedMachine returns a machine in a fleet of 6 that has opened call 1 at time 0.
func startedMachine(seed uint64) *Machine {
	m := New(Options{FleetSize: 6}, newRand(seed))
	m.Start(0)
	return m
}

// TestSupersededCallsGoOnAfterRedirect checks that calls to an earlier address stay open until the watch at the new address delivers a
// message, or until redirectDeadline.
func TestSupersededCallsGoOnAfterRedirect(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(m *Machine) [][]Action
		want [][]Action
	}{
		{"a watch stays open until the watch at the new address delivers a message", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			return [][]Action{m.Redirect(second), m.CallActive(1100*ms, 1), m.CallActive(1100*ms, 2), m.CallActive(1200*ms, 1), m.CallActive(1300*ms, 3)}
		}, [][]Action{{openAction(2, FetchList)}, nil, {openAction(3, WatchChanges)}, nil, {closeAction(1)}}},
		{"a fetch stays open until its answer", func(m *Machine) [][]Action {
			m.CallEnded(0, 1)
			return [][]Action{m.Redirect(second), m.Redirect(4 * second), m.CallActive(4100*ms, 2), m.CallActive(4100*ms, 2), m.CallActive(4200*ms, 3)}
		}, [][]Action{{openAction(2, FetchList)}, {openAction(3, FetchList)}, nil, nil, {openAction(4, WatchChanges)}}},
		{"a watch is closed at the redirect deadline", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			first := m.Redirect(second)
			m.CallEnded(1100*ms, 2)
			m.nextCallAt = never
			return [][]Action{first, m.Tick(second + redirectDeadline - ms), m.Tick(second + redirectDeadline)}
		}, [][]Action{{openAction(2, FetchList)}, nil, {closeAction(1)}}},
		{"all calls stay open in a series of redirects", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			return [][]Action{m.Redirect(second), m.Redirect(1300 * ms), m.Redirect(1700 * ms), m.CallActive(1800*ms, 1), m.CallActive(1900*ms, 2)}
		}, [][]Action{{openAction(2, FetchList)}, nil, nil, nil, nil}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := fmt.Sprint(c.do(startedMachine(1))); got != fmt.Sprint(c.want) {
				t.Errorf("actions of the Machine are %s, want %v", got, c.want)
			}
		})
	}
}

// TestRedirectSeriesStillFetchesList guards against an endless series of redirects that keeps delaying the fetch of the list.
func TestRedirectSeriesStillFetchesList(t *testing.T) {
	for _, interval := range []time.Duration{50 * ms, 300 * ms, 900 * ms, 1900 * ms} {
		for seed := range uint64(50) {
			m := startedMachine(seed)
			m.CallEnded(ms, 1)
			lastCallAt, longestGap := time.Duration(0), time.Duration(0)
			failCalls := func(now time.Duration, actions []Action) {
				for _, a := range actions {
					if a.Kind == OpenCall {
						longestGap, lastCallAt = max(longestGap, now-lastCallAt), now
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
			if longestGap > redirectSeriesGap+interval {
				t.Fatalf("redirects %v apart: no call was opened for %v, longer than redirectSeriesGap plus the interval", interval, longestGap)
			}
		}
	}
}

// TestHealthySupersededWatchDoesNotCloseNewCall guards against a call to the new address that is closed before its first byte, because a
// watch at an earlier address is still healthy.
func TestHealthySupersededWatchDoesNotCloseNewCall(t *testing.T) {
	m := startedMachine(1)
	m.CallActive(0, 1)
	m.Redirect(second)
	for now := second; now < second+redirectDeadline; now += 100 * ms {
		m.CallActive(now, 1)
		for _, a := range m.Tick(now) {
			if a.Kind == CloseCall && a.Call == 2 {
				t.Fatalf("the first call to the new address was closed %v after the redirect, before it was answered", now-second)
			}
		}
	}
}

// TestWatchAfterSlowFetchMeetsDeadline checks that the watch after a slow fetch is opened early enough to be connected before the list's
// deadline, even if connecting takes 1.5 times as long as the fetch.
func TestWatchAfterSlowFetchMeetsDeadline(t *testing.T) {
	for fetchDuration := 300 * ms; fetchDuration < 2900*ms; fetchDuration += 100 * ms {
		for seed := range uint64(50) {
			m := startedMachine(seed)
			m.CallEnded(0, 1)
			m.Redirect(second)
			fetchedAt := second + fetchDuration
			m.CallActive(fetchedAt, 2)
			if connectedAt := max(m.Next(), fetchedAt) + fetchDuration + fetchDuration/2; connectedAt > fetchedAt+notificationDeadline {
				t.Errorf("after a fetch that took %v the watch is connected only %v later, past the notification deadline", fetchDuration, connectedAt-fetchedAt)
				break
			}
		}
	}
}

// TestSupersededWatchGoesOnAfterFetch checks that the watch at the earlier address stays open after the list was fetched, until the new
// watch delivers a message. If the earlier watch delivers a change meanwhile, the list must be fetched again at once.
func TestSupersededWatchGoesOnAfterFetch(t *testing.T) {
	m := startedMachine(1)
	m.CallActive(0, 1)
	m.Redirect(second)
	if actions := m.CallActive(2*second, 2); len(actions) != 0 { // after a slow fetch the watch is delayed
		t.Errorf("actions after a fetch that took 1 s: %v, want none", actions)
	}
	if !m.Accepts(1) || !m.Connected(2*second) {
		t.Error("the watch at the earlier address is no longer accepted, or does not count as connected")
	}
	m.CallActive(2100*ms, 1)
	if got := fmt.Sprint(m.Recheck(2100 * ms)); got != fmt.Sprint([]Action{openAction(3, FetchList)}) {
		t.Errorf("actions after a change from the earlier address: %s, want only a new fetch as call 3", got)
	}
	m.CallActive(2110*ms, 3)
	if got := fmt.Sprint(m.CallActive(2120*ms, 4)); got != fmt.Sprint([]Action{closeAction(1)}) {
		t.Errorf("actions after the first message of the new watch: %s, want only that call 1 is closed", got)
	}
}

// TestRedirectKeepsWaitingCalls guards against a redirect that closes a call which may be about to be answered, and against an unbounded
// number of superseded calls.
func TestRedirectKeepsWaitingCalls(t *testing.T) {
	m := startedMachine(1)
	m.CallEnded(0, 1)
	m.Redirect(second) // opens call 2, which stays silent, so that Tick opens a second call
	var secondCall CallID
	for now := second; secondCall == 0; now += 100 * ms {
		for _, a := range m.Tick(now) {
			secondCall = a.Call
		}
	}
	if actions := m.Redirect(5 * second); len(actions) != 1 || actions[0].Kind != OpenCall || !m.Accepts(2) || !m.Accepts(secondCall) {
		t.Errorf("actions of a redirect: %v, want one opened call; call 2 accepted: %v, call %d accepted: %v, want both", actions, m.Accepts(2), secondCall, m.Accepts(secondCall))
	}
	for range 2 * maxSupersededCalls {
		m.Redirect(20 * second)
		m.openCall(20 * second)
	}
	if len(m.superseded) > maxSupersededCalls {
		t.Errorf("%d superseded calls are open, more than maxSupersededCalls", len(m.superseded))
	}
}

// TestStaleListIsFetchedAtOnceInRedirectSeries guards against a series of redirects that delays the fetch of a stale list.
func TestStaleListIsFetchedAtOnceInRedirectSeries(t *testing.T) {
	m := startedMachine(1)
	m.CallEnded(0, 1)
	for _, at := range []time.Duration{10 * second, 10300 * ms, 10700 * ms, 11600 * ms} {
		actions := m.Redirect(at)
		if len(actions) != 1 || actions[0].Kind != OpenCall || actions[0].Request != FetchList {
			t.Fatalf("redirect at %v of a stale list: actions %v, want one call that fetches the list at once", at, actions)
		}
		m.CallEnded(at+ms, actions[0].Call)
	}
}

// TestRejectedCallBesideSilentOneIsRetriedSoon guards against a long wait after a rejected call while a silent call is still open. The
// list is stale, the silent call timed out, and the server rejected the call that was opened beside the silent call. The next call must be
// opened within 2*minStalePollInterval.
func TestRejectedCallBesideSilentOneIsRetriedSoon(t *testing.T) {
	for seed := range uint64(50) {
		m := startedMachine(seed)
		m.CallEnded(10*second, 1)
		now := m.Next()
		m.Tick(now) // the call opened here stays silent
		now = m.Next()
		actions := m.Tick(now)
		if len(actions) != 1 || actions[0].Kind != OpenCall {
			t.Fatalf("actions after a silent call timed out: %v, want one opened call", actions)
		}
		m.CallEnded(now, actions[0].Call)
		if wait := m.Next() - now; wait > 2*minStalePollInterval {
			t.Fatalf("the next call is opened %v after a rejected call, later than 2*minStalePollInterval", wait)
		}
	}
}
