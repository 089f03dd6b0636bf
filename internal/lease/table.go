package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits bound a Table. An entry takes about 400 bytes and a waiter about 150, beside the names themselves.
type Limits struct {
	MaxNames     int           // largest number of names held at once, and of stored notes
	MaxWaiters   int           // largest number of waiters for one name
	MaxNameBytes int           // largest length of a lease's or a client's name, in bytes
	MinDuration  time.Duration // shortest lease duration; a shorter request gets this one
	MaxDuration  time.Duration // longest lease duration; a longer request gets this one
}

// Entry is the record of a name that is held.
type Entry struct {
	Name            string        `json:"Name"`
	Holder          string        `json:"Holder"` // a client
	Sequence        uint64        `json:"Seq"`    // the holder's acquisition
	Token           Token         `json:"Token"`
	Duration        time.Duration `json:"Term"`
	Revoked         bool          `json:"Revoked"` // the grant is not renewed any more
	TransferPending bool          `json:"Heir"`    // the lease was transferred to Holder, which has not requested it yet
	Waiters         []Waiter      `json:"Waiters"` // in the order of arrival
}

// Waiter is a client in a name's waiter queue.
type Waiter struct {
	Client   string        `json:"Client"`
	Sequence uint64        `json:"Seq"`
	Duration time.Duration `json:"Term"`
}

// Table is the replicated record of leases: a deterministic state machine. The same requests in the same order result in the same Table. It is
// not safe for concurrent use.
//
// The states of a name, and the requests that change them:
//
//	free ── Acquire ──────────────────────────────▶ held
//	held ── Release, Expire; no waiters ──────────▶ free
//	held ── Release, Expire; waiters ─────────────▶ held by the first waiter, with the next token
//	held ── Transfer ─────────────────────────────▶ held by To, with the next token; transfer pending if To was not a waiter
//	held, transfer pending ── Acquire by To ──────▶ held
//	held ── Revoke ───────────────────────────────▶ held, revoked: renewals get NotHeld until the holder releases or expires
//	held ── Acquire by the holder, new sequence ──▶ held by the first waiter, or by the same client with the next token
type Table struct {
	limits    Limits
	entries   map[string]*Entry
	notes     map[string]string // by name; a note outlives the grant under which it was written
	lastToken Token             // the last token issued, for any name
}

// NewTable returns an empty Table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[string]*Entry{}, notes: map[string]string{}}
}

// Apply applies a request from the log and returns its reply. granted is the entry of a lease that was granted to a new holder, or nil if the request
// led to no grant. A Renew changes nothing in the record; Expirations.Renew answers it.
func (t *Table) Apply(request Request) (reply Reply, granted *Entry) {
	entry := t.entries[request.Name]
	switch request.Kind {
	case Acquire:
		return t.applyAcquire(request, entry)
	case Release:
		if !entry.isHeldBy(request.Client, request.Token) {
			return request.Reply(NotHeld), nil
		}
		return request.Reply(Done), t.grantNextWaiter(entry)
	case Expire:
		if entry == nil || entry.Token != request.Token {
			return request.Reply(NotHeld), nil
		}
		return request.Reply(Done), t.grantNextWaiter(entry)
	case Transfer:
		return t.applyTransfer(request, entry)
	case Revoke:
		return applyRevoke(request, entry), nil
	case WriteNote, ReadNote:
		return t.applyNote(request, entry), nil
	case RemoveWaiter:
		if entry != nil {
			entry.Waiters = slices.DeleteFunc(entry.Waiters, func(w Waiter) bool { return w.Client == request.Client && w.Sequence == request.Sequence })
		}
		return request.Reply(Done), nil
	}
	return request.Reply(NotHeld), nil
}

// applyAcquire grants a free name, repeats the reply to the name's holder, or adds the client to the waiter queue.
func (t *Table) applyAcquire(request Request, entry *Entry) (Reply, *Entry) {
	client := Waiter{request.Client, request.Sequence, min(max(request.Duration, t.limits.MinDuration), t.limits.MaxDuration)}
	switch {
	case entry == nil && (len(t.entries) >= t.limits.MaxNames || !t.validName(request.Name) || !t.validName(request.Client)):
		return request.Reply(TableFull), nil
	case entry == nil:
		entry = &Entry{Name: request.Name}
		t.entries[request.Name] = entry
		t.grant(entry, client)
		return entry.GrantedReply(request), entry
	case entry.Holder != request.Client:
		return t.enqueue(request, entry, client)
	case entry.TransferPending: // the client takes over the lease that was transferred to it
		entry.Sequence, entry.TransferPending = request.Sequence, false
		return entry.GrantedReply(request), nil
	case request.Sequence < entry.Sequence: // belongs to an earlier acquisition
		return request.Reply(NotHeld), nil
	case request.Sequence == entry.Sequence: // repeated
		if entry.Revoked {
			return request.Reply(NotHeld), nil
		}
		return entry.GrantedReply(request), nil
	}
	return t.reacquire(request, entry, client)
}

