package balancer

// Attempts and copies: a request's way from its arrival to its last outcome. What stands here guards that no
// effect happens twice (mayTry, stuck) and that each request has one end (close, forget).

import (
	"slices"
	"time"
)

type attempt struct {
	r      *request
	n      int
	u      *upstream
	zone   string // of the upstream when sent
	cell   int
	sent   time.Duration
	out    bool
	mayRun bool // not proved not to have run
	begun  bool // its streamed answer has begun, or its body has not come whole
	passed bool // then: its upstream does not work on it, the bytes only go by
}

type request struct {
	id       string
	class    *class
	tenant   int
	arrived  time.Duration
	expires  time.Duration
	aim      time.Duration // clock time
	end      time.Duration // clock time at which we give up
	stretch  time.Duration // its aim is longer by this for its own work
	cost     float64       // expected work, relative to the mean request
	attempts []*attempt
	prior    []EarlierAttempt
	moot     int // of attempts: they were never sent
	out      int
	stale    bool // a repeat whose aim has passed
	done     bool
	hinted   bool          // its work is known: late is late, and not long
	stream   bool          // the answer has begun
	body     bool          // it goes on as it comes, and has not come whole
	single   bool          // it can't be sent again
	held     bool          // it counts as in hand
	lateAt   time.Duration // when its latest attempt is late
}

func (b *Balancer) arrive(e Request) {
	c := b.classes[e.Class]
	if b.reqs[e.ID] != nil {
		return
	}
	if c == nil { // no such class: nothing has run and nothing is known of it
		b.act(Action{Kind: Reject, ID: e.ID})
		return
	}
	r := &request{id: e.ID, class: c, arrived: b.now, expires: e.Deadline, cost: b.cost(c, e.CostHint)}
	r.prior, r.hinted, r.body = e.EarlierAttempts, e.CostHint > 0, e.StreamedBody
	r.tenant = slices.IndexFunc(b.set.Tenants, func(t Tenant) bool { return t.Name == e.Tenant })
	r.stretch = time.Duration(c.ObjectiveStretch * float64(e.CostHint))
	r.aim = b.now + min(c.LatencyObjective+r.stretch, c.Deadline)
	worthUntil := r.aim
	if !r.body { // its time has not begun
		worthUntil += c.firstTry(b.now, e.Deadline, b.set.Tick) - b.now
	}
	r.stale = worthUntil <= b.now
	// The last answer must land before the deadline, also when the next batch comes a tick late. Past its
	// aim a request without late worth costs work and earns nothing.
	r.end = r.expires - 2*b.set.Tick
	if c.LateValueFraction == 0 && !r.body {
		r.end = min(r.end, worthUntil-b.set.Tick)
	}
	b.reqs[r.id] = r
	if !r.body {
		b.hold(r, 1)
	}
	b.after(r.end, timerEnd, r)
	if b.now >= r.end || !b.admit(r) {
		b.giveUp(r)
		return
	}
	b.offered.add(r.cost, b.now) // without what is refused: its repeats would count again
	b.keepFor()
	b.move(r)
}

// firstTry is when the client's first try for this request came, as far as its end tells. Guards against
// work for repeats whose aim has passed. First tries of a class, most requests, have the same time left; any
// other was cut short by the end of all tries, a Deadline after the first.
func (c *class) firstTry(now, expires, tick time.Duration) time.Duration {
	left := expires - now
	if (left - c.tryTime).Abs() <= 2*tick {
		c.tryVotes = min(c.tryVotes+1, tryVotes)
		return now
	}
	if c.tryVotes--; c.tryVotes < 0 {
		c.tryTime, c.tryVotes = left, 0
	}
	if first := expires - c.Deadline; c.tryVotes > tryVotes/2 && first < now {
		return first
	}
	return now
}

// move sends a request that has nothing out, or holds it until something is ready, or ends it.
func (b *Balancer) move(r *request) {
	if b.now+seconds(b.mid.v*r.cost) > r.end && len(r.attempts) > 0 {
		b.giveUp(r)
		return
	}
	if u := b.pick(r); u != nil {
		b.send(r, u)
		return
	}
	if b.usedUp(r) || r.single || b.stuck(r) {
		b.giveUp(r)
		return
	}
	b.after(b.now+2*b.set.Tick, timerHeld, r)
}

// usedUp: no attempt is left. One that was never sent is none, up to as many again. Guards against refusals
// where the list changes faster than attempts are made.
func (b *Balancer) usedUp(r *request) bool {
	return len(r.attempts)-min(r.moot, b.set.MaxAttempts) >= b.set.MaxAttempts
}

