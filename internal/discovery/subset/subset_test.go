package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/endpoints"
)

var start = time.UnixMilli(1e12)

func endpoint(i int, zone string) endpoints.Endpoint {
	return endpoints.Endpoint{Name: fmt.Sprint("n", i), Address: fmt.Sprint("127.0.0.1:", 1+i%65535), Zone: zone, Status: endpoints.StatusReady}
}

// snapshot returns a list of count endpoints without a zone.
func snapshot(count int) *endpoints.List {
	l := &endpoints.List{Snapshot: true}
	for i := range count {
		l.Endpoints = append(l.Endpoints, endpoint(i, ""))
	}
	return l
}

// zonedSnapshot returns a list of endpoints in zones a and b, all started at startedMs.
func zonedSnapshot(inA, inB int, startedMs float64) *endpoints.List {
	l := &endpoints.List{Snapshot: true}
	for i := range inA + inB {
		e := endpoint(i, "a")
		if i >= inA {
			e.Zone = "b"
		}
		e.StartedMs = startedMs
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// newFleet returns the subsets of all sidecars of a zone. All sidecars have the same endpoint list.
func newFleet(t testing.TB, sidecars, count, size int, indexKnown bool) []*Subset {
	t.Helper()
	fleet, list := make([]*Subset, sidecars), snapshot(count)
	for i := range fleet {
		o := Default()
		o.MinSize, o.MaxSize = size, 4096
		if indexKnown {
			o.FleetSize, o.Index = sidecars, i
		}
		fleet[i] = New(o, fmt.Sprint("sidecar", i), "", 1<<20)
		fleet[i].Update(start, list)
	}
	return fleet
}

// zonedOptions returns the options of one of ten sidecars in zone a.
func zonedOptions() Options {
	o := Default()
	o.FleetSize, o.Index = 10, 3
	return o
}

// newZonedSubset returns the subset of a sidecar in zone a.
func newZonedSubset(l *endpoints.List) *Subset {
	s := New(zonedOptions(), "x", "a", 1000)
	s.Update(start, l)
	return s
}

// readyMembers returns the members that take new requests.
func readyMembers(s *Subset) map[string]bool {
	names := map[string]bool{}
	for name, e := range s.members {
		if e.Status == endpoints.StatusReady {
			names[name] = true
		}
	}
	return names
}

// readyIn returns how many members of a zone take new requests.
func readyIn(s *Subset, zone string) (count int) {
	for name := range readyMembers(s) {
		if s.listed[name].Zone == zone {
			count++
		}
	}
	return count
}

// loads returns the load of each endpoint if every sidecar spreads one unit of load evenly over its members.
func loads(fleet []*Subset) map[string]float64 {
	load := map[string]float64{}
	for _, s := range fleet {
		members := readyMembers(s)
		for name := range members {
			load[name] += 1 / float64(len(members))
		}
	}
	return load
}

// TestLoadIsEven checks that every endpoint is a member in some sidecar, that no endpoint has much more load than the mean, and that the
// number of sidecars per endpoint does not grow with the fleet.
func TestLoadIsEven(t *testing.T) {
	for _, c := range []struct{ sidecars, endpoints, size int }{{10, 5000, 1000}, {50, 2000, 150}, {200, 5000, 25}, {40, 40, 20}, {7, 40, 12}, {3, 10, 4}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			fleet := newFleet(t, c.sidecars, c.endpoints, c.size, true)
			load := loads(fleet)
			highest, members := 0.0, 0
			for _, v := range load {
				highest = max(highest, v)
			}
			for _, s := range fleet {
				members += len(readyMembers(s))
			}
			mean := float64(c.sidecars) / float64(c.endpoints)
			if len(load) != c.endpoints || highest > 1.3*mean {
				t.Errorf("%d endpoints are members of a subset, highest load is %.2f times the mean; want all endpoints and at most 1.3", len(load), highest/mean)
			}
			if each := float64(members) / float64(c.endpoints); each > 1.5*float64(c.size*c.sidecars)/float64(c.endpoints)+1 {
				t.Errorf("%.1f sidecars use each endpoint on average, more than 1.5 times the expected number plus 1", each)
			}
		})
	}
}

