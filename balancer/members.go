package balancer

// Members: the list of upstreams, and which of them are left out for their failures.

import (
	"slices"
	"time"
)

type upstream struct {
	id, zone string
	in       *zone
	missed   int      // the latest silence of its zone that it was a part of
	mean     *float64 // mean normalised latency of its kind of machine, seconds
	cell     int
	listed   bool // active in the list
	cameUp   time.Duration
	est      estimate
	out      []*attempt // attempts without answer, oldest first
	streams  int        // attempts whose streamed answer goes on

	said said // to the latest probe

	heard       time.Duration // when it last answered
	fails       int           // attempts sent since then that failed
	silentSince time.Duration // when the first of them was sent
	errors      int           // error answers in a row
	wrong       float64       // share of error answers among the last few
	ejections   int           // in a row, without an answer between
	until       time.Duration // ejected until

	cold     bool
	coldFrom time.Duration // start of its warm-up
	tokens   float64       // cold budget, in mean requests
	filled   time.Duration
}

// members follows the list, and asks again with a growing, jittered wait when it is lost.
func (b *Balancer) members(e EndpointUpdate) {
	if e.Kind == UpdateFailed {
		if b.subscribed || b.askFails == 0 {
			b.log("list lost: asking again")
		}
		b.subscribed, b.asking = false, false
		b.askFails++
		d := min(askBase<<min(b.askFails-1, 10), askMax)
		b.after(b.now+time.Duration(float64(d)*(0.5+b.rng.Float64())), timerAsk, nil)
		return
	}
	if b.asking {
		if b.askFails > 0 {
			b.log("list regained")
		}
		b.subscribed, b.asking, b.askFails = true, false, 0
	}
	if e.Kind != IncrementalUpdate {
		for _, u := range b.list {
			u.listed = false
		}
	}
	for _, m := range e.Endpoints {
		b.member(m)
	}
	b.list = slices.DeleteFunc(b.list, func(u *upstream) bool {
		if !u.listed {
			delete(b.ups, u.id)
		}
		return !u.listed
	})
	if e.Kind == CachedUpdate && b.set.MustSubscribe && !b.asking && !b.subscribed {
		b.ask()
	}
}

func (b *Balancer) member(m Endpoint) {
	u := b.ups[m.Name]
	if m.State != Active {
		if u != nil {
			u.listed = false
		}
		return
	}
	if u == nil || u.cameUp != m.StartedAt { // a new process: what was learnt of the old one is void
		old := u
		if b.means[m.MachineType] == nil {
			b.means[m.MachineType] = new(b.fleet)
		}
		u = &upstream{id: m.Name, mean: b.means[m.MachineType], cameUp: m.StartedAt}
		u.est = estimate{*u.mean, b.now}
		if m.StartedAt > 0 && b.now-m.StartedAt < b.set.SlowStartWindow {
			b.chill(u, m.StartedAt)
		}
		b.ups[u.id] = u
		if i := slices.Index(b.list, old); old != nil && i >= 0 {
			b.list[i] = u
		} else {
			b.list = slices.Insert(b.list, b.rng.IntN(len(b.list)+1), u)
		}
	}
	u.listed, u.zone, u.cell, u.in = true, m.Zone, m.Cell, b.zoneOf(m.Zone)
	if u.in.losses > 0 && m.StartedAt > u.in.since { // it is back, or a part of it
		u.in.losses, u.in.until, u.in.misses = 0, 0, 0
	}
}

func (b *Balancer) ask() {
	b.asking = true
	b.act(Action{Kind: Subscribe})
}

// ready: after an ejection one trial at a time, and not with what cannot be sent again.
func (b *Balancer) ready(u *upstream, r *request) bool {
	if b.now < u.until || b.now < u.in.until {
		return false
	}
	return u.ejections == 0 && u.in.losses == 0 || len(u.out) == 0 && r.class.Idempotency != NonIdempotent
}

// health ejects an upstream that refuses connections, breaks them, answers errors only or stays silent.
// Guards against crashed upstreams (their instant refusals look fast), hung ones, and failing ones: beside
// queues longer than the penalty their errors look fast too.
func (b *Balancer) health(a *attempt, res Result, elapsed time.Duration) {
	u := a.u
	switch res {
	case ServerError, Malformed: // alive, so what it answers is looked at
		b.hears(u)
		u.fails = 0
		if res == ServerError { // what can't be read may come so from any upstream, and be spoilt on its way
			u.wrong += wrongWeight * (1 - u.wrong)
		}
		if u.errors++; (u.errors >= ejectErrors || u.wrong > wrongMost) && b.now >= u.until {
			b.eject(u)
		}
	case OK, Rejected:
		b.hears(u)
		if u.wrong -= wrongWeight * u.wrong; u.ejections > 0 {
			if u.wrong /= 1 + wrongWeight; u.wrong > wrongReturn {
				return // one good answer of an upstream that fails most requests
			}
			b.logOf(u, "return %s after %d ejections", u.id, u.ejections)
		}
		u.fails, u.errors, u.ejections, u.until = 0, 0, 0, 0
	case Timeout, ConnectFailed, Reset, Cancelled:
		// A copy's winner cuts the others short: late ones among them count. Without copies the one cut
		// short was moved, perhaps off a long queue.
		late := b.set.HedgingAllowed && elapsed.Seconds() >= b.late.v*a.r.cost
		if res == Timeout && a.sent < u.heard || res == Cancelled && (a.sent < u.heard || !late) {
			return // slow, not silent
		}
		if u.fails++; u.fails == 1 {
			u.silentSince = a.sent
		}
		b.misses(u, a)
		dead := res == Reset || res == ConnectFailed && elapsed < b.set.ConnectTimeout/2
		silent := (b.now - u.silentSince).Seconds() > silentAims*b.meanAim
		if (u.fails > 1 && (dead || silent) || u.ejections > 0) && b.now >= u.until { // one may break by chance
			b.eject(u)
		}
	}
}

// eject takes u out of the ready ones for a while that doubles with each failed trial, jittered so that
// sidecars do not return together.
func (b *Balancer) eject(u *upstream) {
	d := min(ejectBase<<min(u.ejections, 10), ejectMax)
	d = time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
	u.ejections++
	u.until = b.now + d
	if u.ejections == 1 {
		b.logOf(u, "eject %s: %d failures unheard, %d errors in a row", u.id, u.fails, u.errors)
	}
}