// mayTry is the gate that every attempt passes.
func (b *Balancer) mayTry(r *request, u *upstream) bool {
	if r.done || r.stream || r.single || b.usedUp(r) || b.now >= r.expires ||
		!u.listed {
		return false
	}
	if r.out > 0 && (!b.set.HedgingAllowed || r.class.Idempotency == NonIdempotent || r.body) {
		return false
	}
	if b.stuck(r) {
		return false
	}
	for _, a := range r.attempts {
		if a.mayRun && r.class.leavesGroup(a.zone, a.cell, u) {
			return false
		}
	}
	for _, p := range r.prior {
		if r.class.leavesGroup(p.Zone, p.Cell, u) {
			return false
		}
	}
	return b.coldAllows(u)
}

// leavesGroup: what was sent to zone and cell is not known at u, where a repeat of it would run again.
func (c *class) leavesGroup(zone string, cell int, u *upstream) bool {
	return c.Idempotency == IdempotentWithKey &&
		(c.DedupScope == ScopeZone && zone != u.zone || c.DedupScope == ScopeCell && cell != u.cell)
}

// stuck: an attempt may have run, and nothing may follow it any more.
func (b *Balancer) stuck(r *request) bool {
	since, ran := r.mayRunSince()
	kind := r.class.Idempotency
	return ran && (kind == NonIdempotent || kind == IdempotentWithKey && b.now > b.repeatBy(r, since))
}

// mayRunSince is when the first send that may have run was made; false: there is none.
func (r *request) mayRunSince() (since time.Duration, ran bool) {
	note := func(sent time.Duration) {
		if !ran || sent < since {
			since, ran = sent, true
		}
	}
	for _, p := range r.prior {
		note(p.SentAt)
	}
	for _, a := range r.attempts {
		if a.mayRun {
			note(a.sent)
		}
	}
	return since, ran
}

// repeatBy is when a keyed request that may have run is to be with its group again at the latest.
func (b *Balancer) repeatBy(r *request, since time.Duration) time.Duration {
	return since + r.class.DedupWindow - 2*b.set.Tick
}

// send starts the next attempt. Its caller asked mayTry, through pick.
func (b *Balancer) send(r *request, u *upstream) {
	by := time.Duration(0) // guards against repeats that wait for a connection until their group has forgotten
	if since, ran := r.mayRunSince(); ran && r.class.Idempotency == IdempotentWithKey {
		by = b.repeatBy(r, since)
	}
	a := &attempt{r: r, n: len(r.attempts), u: u, zone: u.zone, cell: u.cell, sent: b.now}
	a.out, a.mayRun = true, true
	if a.n == 0 {
		b.retries = min(b.retries+retryRatio, max(retryBurst, retryRatio*b.offered.per(b.now)))
	} else {
		b.retries = max(b.retries-1, 0) // refused connections cost nothing and are not held to it
	}
	r.attempts = append(r.attempts, a)
	r.out++
	if a.begun, a.passed = r.body, r.body; !r.body { // upstreams begin with a request's last byte
		u.out = append(u.out, a)
	}
	u.said.inHand++
	u.tokens -= r.cost
	u.in.sends(b.now + b.patience(r))
	b.act(Action{Kind: Send, ID: r.id, Upstream: u.id, Zone: u.zone, Cell: u.cell,
		Timeout: max(r.end-b.now, b.set.Tick), SendBy: by})
	if r.class.Idempotency != NonIdempotent && !r.body {
		r.lateAt = b.now + b.patience(r)
		b.after(r.lateAt, timerLate, r)
	}
}

// patience is how long an attempt may be out before it is late. Where no second copy may run beside it,
// ending it costs its place in the queue: it then waits as long as leaves time for another attempt.
func (b *Balancer) patience(r *request) time.Duration {
	d := seconds(b.late.v * r.cost * float64(int(1)<<max(r.out-1, 0)))
	if !b.set.HedgingAllowed {
		d = max(d, r.end-b.now-seconds(b.mid.v*r.cost))
	}
	return d
}

