package loadprobe

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/units"
)

// Any history: never more than Share probes a request and Rate a second, none to who is no member or has one out, none to who
// has just answered, and a prober that holds no more than its members.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		o.UpstreamsPerRequest = rapid.IntRange(2, 8).Draw(t, "each")
		o.ProbesPerRequest = float64(rapid.IntRange(1, 16).Draw(t, "share")) / 2
		o.Rate = float64(rapid.IntRange(1, 500).Draw(t, "rate"))
		o.SampleInterval = units.Duration(time.Duration(rapid.IntRange(0, 1000).Draw(t, "heard")) * time.Millisecond)
		p := New(o, rand.New(rand.NewPCG(1, 2)))
		members, out, known := map[string]bool{}, map[string]bool{}, map[string]time.Duration{}
		var now time.Duration
		probes, requests := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.Add(name)
				members[name] = true
			case 1:
				p.Remove(name)
				delete(members, name)
				delete(out, name)
				delete(known, name)
			case 2:
				ok := rapid.Bool().Draw(t, "ok")
				p.Answered(now, name, ok)
				if out[name] {
					if delete(known, name); ok {
						known[name] = now
					}
					delete(out, name)
				}
			default:
				requests++
				for _, name := range p.Targets(now) {
					if at, has := known[name]; !members[name] || out[name] || has && now-at < o.MaxAge.D() {
						t.Fatalf("%s is asked: member %v, asked %v, answered at %v, now %v", name, members[name], out[name], at, now)
					}
					out[name] = true
					probes++
				}
			}
			if p.Len() != len(members) || p.InFlight() != len(out) {
				t.Fatalf("%d members, %d asked; want %d, %d", p.Len(), p.InFlight(), len(members), len(out))
			}
			if most := o.ProbesPerRequest * float64(requests); float64(probes) > most {
				t.Fatalf("%d probes for %d requests", probes, requests)
			}
			if most := o.burst() + o.Rate*now.Seconds(); float64(probes) > most+1e-6 {
				t.Fatalf("%d probes in %v", probes, now)
			}
		}
	})
}

// Who sends much hears its upstreams anyway, and asks nobody; who sends little asks for each request.
func TestWhoAsks(t *testing.T) {
	for _, c := range []struct {
		members, perSecond int
		want               bool
	}{{100, 10, true}, {100, 350, true}, {100, 500, false}, {1, 1, false}, {2, 4, true}, {2, 20, false}} {
		o := Default()
		p := New(o, rand.New(rand.NewPCG(1, 2)))
		for i := range c.members {
			p.Add(fmt.Sprint(i))
		}
		asked := 0
		for i := range 20 * c.perSecond {
			now := time.Duration(i) * time.Second / time.Duration(c.perSecond)
			names := p.Targets(now)
			for _, name := range names {
				p.Answered(now, name, true)
			}
			if i >= 10*c.perSecond {
				asked += len(names)
			}
		}
		if (asked > 0) != c.want {
			t.Errorf("%d members, %d requests a second: %d probes", c.members, c.perSecond, asked)
		}
	}
	for _, change := range []func(*Options){func(o *Options) { o.UpstreamsPerRequest = 1 }, func(o *Options) { o.ProbesPerRequest = 0 }, func(o *Options) { o.Rate = 0 },
		func(o *Options) { o.Timeout = 0 }, func(o *Options) { o.Path = "load" }} {
		o, bad := Default(), 0
		change(&o)
		if o.Check(func(string, string, ...any) { bad++ }); bad == 0 {
			t.Errorf("%+v is taken", o)
		}
	}
}
