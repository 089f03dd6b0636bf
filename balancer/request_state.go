package balancer

import (
	"slices"
	"time"
)

// attempt is one transmission of a request to an upstream.
type attempt struct {
	request     *request
	number      int // position among the request's attempts, from 0
	upstream    *upstream
	zone        string // zone of the upstream at the time of sending; a later endpoint list may give another
	cell        int
	sentAt      time.Duration // clock time; with a streamed body, the time at which its last byte was sent
	inFlight    bool          // its Outcome has not been reported yet
	mayHaveRun  bool          // the upstream may have executed it
	streaming   bool          // its response has begun, or its request body is still being sent
	passThrough bool          // streaming, and the upstream does not work on it: bytes are only forwarded
}

// request is a client's request from its arrival until its last attempt has ended.
type request struct {
	id              string
	class           *class
	tenantIndex     int     // index in Settings.Tenants; -1 if the tenant is not listed there
	cost            float64 // expected work, relative to the mean request
	hasCostHint     bool    // the client gave a cost hint, so that high cost alone does not explain a late attempt
	staleRetry      bool    // a client's retry that arrived after the latency objective of its first attempt
	earlierAttempts []EarlierAttempt
	timing          requestTiming

	attempts []*attempt
	inFlight int // attempts whose Outcome has not been reported yet
	notSent  int // attempts that ended as NotSent

	uploading        bool // its streamed body is being sent: the last byte is still missing
	bodyConsumed     bool // the body can't be sent again: no further attempt is possible
	responseStarted  bool // the client has the first byte of its answer
	finished         bool // it has its final answer, or its client has disconnected
	countedAsWaiting bool // counted in Balancer.waiting
}

// requestTiming holds the points in time of a request, as clock times.
type requestTiming struct {
	startedAt          time.Duration // arrival; with a streamed body: when its last byte was sent
	objectiveAt        time.Duration // an answer after this time is late
	giveUpAt           time.Duration // the balancer ends the request itself at this time
	deadline           time.Duration // the client's deadline
	attemptLateAt      time.Duration // from then on the latest attempt is late
	objectiveExtension time.Duration // a duration, by which the cost hint extends the latency objective
}

func (b *Balancer) newAttempt(r *request, u *upstream) *attempt {
	return &attempt{
		request:    r,
		number:     len(r.attempts),
		upstream:   u,
		zone:       u.zone,
		cell:       u.cell,
		sentAt:     b.now,
		inFlight:   true,
		mayHaveRun: true,
	}
}

// mayHaveRunInUnknownGroup reports whether an attempt that may have run was sent to an upstream whose group, the zone or cell that is the
// request's deduplication scope, is not known.
func (r *request) mayHaveRunInUnknownGroup() bool {
	isUnknown := func(zone string, cell int) bool {
		return r.class.DedupScope == ScopeZone && zone == "" || r.class.DedupScope == ScopeCell && cell == UnknownCell
	}
	for _, a := range r.attempts {
		if a.mayHaveRun && isUnknown(a.zone, a.cell) {
			return true
		}
	}
	return slices.ContainsFunc(r.earlierAttempts, func(a EarlierAttempt) bool { return isUnknown(a.Zone, a.Cell) })
}

// attemptInFlight returns an attempt by its request's ID and its number, or nil if it is not in flight.
func (b *Balancer) attemptInFlight(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// handleUploadDone starts the timing of a request with a streamed body, whose last byte has now been sent.
// The time that the client took to send the body counts neither as latency of the upstream nor as waiting
// time.
func (b *Balancer) handleUploadDone(e UploadDone) {
	a := b.attemptInFlight(e.ID, e.Attempt)
	if a == nil || a.request.finished || !a.request.uploading {
		return
	}
	a.streaming, a.passThrough = false, false
	a.sentAt = b.now
	a.upstream.inFlight = append(a.upstream.inFlight, a)
	r := a.request
	r.uploading, r.bodyConsumed = false, true
	r.timing.startedAt = b.now
	r.timing.deadline = e.Deadline
	r.timing.objectiveAt = b.objectiveAt(r)
	r.timing.giveUpAt = b.giveUpAt(r, r.timing.objectiveAt)
	b.setWaiting(r, true)
	b.schedule(r.timing.giveUpAt, timerGiveUp, r)
}

// handleFirstByte records that the client begins to receive the answer, and cancels the request's other
// attempts. The time to the first byte is the latency; how long the stream lasts after it says nothing
// about the upstream.
func (b *Balancer) handleFirstByte(e FirstByte) {
	a := b.attemptInFlight(e.ID, e.Attempt)
	if a == nil || a.request.finished || a.request.responseStarted {
		return
	}
	r := a.request
	r.responseStarted, a.streaming, a.passThrough = true, true, e.PassThrough
	a.upstream.removeInFlight(a)
	if !a.passThrough { // the upstream still works on it
		a.upstream.activeStreams++
	}
	b.observeLatency(a, OK, b.now-a.sentAt)
	b.updateOutlierState(a, OK, b.now-a.sentAt)
	b.adjustQueueingLimit(r)
	b.cancelAttemptsExcept(r, e.Attempt)
	b.setWaiting(r, false)
}

// endAttempt records an attempt's end in its request, in the latency estimates and in outlier detection.
func (b *Balancer) endAttempt(a *attempt, e Outcome) {
	r := a.request
	a.inFlight = false
	r.inFlight--
	a.mayHaveRun = e.Result != Rejected && e.Result != ConnectFailed && e.Result != NotSent
	r.bodyConsumed = r.bodyConsumed || e.BodyConsumed
	if e.Result == NotSent {
		r.notSent++
	}
	switch {
	case a.passThrough:
	case a.streaming:
		a.upstream.activeStreams--
	default:
		a.upstream.removeInFlight(a)
		b.observeLatency(a, e.Result, e.Elapsed)
	}
	b.updateOutlierState(a, e.Result, e.Elapsed)
}

// noAttempt is a number that no attempt has.
const noAttempt = -1

// cancelAttemptsExcept cancels the request's attempts in flight, except attempt number keep, where
// cancellation is allowed.
func (b *Balancer) cancelAttemptsExcept(r *request, keep int) {
	for _, a := range r.attempts {
		if a.inFlight && a.number != keep && b.settings.CancellationAllowed {
			b.emit(Action{Kind: Cancel, ID: r.id, Attempt: a.number})
		}
	}
}

// finish ends a request that has its final answer or needs none.
func (b *Balancer) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	b.setWaiting(r, false)
	b.removeIfComplete(r)
}

// removeIfComplete removes a finished request once the Outcomes of all its attempts have been reported.
func (b *Balancer) removeIfComplete(r *request) {
	if r.finished && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// setWaiting adds r to the sums over the waiting requests, or removes it from them.
func (b *Balancer) setWaiting(r *request, waiting bool) {
	if r.countedAsWaiting == waiting {
		return
	}
	r.countedAsWaiting = waiting
	change := 1
	if !waiting {
		change = -1
	}
	w := &b.waiting
	w.count += change
	w.startSum += time.Duration(change) * r.timing.startedAt
	w.requiredRate += float64(change) / (r.timing.objectiveAt - r.timing.startedAt).Seconds()
	if w.count == 0 {
		w.requiredRate = 0 // removes accumulated rounding errors
	}
}