// lateAttempt answers a request whose attempt is late: a second copy beside it, or where that is ruled out
// another attempt in its place, if the upstream has not been heard since. Guards against pauses and hung
// upstreams. A late request is mostly a costly one, and so is its copy: it takes an upstream that leaves two
// of ours unanswered, or copies that paid of late, where its work is told: else it is as likely a long one,
// whose copy costs as much again (lab/calm.toml). Budget and pressure stop it in overload.
func (b *Balancer) lateAttempt(r *request) {
	if r.out == 0 || b.now < r.lateAt || b.retries < 1 || b.pressure() > copyPressure {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.set.HedgingAllowed {
		hangs := last.u.heard <= last.sent && (len(last.u.out) > 1 || last.u.in.losses > 0)
		if !hangs && (!r.hinted || b.copyWins < copyPays && b.rng.Float64() > copyTrial) {
			return
		}
		if u := b.pick(r); u != nil {
			b.send(r, u)
		}
		return
	}
	if b.set.CancellationAllowed && last.u.heard < last.sent && b.now+seconds(b.mid.v*r.cost) < r.end {
		b.cancelRest(r, -1)
	}
}

// uploaded begins the time of a request whose body went on as it came. Guards against requests in hand, and
// upstreams, that seem slow for what their clients take to send.
func (b *Balancer) uploaded(e UploadDone) {
	r := b.reqs[e.ID]
	if r == nil || r.done || !r.body || e.Attempt < 0 || e.Attempt >= len(r.attempts) ||
		!r.attempts[e.Attempt].out {
		return
	}
	a := r.attempts[e.Attempt]
	a.begun, a.passed, a.sent, a.u.out = false, false, b.now, append(a.u.out, a)
	r.body, r.single, r.arrived, r.expires = false, true, b.now, e.Deadline
	r.aim = b.now + min(r.class.LatencyObjective+r.stretch, r.class.Deadline)
	if r.end = e.Deadline - 2*b.set.Tick; r.class.LateValueFraction == 0 {
		r.end = min(r.end, r.aim-b.set.Tick)
	}
	b.hold(r, 1)
	b.after(r.end, timerEnd, r)
}

// firstByte hands a request's stream to its client. The latency is that of the answer's beginning, and how
// long it goes on tells nothing: guards against upstreams that look slow, and sidecars that look crowded.
func (b *Balancer) firstByte(e FirstByte) {
	r := b.reqs[e.ID]
	if r == nil || r.done || r.stream || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	if !r.attempts[e.Attempt].out {
		return
	}
	a := r.attempts[e.Attempt]
	r.stream, a.begun, a.passed = true, true, e.PassThrough
	a.u.out = slices.DeleteFunc(a.u.out, func(x *attempt) bool { return x == a })
	if !a.passed { // else it is pending until its first data, as upstream in DESIGN: then its work is done
		a.u.streams++
	}
	b.observe(a, OK, b.now-a.sent)
	b.health(a, OK, b.now-a.sent)
	b.learnLimit(r)
	b.cancelRest(r, e.Attempt)
	b.hold(r, -1)
}

func (b *Balancer) outcome(e Outcome) {
	r := b.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].out {
		return
	}
	a := r.attempts[e.Attempt]
	a.out = false
	r.out--
	a.mayRun = e.Result != Rejected && e.Result != ConnectFailed && e.Result != NotSent
	r.single = r.single || e.BodyConsumed
	if e.Result == NotSent {
		r.moot++
	}
	switch {
	case a.passed:
	case a.begun:
		a.u.streams--
	default:
		a.u.out = slices.DeleteFunc(a.u.out, func(x *attempt) bool { return x == a })
		b.observe(a, e.Result, e.Elapsed)
	}
	b.health(a, e.Result, e.Elapsed)
	if e.Final && !r.done && (!r.stream || a.begun) { // a copy's end is not that of the stream
		if won := 0.0; r.out > 0 { // two copies raced
			if e.Attempt > 0 && b.now < r.aim {
				won = 1
			}
			b.copyWins += fewWeight * (won - b.copyWins)
		}
		b.cancelRest(r, e.Attempt)
		b.learnLimit(r)
		b.close(r)
	}
	if r.done {
		b.forget(r)
		return
	}
	if r.out > 0 || r.stream {
		return // another copy is still out, or the stream's end is the client's
	}
	if e.Result != ConnectFailed && e.Result != NotSent && b.retries < 1 {
		b.giveUp(r)
		return
	}
	b.move(r)
}

// cancelRest stops the attempts still out, but for the one numbered keep.
func (b *Balancer) cancelRest(r *request, keep int) {
	for _, a := range r.attempts {
		if a.out && a.n != keep && b.set.CancellationAllowed {
			b.act(Action{Kind: Cancel, ID: r.id, Attempt: a.n})
		}
	}
}

func (b *Balancer) close(r *request) {
	if r.done {
		return
	}
	r.done = true
	b.hold(r, -1)
	b.forget(r)
}

// forget lets a request go once it is done and no outcome is to come.
func (b *Balancer) forget(r *request) {
	if r.done && r.out == 0 {
		delete(b.reqs, r.id)
	}
}
