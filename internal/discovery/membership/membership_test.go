package membership

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/endpoints"
)

// rig feeds a Merge and keeps the merged list from its changes alone.
type rig struct {
	t interface {
		Helper()
		Errorf(string, ...any)
		Fatalf(string, ...any)
	}
	*Merge
	now  time.Time
	list map[string]Change
	said []string
}

func newRig(t testing.TB, o Options, sources ...string) *rig {
	r := &rig{t: t, Merge: New(o), now: time.UnixMilli(1e12), list: map[string]Change{}}
	for _, s := range sources {
		if err := r.AddSource(s, false); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func (r *rig) take(o Output) {
	r.t.Helper()
	r.said = append(r.said, o.Notes...)
	for _, c := range o.Changes {
		if c.Reason == "" {
			r.t.Errorf("%s is %s for no reason", c.Name, c.Status)
		}
		if c.Status == endpoints.StatusGone {
			delete(r.list, c.Name)
		} else {
			r.list[c.Name] = c
		}
	}
	// The changes say all that the list says.
	list := r.List()
	if len(list) != len(r.list) {
		r.t.Fatalf("the changes come to %v, the list is %v", r.list, list)
	}
	for _, e := range list {
		if r.list[e.Name].Endpoint != e {
			r.t.Fatalf("by the changes %+v, in the list %+v", r.list[e.Name].Endpoint, e)
		}
	}
}

func (r *rig) whole(source string, entries ...endpoints.Endpoint) {
	r.t.Helper()
	r.take(r.Update(r.now, source, &endpoints.List{Snapshot: true, Endpoints: entries}))
}

func (r *rig) change(source string, entries ...endpoints.Endpoint) {
	r.t.Helper()
	r.take(r.Update(r.now, source, &endpoints.List{Endpoints: entries}))
}

// pass lets time pass, with each timer at its time.
func (r *rig) pass(d time.Duration) {
	r.t.Helper()
	end := r.now.Add(d)
	for next := r.Next(); !next.IsZero() && !next.After(end); next = r.Next() {
		if next.After(r.now) {
			r.now = next
		}
		r.take(r.Tick(r.now))
	}
	r.now = end
	r.take(r.Tick(r.now))
}

// says is the list as "name@address status", in order.
func (r *rig) says() string {
	var out []string
	for _, e := range r.List() {
		out = append(out, fmt.Sprintf("%s@%s %s", e.Name, strings.TrimPrefix(e.Address, "10.0.0."), e.Status))
	}
	return strings.Join(out, ", ")
}

func (r *rig) want(step, list string) {
	r.t.Helper()
	if got := r.says(); got != list {
		r.t.Errorf("%s: %q, want %q", step, got, list)
	}
}

// at is an entry: name, address's end, status, start in minutes.
func at(name string, port int, status string, minutes ...int) endpoints.Endpoint {
	e := endpoints.Endpoint{Name: name, Address: fmt.Sprintf("10.0.0.%d", port), Status: status}
	if len(minutes) > 0 {
		e.StartedMs = 1e12 + float64(minutes[0])*60_000
	}
	return e
}

const (
	ready = endpoints.StatusReady
	ends  = endpoints.StatusTerminating
	gone  = endpoints.StatusGone
)

var statuses = map[string]string{"up": ready, "starting": StatusStarting, "unknown": StatusUnknown, "draining": ends,
	"out of service": StatusOutOfService, "down": StatusDown, "gone": gone}

// Guards against a pair of states that is decided otherwise than the design note's table says, in either order of the
// sources, whether it was ready before or not.
func TestEveryPairOfStates(t *testing.T) {
	text, err := os.ReadFile("../../../docs/design/membership.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "## States of two sources")
	section, _, _ = strings.Cut(section, "\n## ")
	var columns []string
	cells := 0
	for line := range strings.Lines(section) {
		row := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range row {
			row[i] = strings.TrimSpace(row[i])
		}
		switch {
		case !strings.HasPrefix(line, "|") || strings.HasPrefix(row[0], "---"):
		case columns == nil:
			columns = row
		default:
			for i, want := range row[1:] {
				for _, before := range []bool{true, false} {
					for _, order := range [][2]string{{"a", "b"}, {"b", "a"}} {
						cells++
						want, starred := strings.CutSuffix(want, "*")
						if starred && !before {
							want = "none"
						}
						o := Default()
						o.MassRemovalHold = 0 // one upstream is all that there is
						r := newRig(t, o, "a", "b")
						pair := []string{row[0], columns[i+1]}
						if pair[0] == "up" { // said last, it can't have been ready before
							slices.Reverse(pair)
						}
						for k, state := range pair {
							if state == "absent" {
								continue
							}
							if before || state == "gone" {
								r.change(order[k], at("n", 1, ready))
							}
							r.change(order[k], at("n", 1, statuses[state]))
						}
						if before && row[0] == "absent" && columns[i+1] == "absent" {
							continue
						}
						got := map[string]string{"": "none", "n@1 " + ready: "ready", "n@1 " + ends: "ends"}[r.says()]
						if got != want {
							t.Errorf("%s/%s, ready before: %v: %s, want %s", row[0], columns[i+1], before, got, want)
						}
					}
				}
			}
		}
	}
	if cells != 8*8*4 {
		t.Errorf("%d cells were tried", cells)
	}
}

// Guards against two upstreams taken for one, one for two, and an end that binds the next process.
func TestIdentity(t *testing.T) {
	for name, steps := range map[string]func(r *rig){
		"by id here, by address there": func(r *rig) {
			r.whole("list", at("n1", 1, ready))
			r.whole("eureka", at("host:app:1", 1, ready))
			r.want("one", "n1@1 Ready")
			r.change("eureka", at("host:app:1", 1, StatusOutOfService))
			r.want("taken out", "n1@1 Terminating")
		},
		"a new process at the old address, registered anew": func(r *rig) {
			r.whole("eureka", at("i1", 1, ready, 1))
			r.change("eureka", at("i2", 1, ready, 90))
			r.want("the later one", "i2@1 Ready")
			r.change("eureka", at("i1", 1, gone))
			r.want("the old lease ends", "i2@1 Ready")
		},
		"the old list drains the process before": func(r *rig) {
			r.whole("list", at("n1", 1, ready, 1))
			r.change("list", at("n1", 1, ends, 1))
			r.change("eureka", at("i1", 1, ready, 1))
			r.want("the same process", "n1@1 Terminating")
			r.now = r.now.Add(90 * time.Minute)
			r.change("eureka", at("i1", 1, gone), at("i2", 1, ready, 88))
			r.want("another", "n1@1 Ready")
			if e := r.List()[0]; e.StartedMs != 1e12+88*60_000 {
				r.t.Errorf("started at %v", e.StartedMs)
			}
		},
		"an address that moves, in one list first": func(r *rig) {
			r.whole("list", at("n1", 1, ready, 1), at("n2", 2, ready, 1))
			r.whole("eureka", at("n1", 1, ready, 1), at("n2", 2, ready, 1))
			r.change("eureka", at("n1", 3, ready, 90))
			r.want("moved", "n1@3 Ready, n2@2 Ready")
			r.change("eureka", at("n3", 1, ready, 95))
			r.want("another at the old address", "n1@3 Ready, n2@2 Ready, n3@1 Ready")
			r.change("list", at("n1", 3, ready, 90))
			r.want("agreed", "n1@3 Ready, n2@2 Ready, n3@1 Ready")
		},
		"a name kept when its source is removed, and given back": func(r *rig) {
			r.whole("list", at("n1", 1, ready, 1))
			r.whole("eureka", at("i1", 1, ready, 1))
			r.take(r.RemoveSource(r.now, "list"))
			r.want("kept", "n1@1 Ready")
			_ = r.AddSource("other", false)
			r.whole("other", at("n1", 2, ready, 5))
			r.want("claimed", "i1@1 Ready, n1@2 Ready")
		},
		"duplicates in one list": func(r *rig) {
			r.whole("list", at("n1", 1, ready, 1), at("n2", 1, ends, 2))
			r.want("the later start speaks", "n2@1 Terminating")
		},
		"a start that sources see differently": func(r *rig) {
			r.whole("list", at("n1", 1, ready, 1))
			late := at("n1", 1, ready, 1)
			late.StartedMs += 30_000
			r.whole("eureka", late)
			if len(r.said) > 0 || r.List()[0].StartedMs != 1e12+60_000 {
				r.t.Errorf("%+v", r.List())
			}
		},
	} {
		t.Run(name, func(t *testing.T) { steps(newRig(t, Default(), "list", "eureka")) })
	}
}

// Guards against a list that is emptied by a source's loss, by a registry that restarts empty, by nodes that flap; and
// against drains that such doubts hold up.
func TestTime(t *testing.T) {
	fleet := func(n int, status string) (all []endpoints.Endpoint) {
		for i := range n {
			all = append(all, at(fmt.Sprintf("n%02d", i), i, status, 1))
		}
		return all
	}
	count := func(r *rig, status string) (n int) {
		for _, e := range r.List() {
			if e.Status == status {
				n++
			}
		}
		return n
	}
	want := func(r *rig, step string, readies, ending int) {
		r.t.Helper()
		if a, b := count(r, ready), count(r, ends); a != readies || b != ending {
			r.t.Errorf("%s: %d ready and %d ending, want %d and %d; said %q", step, a, b, readies, ending, r.said)
		}
	}
	for name, steps := range map[string]func(r *rig){
		"gone outweighs up for a while": func(r *rig) {
			r.whole("list", fleet(10, ready)...)
			r.whole("eureka", fleet(10, ready)...)
			r.whole("list", fleet(9, ready)...)
			want(r, "at once", 9, 0)
			r.pass(29 * time.Second)
			want(r, "held", 9, 0)
			r.pass(2 * time.Second)
			want(r, "moved to the other", 10, 0)
		},
		"the only source is lost": func(r *rig) {
			r.whole("list", fleet(10, ready)...)
			r.take(r.Lost(r.now, "list"))
			r.take(r.Lost(r.now, "eureka"))
			r.pass(5 * time.Hour)
			want(r, "kept", 10, 0)
			r.whole("list", fleet(8, ready)...)
			want(r, "back", 8, 0)
		},
		"one of two is lost": func(r *rig) {
			r.whole("list", fleet(20, ready)...)
			r.whole("eureka", fleet(10, ready)...)
			r.change("list", at("n00", 0, ends, 1))
			r.take(r.Lost(r.now, "list"))
			r.pass(14 * time.Minute)
			want(r, "kept, and the drain too", 19, 1)
			r.pass(2 * time.Minute)
			want(r, "aged: a tenth goes, the other is believed", 18, 0)
			r.pass(20 * time.Minute)
			want(r, "what the other lists", 10, 0)
			r.take(r.Current(r.now, "list"))
			want(r, "back, drain and all", 19, 1)
		},
		"a registry that restarts empty": func(r *rig) {
			r.whole("eureka", fleet(10, ready)...)
			r.whole("list", at("n00", 0, ready, 1))
			r.whole("eureka")
			want(r, "not believed", 10, 0)
			r.change("list", at("n00", 0, ends, 1))
			want(r, "a drain is", 9, 1)
			r.whole("eureka", fleet(6, ready)...)
			r.pass(61 * time.Second)
			want(r, "filled up again to six", 5, 1)
		},
		"one by one within the window": func(r *rig) {
			r.whole("eureka", fleet(10, ready)...)
			for n := 9; n >= 2; n-- {
				r.whole("eureka", fleet(n, ready)...)
				r.pass(100 * time.Millisecond)
			}
			want(r, "not believed from the sixth on", 10, 0)
			r.whole("eureka", fleet(10, ready)...)
			r.pass(2 * time.Minute)
			want(r, "nothing has happened", 10, 0)
		},
		"all drain at once": func(r *rig) {
			r.whole("eureka", fleet(10, ready)...)
			r.whole("eureka", fleet(10, StatusOutOfService)...)
			want(r, "believed", 0, 10)
		},
		"another agrees that they went": func(r *rig) {
			r.whole("eureka", fleet(4, ready)...)
			r.whole("list", fleet(4, ready)...)
			r.change("list", at("n00", 0, gone))
			r.whole("eureka")
			want(r, "the one of which both say so", 3, 0)
		},
		"flapping": func(r *rig) {
			r.whole("list", fleet(10, ready)...)
			flap := func(name string, i, times int) {
				for range times {
					r.change("list", at(name, i, ends, 1))
					r.now = r.now.Add(time.Second)
					r.change("list", at(name, i, ready, 1))
				}
			}
			flap("n00", 0, 3)
			want(r, "three times", 10, 0)
			flap("n00", 0, 1)
			want(r, "held back", 9, 1)
			flap("n01", 1, 4)
			flap("n02", 2, 4)
			want(r, "no more than a quarter", 8, 2)
			r.pass(11 * time.Second)
			want(r, "let in again", 10, 0)
		},
		"a storm leaves nothing behind": func(r *rig) {
			for i := range 200 {
				r.change("list", at(fmt.Sprint("x", i), i, ready, 1))
				r.change("list", at(fmt.Sprint("x", i), i, ends, 1), at(fmt.Sprint("x", i), i, gone))
			}
			r.pass(10 * time.Minute)
			if n := len(r.byID) + len(r.byAddr) + len(r.nodes) + len(r.timers) + len(r.named["list"].records); n != 0 {
				r.t.Errorf("%d things are held", n)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { steps(newRig(t, Default(), "list", "eureka")) })
	}
}

// Guards against histories that nobody thought of: the changes always come to the list; nothing is ready against a word of
// its own name; nothing is left behind at the end.
func TestAnyHistory(t *testing.T) {
	words := []string{ready, ready, ready, ends, gone, StatusDown, StatusOutOfService, StatusStarting, StatusUnknown}
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		o.MaxFlaps = rapid.IntRange(0, 4).Draw(t, "flaps")
		r := &rig{t: t, Merge: New(o), now: time.UnixMilli(1e12), list: map[string]Change{}}
		sources := []string{"a", "b", "c"}
		for _, s := range sources {
			_ = r.AddSource(s, false)
		}
		entry := rapid.Custom(func(t *rapid.T) endpoints.Endpoint {
			return at(fmt.Sprint("n", rapid.IntRange(0, 4).Draw(t, "name")), rapid.IntRange(0, 4).Draw(t, "address"),
				rapid.SampledFrom(words).Draw(t, "word"), rapid.IntRange(0, 3).Draw(t, "start"))
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(sources).Draw(t, "source")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				r.take(r.Lost(r.now, s))
			case 1:
				r.take(r.Current(r.now, s))
			case 2:
				r.pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "seconds")) * time.Second)
			case 3:
				r.take(r.RemoveSource(r.now, s))
				_ = r.AddSource(s, false)
			case 4, 5:
				r.whole(s, rapid.SliceOfNDistinct(entry, 0, 5, func(e endpoints.Endpoint) string { return e.Name }).Draw(t, "list")...)
			default:
				r.change(s, entry.Draw(t, "change"))
			}
			readies := 0
			for _, n := range r.nodes {
				if !n.told || n.e.Status != ready {
					continue
				}
				readies++
				for _, x := range r.byID[n.name] {
					against := x.state == Draining || x.state == OutOfService || x.state == Down
					if against && x.e.Address == n.e.Address && !r.agedOut(x.src) && n.records[x] && !superseded(r, x) {
						t.Fatalf("%s is ready, and %s says %v", n.name, x.src.name, x.state)
					}
				}
			}
			if readies != r.ready {
				t.Fatalf("%d are ready, %d counted", readies, r.ready)
			}
		}
		for _, s := range sources {
			r.take(r.RemoveSource(r.now, s))
		}
		r.pass(time.Hour)
		if n := len(r.byID) + len(r.byAddr) + len(r.nodes) + len(r.timers); n != 0 || r.ready != 0 || r.held != 0 {
			t.Fatalf("%d things are held, %d ready, %d held back", n, r.ready, r.held)
		}
	})
}

