package staleness

import (
	"fmt"
	"testing"
	"time"
)

// Guards against news that are lost to a reload: what an address before has to say counts until the new one has answered, or until what
// that has to tell counts as told.
func TestTheCallBeforeARedirectGoesOn(t *testing.T) {
	const second = time.Second
	open := func(call CallID, request Request) Action { return Action{Kind: OpenCall, Call: call, Request: request} }
	closed := func(call CallID) Action { return Action{Kind: CloseCall, Call: call} }
	for _, c := range []struct {
		name string
		do   func(m *Machine) [][]Action
		want [][]Action
	}{
		{"a watch, until the new address's watch speaks", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			return [][]Action{m.Redirect(second), m.CallActive(1100*ms, 1), m.CallActive(1100*ms, 2), m.CallActive(1200*ms, 1), m.CallActive(1300*ms, 3)}
		}, [][]Action{{open(2, FetchList)}, nil, {open(3, WatchChanges)}, nil, {closed(1)}}},
		{"a call that waits, whose answer ends it", func(m *Machine) [][]Action {
			m.CallEnded(0, 1)
			return [][]Action{m.Redirect(second), m.Redirect(4 * second), m.CallActive(4100*ms, 2), m.CallActive(4100*ms, 2), m.CallActive(4200*ms, 3)}
		}, [][]Action{{open(2, FetchList)}, {open(3, FetchList)}, nil, nil, {open(4, WatchChanges)}}},
		{"until the new address counts as told", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			first := m.Redirect(second)
			m.CallEnded(1100*ms, 2)
			m.hold = never
			return [][]Action{first, m.Tick(second + toldMoved - ms), m.Tick(second + toldMoved)}
		}, [][]Action{{open(2, FetchList)}, nil, {closed(1)}}},
		{"all of them through a series", func(m *Machine) [][]Action {
			m.CallActive(0, 1)
			return [][]Action{m.Redirect(second), m.Redirect(1300 * ms), m.Redirect(1700 * ms), m.CallActive(1800*ms, 1), m.CallActive(1900*ms, 2)}
		}, [][]Action{{open(2, FetchList)}, nil, nil, nil, nil}},
	} {
		m := New(Options{FleetSize: 6}, rng(1))
		m.Start(0)
		if got := fmt.Sprint(c.do(m)); got != fmt.Sprint(c.want) {
			t.Errorf("%s: %s, want %v", c.name, got, c.want)
		}
	}
}

// Guards against reloads without an end that keep a list from being asked for: a call is made within the time in which it has to be heard.
func TestASeriesOfRedirectsDoesNotStarveTheList(t *testing.T) {
	for _, apart := range []time.Duration{50 * ms, 300 * ms, 900 * ms, 1900 * ms} {
		for seed := range uint64(50) {
			m := New(Options{FleetSize: 6}, rng(seed))
			m.Start(0)
			m.CallEnded(ms, 1)
			last, longest := time.Duration(0), time.Duration(0)
			made := func(now time.Duration, acts []Action) {
				for _, a := range acts {
					if a.Kind == OpenCall {
						longest, last = max(longest, now-last), now
						m.CallEnded(now, a.Call)
					}
				}
			}
			for now := time.Second; now < 30*time.Second; now += 10 * ms {
				if now%apart == 0 {
					made(now, m.Redirect(now))
				}
				made(now, m.Tick(now))
			}
			if longest > reloadSeries+apart {
				t.Fatalf("reloads %v apart: no call for %v", apart, longest)
			}
		}
	}
}

// Guards against a new address that is never heard: a watch at the address before, however well it is, does not end a call that waits for its
// first answer.
func TestTheCallToANewAddressIsNotGivenUpForThePreviousOne(t *testing.T) {
	m := New(Options{FleetSize: 6}, rng(1))
	m.Start(0)
	m.CallActive(0, 1)
	m.Redirect(time.Second)
	for now := time.Second; now < time.Second+toldMoved; now += 100 * ms {
		m.CallActive(now, 1)
		for _, a := range m.Tick(now) {
			if a.Kind == CloseCall && a.Call == 2 {
				t.Fatalf("the first call to the new address is closed %v after the reload", now-time.Second)
			}
		}
	}
}

