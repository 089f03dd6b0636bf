package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits bound a Table: about 400 bytes a name and 150 a waiter, beside the names themselves.
type Limits struct {
	MaxNames     int           // held or waited for, at most
	MaxWaiters   int           // of one name, at most
	MaxNameBytes int           // of a name, and of a client's
	MinDuration  time.Duration // a term
	MaxDuration  time.Duration
}

// Entry is a name that is held.
type Entry struct {
	Name            string        `json:"Name"`
	Holder          string        `json:"Holder"`
	Sequence        uint64        `json:"Seq"` // the holder's
	Token           Token         `json:"Token"`
	Duration        time.Duration `json:"Term"`
	Revoked         bool          `json:"Revoked"` // it gets no other term
	TransferPending bool          `json:"Heir"`    // it was handed on, and the holder has not asked for it yet
	Waiters         []Waiter      `json:"Waiters"`
}

// Waiter stands in a name's queue, in the order of asking.
type Waiter struct {
	Client   string        `json:"Client"`
	Sequence uint64        `json:"Seq"`
	Duration time.Duration `json:"Term"`
}

// Table is the record. The same asks in the same order make the same Table. It is for one goroutine.
type Table struct {
	limits    Limits
	notes     map[string]string // what is kept with names; a sink that refuses lower tokens, since a name's holder alone may change it
	lastToken Token             // given: it is of all names, so that a name that nobody holds takes no room and its tokens rise all the same
	entries   map[string]*Entry
}

// NewTable returns an empty one.
func NewTable(l Limits) *Table {
	return &Table{limits: l, entries: map[string]*Entry{}, notes: map[string]string{}}
}

// Apply changes the record by an ask, and returns what it comes to; granted tells whether a name has a new holder. Renew changes nothing:
// Terms answers it.
func (t *Table) Apply(a Request) (r Reply, granted *Entry) {
	e := t.entries[a.Name]
	switch a.Kind {
	case Acquire:
		return t.applyAcquire(a, e)
	case Release, Expire, Transfer:
		if e == nil || e.Token != a.Token || a.Kind != Expire && e.Holder != a.Client {
			return a.reply(NotHeld), nil
		}
		if a.Kind == Transfer && t.validName(a.To) {
			heir := Waiter{a.To, 0, e.Duration}
			i := slices.IndexFunc(e.Waiters, func(w Waiter) bool { return w.Client == a.To })
			if i >= 0 {
				heir = e.Waiters[i]
				e.Waiters = slices.Delete(e.Waiters, i, i+1)
			}
			t.grant(e, heir)
			e.TransferPending = i < 0
			return a.reply(Done), e
		}
		return a.reply(Done), t.grantNextWaiter(e)
	case Revoke:
		if e == nil || a.Token != 0 && e.Token != a.Token {
			return a.reply(NotHeld), nil
		}
		e.Revoked = true
		r = a.reply(Done)
		r.Token, r.Holder = e.Token, e.Holder
		return r, nil
	case WriteNote, ReadNote:
		return t.applyNote(a, e), nil
	case RemoveWaiter:
		if e != nil {
			e.Waiters = slices.DeleteFunc(e.Waiters, func(w Waiter) bool { return w.Client == a.Client && w.Sequence == a.Sequence })
		}
		return a.reply(Done), nil
	}
	return a.reply(NotHeld), nil
}

// MaxNoteBytes bounds what is kept with a name; as many names may have a note as may be held.
const MaxNoteBytes = 512

// applyNote keeps a word with a name, or tells it. The order of the record is what fences: a holder that has been replaced is refused, whatever it
// thinks of the time.
func (t *Table) applyNote(a Request, e *Entry) Reply {
	if e == nil || e.Token != a.Token || e.Holder != a.Client {
		return a.reply(NotHeld)
	}
	old, kept := t.notes[a.Name]
	switch {
	case a.Kind == ReadNote:
	case a.Value == "":
		delete(t.notes, a.Name)
	case len(a.Value) > MaxNoteBytes || !kept && len(t.notes) >= t.limits.MaxNames:
		r := a.reply(TableFull)
		r.Value = old
		return r
	default:
		t.notes[a.Name] = a.Value
	}
	r := a.reply(Done)
	r.Token, r.Holder, r.Value = e.Token, e.Holder, t.notes[a.Name]
	return r
}

