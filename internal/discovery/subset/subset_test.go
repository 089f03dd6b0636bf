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

func node(i int, zone string) endpoints.Endpoint {
	return endpoints.Endpoint{Name: fmt.Sprint("n", i), Address: fmt.Sprint("127.0.0.1:", 1+i%65535), Zone: zone, Status: endpoints.StatusReady}
}

func whole(n int) *endpoints.List {
	l := &endpoints.List{Snapshot: true}
	for i := range n {
		l.Endpoints = append(l.Endpoints, node(i, ""))
	}
	return l
}

// sidecars are all of a zone, with the list.
func sidecars(t testing.TB, count, nodes, size int, known bool) []*Subset {
	t.Helper()
	all, list := make([]*Subset, count), whole(nodes)
	for i := range all {
		o := Default()
		o.MinSize, o.MaxSize = size, 4096
		if known {
			o.FleetSize, o.Index = count, i
		}
		all[i] = New(o, fmt.Sprint("sidecar", i), "", 1<<20)
		all[i].Update(start, list)
	}
	return all
}

// own is the upstreams that take new requests.
func own(s *Subset) map[string]bool {
	names := map[string]bool{}
	for name, e := range s.chosen {
		if e.Status == endpoints.StatusReady {
			names[name] = true
		}
	}
	return names
}

// loads is each node's load where every sidecar has one unit of traffic.
func loads(all []*Subset) map[string]float64 {
	load := map[string]float64{}
	for _, s := range all {
		of := own(s)
		for name := range of {
			load[name] += 1 / float64(len(of))
		}
	}
	return load
}

// Guards against a node that has more of all sidecars' traffic than another, a node that nobody knows, and connections a
// node that grow with the sidecars.
func TestLoadIsEven(t *testing.T) {
	for _, c := range []struct{ sidecars, nodes, size int }{{10, 5000, 1000}, {50, 2000, 150}, {200, 5000, 25}, {40, 40, 20}, {7, 40, 12}, {3, 10, 4}} {
		all := sidecars(t, c.sidecars, c.nodes, c.size, true)
		load := loads(all)
		most, open := 0.0, 0
		for _, v := range load {
			most = max(most, v)
		}
		for _, s := range all {
			open += len(own(s))
		}
		mean := float64(c.sidecars) / float64(c.nodes)
		if len(load) != c.nodes || most > 1.3*mean {
			t.Errorf("%+v: %d nodes are known, max/mean %.2f", c, len(load), most/mean)
		}
		if each := float64(open) / float64(c.nodes); each > 1.5*float64(c.size*c.sidecars)/float64(c.nodes)+1 {
			t.Errorf("%+v: %.1f sidecars a node", c, each)
		}
	}
}

// Guards against a change of one node that moves more than a few members of each sidecar.
func TestOneNodeMovesFew(t *testing.T) {
	for _, known := range []bool{true, false} {
		all := sidecars(t, 50, 2000, 120, known)
		most := 0
		for _, s := range all {
			before := own(s)
			s.Update(start, &endpoints.List{Endpoints: []endpoints.Endpoint{{Name: "n77", Status: endpoints.StatusGone}, node(5000, "")}})
			moved := 0
			for name := range own(s) {
				if !before[name] {
					moved++
				}
			}
			most = max(most, moved)
		}
		if most > 3 {
			t.Errorf("index known: %v: one node moved %d members of a sidecar", known, most)
		}
	}
}

