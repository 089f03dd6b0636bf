package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is the kind of a step. Reports contain its value.
type StepKind string

// The kinds of steps. The effect of a kind with a duration ends after Step.For.
const (
	DiscoveryDown    StepKind = "discovery down"           // calls fail and watches end
	DiscoveryRefuses StepKind = "discovery refuses"        // discovery rejects the next Count calls at each address
	WatchesReset     StepKind = "watches reset"            // discovery closes all watches
	WatchesSilent    StepKind = "watches silent"           // open calls and watches stay open but get no more bytes
	Drain            StepKind = "drain"                    // an upstream is listed as draining but continues to serve
	Remove           StepKind = "remove"                   // an upstream is removed from the list
	Reload           StepKind = "reload"                   // a sidecar's configuration gets another address of discovery, then SIGHUP
	Terminate        StepKind = "terminate"                // SIGTERM, and a new process after the old one has ended
	Kill             StepKind = "kill"                     // SIGKILL, and a new process after it
	TerminateSeries  StepKind = "terminate in series"      // as Terminate, with SIGHUP and SIGTERM in turn until the process has ended
	Crowd            StepKind = "crowd"                    // Count connections to a sidecar are opened within For, of which every second one stays idle
	PipeliningLeave  StepKind = "pipelining clients leave" // clients of a sidecar send a request and Count behind it, and leave within For
	Pause            StepKind = "pause"                    // SIGSTOP, and SIGCONT after For
	UpstreamHangs    StepKind = "upstream hangs"           // an upstream does not answer requests that arrive within For
	UpstreamResets   StepKind = "upstream resets"          // an upstream closes the connections of requests that arrive within For
)

// Step is one fault or change.
type Step struct {
	At     time.Duration // time since the start of the load
	Kind   StepKind
	Target int           // number of the sidecar or upstream, for kinds that affect one
	For    time.Duration // duration, for kinds that have one
	Count  int           // number of calls of DiscoveryRefuses, of connections of Crowd, or of requests behind the first of PipeliningLeave
}

// Script holds the settings and steps that Draw derives from a seed.
type Script struct {
	Seed      uint64
	Sidecars  int
	Upstreams int
	Length    time.Duration
	Grace     time.Duration // time for which a draining upstream may still get requests
	Deadline  time.Duration // longest deadline of a request
	CallRate  float64       // rate limit of discovery in calls per second
	CallLimit time.Duration // discovery rejects a call that the rate limit would delay for longer than this
	Rate      float64       // requests per second to each sidecar
	Steps     []Step
}

const (
	maxPause     = 150 * time.Millisecond // longest pause of a sidecar
	quietEnd     = 9 * time.Second        // time at the end of a script in which no step begins, so that late requests are observed
	quietBegin   = time.Second
	minLength    = quietBegin + quietEnd + time.Second
	drainDivisor = 3 // at most one upstream in drainDivisor drains or is removed
	maxRefusals  = 6

	minCrowd    = 100 // minimum number of connections in a Crowd
	maxCrowd    = 300
	crowdLength = time.Second

	pipeliningSteps = 3                      // number of PipeliningLeave in a script
	pipeliningStay  = 150 * time.Millisecond // longest time until a client of PipeliningLeave leaves
)

// requestsBehind are the numbers of requests that the clients of PipeliningLeave send behind their first one: fewer and more than a sidecar can
// read ahead.
var requestsBehind = [...]int{3, 40, 400, 1500}

