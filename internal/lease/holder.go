package lease

import "time"

const (
	// renewalsPerLease is the number of renewal requests within one lease duration: after a lost request there is time for two more.
	renewalsPerLease = 3
	// maxTrackedSends is the number of requests whose send time is remembered. The reply to an older request is ignored.
	maxTrackedSends = 16
)

// HolderOptions are a Holder's parameters.
type HolderOptions struct {
	Name          string        // of the lease
	Client        string        // identifies one incarnation of one process and is never reused
	Duration      time.Duration // requested lease duration
	Wait          bool          // join the waiter queue if the lease is held
	Drift         float64       // largest relative error of a process's clock rate
	Margin        time.Duration // longest time that the work takes to end after ActionStopWork
	RetryInterval time.Duration // time after which a request that got no reply or was rejected is sent again
}

// Action is an instruction to the driver of a Holder.
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
	ActionSend            ActionKind = iota + 1 // send Request to the group; the message may be lost
	ActionStartWork                             // the lease is held: start the work under Token
	ActionStopWork                              // stop the work within Margin, then call WorkStopped
	ActionReportRejection                       // the request was rejected; the Holder repeats it by itself
)

// Reason says why work has to stop, or why a request was rejected. 0 means no reason.
type Reason uint8

// The reasons. The first four stop the work, the last two come with a rejection.
const (
	ReasonReleased   Reason = iota + 1 // the holder released the lease
	ReasonExpired                      // the grant expired and no renewal was confirmed
	ReasonRevoked                      // the grant has ended in the record, or is not renewed any more
	ReasonReplaced                     // the record has granted the lease again, under another token
	ReasonBusy                         // another client holds the lease
	ReasonNoCapacity                   // the record is full
)

// holderState is the state of a Holder.
type holderState uint8

const (
	idle      holderState = iota // the lease is neither held nor requested
	acquiring                    // an Acquire was sent; the Holder repeats it
	holding                      // the work may go on until validUntil
	stopping                     // the work must stop, and WorkStopped has not been called yet
)

// Holder is the client's side of one lease. Its driver passes it the time of a clock that keeps running while the machine is suspended, and carries
// out the actions that the Holder returns. A Holder is not safe for concurrent use.
//
//	          Acquire                 Granted
//	idle ───────────────▶ acquiring ───────────▶ holding
//	 ▲  ▲                  │     ▲                  │
//	 │  └── Release ───────┘     │                  │ Release, expiry, NotHeld, another token
//	 │                           │ still wanted     ▼
//	 └────── WorkStopped ────────┴────────────── stopping
//
// The lease is released only after the work has stopped. A grant that arrives when the Holder does not want the lease any more is released at once.
type Holder struct {
	options    HolderOptions
	state      holderState
	wanted     bool
	transferTo string // the client that is to hold the lease next; if empty, the first waiter
	sequence   uint64 // number of the current acquisition
	sendNumber uint64 // number of the last request that was sent
	token      Token  // fencing token of the current or last grant

	validUntil  time.Duration            // time until which the work may go on
	nextSend    time.Duration            // time at which the Acquire is repeated or the grant is renewed
	grantSentAt time.Duration            // time at which the last request that the group granted was sent
	sentAt      map[uint64]time.Duration // time at which each request of this acquisition was sent, by send number
}

// NewHolder returns a Holder that requests the lease once Acquire is called.
func NewHolder(options HolderOptions) *Holder {
	return &Holder{options: options, sentAt: map[uint64]time.Duration{}}
}

// Acquire makes the Holder request the lease. Until Release is called, the Holder keeps the lease and acquires it again if it is lost.
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

// Release makes the Holder release the lease after its work has stopped. The next holder is the client transferTo or, if transferTo is empty, the
// first waiter.
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

// WorkStopped releases the lease, and acquires it again if the Holder still wants it. The driver calls WorkStopped when the work has ended after
// ActionStopWork.
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

// HandleReply handles a reply from the group. The reply may be late or a duplicate.
func (h *Holder) HandleReply(now time.Duration, reply Reply) []Action {
	if h.state == holding && now >= h.validUntil { // expired by the holder's own clock, whatever the reply is
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

// handleGrant starts the work, or extends the time until which it may go on. The parameter sent is the time at which the granted request was sent.
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
	return nil // a grant that arrived too late to be of use: the next send requests it again
}

// extend sets the end of the grant and the time of the next renewal. The parameter sent is the time at which the granted request was sent.
func (h *Holder) extend(sent, validUntil, duration time.Duration) {
	h.validUntil, h.grantSentAt = validUntil, sent
	h.nextSend = sent + duration/renewalsPerLease
}

// handleRejection handles an acquisition that was not granted. A waiter repeats its request as planned, since the group may delay its reply;
// any other client waits for a full RetryInterval first.
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

// Tick ends an expired grant, renews the grant or repeats an Acquire, if this is due. The driver calls Tick at the time that Next returns. The
// parameter now is the current time.
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

// Next returns the time of the next Tick. It returns false if no Tick is needed before the next call of another method.
func (h *Holder) Next() (time.Duration, bool) {
	switch h.state {
	case holding:
		return min(h.validUntil, h.nextSend), true
	case acquiring:
		return h.nextSend, true
	}
	return 0, false
}

// Held reports whether the work may go on. If so, Held also returns the grant's token and the time until which the work may go on. The parameter
// now is the current time.
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

// send sends an Acquire or a Renew and records the send time.
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

// releaseOf returns the action that releases a grant.
func (h *Holder) releaseOf(sequence uint64, token Token) Action {
	return Action{Kind: ActionSend, Request: Request{Kind: Release, Name: h.options.Name, Client: h.options.Client, Sequence: sequence, Token: token}}
}