// superseded: a later process at its address, in its own list or by another name, speaks in its place.
func superseded(r *rig, x *record) bool {
	return slices.ContainsFunc(r.byAddr[x.e.Address], func(o *record) bool {
		return o != x && o.e.Name != x.e.Name && (o.src == x.src || o.e.StartedMs > x.e.StartedMs || o.state == Up)
	})
}

// BenchmarkMerge is 5,000 nodes in 2 sources: a whole list told again, one changed entry, and the first two lists.
//
//	go test -run '^$' -bench Merge -benchmem ./internal/discovery/membership
func BenchmarkMerge(b *testing.B) {
	list := func(prefix string) (all []endpoints.Endpoint) {
		for i := range 5000 {
			all = append(all, endpoints.Endpoint{Name: fmt.Sprint(prefix, i), Address: fmt.Sprintf("10.1.%d.%d:80", i/256, i%256), Status: ready, StartedMs: 1e12})
		}
		return all
	}
	now := time.UnixMilli(1e12)
	whole := [][]endpoints.Endpoint{list("n"), list("i")}
	make2 := func() *Merge {
		m := New(Default())
		for k, s := range []string{"list", "eureka"} {
			_ = m.AddSource(s, false)
			m.Update(now, s, &endpoints.List{Snapshot: true, Endpoints: whole[k]})
		}
		return m
	}
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			make2()
		}
	})
	m := make2()
	b.Run("again", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m.Update(now, "eureka", &endpoints.List{Snapshot: true, Endpoints: whole[1]})
		}
	})
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			now = now.Add(time.Second)
			e := whole[1][n%5000]
			e.Status = []string{ready, ends}[n/5000%2]
			m.Update(now, "eureka", &endpoints.List{Endpoints: []endpoints.Endpoint{e}})
		}
	})
}