// Guards against a list that grows too old because its watch was held back: where discovery is slow the watch has to be asked for sooner, so
// that it is answered, half as much later again than the list was, before the list's deadline.
func TestTheWatchBehindASlowListIsInTime(t *testing.T) {
	for took := 300 * ms; took < 2900*ms; took += 100 * ms {
		for seed := range uint64(50) {
			m := New(Options{FleetSize: 6}, rng(seed))
			m.Start(0)
			m.CallEnded(0, 1)
			m.Redirect(time.Second)
			heard := time.Second + took
			m.CallActive(heard, 2)
			if answered := max(m.Next(), heard) + took + took/2; answered > heard+toldSilent {
				t.Errorf("a list that took %v: its watch is answered %v behind it", took, answered-heard)
				break
			}
		}
	}
}

// Guards against a drain that is lost between two addresses: the watch at the address before goes on until the new one's watch has spoken, and
// what it tells behind the new list has that list asked for again at once.
func TestTheWatchBeforeGoesOnBehindTheNewList(t *testing.T) {
	m := New(Options{FleetSize: 6}, rng(1))
	m.Start(0)
	m.CallActive(0, 1)
	m.Redirect(time.Second)
	if acts := m.CallActive(2*time.Second, 2); len(acts) != 0 { // it took long: the watch behind it waits
		t.Errorf("behind a list that took 1 s: %v", acts)
	}
	if !m.Accepts(1) || !m.Connected(2*time.Second) {
		t.Error("the watch at the address before is no longer followed")
	}
	m.CallActive(2100*ms, 1)
	if got := fmt.Sprint(m.Recheck(2100 * ms)); got != fmt.Sprint([]Action{{Kind: OpenCall, Call: 3, Request: FetchList}}) {
		t.Errorf("behind news of the address before: %s", got)
	}
	m.CallActive(2110*ms, 3)
	if got := fmt.Sprint(m.CallActive(2120*ms, 4)); got != fmt.Sprint([]Action{{Kind: CloseCall, Call: 1}}) {
		t.Errorf("behind the new address's watch: %s", got)
	}
}

// Guards against a call that is about to be answered and is closed by a reload, for one that will never be: neither is.
func TestNoWaitingCallIsGivenUpForAReload(t *testing.T) {
	m := New(Options{FleetSize: 6}, rng(1))
	m.Start(0)
	m.CallEnded(0, 1)
	m.Redirect(time.Second) // call 2 is silent; another is made beside it
	var beside CallID
	for now := time.Second; beside == 0; now += 100 * ms {
		for _, a := range m.Tick(now) {
			beside = a.Call
		}
	}
	if acts := m.Redirect(5 * time.Second); len(acts) != 1 || acts[0].Kind != OpenCall || !m.Accepts(2) || !m.Accepts(beside) {
		t.Errorf("%v; call 2 counts: %v, call %d: %v", acts, m.Accepts(2), beside, m.Accepts(beside))
	}
	for range 2 * mostPrevious {
		m.Redirect(20 * time.Second)
		m.callNow(20 * time.Second)
	}
	if len(m.previous) > mostPrevious {
		t.Errorf("%d calls to addresses before", len(m.previous))
	}
}

// Guards against an overdue list that a series of reloads holds back: it is asked for at once at each address, as the calls before go on.
func TestAnOverdueListIsNotHeldBackInASeries(t *testing.T) {
	m := New(Options{FleetSize: 6}, rng(1))
	m.Start(0)
	m.CallEnded(0, 1)
	for _, at := range []time.Duration{10 * time.Second, 10300 * ms, 10700 * ms, 11600 * ms} {
		acts := m.Redirect(at)
		if len(acts) != 1 || acts[0].Kind != OpenCall || acts[0].Request != FetchList {
			t.Fatalf("at %v: %v", at, acts)
		}
		m.CallEnded(at+ms, acts[0].Call)
	}
}

// Guards against an overdue list that waits for a silent call: once that is doubted, and the call made beside it was turned away, the next
// one follows as soon as behind any refused call.
func TestARefusedCallBesideASilentOneIsMadeAgainSoon(t *testing.T) {
	for seed := range uint64(50) {
		m := New(Options{FleetSize: 6}, rng(seed))
		m.Start(0)
		m.CallEnded(10*time.Second, 1)
		now := m.Next()
		m.Tick(now) // it is silent
		now = m.Next()
		beside := m.Tick(now)
		if len(beside) != 1 || beside[0].Kind != OpenCall {
			t.Fatalf("beside a silent call: %v", beside)
		}
		m.CallEnded(now, beside[0].Call)
		if wait := m.Next() - now; wait > 2*overdueLeast {
			t.Fatalf("the next call %v behind one that was refused", wait)
		}
	}
}
