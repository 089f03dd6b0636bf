package lease

import "time"

const (
	// renewalsPerLease is how often a holder asks for renewal within one lease duration: two more attempts fit in after a lost one.
	renewalsPerLease = 3
	// maxTrackedSends bounds the requests whose send time is remembered. The reply to an older one is ignored.
	maxTrackedSends = 16
)

// HolderOptions are a Holder's parameters.
type HolderOptions struct {
	Name          string        // of the lease
	Client        string        // names one incarnation of one process and is never used again
	Duration      time.Duration // requested lease duration
	Wait          bool          // join the waiter queue if the lease is held
	Drift         float64       // largest relative error of a process's clock rate
	Margin        time.Duration // how long the work takes to end once it has been asked to stop
	RetryInterval time.Duration // between two sends while no reply comes, and after a rejection
}

// Action is what the driver of a Holder has to do.
type Action struct {
	Kind    ActionKind
	Request Request       // ActionSend
	Token   Token         // ActionStartWork, ActionStopWork
	Until   time.Duration // ActionStartWork: the work must have stopped by then, unless Held returns a later time meanwhile
	Reason  Reason        // ActionStopWork, ActionReportRejection
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	ActionSend            ActionKind = iota + 1 // send Request to the record; it may be lost
	ActionStartWork                             // the lease is held: start the work under Token
	ActionStopWork                              // stop the work within Margin, then call WorkStopped
	ActionReportRejection                       // the lease was rejected; the Holder asks again by itself
)

// Reason says why work has to stop, or why a request was rejected. 0 is none.
type Reason uint8

// The reasons. The first four stop the work, the last two come with a rejection.
const (
	ReasonReleased   Reason = iota + 1 // the holder released the lease
	ReasonExpired                      // the grant expired and no renewal was confirmed
	ReasonRevoked                      // the record says that the grant is not held any more
	ReasonReplaced                     // the record has granted the lease again, under another token
	ReasonBusy                         // another client holds the lease
	ReasonNoCapacity                   // the record is full
)

// holderState is the state of a Holder.
type holderState uint8

const (
	idle      holderState = iota // nothing is wanted
	acquiring                    // an Acquire was sent; the Holder repeats it
	holding                      // the work may go on until validUntil
	stopping                     // the work must stop, and WorkStopped has not been called yet
)

// Holder is the client's side of one lease. Its driver calls it with the time of a clock that goes on while the machine sleeps, and carries out
// the actions that it returns. It is not safe for concurrent use.
//
//	          Acquire                 Granted
//	idle ───────────────▶ acquiring ───────────▶ holding
//	 ▲  ▲                  │     ▲                  │
//	 │  └── Release ───────┘     │                  │ Release, expiry, NotHeld, another token
//	 │                           │ still wanted     ▼
//	 └────── WorkStopped ────────┴────────────── stopping
//
// The lease is released only after the work has stopped. A grant that arrives when it is not wanted any more is released at once.
type Holder struct {
	options    HolderOptions
	state      holderState
	wanted     bool
	transferTo string // the client that is to hold the lease next; empty: the first waiter
	sequence   uint64 // of this acquisition
	sendNumber uint64 // of the last send
	token      Token  // of the grant that is held, or was held last

	validUntil  time.Duration            // the work may go on until then
	nextSend    time.Duration            // the request is repeated, or renewed, then
	grantSentAt time.Duration            // when the request was sent from which the grant counts
	sentAt      map[uint64]time.Duration // when each request of this acquisition was sent, by send number
}

// NewHolder returns a Holder that wants nothing yet.
func NewHolder(options HolderOptions) *Holder {
	return &Holder{options: options, sentAt: map[uint64]time.Duration{}}
}

// Acquire makes the Holder want the lease until Release.
func (h *Holder) Acquire(now time.Duration) []Action {
	if h.wanted {
		return nil
	}
	h.wanted, h.transferTo = true, ""
	if h.state != idle {
		return nil // the earlier work has to stop first
	}
	return h.startAcquire(now)
}

// Release makes the Holder give the lease up: to the client transferTo, or, if that is empty, to the first waiter. Work that goes on has to
// stop first.
func (h *Holder) Release(_ time.Duration, transferTo string) []Action {
	h.wanted, h.transferTo = false, transferTo
	switch h.state {
	case acquiring: // a grant may be on its way: HandleReply releases it
		h.state = idle
		return []Action{{Kind: ActionSend, Request: Request{Kind: RemoveWaiter, Name: h.options.Name, Client: h.options.Client, Sequence: h.sequence}}}
	case holding:
		return h.stopWork(ReasonReleased)
	}
	return nil
}

// WorkStopped says that the work has ended after ActionStopWork. The lease is released, and acquired again if it is still wanted.
func (h *Holder) WorkStopped(now time.Duration) []Action {
	if h.state != stopping {
		return nil
	}
	h.state = idle
	release := h.releaseOf(h.sequence, h.token)
	if h.transferTo != "" {
		release.Request.Kind, release.Request.To = Transfer, h.transferTo
	}
	actions := []Action{release}
	if h.wanted {
		actions = append(actions, h.startAcquire(now)...)
	}
	return actions
}

