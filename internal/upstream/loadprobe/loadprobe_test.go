package loadprobe

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/units"
)

// Guards, over random histories, against more probes than ProbesPerRequest or Rate allows, against probes to an upstream that is not a
// member, has a probe in flight or answered within MaxAge, and against a Prober that keeps state for upstreams that are no longer members.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		o.UpstreamsPerRequest = rapid.IntRange(2, 8).Draw(t, "each")
		o.ProbesPerRequest = float64(rapid.IntRange(1, 16).Draw(t, "share")) / 2
		o.Rate = float64(rapid.IntRange(1, 500).Draw(t, "rate"))
		o.SampleInterval = units.Duration(time.Duration(rapid.IntRange(0, 1000).Draw(t, "heard")) * time.Millisecond)
		p := New(o, rand.New(rand.NewPCG(1, 2)))
		members, inFlight, answeredAt := map[string]bool{}, map[string]bool{}, map[string]time.Duration{}
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
				delete(inFlight, name)
				delete(answeredAt, name)
			case 2:
				ok := rapid.Bool().Draw(t, "ok")
				p.Answered(now, name, ok)
				if inFlight[name] {
					if delete(answeredAt, name); ok {
						answeredAt[name] = now
					}
					delete(inFlight, name)
				}
			default:
				requests++
				for _, name := range p.Targets(now) {
					if at, has := answeredAt[name]; !members[name] || inFlight[name] || has && now-at < o.MaxAge.D() {
						t.Fatalf("%s is probed: member %v, probe in flight %v, answered at %v, now %v", name, members[name], inFlight[name], at, now)
					}
					inFlight[name] = true
					probes++
				}
			}
			if p.Len() != len(members) || p.InFlight() != len(inFlight) {
				t.Fatalf("%d members and %d probes in flight, want %d and %d", p.Len(), p.InFlight(), len(members), len(inFlight))
			}
			if limit := o.ProbesPerRequest * float64(requests); float64(probes) > limit {
				t.Fatalf("%d probes for %d requests exceed ProbesPerRequest", probes, requests)
			}
			if limit := o.burst() + o.Rate*now.Seconds(); float64(probes) > limit+1e-6 {
				t.Fatalf("%d probes in %v exceed Rate", probes, now)
			}
		}
	})
}

// Checks that a process sends probes if and only if its own requests reach each upstream too rarely, and that Check rejects invalid
// options.
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
		probes := 0
		for i := range 20 * c.perSecond {
			now := time.Duration(i) * time.Second / time.Duration(c.perSecond)
			names := p.Targets(now)
			for _, name := range names {
				p.Answered(now, name, true)
			}
			if i >= 10*c.perSecond {
				probes += len(names)
			}
		}
		if (probes > 0) != c.want {
			t.Errorf("%d members, %d requests per second: unexpected number of probes, %d", c.members, c.perSecond, probes)
		}
	}
	for _, change := range []func(*Options){func(o *Options) { o.UpstreamsPerRequest = 1 }, func(o *Options) { o.ProbesPerRequest = 0 }, func(o *Options) { o.Rate = 0 },
		func(o *Options) { o.Timeout = 0 }, func(o *Options) { o.Path = "load" }} {
		o, problems := Default(), 0
		change(&o)
		if o.Check(func(string, string, ...any) { problems++ }); problems == 0 {
			t.Errorf("Check reports no problem in the invalid options %+v", o)
		}
	}
}