// Guards against zones that are forgotten or too small, sizes that flap with the traffic, cold nodes that are all that there
// is, and members that are dropped with what they have.
func TestSubset(t *testing.T) {
	o := Default()
	o.FleetSize, o.Index = 10, 3
	fresh := func() *Subset { return New(o, "x", "a", 1000) }
	zoned := func(a, b int, since float64) *endpoints.List {
		l := &endpoints.List{Snapshot: true}
		for i := range a + b {
			e := node(i, "a")
			if i >= a {
				e.Zone = "b"
			}
			e.StartedMs = since
			l.Endpoints = append(l.Endpoints, e)
		}
		return l
	}
	in := func(s *Subset, zone string) (n int) {
		for name := range own(s) {
			if s.all[name].Zone == zone {
				n++
			}
		}
		return n
	}
	t.Run("zones", func(t *testing.T) {
		for _, c := range []struct{ a, b, wantA, wantB int }{{100, 100, 9, 3}, {1, 100, 1, 11}, {0, 100, 0, 12}, {100, 0, 12, 0}, {100, 1, 11, 1}, {3, 2, 3, 2}} {
			s := fresh()
			s.Update(start, zoned(c.a, c.b, 0))
			if a, b := in(s, "a"), in(s, "b"); a < c.wantA || b < c.wantB || a+b > 2*(c.wantA+c.wantB)+2 {
				t.Errorf("%+v: %d and %d", c, a, b)
			}
		}
	})
	t.Run("traffic", func(t *testing.T) {
		s, now := fresh(), start
		s.Update(now, zoned(400, 0, 0))
		now = now.Add(time.Minute)
		small := len(own(s))
		step := func(seconds int, rate float64) {
			for range seconds {
				now = now.Add(time.Second)
				s.Rate(now, rate)
			}
		}
		for range 10 {
			step(3, 1000)
			step(2, 1)
		}
		if n := len(own(s)); n != small {
			t.Errorf("%d after short bursts, %d before", n, small)
		}
		step(4, 1000)
		if n := len(own(s)); n <= 2*small || n > o.MaxSize {
			t.Errorf("%d with a thousand requests a second", n)
		}
		step(60, 1.0/60)
		if n := len(own(s)); n > 2*small || n < o.MinSize {
			t.Errorf("%d with one request a minute", n)
		}
		if s.most = 5; len(New(o, "x", "a", 25).chosen) != 0 {
			t.Error("a new one has members")
		}
	})
	t.Run("half restarts", func(t *testing.T) {
		s := fresh()
		s.Update(start, zoned(400, 0, 0))
		before := own(s)
		change := &endpoints.List{}
		for name := range before { // all of its own, while others are warm
			e := s.all[name]
			e.StartedMs = float64(start.UnixMilli())
			change.Endpoints = append(change.Endpoints, e)
		}
		s.Update(start, change)
		if n := len(own(s)); n <= len(before) || n > len(before)*3/2+1 {
			t.Errorf("%d members beside %d cold ones", n-len(before), len(before))
		}
		s.Tick(s.Next())
		if !maps.Equal(own(s), before) {
			t.Errorf("%d members when all are warm, %d before", len(own(s)), len(before))
		}
		if s.Tick(s.Next()); len(s.chosen) != len(before) {
			t.Errorf("%d are still told of", len(s.chosen))
		}
	})
	t.Run("grows many times over", func(t *testing.T) {
		s := fresh()
		s.Update(start, zoned(20, 0, 0))
		before := own(s)
		change := zoned(400, 0, 0)
		change.Snapshot = false
		change.Endpoints = slices.DeleteFunc(change.Endpoints, func(e endpoints.Endpoint) bool { return s.all[e.Name].Name != "" })
		for i := range change.Endpoints {
			change.Endpoints[i].StartedMs = float64(start.UnixMilli())
		}
		s.Update(start, change)
		kept := 0
		for name := range own(s) {
			if before[name] {
				kept++
			}
		}
		if n := len(own(s)); kept < len(before) || n > o.MaxSize {
			t.Errorf("of %d only %d stay among %d", len(before), kept, n)
		}
	})
	t.Run("few descriptors", func(t *testing.T) {
		s := New(o, "x", "a", 25)
		s.Update(start, zoned(100, 100, 0))
		s.Rate(start, 1e6)
		if n := len(own(s)); n == 0 || n > 5 {
			t.Errorf("%d members for 25 connections", n)
		}
	})
}

// Guards against lists that differ from what was told, and members that the list does not have: any history of lists,
// changes, traffic and time.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		o.MinSize, o.MaxSize = rapid.IntRange(1, 8).Draw(t, "least"), rapid.IntRange(8, 20).Draw(t, "most")
		if o.FleetSize = rapid.IntRange(0, 6).Draw(t, "sidecars"); o.FleetSize > 0 {
			o.Index = rapid.IntRange(-1, o.FleetSize-1).Draw(t, "index")
		}
		s, now := New(o, "me", "a", 1000), start
		list, told := map[string]endpoints.Endpoint{}, map[string]endpoints.Endpoint{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var out *endpoints.List
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
				out = s.Tick(now)
			case 1:
				out = s.Rate(now, rapid.Float64Range(0, 100).Draw(t, "rate"))
			case 2:
				l := &endpoints.List{Snapshot: true}
				clear(list)
				for i := range rapid.IntRange(0, 50).Draw(t, "nodes") {
					e := node(i, []string{"a", "b"}[i%2])
					l.Endpoints = append(l.Endpoints, e)
					list[e.Name] = e
				}
				out = s.Update(now, l)
			default:
				e := node(rapid.IntRange(0, 50).Draw(t, "node"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
				e.Status = rapid.SampledFrom([]string{endpoints.StatusReady, endpoints.StatusReady, endpoints.StatusTerminating, endpoints.StatusGone}).Draw(t, "status")
				e.StartedMs = float64(now.UnixMilli() * rapid.Int64Range(0, 1).Draw(t, "started"))
				if list[e.Name] = e; e.Status == endpoints.StatusGone {
					delete(list, e.Name)
				}
				out = s.Update(now, &endpoints.List{Endpoints: []endpoints.Endpoint{e}})
			}
			if out != nil {
				for _, e := range out.Endpoints {
					if told[e.Name] = e; e.Status == endpoints.StatusGone {
						delete(told, e.Name)
					}
				}
			}
			ready, taking := 0, 0
			for _, e := range list {
				if e.Status == endpoints.StatusReady {
					ready++
				}
			}
			for name, e := range told {
				if e.Status != endpoints.StatusReady {
					continue
				}
				if taking++; list[name] != e {
					t.Fatalf("%s is told as %+v and listed as %+v", name, e, list[name])
				}
			}
			if taking > o.MaxSize || taking < min(ready, 1) || ready <= s.want && taking < min(ready, s.want) {
				t.Fatalf("%d of %d ready ones are told, %d are wanted", taking, ready, s.want)
			}
		}
		if names := slices.Collect(maps.Keys(s.ending)); len(names) > len(s.chosen) {
			t.Fatalf("%d end, %d are told of", len(names), len(s.chosen))
		}
	})
}
