package lease

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model consists of the record of leases with its leader, holders, and messages between them. Time passes in quanta. In each quantum a clock
// advances by its rate in units: 4 (modelQuantum) is an exact clock, 3 and 5 are the slowest and the fastest clock within driftLimit.
const (
	modelQuantum       = 4
	modelDuration      = 4 * modelQuantum // of a lease
	driftLimit         = 0.25
	maxProposals       = 3   // proposals that are not applied yet
	recoveryQuanta     = 200 // quanta within which each name must be held again once all faults have ended
	recoverySteps      = 100 // largest number of steps of settle within one quantum
	recoveryInTransit  = 100 // messages in transit at once while recovery is checked
	unboundedDuration  = 1 << 20
	modelNameBytes     = 100
	modelTableCapacity = 4
)

var modelNames, modelClients = []string{"l0", "l1"}, []string{"c0", "c1", "c2"}

// omittedRule is a rule of the lease that the model does not follow, so that a test can check that the search finds the resulting violation. If it is
// empty, the model follows all rules.
type omittedRule string

const (
	countFromSend        omittedRule = "a grant counts from when its request was sent"
	subtractDrift        omittedRule = "a holder subtracts the drift"
	restartTimers        omittedRule = "a new leader restarts the timers"
	noGrantAfterProposal omittedRule = "a grant whose expiry was proposed is not confirmed"
)

// searchBounds bound the states that the searches visit.
type searchBounds struct {
	holders, names int
	rates          []time.Duration // rates of the holders' clocks, in units per quantum
	leaderRate     time.Duration   // rate of the leader's clock, in units per quantum
	quanta         int
	inTransit      int    // messages in transit at once
	acquisitions   uint64 // largest number of acquisitions of each holder
	faults         int    // total number of lost or duplicated messages, releases, transfers and changes of the leader
	omitted        omittedRule
}

// message is a request to the record of leases or a reply to a holder.
type message struct {
	request Request
	reply   Reply
	to      int // index of a holder, or toRecord for the record of leases
}

const toRecord = -1

// world is one state of the model: the record of leases with its leader, the holders, their clocks and the messages in transit.
type world struct {
	bounds       *searchBounds
	clocks       []time.Duration // time by the clock of each holder's process
	leaderClock  time.Duration
	quanta       int
	faults       int
	table        *Table
	expirations  *Expirations
	holders      []*Holder // ordered by process, then by name
	acquisitions []uint64  // by holder
	inTransit    []message
	proposals    []Request // not applied yet
}

func newWorld(bounds *searchBounds) *world {
	limits := Limits{modelTableCapacity, modelTableCapacity, modelNameBytes, 1, unboundedDuration}
	w := &world{bounds: bounds, clocks: make([]time.Duration, bounds.holders), table: NewTable(limits)}
	w.expirations = NewExpirations(0, w.table, driftLimit)
	drift := driftLimit
	if bounds.omitted == subtractDrift {
		drift = 0
	}
	for h := range bounds.holders {
		for n := range bounds.names {
			w.holders = append(w.holders, NewHolder(HolderOptions{Name: modelNames[n], Client: modelClients[h], Duration: modelDuration, Wait: true,
				Drift: drift, RetryInterval: modelDuration / 3}))
		}
	}
	w.acquisitions = make([]uint64, len(w.holders))
	return w
}

func (w *world) clone() *world {
	c := *w
	c.clocks, c.acquisitions = slices.Clone(w.clocks), slices.Clone(w.acquisitions)
	c.inTransit, c.proposals = slices.Clone(w.inTransit), slices.Clone(w.proposals)
	c.table = NewTable(w.table.limits)
	c.table.Restore(w.table.lastToken, w.table.List())
	c.expirations = &Expirations{table: c.table, drift: w.expirations.drift, timers: map[string]*expiryTimer{}}
	for key, timer := range w.expirations.timers {
		copied := *timer
		c.expirations.timers[key] = &copied
	}
	c.expirations.queue = make(timerQueue, len(w.expirations.queue))
	for _, timer := range c.expirations.timers {
		c.expirations.queue[timer.index] = timer
	}
	heap.Init(&c.expirations.queue)
	c.holders = make([]*Holder, len(w.holders))
	for i, h := range w.holders {
		copied := *h
		copied.sentAt = maps.Clone(h.sentAt)
		c.holders[i] = &copied
	}
	return &c
}

// now returns the time by a holder's clock.
func (w *world) now(holder int) time.Duration { return w.clocks[holder/w.bounds.names] }

// advance lets a quantum pass.
func (w *world) advance() {
	for process := range w.clocks {
		w.clocks[process] += w.bounds.rates[process]
	}
	w.leaderClock += w.bounds.leaderRate
}

