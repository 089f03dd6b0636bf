// Package loadprobe selects the upstreams that are probed for their load before a request is balanced. A sidecar that sends little traffic
// hears from each upstream too rarely to know its load, and may probe a few upstreams instead. The package is a state machine without I/O
// or a clock: its inputs are members, requests and answers, its output is the upstreams to probe. Its random numbers come from its caller.
// Package balancer interprets the answers: among upstreams that were probed just now it prefers the one with the lowest load.
//
// The method is that of Prequal (B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024) in its
// synchronous mode with a short pool: an answer younger than Options.MaxAge is reused. Three bounds hold: Options.ProbesPerRequest
// on average, Options.Rate per second, and no probes at all while the sidecar's own requests reach each of its upstreams more often than
// every Options.SampleInterval. So all sidecars together probe an upstream at most ProbesPerRequest times as often as they send it
// requests.
package loadprobe

import (
	"math/rand/v2"
	"strings"
	"time"

	"orchiddrift/internal/units"
)

// Options are the parameters of a Prober, and its section of the configuration file.
type Options struct {
	Enabled             bool           `toml:"on" doc:"Probes a few upstreams for their load before a request is balanced, while this process sends little traffic."`
	UpstreamsPerRequest int            `toml:"each" default:"4" doc:"Number of upstreams whose load should be known for each request."`
	ProbesPerRequest    float64        `toml:"share" default:"4" doc:"Maximum number of probes per request, on average."`
	Rate                float64        `toml:"rate" default:"500" doc:"Maximum number of probes per second."`
	Timeout             units.Duration `toml:"patience" default:"5ms" doc:"Maximum time that a request waits for answers to its probes. An upstream that does not answer in time is not preferred."`
	MaxAge              units.Duration `toml:"fresh" default:"50ms" doc:"An answer younger than this is used for further requests."`
	SampleInterval      units.Duration `toml:"heard" default:"250ms" doc:"No probes are sent while requests reach each upstream of the subset more often than this."`
	Path                string         `toml:"path" default:"/-/load" doc:"Path of the probes, which use GET. The answer has status 200 and reports inflight=N or queue=N, and latency_ms=X if known, in the format of X-Server-Load: in that header or as the body."`
}

// Default returns the options that apply if the file does not set them.
func Default() Options {
	return Options{UpstreamsPerRequest: 4, ProbesPerRequest: 4, Rate: 500, Timeout: units.Duration(5 * time.Millisecond), MaxAge: units.Duration(50 * time.Millisecond),
		SampleInterval: units.Duration(250 * time.Millisecond), Path: "/-/load"}
}

const (
	// maxPerRequest bounds Options.UpstreamsPerRequest and Options.ProbesPerRequest.
	maxPerRequest = 16
	// maxAnswerAge is the age up to which the balancer uses an answer.
	maxAnswerAge = 50 * time.Millisecond
	// burstsPerSecond is the ratio of Options.Rate to the number of probes that may be sent at once.
	burstsPerSecond = 10
	// savedRequests is the number of requests whose unused probes may accumulate.
	savedRequests = 4
	// A request draws at most drawsPerUpstream * Options.UpstreamsPerRequest random upstreams. Drawing an upstream whose
	// load is known, or that is being probed, costs no probe.
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
		report("patience", "%v is not above 0s and up to %v: the balancer does not use older answers", o.Timeout, maxAnswerAge)
	}
	if !strings.HasPrefix(o.Path, "/") || strings.ContainsAny(o.Path, " \r\n") {
		report("path", "%q is not a path that begins with / and has no spaces or line breaks", o.Path)
	}
}

// Prober is the state machine. It holds an entry for each member. It is not safe for concurrent use.
type Prober struct {
	options       Options
	rng           *rand.Rand
	members       map[string]*member
	names         []string      // names of the members, in no particular order
	requestTokens float64       // probes that Options.ProbesPerRequest allows now
	rateTokens    float64       // probes that Options.Rate allows now
	refilledAt    time.Duration // when rateTokens were last added
	requestRate   float64       // requests per second, averaged over rateWindow
	lastRequest   time.Duration
	inFlight      int // probes in flight
}

// member is an upstream that may be probed.
type member struct {
	index      int           // position in Prober.names
	answeredAt time.Duration // when its latest probe ended
	answered   bool          // its latest probe got an answer
	probing    bool          // a probe is in flight
}

// New returns a Prober without members.
func New(o Options, rng *rand.Rand) *Prober {
	return &Prober{options: o, rng: rng, members: map[string]*member{}, rateTokens: o.burst()}
}

// burst returns the number of probes that may be sent at once.
func (o *Options) burst() float64 { return max(float64(o.UpstreamsPerRequest), o.Rate/burstsPerSecond) }

// Add makes an upstream a member, so that it may be probed.
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

// Len returns the number of members.
func (p *Prober) Len() int { return len(p.names) }

// Targets is called for each request before the request is balanced. It returns the upstreams to probe now. When a probe ends, with or
// without an answer, the caller calls Answered if the upstream is still a member. If Targets returns no upstream, the request does not
// wait.
func (p *Prober) Targets(now time.Duration) (names []string) {
	p.countRequest(now)
	sampledByTraffic := float64(len(p.names)) < p.requestRate*p.options.SampleInterval.D().Seconds()
	if len(p.names) < 2 || sampledByTraffic {
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

// countRequest updates the request rate, and adds the tokens for the request and for the time that has passed.
func (p *Prober) countRequest(now time.Duration) {
	window := rateWindow.Seconds()
	passed := max(0, now-p.lastRequest).Seconds()
	p.requestRate = p.requestRate*max(0, 1-passed/window) + 1/window
	p.rateTokens = min(p.options.burst(), p.rateTokens+p.options.Rate*max(0, now-p.refilledAt).Seconds())
	p.lastRequest, p.refilledAt = max(p.lastRequest, now), max(p.refilledAt, now)
	p.requestTokens = min(float64(savedRequests*p.options.UpstreamsPerRequest), p.requestTokens+p.options.ProbesPerRequest)
}

// Answered records the end of a probe; ok says whether the upstream answered.
func (p *Prober) Answered(now time.Duration, name string, ok bool) {
	m := p.members[name]
	if m == nil || !m.probing {
		return
	}
	m.probing, m.answered, m.answeredAt = false, ok, now
	p.inFlight--
}

// InFlight returns the number of probes in flight.
func (p *Prober) InFlight() int { return p.inFlight }
