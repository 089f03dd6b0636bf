package lease

import "time"

// HolderOptions are a Holder's parameters.
type HolderOptions struct {
	Name          string
	Client        string        // one life of one process
	Duration      time.Duration // asked for
	Wait          bool          // in the queue
	Drift         float64       // how far a clock's rate is from true time at most, as a part
	Margin        time.Duration // what an act takes to end once it is told to
	RetryInterval time.Duration // between two asks of which none was answered, or that were turned away
}

// renewalsPerLease is the part of a term after which the next is asked for: two more asks fit in before it is over.
const renewalsPerLease = 3

// holderState is where a Holder stands.
type holderState uint8

const (
	idle      holderState = iota // it wants nothing
	acquiring                    // it has asked, or is about to
	holding                      // it may act
	stopping                     // it may not act any more, and what it did has not ended yet
)

// Action is what a Holder wants done.
type Action struct {
	Kind    ActionKind
	Request Request       // Send
	Token   Token         // Begin, End
	Until   time.Duration // Begin: not a moment later, unless a later look at May says otherwise
	Reason  Reason        // End, Turned
}

// ActionKind is the kind of an Act.
type ActionKind uint8

const (
	ActionSend            ActionKind = iota + 1 // an Ask to the record; it may be lost
	ActionStartWork                             // it holds the lease: the act may begin
	ActionStopWork                              // the act has to end, within Margin; Stopped is to say when it has
	ActionReportRejection                       // the ask was turned away; where the Holder waits it asks again
)

// Reason says why an act ends, or an ask was turned away.
type Reason uint8

const (
	ReasonReleased   Reason = iota + 1 // by the holder's own wish
	ReasonExpired                      // the term is over, and nobody has said that there is another one
	ReasonRevoked                      // the record says that it is not held any more
	ReasonReplaced                     // the record has granted it anew, under another token
	ReasonBusy                         // somebody else holds it
	ReasonNoCapacity                   // the record is full
)

// Holder is the side that wants a lease. It is for one goroutine; time is that of a clock that goes on while the machine sleeps.
type Holder struct {
	options     HolderOptions
	state       holderState
	wanted      bool
	transferTo  string // who is to have it next; "": whoever waits longest
	sequence    uint64
	sendNumber  uint64
	token       Token         // held, or last held
	validUntil  time.Duration // it may act
	nextSend    time.Duration // it asks again
	grantSentAt time.Duration // the term's send
	term        time.Duration
	sentAt      map[uint64]time.Duration // by Nr: since when; those of the wish now
}

// maxTrackedSends bounds the asks that are remembered: the answer to one before them counts for nothing.
const maxTrackedSends = 16

// NewHolder returns one that wants nothing yet.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{options: o, sentAt: map[uint64]time.Duration{}}
}

// Acquire has it ask for the lease until Leave.
func (h *Holder) Acquire(now time.Duration) []Action {
	if h.wanted {
		return nil
	}
	h.wanted, h.transferTo = true, ""
	if h.state != idle {
		return nil // it has to end first
	}
	return h.startAcquire(now)
}

// startAcquire asks anew.
func (h *Holder) startAcquire(now time.Duration) []Action {
	h.state = acquiring
	h.sequence++
	clear(h.sentAt)
	return h.send(now, Acquire)
}

func (h *Holder) send(now time.Duration, kind RequestKind) []Action {
	h.sendNumber++
	h.sentAt[h.sendNumber] = now
	delete(h.sentAt, h.sendNumber-maxTrackedSends)
	h.nextSend = now + h.options.RetryInterval
	a := Request{Kind: kind, Name: h.options.Name, Client: h.options.Client, Sequence: h.sequence, SendNumber: h.sendNumber, Duration: h.options.Duration, Wait: h.options.Wait}
	if kind != Acquire {
		a.Token = h.token
	}
	return []Action{{Kind: ActionSend, Request: a}}
}

// Release has it give the lease back, once the act has ended; to a client that is to have it next, or to whoever waits longest.
func (h *Holder) Release(now time.Duration, to string) []Action {
	h.wanted, h.transferTo = false, to
	switch h.state {
	case acquiring: // it may have been granted meanwhile: what comes of it is given back as it comes
		h.state = idle
		return []Action{{Kind: ActionSend, Request: Request{Kind: RemoveWaiter, Name: h.options.Name, Client: h.options.Client, Sequence: h.sequence}}}
	case holding:
		return h.stopWork(ReasonReleased)
	}
	return nil
}

