package balancer

import "time"

// attempt is one sending of a request to an upstream.
type attempt struct {
	request     *request
	number      int // position among the request's attempts, from 0
	upstream    *upstream
	zone        string // of the upstream when it was sent; a new list may name another
	cell        int
	sentAt      time.Duration // clock time; of a streamed body: of its last byte
	inFlight    bool          // its Outcome is still to come
	mayHaveRun  bool          // not proved that the upstream never executed it
	streaming   bool          // its response has begun, or its request body is still being sent
	passThrough bool          // streaming, and the upstream does not work on it: the bytes are only passed on
}

// request is a client's request from its arrival until its last attempt has ended.
type request struct {
	id              string
	class           *class
	tenantIndex     int     // in Settings.Tenants; -1: none of them
	cost            float64 // expected work, relative to the mean request
	hasCostHint     bool    // the client announced its work: an attempt that is late is not merely costly
	staleRetry      bool    // a client's retry that came after the latency objective of its first attempt
	earlierAttempts []EarlierAttempt
	timing          requestTiming

	attempts []*attempt
	inFlight int // attempts whose Outcome is still to come
	notSent  int // attempts that ended as NotSent

	uploading        bool // a streamed body whose last byte has not been sent
	bodyConsumed     bool // the body can't be had again: there is no further attempt
	responseStarted  bool // the client has the first byte of its answer
	finished         bool // it has its final answer, or its client disconnected
	countedAsWaiting bool // counted in Balancer.waiting
}

// requestTiming holds a request's points in time, as clock times.
type requestTiming struct {
	startedAt          time.Duration // arrival; of a streamed body: when its last byte was sent
	objectiveAt        time.Duration // an answer after it is late
	giveUpAt           time.Duration // the balancer ends the request itself at this time
	deadline           time.Duration // the client's
	attemptLateAt      time.Duration // the latest attempt is late from then on
	objectiveExtension time.Duration // a length: how much longer the objective is for the request's own work
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

// attemptInFlight returns attempt number of request id, or nil if it is not in flight.
func (b *Balancer) attemptInFlight(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return r.attempts[number]
}

// handleUploadDone begins the time of a request with a streamed body. What its client took to send the body
// counts neither as latency of the upstream nor as waiting.
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

// handleFirstByte hands the request to its client. The time to the first byte is the latency; how long the
// stream goes on after it says nothing about the upstream.
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

// cancelAttemptsExcept cancels the request's attempts in flight, other than number keep.
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

// removeIfComplete removes a finished request once no Outcome of it is to come.
func (b *Balancer) removeIfComplete(r *request) {
	if r.finished && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

// setWaiting counts r among the waiting requests, or no longer.
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
		w.requiredRate = 0 // removes what rounding has left
	}
}