// HandleReply handles a reply of the record, which may be late or repeated.
func (h *Holder) HandleReply(now time.Duration, reply Reply) []Action {
	if h.state == holding && now >= h.validUntil { // expired by the own clock, whatever the record says
		return h.stopWork(ReasonExpired)
	}
	if reply.Status == Granted && (reply.Sequence != h.sequence || h.state == idle) {
		return h.releaseUnwanted(reply)
	}
	sent, known := h.sentAt[reply.SendNumber]
	if reply.Sequence != h.sequence || !known {
		return nil
	}
	switch reply.Status {
	case Granted:
		return h.handleGrant(now, sent, reply)
	case Waiting, HeldByOther, TableFull:
		return h.handleRejection(now, reply.Status)
	case NotHeld:
		if h.state == holding && sent >= h.grantSentAt { // sent under this grant, not before it
			return h.stopWork(ReasonRevoked)
		}
		if h.state == acquiring { // the record has ended this acquisition
			return h.startAcquire(now)
		}
	}
	return nil
}

// releaseUnwanted releases a grant that is not wanted any more, unless it was held and has been released already.
func (h *Holder) releaseUnwanted(reply Reply) []Action {
	if reply.Token <= h.token && reply.Sequence >= h.sequence {
		return nil
	}
	return []Action{h.releaseOf(reply.Sequence, reply.Token)}
}

// handleGrant starts or extends the work by a grant of a request that was sent at sent.
func (h *Holder) handleGrant(now, sent time.Duration, reply Reply) []Action {
	validUntil := sent + reply.Duration - time.Duration(float64(reply.Duration)*h.options.Drift) - h.options.Margin
	switch {
	case reply.Token < h.token: // a fencing token never goes back: the reply is late
		return nil
	case h.state == acquiring && validUntil > now:
		h.state, h.token = holding, reply.Token
		h.extend(sent, validUntil, reply.Duration)
		return []Action{{Kind: ActionStartWork, Token: h.token, Until: h.validUntil}}
	case h.state == holding && reply.Token != h.token:
		return h.stopWork(ReasonReplaced)
	case h.state == holding && validUntil > h.validUntil:
		h.extend(sent, validUntil, reply.Duration)
	}
	return nil // a grant that came too late is asked for again by the next send
}

// extend makes the grant of a request that was sent at sent the current one.
func (h *Holder) extend(sent, validUntil, duration time.Duration) {
	h.validUntil, h.grantSentAt = validUntil, sent
	h.nextSend = sent + duration/renewalsPerLease
}

// handleRejection handles an acquisition that was not granted. A waiter repeats its request as planned, since the record may hold the reply
// back; otherwise a full RetryInterval passes first.
func (h *Holder) handleRejection(now time.Duration, status Status) []Action {
	if h.state != acquiring || status == Waiting {
		return nil
	}
	h.nextSend = now + h.options.RetryInterval
	reason := ReasonBusy
	if status == TableFull {
		reason = ReasonNoCapacity
	}
	return []Action{{Kind: ActionReportRejection, Reason: reason}}
}

// Tick lets time pass: it expires the grant, or repeats or renews the request. It is to be called when Next says so.
func (h *Holder) Tick(now time.Duration) []Action {
	switch {
	case h.state == holding && now >= h.validUntil:
		return h.stopWork(ReasonExpired)
	case h.state == holding && now >= h.nextSend:
		return h.send(now, Renew)
	case h.state == acquiring && now >= h.nextSend:
		return h.send(now, Acquire)
	}
	return nil
}

// Next returns when Tick has something to do; false if only another event makes it so.
func (h *Holder) Next() (time.Duration, bool) {
	switch h.state {
	case holding:
		return min(h.validUntil, h.nextSend), true
	case acquiring:
		return h.nextSend, true
	}
	return 0, false
}

// Held reports whether the work may go on at now, under which token, and until when.
func (h *Holder) Held(now time.Duration) (token Token, until time.Duration, ok bool) {
	if h.state != holding || now >= h.validUntil {
		return 0, 0, false
	}
	return h.token, h.validUntil, true
}

// startAcquire begins a new acquisition.
func (h *Holder) startAcquire(now time.Duration) []Action {
	h.state = acquiring
	h.sequence++
	clear(h.sentAt)
	return h.send(now, Acquire)
}

// send sends an Acquire or a Renew and remembers when.
func (h *Holder) send(now time.Duration, kind RequestKind) []Action {
	h.sendNumber++
	h.sentAt[h.sendNumber] = now
	delete(h.sentAt, h.sendNumber-maxTrackedSends)
	h.nextSend = now + h.options.RetryInterval
	request := Request{Kind: kind, Name: h.options.Name, Client: h.options.Client, Sequence: h.sequence, SendNumber: h.sendNumber,
		Duration: h.options.Duration, Wait: h.options.Wait}
	if kind == Renew {
		request.Token = h.token
	}
	return []Action{{Kind: ActionSend, Request: request}}
}

// stopWork makes the driver stop the work.
func (h *Holder) stopWork(reason Reason) []Action {
	h.state = stopping
	return []Action{{Kind: ActionStopWork, Token: h.token, Reason: reason}}
}

// releaseOf is the action that gives a grant back.
func (h *Holder) releaseOf(sequence uint64, token Token) Action {
	return Action{Kind: ActionSend, Request: Request{Kind: Release, Name: h.options.Name, Client: h.options.Client, Sequence: sequence, Token: token}}
}
