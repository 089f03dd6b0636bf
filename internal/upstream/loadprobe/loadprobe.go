// Package loadprobe decides which upstreams are asked for their load before a request is decided on: a sidecar that sends little traffic
// learns of each upstream too rarely to know its state, and may probe a few instead. It is a state machine: members, requests and answers
// in, upstreams to probe out; no I/O, no clock. Its random numbers come from its caller. Package balancer decides what the answers mean:
// among upstreams that were probed just now it prefers the one of lowest load.
//
// The form is that of Prequal (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024) in its
// synchronous mode with a short pool: an answer younger than Options.MaxAge is used again. Three bounds hold: Options.ProbesPerRequest
// over time, Options.Rate a second, and no probes at all while the sidecar's own requests reach each of its upstreams more often than
// every Options.SampleInterval. So an upstream is probed at most ProbesPerRequest times as often as it gets requests in all, however many
// sidecars there are.
package loadprobe

import (
	"math/rand/v2"
	"strings"
	"time"

	"orchiddrift/internal/units"
)

// Options are the parameters of a Prober, and its section of the operator's file.
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

// Default returns the options where the file sets none.
func Default() Options {
	return Options{UpstreamsPerRequest: 4, ProbesPerRequest: 4, Rate: 500, Timeout: units.Duration(5 * time.Millisecond), MaxAge: units.Duration(50 * time.Millisecond),
		SampleInterval: units.Duration(250 * time.Millisecond), Path: "/-/load"}
}

const (
	// maxPerRequest bounds Options.UpstreamsPerRequest and Options.ProbesPerRequest.
	maxPerRequest = 16
	// maxAnswerAge is how long the balancer uses an answer.
	maxAnswerAge = 50 * time.Millisecond
	// A burstsPerSecond-th part of Options.Rate may be sent at once.
	burstsPerSecond = 10
	// savedRequests is for how many requests unused probes are kept.
	savedRequests = 4
	// drawsPerUpstream bounds the random draws of a request: those that hit a known upstream cost nothing.
	drawsPerUpstream = 2
	// rateWindow is the time over which requests are counted for the request rate.
	rateWindow = 5 * time.Second
)

// Check implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.UpstreamsPerRequest < 2 || o.UpstreamsPerRequest > maxPerRequest {
		report("each", "%d is not from 2 to %d", o.UpstreamsPerRequest, maxPerRequest)
	}
	if !(o.ProbesPerRequest > 0 && o.ProbesPerRequest <= maxPerRequest) {
		report("share", "%v is not above 0 and up to %d", o.ProbesPerRequest, maxPerRequest)
	}
	if !(o.Rate >= 0.1 && o.Rate <= 10_000) {
		report("rate", "%v is not from 0.1 to 10000", o.Rate)
	}
	if o.MaxAge < 0 || o.MaxAge.D() > maxAnswerAge {
		report("fresh", "%v is not from 0s to %v", o.MaxAge, maxAnswerAge)
	}
	if o.Timeout <= 0 || o.Timeout.D() > maxAnswerAge {
		report("patience", "%v is not above 0s and up to %v: what is older counts for nothing", o.Timeout, maxAnswerAge)
	}
	if !strings.HasPrefix(o.Path, "/") || strings.ContainsAny(o.Path, " \r\n") {
		report("path", "%q is no path", o.Path)
	}
}

// Prober is the state machine. It holds an entry for each member. It is not safe for concurrent use.
type Prober struct {
	options       Options
	rng           *rand.Rand
	members       map[string]*member
	names         []string      // of the members, in no order
	requestTokens float64       // probes that requests have paid for
	rateTokens    float64       // probes that the time has paid for
	refilledAt    time.Duration // when rateTokens were last added
	requestRate   float64       // requests a second over rateWindow
	lastRequest   time.Duration
	inFlight      int // probes
}

// member is an upstream that may be probed.
type member struct {
	index      int           // in names
	answeredAt time.Duration // of its latest probe
	answered   bool          // that one had an answer
	probing    bool          // a probe is in flight
}

// New returns a Prober without members.
func New(o Options, rng *rand.Rand) *Prober {
	return &Prober{options: o, rng: rng, members: map[string]*member{}, rateTokens: o.burst()}
}

// burst is how many probes may be sent at once.
func (o *Options) burst() float64 { return max(float64(o.UpstreamsPerRequest), o.Rate/burstsPerSecond) }

// Add makes an upstream a member.
func (p *Prober) Add(name string) {
	if p.members[name] == nil {
		p.members[name] = &member{index: len(p.names)}
		p.names = append(p.names, name)
	}
}

// Remove ends the membership of an upstream.
func (p *Prober) Remove(name string) {
	m := p.members[name]
	if m == nil {
		return
	}
	if m.probing {
		p.inFlight--
	}
	delete(p.members, name)
	last := len(p.names) - 1
	p.names[m.index] = p.names[last]
	if m.index < last {
		p.members[p.names[m.index]].index = m.index
	}
	p.names = p.names[:last]
}

// Len is the number of members.
func (p *Prober) Len() int { return len(p.names) }

// Targets is called for each request, before it is decided on. It names the upstreams to probe now; Answered follows for each that is
// still a member, with or without an answer. If it names none the request goes on at once.
func (p *Prober) Targets(now time.Duration) (names []string) {
	p.countRequest(now)
	known := float64(len(p.names)) < p.requestRate*p.options.SampleInterval.D().Seconds()
	if len(p.names) < 2 || known {
		return nil
	}
	wanted := min(p.options.UpstreamsPerRequest, len(p.names))
	for range drawsPerUpstream * p.options.UpstreamsPerRequest {
		if wanted <= 0 || p.requestTokens < 1 || p.rateTokens < 1 {
			break
		}
		name := p.names[p.rng.IntN(len(p.names))]
		m := p.members[name]
		switch {
		case m.probing:
		case m.answered && now-m.answeredAt < p.options.MaxAge.D():
			wanted--
		default:
			m.probing = true
			p.inFlight++
			p.requestTokens--
			p.rateTokens--
			wanted--
			names = append(names, name)
		}
	}
	return names
}

// countRequest updates the request rate and adds the probes that the request and the time pay for.
func (p *Prober) countRequest(now time.Duration) {
	window := rateWindow.Seconds()
	passed := max(0, now-p.lastRequest).Seconds()
	p.requestRate = p.requestRate*max(0, 1-passed/window) + 1/window
	p.rateTokens = min(p.options.burst(), p.rateTokens+p.options.Rate*max(0, now-p.refilledAt).Seconds())
	p.lastRequest, p.refilledAt = max(p.lastRequest, now), max(p.refilledAt, now)
	p.requestTokens = min(float64(savedRequests*p.options.UpstreamsPerRequest), p.requestTokens+p.options.ProbesPerRequest)
}

// Answered ends a probe.
func (p *Prober) Answered(now time.Duration, name string, ok bool) {
	m := p.members[name]
	if m == nil || !m.probing {
		return
	}
	m.probing, m.answered, m.answeredAt = false, ok, now
	p.inFlight--
}

// InFlight is the number of probes in flight.
func (p *Prober) InFlight() int { return p.inFlight }