// Notes is a copy of all that is kept, by name; Keep is its counterpart.
func (t *Table) Notes() map[string]string { return maps.Clone(t.notes) }

// RestoreNotes makes the notes what Notes said.
func (t *Table) RestoreNotes(notes map[string]string) {
	if t.notes = maps.Clone(notes); t.notes == nil {
		t.notes = map[string]string{}
	}
}

func (t *Table) validName(name string) bool { return name != "" && len(name) <= t.limits.MaxNameBytes }

func (t *Table) applyAcquire(a Request, e *Entry) (Reply, *Entry) {
	me := Waiter{a.Client, a.Sequence, min(max(a.Duration, t.limits.MinDuration), t.limits.MaxDuration)}
	switch {
	case e == nil && (len(t.entries) >= t.limits.MaxNames || !t.validName(a.Name) || !t.validName(a.Client)):
		return a.reply(TableFull), nil
	case e == nil:
		e = &Entry{Name: a.Name}
		t.entries[a.Name] = e
		t.grant(e, me)
		return e.grantedReply(a), e
	case e.Holder == a.Client && e.TransferPending: // it was handed on to it
		e.Sequence, e.TransferPending = a.Sequence, false
		return e.grantedReply(a), nil
	case e.Holder == a.Client && e.Sequence == a.Sequence: // said again
		if e.Revoked {
			return a.reply(NotHeld), nil
		}
		return e.grantedReply(a), nil
	case e.Holder == a.Client && a.Sequence < e.Sequence: // from before
		return a.reply(NotHeld), nil
	case e.Holder == a.Client: // it wants it anew, so that it does not act on what it has
		if len(e.Waiters) == 0 {
			t.grant(e, me)
			return e.grantedReply(a), e
		}
		next := t.grantNextWaiter(e)
		r, _ := t.enqueue(a, e, me)
		return r, next
	}
	return t.enqueue(a, e, me)
}

// enqueue has a client wait, or keep its place.
func (t *Table) enqueue(a Request, e *Entry, me Waiter) (Reply, *Entry) {
	i := slices.IndexFunc(e.Waiters, func(w Waiter) bool { return w.Client == a.Client })
	switch {
	case i >= 0 && a.Sequence < e.Waiters[i].Sequence:
		return a.reply(NotHeld), nil
	case i >= 0:
		e.Waiters[i] = me
	case !a.Wait:
		r := a.reply(HeldByOther)
		r.Holder = e.Holder
		return r, nil
	case len(e.Waiters) >= t.limits.MaxWaiters || !t.validName(a.Client):
		return a.reply(TableFull), nil
	default:
		i = len(e.Waiters)
		e.Waiters = append(e.Waiters, me)
	}
	r := a.reply(Waiting)
	r.Position, r.Holder = i+1, e.Holder
	return r, nil
}

// grant gives a name to a client, with a token that no grant had before.
func (t *Table) grant(e *Entry, w Waiter) {
	t.lastToken++
	e.Holder, e.Sequence, e.Duration, e.Token, e.Revoked, e.TransferPending = w.Client, w.Sequence, w.Duration, t.lastToken, false, false
}

// grantNextWaiter gives a name to whoever waits longest; nil: nobody does, and it is free.
func (t *Table) grantNextWaiter(e *Entry) *Entry {
	if len(e.Waiters) == 0 {
		delete(t.entries, e.Name)
		return nil
	}
	w := e.Waiters[0]
	e.Waiters = slices.Delete(e.Waiters, 0, 1)
	t.grant(e, w)
	return e
}

func (e *Entry) grantedReply(a Request) Reply {
	r := a.reply(Granted)
	r.Token, r.Duration, r.Holder = e.Token, e.Duration, e.Holder
	return r
}

// Entry is a name's; nil: it is free. It is not to be changed.
func (t *Table) Entry(name string) *Entry { return t.entries[name] }

// LastToken is the last token given.
func (t *Table) LastToken() Token { return t.lastToken }

// List are all that are held, by name, as copies.
func (t *Table) List() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for e := range maps.Values(t.entries) {
		c := *e
		c.Waiters = slices.Clone(e.Waiters)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Restore makes the record what List and Last said; the Table is empty before it.
func (t *Table) Restore(last Token, all []Entry) {
	t.lastToken = last
	for _, e := range all {
		e.Waiters = slices.Clone(e.Waiters)
		t.entries[e.Name] = &e
		t.lastToken = max(t.lastToken, e.Token)
	}
}