// reacquire handles an Acquire that the holder sent with a new sequence. The new sequence means that the holder does not use its grant, so the client
// goes to the end of the waiter queue.
func (t *Table) reacquire(request Request, entry *Entry, client Waiter) (Reply, *Entry) {
	if len(entry.Waiters) == 0 {
		t.grant(entry, client)
		return entry.GrantedReply(request), entry
	}
	granted := t.grantNextWaiter(entry)
	reply, _ := t.enqueue(request, entry, client)
	return reply, granted
}

// applyTransfer grants the lease to request.To ahead of the waiters. If To is not a valid name, the request has the effect of a Release.
func (t *Table) applyTransfer(request Request, entry *Entry) (Reply, *Entry) {
	if !entry.isHeldBy(request.Client, request.Token) {
		return request.Reply(NotHeld), nil
	}
	if !t.validName(request.To) {
		return request.Reply(Done), t.grantNextWaiter(entry)
	}
	successor := Waiter{request.To, 0, entry.Duration}
	i := entry.waiterIndex(request.To)
	if i >= 0 {
		successor = entry.Waiters[i]
		entry.Waiters = slices.Delete(entry.Waiters, i, i+1)
	}
	t.grant(entry, successor)
	entry.TransferPending = i < 0
	return request.Reply(Done), entry
}

// applyRevoke marks the current grant as revoked. If the request has a token, the grant must have the same token.
func applyRevoke(request Request, entry *Entry) Reply {
	if entry == nil || request.Token != 0 && entry.Token != request.Token {
		return request.Reply(NotHeld)
	}
	entry.Revoked = true
	reply := request.Reply(Done)
	reply.Token, reply.Holder = entry.Token, entry.Holder
	return reply
}

// enqueue adds a client to the waiter queue, or updates its entry there.
func (t *Table) enqueue(request Request, entry *Entry, client Waiter) (Reply, *Entry) {
	i := entry.waiterIndex(request.Client)
	switch {
	case i >= 0 && request.Sequence < entry.Waiters[i].Sequence: // belongs to an earlier acquisition
		return request.Reply(NotHeld), nil
	case i >= 0:
		entry.Waiters[i] = client
	case !request.Wait:
		reply := request.Reply(HeldByOther)
		reply.Holder = entry.Holder
		return reply, nil
	case len(entry.Waiters) >= t.limits.MaxWaiters || !t.validName(request.Client):
		return request.Reply(TableFull), nil
	default:
		i = len(entry.Waiters)
		entry.Waiters = append(entry.Waiters, client)
	}
	return entry.waitingReply(request, i), nil
}

// grant makes a client the holder, with a token that no grant had before. No other code issues tokens.
func (t *Table) grant(entry *Entry, client Waiter) {
	t.lastToken++
	entry.Holder, entry.Sequence, entry.Duration = client.Client, client.Sequence, client.Duration
	entry.Token, entry.Revoked, entry.TransferPending = t.lastToken, false, false
}

// grantNextWaiter grants the lease to the first waiter and returns the entry. If there are no waiters it frees the name and returns nil.
func (t *Table) grantNextWaiter(entry *Entry) *Entry {
	if len(entry.Waiters) == 0 {
		delete(t.entries, entry.Name)
		return nil
	}
	first := entry.Waiters[0]
	entry.Waiters = slices.Delete(entry.Waiters, 0, 1)
	t.grant(entry, first)
	return entry
}

func (t *Table) validName(name string) bool { return name != "" && len(name) <= t.limits.MaxNameBytes }

// isHeldBy reports whether a client holds the name with this token. The entry of a free name is nil.
func (e *Entry) isHeldBy(client string, token Token) bool {
	return e != nil && e.Token == token && e.Holder == client
}

// waiterIndex returns a client's index in the waiter queue, or -1 if the client is not waiting.
func (e *Entry) waiterIndex(client string) int {
	return slices.IndexFunc(e.Waiters, func(w Waiter) bool { return w.Client == client })
}

// GrantedReply returns the reply that tells the holder of its grant.
func (e *Entry) GrantedReply(request Request) Reply {
	reply := request.Reply(Granted)
	reply.Token, reply.Duration, reply.Holder = e.Token, e.Duration, e.Holder
	return reply
}

// waitingReply returns the reply to the waiter at an index of the queue.
func (e *Entry) waitingReply(request Request, index int) Reply {
	reply := request.Reply(Waiting)
	reply.Position, reply.Holder = index+1, e.Holder
	return reply
}

// Entry returns the entry of a name, or nil if the name is free. The caller must not change the entry.
func (t *Table) Entry(name string) *Entry { return t.entries[name] }

// LastToken returns the last token that was issued.
func (t *Table) LastToken() Token { return t.lastToken }

// List returns copies of all entries, sorted by name.
func (t *Table) List() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for entry := range maps.Values(t.entries) {
		copied := *entry
		copied.Waiters = slices.Clone(entry.Waiters)
		list = append(list, copied)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Restore fills an empty Table from a snapshot, which holds the results of LastToken and List.
func (t *Table) Restore(lastToken Token, entries []Entry) {
	t.lastToken = lastToken
	for _, entry := range entries {
		entry.Waiters = slices.Clone(entry.Waiters)
		t.entries[entry.Name] = &entry
		t.lastToken = max(t.lastToken, entry.Token)
	}
}