func (h *Holder) stopWork(why Reason) []Action {
	h.state = stopping
	return []Action{{Kind: ActionStopWork, Token: h.token, Reason: why}}
}

// WorkStopped says that the act has ended. Only then is the lease given back, and asked for anew where it is still wanted.
func (h *Holder) WorkStopped(now time.Duration) []Action {
	if h.state != stopping {
		return nil
	}
	h.state = idle
	out := []Action{{Kind: ActionSend, Request: Request{Kind: Release, Name: h.options.Name, Client: h.options.Client, Sequence: h.sequence, Token: h.token}}}
	if h.transferTo != "" {
		out[0].Request.Kind, out[0].Request.To = Transfer, h.transferTo
	}
	if h.wanted {
		out = append(out, h.startAcquire(now)...)
	}
	return out
}

// HandleReply takes the record's word, which may be late, or come twice.
func (h *Holder) HandleReply(now time.Duration, r Reply) []Action {
	if h.state == holding && now >= h.validUntil { // its own word comes first: whoever looks after the act has ended it by now
		return h.stopWork(ReasonExpired)
	}
	sent, known := h.sentAt[r.SendNumber]
	if r.Status == Granted && (r.Sequence != h.sequence || h.state == idle) { // nobody wants it any more
		if r.Token <= h.token && r.Sequence >= h.sequence {
			return nil // it was held, and has been given back
		}
		return []Action{{Kind: ActionSend, Request: Request{Kind: Release, Name: h.options.Name, Client: h.options.Client, Sequence: r.Sequence, Token: r.Token}}}
	}
	if r.Sequence != h.sequence || !known {
		return nil
	}
	switch r.Status {
	case Granted:
		return h.handleGrant(now, sent, r)
	case Waiting, HeldByOther, TableFull:
		if h.state != acquiring {
			return nil
		}
		if r.Status != Waiting { // who waits goes on asking in the rhythm of its asks: the record may hold an answer back
			h.nextSend = now + h.options.RetryInterval
		}
		switch r.Status {
		case HeldByOther:
			return []Action{{Kind: ActionReportRejection, Reason: ReasonBusy}}
		case TableFull:
			return []Action{{Kind: ActionReportRejection, Reason: ReasonNoCapacity}}
		}
	case NotHeld:
		if h.state == holding && sent >= h.grantSentAt { // asked on the grant that it acts on
			return h.stopWork(ReasonRevoked)
		}
		if h.state == acquiring { // of a wish that the record has behind it
			return h.startAcquire(now)
		}
	}
	return nil
}

func (h *Holder) handleGrant(now, sent time.Duration, r Reply) []Action {
	until := sent + r.Duration - time.Duration(float64(r.Duration)*h.options.Drift) - h.options.Margin
	switch {
	case r.Token < h.token: // from before
		return nil
	case h.state == acquiring && until > now:
		h.state, h.token, h.validUntil, h.grantSentAt, h.term = holding, r.Token, until, sent, r.Duration
		h.nextSend = sent + r.Duration/renewalsPerLease
		return []Action{{Kind: ActionStartWork, Token: h.token, Until: h.validUntil}}
	case h.state == holding && r.Token == h.token:
		if until > h.validUntil {
			h.validUntil, h.grantSentAt, h.term = until, sent, r.Duration
			h.nextSend = sent + r.Duration/renewalsPerLease
		}
	case h.state == holding:
		return h.stopWork(ReasonReplaced)
	}
	return nil // it comes too late to be of use: the next ask brings another term
}

// Tick lets time go by.
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

// Next is when Tick has something to do; false: not before something else happens.
func (h *Holder) Next() (time.Duration, bool) {
	switch h.state {
	case holding:
		return min(h.validUntil, h.nextSend), true
	case acquiring:
		return h.nextSend, true
	}
	return 0, false
}

// Held tells whether it may act now, under which token, and until when.
func (h *Holder) Held(now time.Duration) (token Token, until time.Duration, ok bool) {
	if h.state != holding || now >= h.validUntil {
		return 0, 0, false
	}
	return h.token, h.validUntil, true
}
