// Package loadprobe decides which upstreams are asked for their load before a request is decided on, and when none is: a sidecar
// that sends little hears each upstream too seldom to know it, and may ask a few instead. It is a state machine: members,
// requests and answers in, upstreams to ask out; no I/O, no clock. Its random numbers are its caller's. What the answers mean
// is the module's to say: package balancer prefers, among upstreams that were asked just now, the one of lowest load.
//
// The form is Prequal's (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024) in its
// synchronous mode, with a short pool: answers younger than Options.MaxAge are taken again. Three bounds hold: Options.ProbesPerRequest
// probes a request over time, Options.Rate a second, and none at all while the sidecar's own requests reach each of its
// upstreams more often than every Options.SampleInterval. So what an upstream is asked is at most Share times the requests that it and
// its like get in all, however many sidecars they come from.
package loadprobe

import (
	"math/rand/v2"
	"strings"
	"time"

	"orchiddrift/internal/units"
)

// Options are a Prober's parameters, and its part of the operator's file.
type Options struct {
	Enabled             bool           `toml:"on" doc:"Asks a few upstreams for their load before a request, while it sends little."`
	UpstreamsPerRequest int            `toml:"each" default:"4" doc:"Upstreams that a request is to know of."`
	ProbesPerRequest    float64        `toml:"share" default:"4" doc:"Probes a request, at most over time."`
	Rate                float64        `toml:"rate" default:"500" doc:"Probes a second, at most."`
	Timeout             units.Duration `toml:"patience" default:"5ms" doc:"A request waits for answers for so long at most. An upstream that does not answer in it is not preferred."`
	MaxAge              units.Duration `toml:"fresh" default:"50ms" doc:"An answer that is younger is taken again."`
	SampleInterval      units.Duration `toml:"heard" default:"250ms" doc:"Nobody is asked while requests reach each upstream of its own more often than this."`
	Path                string         `toml:"path" default:"/-/load" doc:"What is asked for, with GET. The answer is 200 with inflight=N or queue=N, and latency_ms=X if it is known, as X-Server-Load has them: in that header or as the body."`
}

// Default is what holds where nothing is said.
func Default() Options {
	return Options{UpstreamsPerRequest: 4, ProbesPerRequest: 4, Rate: 500, Timeout: units.Duration(5 * time.Millisecond), MaxAge: units.Duration(50 * time.Millisecond),
		SampleInterval: units.Duration(250 * time.Millisecond), Path: "/-/load"}
}

// mostEach bounds Options.UpstreamsPerRequest, and mostFresh is how long the module takes an answer for the present.
const (
	mostEach  = 16
	mostFresh = 50 * time.Millisecond
)

// Check is tomlfile.Checker's.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.UpstreamsPerRequest < 2 || o.UpstreamsPerRequest > mostEach {
		report("each", "%d is not from 2 to %d", o.UpstreamsPerRequest, mostEach)
	}
	if !(o.ProbesPerRequest > 0 && o.ProbesPerRequest <= mostEach) {
		report("share", "%v is not above 0 and up to %d", o.ProbesPerRequest, mostEach)
	}
	if !(o.Rate >= 0.1 && o.Rate <= 10_000) {
		report("rate", "%v is not from 0.1 to 10000", o.Rate)
	}
	if o.MaxAge < 0 || o.MaxAge.D() > mostFresh {
		report("fresh", "%v is not from 0s to %v", o.MaxAge, mostFresh)
	}
	if o.Timeout <= 0 || o.Timeout.D() > mostFresh {
		report("patience", "%v is not above 0s and up to %v: what is older counts for nothing", o.Timeout, mostFresh)
	}
	if !strings.HasPrefix(o.Path, "/") || strings.ContainsAny(o.Path, " \r\n") {
		report("path", "%q is no path", o.Path)
	}
}

// Prober is the state machine. It holds an entry for each member, and is not safe for concurrent use.
type Prober struct {
	o       Options
	rng     *rand.Rand
	members map[string]*member
	names   []string // in no order
	share   float64  // probes that requests have paid for
	rate    float64  // probes that the time has paid for
	filled  time.Duration
	perSec  float64 // requests a second, of late
	last    time.Duration
	asking  int
}

type member struct {
	at       int // in names
	answered time.Duration
	known    bool // answered is one
	asked    bool // a probe is out
}

// New returns a Prober.
func New(o Options, rng *rand.Rand) *Prober {
	return &Prober{o: o, rng: rng, members: map[string]*member{}, rate: burst(o)}
}

// burst is how many probes may go at once.
func burst(o Options) float64 { return max(float64(o.UpstreamsPerRequest), o.Rate/10) }

// Add makes an upstream one that may be asked.
func (p *Prober) Add(name string) {
	if p.members[name] == nil {
		p.members[name] = &member{at: len(p.names)}
		p.names = append(p.names, name)
	}
}

// Remove ends that.
func (p *Prober) Remove(name string) {
	m := p.members[name]
	if m == nil {
		return
	}
	if m.asked {
		p.asking--
	}
	delete(p.members, name)
	last := len(p.names) - 1
	p.names[m.at] = p.names[last]
	if m.at < last {
		p.members[p.names[m.at]].at = m.at
	}
	p.names = p.names[:last]
}

// Len is how many may be asked.
func (p *Prober) Len() int { return len(p.names) }

// rateMemory is how long requests count in the rate.
const rateMemory = 5 * time.Second

// Targets is called for each request, before it is decided on. It names upstreams to ask now; Answered must follow for each that is
// still one, with or without an answer. None: the request goes on at once.
func (p *Prober) Targets(now time.Duration) (names []string) {
	passed := max(0, now-p.last).Seconds()
	p.perSec = p.perSec*max(0, 1-passed/rateMemory.Seconds()) + 1/rateMemory.Seconds()
	p.rate = min(burst(p.o), p.rate+p.o.Rate*max(0, now-p.filled).Seconds())
	p.last, p.filled = max(p.last, now), max(p.filled, now)
	p.share = min(float64(4*p.o.UpstreamsPerRequest), p.share+p.o.ProbesPerRequest)
	if len(p.names) < 2 || float64(len(p.names)) < p.perSec*p.o.SampleInterval.D().Seconds() {
		return nil
	}
	want := min(p.o.UpstreamsPerRequest, len(p.names))
	for range 2 * p.o.UpstreamsPerRequest { // draws of some that are known already cost nothing
		if want <= 0 || p.share < 1 || p.rate < 1 {
			break
		}
		name := p.names[p.rng.IntN(len(p.names))]
		m := p.members[name]
		switch {
		case m.asked:
		case m.known && now-m.answered < p.o.MaxAge.D():
			want--
		default:
			m.asked = true
			p.asking++
			p.share--
			p.rate--
			want--
			names = append(names, name)
		}
	}
	return names
}

// Answered ends a probe.
func (p *Prober) Answered(now time.Duration, name string, ok bool) {
	m := p.members[name]
	if m == nil || !m.asked {
		return
	}
	m.asked, m.known, m.answered = false, ok, now
	p.asking--
}

// InFlight is how many probes are out.
func (p *Prober) InFlight() int { return p.asking }