// TestReplacedEndpointMovesFewMembers guards against a replaced endpoint that changes more than a few members of a sidecar.
func TestReplacedEndpointMovesFewMembers(t *testing.T) {
	for _, indexKnown := range []bool{true, false} {
		mostMoved := 0
		for _, s := range newFleet(t, 50, 2000, 120, indexKnown) {
			before := readyMembers(s)
			s.Update(start, &endpoints.List{Endpoints: []endpoints.Endpoint{{Name: "n77", Status: endpoints.StatusGone}, endpoint(5000, "")}})
			moved := 0
			for name := range readyMembers(s) {
				if !before[name] {
					moved++
				}
			}
			mostMoved = max(mostMoved, moved)
		}
		if mostMoved > 3 {
			t.Errorf("index known: %v: the replacement of one endpoint changed %d members of a sidecar, want at most 3", indexKnown, mostMoved)
		}
	}
}

// TestZonesShareMembers checks that endpoints of the other zone are used where a zone has too few.
func TestZonesShareMembers(t *testing.T) {
	for _, c := range []struct{ inA, inB, wantA, wantB int }{{100, 100, 9, 3}, {1, 100, 1, 11}, {0, 100, 0, 12}, {100, 0, 12, 0}, {100, 1, 11, 1}, {3, 2, 3, 2}} {
		s := newZonedSubset(zonedSnapshot(c.inA, c.inB, 0))
		if a, b := readyIn(s, "a"), readyIn(s, "b"); a < c.wantA || b < c.wantB || a+b > 2*(c.wantA+c.wantB)+2 {
			t.Errorf("case %+v: subset has %d members in zone a and %d in zone b, too few or too many", c, a, b)
		}
	}
}

// TestSizeFollowsRequestRate checks that the size follows the request rate, but not short bursts.
func TestSizeFollowsRequestRate(t *testing.T) {
	s, now := newZonedSubset(zonedSnapshot(400, 0, 0)), start.Add(time.Minute)
	before := len(readyMembers(s))
	requestRate := func(seconds int, rate float64) {
		for range seconds {
			now = now.Add(time.Second)
			s.Rate(now, rate)
		}
	}
	for range 10 {
		requestRate(3, 1000)
		requestRate(2, 1)
	}
	if n := len(readyMembers(s)); n != before {
		t.Errorf("subset has %d members after short bursts, want %d as before the bursts", n, before)
	}
	requestRate(4, 1000)
	if n := len(readyMembers(s)); n <= 2*before || n > s.options.MaxSize {
		t.Errorf("subset has %d members at 1000 requests a second, want more than twice the initial number and at most MaxSize", n)
	}
	requestRate(60, 1.0/60)
	if n := len(readyMembers(s)); n > 2*before || n < s.options.MinSize {
		t.Errorf("subset has %d members at one request a minute, want at least MinSize and at most twice the initial number", n)
	}
	if len(New(s.options, "x", "a", 25).members) != 0 {
		t.Error("a new subset has members before its first list")
	}
}

// TestWarmEndpointsAreBorrowed checks that warm endpoints are borrowed after all members have restarted, until the members are
// warm again.
func TestWarmEndpointsAreBorrowed(t *testing.T) {
	s := newZonedSubset(zonedSnapshot(400, 0, 0))
	before := readyMembers(s)
	restarts := &endpoints.List{}
	for name := range before {
		e := s.listed[name]
		e.StartedMs = float64(start.UnixMilli())
		restarts.Endpoints = append(restarts.Endpoints, e)
	}
	s.Update(start, restarts)
	if n := len(readyMembers(s)); n <= len(before) || n > len(before)*3/2+1 {
		t.Errorf("%d endpoints are borrowed while %d members warm up, want at least 1 and about half as many at most", n-len(before), len(before))
	}
	s.Tick(s.Next())
	if !maps.Equal(readyMembers(s), before) {
		t.Errorf("subset has %d ready members after all are warm again, want the same %d members as before the restarts", len(readyMembers(s)), len(before))
	}
	if s.Tick(s.Next()); len(s.members) != len(before) {
		t.Errorf("subset has %d members after the borrowed endpoints are removed, want %d as before the restarts", len(s.members), len(before))
	}
}

// TestWarmMembersStayWhenFleetGrows guards against warm members that are replaced by endpoints that are warming up, when the number of
// endpoints grows many times over at once.
func TestWarmMembersStayWhenFleetGrows(t *testing.T) {
	s := newZonedSubset(zonedSnapshot(20, 0, 0))
	before := readyMembers(s)
	growth := zonedSnapshot(400, 0, float64(start.UnixMilli()))
	growth.Snapshot = false
	growth.Endpoints = slices.DeleteFunc(growth.Endpoints, func(e endpoints.Endpoint) bool { return s.listed[e.Name].Name != "" })
	s.Update(start, growth)
	remaining := 0
	for name := range readyMembers(s) {
		if before[name] {
			remaining++
		}
	}
	if n := len(readyMembers(s)); remaining < len(before) || n > s.options.MaxSize {
		t.Errorf("of %d warm members %d remain, among %d members; want all of them, and at most MaxSize members", len(before), remaining, n)
	}
}

