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

// newFleet returns the subsets of all sidecars of a zone, with the same list.
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

// zonedOptions are those of one of ten sidecars in zone a.
func zonedOptions() Options {
	o := Default()
	o.FleetSize, o.Index = 10, 3
	return o
}

// newZoned returns the subset of a sidecar in zone a.
func newZoned(l *endpoints.List) *Subset {
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

// loads returns the load of each endpoint where every sidecar spreads one unit over its members.
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

// Every endpoint is a member of some sidecar, none has much more load than the mean, and connections do not grow with the fleet.
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
				t.Errorf("%d endpoints are members, max/mean %.2f", len(load), highest/mean)
			}
			if each := float64(members) / float64(c.endpoints); each > 1.5*float64(c.size*c.sidecars)/float64(c.endpoints)+1 {
				t.Errorf("%.1f sidecars an endpoint", each)
			}
		})
	}
}

// An endpoint that is replaced moves at most a few members of each sidecar.
func TestReplacedEndpointMovesFewMembers(t *testing.T) {
	for _, indexKnown := range []bool{true, false} {
		most := 0
		for _, s := range newFleet(t, 50, 2000, 120, indexKnown) {
			before := readyMembers(s)
			s.Update(start, &endpoints.List{Endpoints: []endpoints.Endpoint{{Name: "n77", Status: endpoints.StatusGone}, endpoint(5000, "")}})
			moved := 0
			for name := range readyMembers(s) {
				if !before[name] {
					moved++
				}
			}
			most = max(most, moved)
		}
		if most > 3 {
			t.Errorf("index known: %v: one endpoint moved %d members of a sidecar", indexKnown, most)
		}
	}
}

// A zone with too few endpoints is made up for by the others.
func TestZonesShareMembers(t *testing.T) {
	for _, c := range []struct{ inA, inB, wantA, wantB int }{{100, 100, 9, 3}, {1, 100, 1, 11}, {0, 100, 0, 12}, {100, 0, 12, 0}, {100, 1, 11, 1}, {3, 2, 3, 2}} {
		s := newZoned(zonedSnapshot(c.inA, c.inB, 0))
		if a, b := readyIn(s, "a"), readyIn(s, "b"); a < c.wantA || b < c.wantB || a+b > 2*(c.wantA+c.wantB)+2 {
			t.Errorf("%+v: %d and %d", c, a, b)
		}
	}
}

// The size follows the request rate, and not its short bursts.
func TestSizeFollowsRequestRate(t *testing.T) {
	s, now := newZoned(zonedSnapshot(400, 0, 0)), start.Add(time.Minute)
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
		t.Errorf("%d after short bursts, %d before", n, before)
	}
	requestRate(4, 1000)
	if n := len(readyMembers(s)); n <= 2*before || n > s.options.MaxSize {
		t.Errorf("%d with a thousand requests a second", n)
	}
	requestRate(60, 1.0/60)
	if n := len(readyMembers(s)); n > 2*before || n < s.options.MinSize {
		t.Errorf("%d with one request a minute", n)
	}
	if len(New(s.options, "x", "a", 25).members) != 0 {
		t.Error("a new subset has members")
	}
}

// Where all members restart, warm endpoints are borrowed until they are warm again.
func TestWarmEndpointsAreBorrowed(t *testing.T) {
	s := newZoned(zonedSnapshot(400, 0, 0))
	before := readyMembers(s)
	restarts := &endpoints.List{}
	for name := range before {
		e := s.listed[name]
		e.StartedMs = float64(start.UnixMilli())
		restarts.Endpoints = append(restarts.Endpoints, e)
	}
	s.Update(start, restarts)
	if n := len(readyMembers(s)); n <= len(before) || n > len(before)*3/2+1 {
		t.Errorf("%d members beside %d that warm up", n-len(before), len(before))
	}
	s.Tick(s.Next())
	if !maps.Equal(readyMembers(s), before) {
		t.Errorf("%d members when all are warm, %d before", len(readyMembers(s)), len(before))
	}
	if s.Tick(s.Next()); len(s.members) != len(before) {
		t.Errorf("%d members once the borrowed ones are removed, %d before", len(s.members), len(before))
	}
}

// Where the fleet grows many times over at once, the warm members stay.
func TestWarmMembersStayWhenFleetGrows(t *testing.T) {
	s := newZoned(zonedSnapshot(20, 0, 0))
	before := readyMembers(s)
	growth := zonedSnapshot(400, 0, float64(start.UnixMilli()))
	growth.Snapshot = false
	growth.Endpoints = slices.DeleteFunc(growth.Endpoints, func(e endpoints.Endpoint) bool { return s.listed[e.Name].Name != "" })
	s.Update(start, growth)
	kept := 0
	for name := range readyMembers(s) {
		if before[name] {
			kept++
		}
	}
	if n := len(readyMembers(s)); kept < len(before) || n > s.options.MaxSize {
		t.Errorf("of %d only %d stay among %d", len(before), kept, n)
	}
}

// The size is bounded by the connections that there may be.
func TestSizeIsBoundedByConnections(t *testing.T) {
	s := New(zonedOptions(), "x", "a", 25)
	s.Update(start, zonedSnapshot(100, 100, 0))
	s.Rate(start, 1e6)
	if n := len(readyMembers(s)); n == 0 || n > 5 {
		t.Errorf("%d members for 25 connections", n)
	}
}

// reportedList is what the lists received and the changes returned by a Subset amount to.
type reportedList struct {
	listed   map[string]endpoints.Endpoint
	reported map[string]endpoints.Endpoint
}

// step draws one input of a Subset and takes its result.
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

// check holds that the ready members are as listed, and enough of them.
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
			t.Fatalf("%s is reported as %+v and listed as %+v", name, e, r.listed[name])
		}
	}
	if readyMembers > s.options.MaxSize || readyMembers < min(ready, 1) || ready <= s.size && readyMembers < min(ready, s.size) {
		t.Fatalf("%d of %d ready ones are reported, %d are wanted", readyMembers, ready, s.size)
	}
}

// After any history of lists, changes, rates and time the changes returned add up to members that are listed.
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
			t.Fatalf("%d are being released, %d are members", len(s.releasing), len(s.members))
		}
	})
}