// Draw returns the script for a seed. The script has the given length, or minLength if that is longer.
func Draw(seed uint64, length time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	s := Script{Seed: seed, Length: max(length, minLength), Sidecars: 3 + rng.IntN(4), Upstreams: 6 + rng.IntN(7), Rate: 15,
		Grace: between(rng, 100*time.Millisecond, 400*time.Millisecond), Deadline: between(rng, 600*time.Millisecond, 3*time.Second),
		CallLimit: time.Second}
	s.CallRate = float64(s.Sidecars) / (1 + 1.2*rng.Float64()) // discovery needs 1 to 2.2 s for one call of each sidecar
	d := drawer{script: &s, rng: rng, last: s.Length - quietEnd, restarts: map[int]time.Duration{}}
	d.outage()
	for range int(d.last/time.Second) * 2 / 3 {
		d.step()
	}
	for range pipeliningSteps {
		d.pipeliningClients()
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s
}

// drawer draws the steps of a script.
type drawer struct {
	script   *Script
	rng      *rand.Rand
	last     time.Duration         // latest time at which a step may begin
	draining int                   // number of upstreams that drain or are removed by a step
	restarts map[int]time.Duration // time of the last restart that was added, by sidecar
}

func (d *drawer) add(s Step) { d.script.Steps = append(d.script.Steps, s) }

func (d *drawer) moment() time.Duration { return between(d.rng, quietBegin, d.last) }

// outage adds an outage of discovery and, after its end, rejected calls, a drain or removal, and reloads of all sidecars.
func (d *drawer) outage() {
	length := between(d.rng, time.Second, max(2*time.Second, min(9*time.Second, d.last/2)))
	at := between(d.rng, quietBegin, max(quietBegin+time.Millisecond, d.last-length))
	back := at + length
	d.add(Step{At: at, Kind: DiscoveryDown, For: length})
	if d.rng.IntN(2) == 0 {
		d.add(Step{At: back, Kind: DiscoveryRefuses, Count: 1 + d.rng.IntN(maxRefusals)})
	}
	d.drain(min(back+between(d.rng, 0, 4*time.Second), d.last))
	for i := range d.script.Sidecars {
		d.reloads(i, back+between(d.rng, 0, 3*time.Second))
	}
}

// reloads adds one to four reloads of a sidecar.
func (d *drawer) reloads(sidecar int, at time.Duration) {
	for range 1 + d.rng.IntN(4) {
		if at < d.last {
			d.add(Step{At: at, Kind: Reload, Target: sidecar})
		}
		at += between(d.rng, 200*time.Millisecond, time.Second)
	}
}

func (d *drawer) drain(at time.Duration) {
	if d.draining >= d.script.Upstreams/drainDivisor {
		return
	}
	kind := Drain
	if d.rng.IntN(3) == 0 {
		kind = Remove
	}
	d.add(Step{At: at, Kind: kind, Target: d.draining}) // each upstream is a target at most once
	d.draining++
}

func (d *drawer) step() {
	at := d.moment()
	sidecar := d.rng.IntN(d.script.Sidecars)
	upstream := d.remainingUpstream()
	switch d.rng.IntN(10) {
	case 0:
		d.add(Step{At: at, Kind: WatchesReset})
	case 1:
		d.add(Step{At: at, Kind: WatchesSilent})
	case 2, 3:
		d.drain(at)
	case 4:
		d.reloads(sidecar, at)
	case 5:
		d.restart(sidecar, at)
	case 6:
		d.add(Step{At: at, Kind: Pause, Target: sidecar, For: between(d.rng, 20*time.Millisecond, maxPause)})
	case 7:
		d.restart(sidecar, at)
	case 8:
		d.add(Step{At: at, Kind: UpstreamHangs, Target: upstream, For: between(d.rng, 500*time.Millisecond, 4*time.Second)})
	default:
		d.add(Step{At: at, Kind: UpstreamResets, Target: upstream, For: between(d.rng, 500*time.Millisecond, 3*time.Second)})
	}
}

// restart adds a restart of a sidecar, unless another restart of it is less than 6 s away.
func (d *drawer) restart(sidecar int, at time.Duration) {
	const busy = 6 * time.Second
	if last, ok := d.restarts[sidecar]; ok && at < last+busy && at > last-busy {
		return
	}
	d.restarts[sidecar] = at
	kind := []StepKind{Terminate, TerminateSeries, Kill}[d.rng.IntN(3)]
	if kind != Kill && d.rng.IntN(2) == 0 { // new connections arrive until the process stops accepting them
		d.add(Step{At: at, Kind: Crowd, Target: sidecar, For: crowdLength, Count: minCrowd + d.rng.IntN(maxCrowd-minCrowd)})
	}
	d.add(Step{At: at, Kind: kind, Target: sidecar})
	if d.rng.IntN(2) == 0 { // requests hang in flight when the process ends
		d.add(Step{At: max(0, at-between(d.rng, 0, 300*time.Millisecond)), Kind: UpstreamHangs, Target: d.remainingUpstream(),
			For: between(d.rng, 500*time.Millisecond, 4*time.Second)})
	}
}

// pipeliningClients adds clients that leave with requests unread, while an upstream resets requests, so that those in flight are sent again.
func (d *drawer) pipeliningClients() {
	at := d.moment()
	d.add(Step{At: at, Kind: PipeliningLeave, Target: d.rng.IntN(d.script.Sidecars), For: pipeliningStay, Count: requestsBehind[d.rng.IntN(len(requestsBehind))]})
	d.add(Step{At: max(0, at-between(d.rng, 0, 300*time.Millisecond)), Kind: UpstreamResets, Target: d.remainingUpstream(),
		For: between(d.rng, 300*time.Millisecond, time.Second)})
}

// remainingUpstream returns an upstream that no step drains or removes.
func (d *drawer) remainingUpstream() int {
	return d.script.Upstreams - 1 - d.rng.IntN(d.script.Upstreams/2)
}

// between returns a random duration. The parameter least is the shortest duration, and most is the exclusive upper bound.
// If most is not longer than least, between returns least.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
