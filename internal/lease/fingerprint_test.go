package lease

import (
	"encoding/binary"
	"slices"
)

// encoder encodes the state of a world (see world_test.go) as bytes. It encodes times relative to the current time, so that two worlds that differ
// only in their absolute times have the same encoding.
type encoder struct{ bytes []byte }

func (e *encoder) numbers(values ...int64) {
	for _, value := range values {
		e.bytes = binary.AppendVarint(e.bytes, value)
	}
}

func (e *encoder) text(text string) { e.bytes = append(e.bytes, text...) }

func (e *encoder) request(r *Request) {
	e.numbers(int64(r.Kind), int64(r.Sequence), int64(r.SendNumber), int64(r.Token), int64(len(r.To)))
	e.text(r.Name)
	e.text(r.Client)
	e.text(r.To)
}

// fingerprint appends the world's state to a buffer.
func (w *world) fingerprint(buffer []byte) []byte {
	e := &encoder{buffer}
	e.numbers(int64(w.quanta), int64(w.faults), int64(w.table.lastToken), int64(len(w.proposals)))
	for i := range w.proposals {
		e.request(&w.proposals[i])
	}
	for _, n := range w.acquisitions {
		e.numbers(int64(n))
	}
	for i := range w.bounds.names {
		e.entry(w, modelNames[i])
	}
	for i := range w.holders {
		e.holder(w, i)
	}
	e.messages(w.inTransit)
	return e.bytes
}

// entry writes a name's entry with the timers of its grant and its waiters.
func (e *encoder) entry(w *world, name string) {
	entry := w.table.entries[name]
	if entry == nil {
		e.numbers(-1)
		return
	}
	flags := int64(0)
	if entry.Revoked {
		flags++
	}
	if entry.TransferPending {
		flags += 2
	}
	e.text(entry.Holder)
	e.numbers(int64(entry.Sequence), int64(entry.Token), flags, int64(len(entry.Waiters)))
	grant := Waiter{} // the timer of the grant has a key with an empty client
	for _, waiter := range append([]Waiter{grant}, entry.Waiters...) {
		e.text(waiter.Client)
		e.numbers(int64(waiter.Sequence))
		if timer := w.expirations.timers[timerKey(name, waiter.Client)]; timer != nil {
			e.numbers(int64(timer.sequence), int64(timer.token), int64(timer.deadline-w.leaderClock))
			if timer.proposed {
				e.numbers(1)
			}
		}
	}
}

// holder writes the part of a holder's state on which its behaviour depends.
func (e *encoder) holder(w *world, i int) {
	h, now := w.holders[i], w.now(i)
	e.numbers(int64(h.state), int64(h.sequence), int64(h.token), int64(len(h.transferTo)), int64(h.sendNumber))
	if h.wanted {
		e.numbers(1)
	}
	switch h.state {
	case holding:
		e.numbers(int64(h.validUntil-now), int64(h.nextSend-now), int64(h.grantSentAt-now))
	case acquiring:
		e.numbers(int64(h.nextSend - now))
	}
	for n := max(h.sendNumber, maxTrackedSends) - maxTrackedSends; n <= h.sendNumber; n++ {
		if sent, ok := h.sentAt[n]; ok {
			e.numbers(int64(sent - now))
		}
	}
}

// messages writes the messages in transit, sorted, because they may arrive in any order.
func (e *encoder) messages(messages []message) {
	start := len(e.bytes)
	encoded := make([]string, len(messages))
	for i := range messages {
		m := &messages[i]
		e.numbers(int64(m.to))
		e.request(&m.request)
		e.numbers(int64(m.reply.Status), int64(m.reply.Sequence), int64(m.reply.SendNumber), int64(m.reply.Token))
		encoded[i] = string(e.bytes[start:])
		e.bytes = e.bytes[:start]
	}
	slices.Sort(encoded)
	for _, text := range encoded {
		e.text(text)
	}
}