// TestSizeIsBoundedByConnections checks that the maximum number of connections bounds the size.
func TestSizeIsBoundedByConnections(t *testing.T) {
	s := New(zonedOptions(), "x", "a", 25)
	s.Update(start, zonedSnapshot(100, 100, 0))
	s.Rate(start, 1e6)
	if n := len(readyMembers(s)); n == 0 || n > 5 {
		t.Errorf("subset has %d members with at most 25 connections, want 1 to 5 members", n)
	}
}

// reportedList accumulates the lists that a Subset received and the changes that it returned.
type reportedList struct {
	listed   map[string]endpoints.Endpoint
	reported map[string]endpoints.Endpoint
}

// step passes one random input to a Subset and applies the changes that it returns.
func (r *reportedList) step(t *rapid.T, s *Subset, now *time.Time) {
	var change *endpoints.List
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		*now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
		change = s.Tick(*now)
	case 1:
		change = s.Rate(*now, rapid.Float64Range(0, 100).Draw(t, "rate"))
	case 2:
		l := &endpoints.List{Snapshot: true}
		clear(r.listed)
		for i := range rapid.IntRange(0, 50).Draw(t, "endpoints") {
			e := endpoint(i, []string{"a", "b"}[i%2])
			l.Endpoints = append(l.Endpoints, e)
			r.listed[e.Name] = e
		}
		change = s.Update(*now, l)
	default:
		e := endpoint(rapid.IntRange(0, 50).Draw(t, "endpoint"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
		e.Status = rapid.SampledFrom([]string{endpoints.StatusReady, endpoints.StatusReady, endpoints.StatusTerminating, endpoints.StatusGone}).Draw(t, "status")
		e.StartedMs = float64(now.UnixMilli() * rapid.Int64Range(0, 1).Draw(t, "started"))
		if r.listed[e.Name] = e; e.Status == endpoints.StatusGone {
			delete(r.listed, e.Name)
		}
		change = s.Update(*now, &endpoints.List{Endpoints: []endpoints.Endpoint{e}})
	}
	if change == nil {
		return
	}
	for _, e := range change.Endpoints {
		if r.reported[e.Name] = e; e.Status == endpoints.StatusGone {
			delete(r.reported, e.Name)
		}
	}
}

// check fails the test unless each ready member is reported as the list has it, and the number of ready members fits the size.
func (r *reportedList) check(t *rapid.T, s *Subset) {
	ready, readyMembers := 0, 0
	for _, e := range r.listed {
		if e.Status == endpoints.StatusReady {
			ready++
		}
	}
	for name, e := range r.reported {
		if e.Status != endpoints.StatusReady {
			continue
		}
		if readyMembers++; r.listed[name] != e {
			t.Fatalf("ready member %s is reported as %+v, but the list has it as %+v", name, e, r.listed[name])
		}
	}
	if readyMembers > s.options.MaxSize || readyMembers < min(ready, 1) || ready <= s.size && readyMembers < min(ready, s.size) {
		t.Fatalf("%d of %d ready endpoints are reported as ready members, which does not fit the size %d or exceeds MaxSize", readyMembers, ready, s.size)
	}
}

// TestAnyHistory checks that, after any sequence of lists, changes, request rates and times, the returned changes add up to members that
// are listed.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		o.MinSize, o.MaxSize = rapid.IntRange(1, 8).Draw(t, "least"), rapid.IntRange(8, 20).Draw(t, "most")
		if o.FleetSize = rapid.IntRange(0, 6).Draw(t, "sidecars"); o.FleetSize > 0 {
			o.Index = rapid.IntRange(-1, o.FleetSize-1).Draw(t, "index")
		}
		s, now := New(o, "me", "a", 1000), start
		r := &reportedList{listed: map[string]endpoints.Endpoint{}, reported: map[string]endpoints.Endpoint{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.step(t, s, &now)
			r.check(t, s)
		}
		if len(s.releasing) > len(s.members) {
			t.Fatalf("%d members drain before their removal, more than the %d members", len(s.releasing), len(s.members))
		}
	})
}