// perform carries out a holder's actions. Work that has to stop ends at once.
func (w *world) perform(holder int, actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActionSend:
			w.transmit(message{request: action.Request, to: toRecord})
		case ActionStopWork:
			w.perform(holder, w.holders[holder].WorkStopped(w.now(holder)))
		}
	}
}

// transmit sends a message. The message is lost if too many messages are in transit.
func (w *world) transmit(m message) {
	if len(w.inTransit) < w.bounds.inTransit {
		w.inTransit = append(w.inTransit, m)
	}
}

// deliver hands a message to its recipient.
func (w *world) deliver(m message) {
	if m.to == toRecord {
		w.receive(m.request)
		return
	}
	h := w.holders[m.to]
	if w.bounds.omitted == countFromSend {
		if _, ok := h.sentAt[m.reply.SendNumber]; ok {
			h.sentAt[m.reply.SendNumber] = w.now(m.to)
		}
	}
	w.perform(m.to, h.HandleReply(w.now(m.to), m.reply))
}

// receive handles a request in the way in which the leader's driver does.
func (w *world) receive(request Request) {
	if request.Kind == Renew {
		w.answer(w.expirations.Renew(w.leaderClock, request))
		return
	}
	if reply, ok := w.expirations.AnswerRepeated(w.leaderClock, request); ok {
		w.answer(reply)
		return
	}
	if len(w.proposals) < maxProposals {
		w.proposals = append(w.proposals, request)
	}
}

// applyProposal applies the oldest proposal.
func (w *world) applyProposal() {
	request := w.proposals[0]
	w.proposals = w.proposals[1:]
	applied, granted := w.table.Apply(request)
	reply := w.expirations.Applied(w.leaderClock, request, applied, granted)
	if w.bounds.omitted == noGrantAfterProposal {
		reply = applied
	}
	if request.SendNumber > 0 {
		w.answer(reply)
	}
}

func (w *world) answer(reply Reply) {
	for i, h := range w.holders {
		if h.options.Client == reply.Client && h.options.Name == reply.Name && reply.SendNumber > 0 {
			w.transmit(message{reply: reply, to: i})
		}
	}
}

// changeLeader makes another member the leader. Its log contains the first replicated proposals; the others are lost.
func (w *world) changeLeader(replicated int) {
	for _, request := range w.proposals[:replicated] {
		w.table.Apply(request)
	}
	w.proposals = nil
	previous := w.expirations
	w.expirations = NewExpirations(w.leaderClock, w.table, driftLimit)
	if w.bounds.omitted != restartTimers {
		return
	}
	// The new leader takes over its predecessor's timers, without the renewals that it confirmed last.
	for key, timer := range w.expirations.timers {
		if old := previous.timers[key]; old != nil && old.token == timer.token {
			timer.deadline = old.deadline - modelDuration/2
		}
	}
	heap.Init(&w.expirations.queue)
}

// violation describes a violation of the safety property: two holders that may act on one name. It returns an empty text if there is no violation.
func (w *world) violation() string {
	for n := range w.bounds.names {
		var holders []int
		for process := range w.bounds.holders {
			if _, _, ok := w.holders[process*w.bounds.names+n].Held(w.clocks[process]); ok {
				holders = append(holders, process)
			}
		}
		if len(holders) > 1 {
			return fmt.Sprintf("processes %v hold the same name at the same time", holders)
		}
	}
	return ""
}

// recovers reports whether each name is held again within recoveryQuanta if there are no more faults.
func (w *world) recovers() bool {
	c := w.clone()
	bounds := *w.bounds
	bounds.inTransit = recoveryInTransit
	c.bounds = &bounds
	held := make([]bool, bounds.names)
	for i := range c.holders {
		c.perform(i, c.holders[i].Acquire(c.now(i)))
	}
	for range recoveryQuanta {
		c.settle(held)
		if !slices.Contains(held, false) {
			return true
		}
		c.advance()
	}
	return false
}

// settle takes all steps that are possible without time passing, and records in held the names that are held.
func (w *world) settle(held []bool) {
	for range recoverySteps {
		switch {
		case len(w.inTransit) > 0:
			m := w.inTransit[0]
			w.inTransit = w.inTransit[1:]
			w.deliver(m)
		case len(w.proposals) > 0:
			w.applyProposal()
		default:
			expired := w.expirations.Expired(w.leaderClock)
			w.proposals = append(w.proposals, expired...)
			for i, h := range w.holders {
				if _, _, ok := h.Held(w.now(i)); ok {
					held[i%w.bounds.names] = true
				}
				w.perform(i, h.Tick(w.now(i)))
			}
			if len(w.inTransit)+len(expired) == 0 {
				return
			}
		}
	}
}
