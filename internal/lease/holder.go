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

// renewPart is the part of a term after which the next is asked for: two more asks fit in before it is over.
const renewPart = 3

// phase is where a Holder stands.
type phase uint8

const (
	idle     phase = iota // it wants nothing
	asking                // it has asked, or is about to
	holding               // it may act
	stopping              // it may not act any more, and what it did has not ended yet
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
	Send     ActionKind = iota + 1 // an Ask to the record; it may be lost
	Begin                          // it holds the lease: the act may begin
	End                            // the act has to end, within Margin; Stopped is to say when it has
	Rejected                       // the ask was turned away; where the Holder waits it asks again
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
	o       HolderOptions
	phase   phase
	wants   bool
	to      string // who is to have it next; "": whoever waits longest
	seq     uint64
	nr      uint64
	token   Token         // held, or last held
	until   time.Duration // it may act
	next    time.Duration // it asks again
	granted time.Duration // the term's send
	term    time.Duration
	sent    map[uint64]time.Duration // by Nr: since when; those of the wish now
}

// sentMost bounds the asks that are remembered: the answer to one before them counts for nothing.
const sentMost = 16

// NewHolder returns one that wants nothing yet.
func NewHolder(o HolderOptions) *Holder { return &Holder{o: o, sent: map[uint64]time.Duration{}} }

// Acquire has it ask for the lease until Leave.
func (h *Holder) Acquire(now time.Duration) []Action {
	if h.wants {
		return nil
	}
	h.wants, h.to = true, ""
	if h.phase != idle {
		return nil // it has to end first
	}
	return h.begin(now)
}

// begin asks anew.
func (h *Holder) begin(now time.Duration) []Action {
	h.phase = asking
	h.seq++
	clear(h.sent)
	return h.ask(now, Acquire)
}

func (h *Holder) ask(now time.Duration, kind RequestKind) []Action {
	h.nr++
	h.sent[h.nr] = now
	delete(h.sent, h.nr-sentMost)
	h.next = now + h.o.RetryInterval
	a := Request{Kind: kind, Name: h.o.Name, Client: h.o.Client, Sequence: h.seq, SendNumber: h.nr, Duration: h.o.Duration, Wait: h.o.Wait}
	if kind != Acquire {
		a.Token = h.token
	}
	return []Action{{Kind: Send, Request: a}}
}

// Release has it give the lease back, once the act has ended; to a client that is to have it next, or to whoever waits longest.
func (h *Holder) Release(now time.Duration, to string) []Action {
	h.wants, h.to = false, to
	switch h.phase {
	case asking: // it may have been granted meanwhile: what comes of it is given back as it comes
		h.phase = idle
		return []Action{{Kind: Send, Request: Request{Kind: RemoveWaiter, Name: h.o.Name, Client: h.o.Client, Sequence: h.seq}}}
	case holding:
		return h.end(ReasonReleased)
	}
	return nil
}

func (h *Holder) end(why Reason) []Action {
	h.phase = stopping
	return []Action{{Kind: End, Token: h.token, Reason: why}}
}

// Stopped says that the act has ended. Only then is the lease given back, and asked for anew where it is still wanted.
func (h *Holder) Stopped(now time.Duration) []Action {
	if h.phase != stopping {
		return nil
	}
	h.phase = idle
	out := []Action{{Kind: Send, Request: Request{Kind: Release, Name: h.o.Name, Client: h.o.Client, Sequence: h.seq, Token: h.token}}}
	if h.to != "" {
		out[0].Request.Kind, out[0].Request.To = Transfer, h.to
	}
	if h.wants {
		out = append(out, h.begin(now)...)
	}
	return out
}

// HandleReply takes the record's word, which may be late, or come twice.
func (h *Holder) HandleReply(now time.Duration, r Reply) []Action {
	if h.phase == holding && now >= h.until { // its own word comes first: whoever looks after the act has ended it by now
		return h.end(ReasonExpired)
	}
	sent, known := h.sent[r.SendNumber]
	if r.Status == Granted && (r.Sequence != h.seq || h.phase == idle) { // nobody wants it any more
		if r.Token <= h.token && r.Sequence >= h.seq {
			return nil // it was held, and has been given back
		}
		return []Action{{Kind: Send, Request: Request{Kind: Release, Name: h.o.Name, Client: h.o.Client, Sequence: r.Sequence, Token: r.Token}}}
	}
	if r.Sequence != h.seq || !known {
		return nil
	}
	switch r.Status {
	case Granted:
		return h.grant(now, sent, r)
	case Waiting, HeldByOther, TableFull:
		if h.phase != asking {
			return nil
		}
		if r.Status != Waiting { // who waits goes on asking in the rhythm of its asks: the record may hold an answer back
			h.next = now + h.o.RetryInterval
		}
		switch r.Status {
		case HeldByOther:
			return []Action{{Kind: Rejected, Reason: ReasonBusy}}
		case TableFull:
			return []Action{{Kind: Rejected, Reason: ReasonNoCapacity}}
		}
	case NotHeld:
		if h.phase == holding && sent >= h.granted { // asked on the grant that it acts on
			return h.end(ReasonRevoked)
		}
		if h.phase == asking { // of a wish that the record has behind it
			return h.begin(now)
		}
	}
	return nil
}

func (h *Holder) grant(now, sent time.Duration, r Reply) []Action {
	until := sent + r.Duration - time.Duration(float64(r.Duration)*h.o.Drift) - h.o.Margin
	switch {
	case r.Token < h.token: // from before
		return nil
	case h.phase == asking && until > now:
		h.phase, h.token, h.until, h.granted, h.term = holding, r.Token, until, sent, r.Duration
		h.next = sent + r.Duration/renewPart
		return []Action{{Kind: Begin, Token: h.token, Until: h.until}}
	case h.phase == holding && r.Token == h.token:
		if until > h.until {
			h.until, h.granted, h.term = until, sent, r.Duration
			h.next = sent + r.Duration/renewPart
		}
	case h.phase == holding:
		return h.end(ReasonReplaced)
	}
	return nil // it comes too late to be of use: the next ask brings another term
}

// Tick lets time go by.
func (h *Holder) Tick(now time.Duration) []Action {
	switch {
	case h.phase == holding && now >= h.until:
		return h.end(ReasonExpired)
	case h.phase == holding && now >= h.next:
		return h.ask(now, Renew)
	case h.phase == asking && now >= h.next:
		return h.ask(now, Acquire)
	}
	return nil
}

// Next is when Tick has something to do; false: not before something else happens.
func (h *Holder) Next() (time.Duration, bool) {
	switch h.phase {
	case holding:
		return min(h.until, h.next), true
	case asking:
		return h.next, true
	}
	return 0, false
}

// Held tells whether it may act now, under which token, and until when.
func (h *Holder) Held(now time.Duration) (token Token, until time.Duration, ok bool) {
	if h.phase != holding || now >= h.until {
		return 0, 0, false
	}
	return h.token, h.until, true
}
