package lease

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

var limits = Limits{MaxNames: 2, MaxWaiters: 2, MaxNameBytes: 20, MinDuration: time.Second, MaxDuration: time.Minute}

// harness is a Table with its leader, on a clock of its own.
type harness struct {
	t           *testing.T
	now         time.Duration
	table       *Table
	expirations *Expirations
	sendNumber  uint64
}

func newRecord(t *testing.T) *harness {
	r := &harness{t: t, table: NewTable(limits)}
	r.expirations = NewExpirations(0, r.table, 0.1)
	return r
}

func (r *harness) apply(a Request) Reply {
	r.sendNumber++
	a.SendNumber = r.sendNumber
	if a.Name == "" {
		a.Name = "x"
	}
	if a.Duration == 0 {
		a.Duration = 10 * time.Second
	}
	if a.Kind == Renew {
		return r.expirations.Renew(r.now, a)
	}
	if reply, ok := r.expirations.AnswerRepeated(r.now, a); ok {
		return reply
	}
	reply, granted := r.table.Apply(a)
	return r.expirations.Applied(r.now, a, reply, granted)
}

// advance lets time go by, and applies what the leader ends.
func (r *harness) advance(d time.Duration) {
	r.now += d
	for _, a := range r.expirations.Expired(r.now) {
		reply, granted := r.table.Apply(a)
		r.expirations.Applied(r.now, a, reply, granted)
	}
}

func (r *harness) want(a Request, v Status, holder string, token Token) {
	r.t.Helper()
	got := r.apply(a)
	if got.Status != v || v == Granted && (got.Holder != holder || got.Token != token) {
		r.t.Errorf("%+v: %+v, want %d %s %d", a, got, v, holder, token)
	}
	e := r.table.Entry("x")
	if holder == "" && e != nil || holder != "" && (e == nil || e.Holder != holder || e.Token != token) {
		r.t.Errorf("%+v: the record has %+v, want %s %d", a, e, holder, token)
	}
}

func acquire(client string, seq uint64) Request {
	return Request{Kind: Acquire, Client: client, Sequence: seq, Wait: true}
}

// A lease goes from one to the next in the order of asking, with a token that rises, also where nobody held it in between.
func TestQueue(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.want(acquire("a", 1), Granted, "a", 1) // said again
	r.want(acquire("b", 1), Waiting, "a", 1)
	r.want(acquire("c", 1), Waiting, "a", 1)
	r.want(acquire("b", 1), Waiting, "a", 1) // keeps its place
	r.want(acquire("d", 1), TableFull, "a", 1)
	r.want(Request{Kind: Acquire, Client: "d", Sequence: 1}, HeldByOther, "a", 1)
	r.want(Request{Kind: Release, Client: "b", Token: 1}, NotHeld, "a", 1) // not its own
	r.want(Request{Kind: Release, Client: "a", Token: 1}, Done, "b", 2)
	r.want(Request{Kind: Release, Client: "a", Token: 1}, NotHeld, "b", 2) // it comes twice
	r.want(Request{Kind: Renew, Client: "a", Token: 1}, NotHeld, "b", 2)
	r.want(acquire("b", 2), Waiting, "c", 3) // it wants it anew, behind the one who waits
	r.want(acquire("b", 1), NotHeld, "c", 3) // from before
	r.want(Request{Kind: RemoveWaiter, Client: "b", Sequence: 1}, Done, "c", 3)
	r.want(Request{Kind: Release, Client: "c", Token: 3}, Done, "b", 4)
	r.want(Request{Kind: Release, Client: "b", Token: 4}, Done, "", 0)
	r.want(acquire("a", 2), Granted, "a", 5)
	r.want(acquire("a", 3), Granted, "a", 6) // wanted anew, nobody waits
}

// Who is not heard of loses lease and place; who renews keeps it; who was revoked gets no other term, and has the one it was given.
func TestTermsEnd(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.want(acquire("b", 1), Waiting, "a", 1)
	for range 3 {
		r.advance(9 * time.Second)
		r.want(Request{Kind: Renew, Client: "a", Token: 1}, Granted, "a", 1)
		r.want(acquire("b", 1), Waiting, "a", 1)
	}
	r.want(acquire("c", 1), Waiting, "a", 1)
	r.advance(10500 * time.Millisecond) // the term, and not yet the drift
	r.want(acquire("b", 1), Waiting, "a", 1)
	r.advance(time.Second)
	r.want(acquire("b", 1), Granted, "b", 2) // c was dropped as well, b was heard
	r.want(acquire("c", 1), Waiting, "b", 2)
	r.want(Request{Kind: Revoke, Client: "op"}, Done, "b", 2)
	r.want(Request{Kind: Renew, Client: "b", Token: 2}, NotHeld, "b", 2)
	r.want(acquire("b", 1), NotHeld, "b", 2)
	r.advance(8 * time.Second)
	r.want(acquire("c", 1), Waiting, "b", 2)
	r.advance(5 * time.Second)
	r.want(acquire("c", 1), Granted, "c", 3)
	r.expirations = NewExpirations(r.now+5*time.Second, r.table, 0.1) // another leads: its term is counted anew, in full
	r.advance(15 * time.Second)
	r.want(Request{Kind: Renew, Client: "c", Token: 3}, Granted, "c", 3)
	r.advance(time.Minute)
	r.want(Request{Kind: Renew, Client: "c", Token: 3}, NotHeld, "", 0)
	if at, ok := r.expirations.Next(); ok || len(r.expirations.timers) != 0 {
		t.Errorf("%v, %d are remembered", at, len(r.expirations.timers))
	}
}

// The end of a term is asked for again where what was asked got lost, and meanwhile nobody gets another one.
func TestEndIsAskedForAgain(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.now = 12 * time.Second
	if got := r.expirations.Expired(r.now); len(got) != 1 || got[0].Kind != Expire {
		t.Fatalf("%+v", got)
	}
	r.want(Request{Kind: Renew, Client: "a", Token: 1}, NotHeld, "a", 1)
	r.want(acquire("a", 1), NotHeld, "a", 1)
	if got := r.expirations.Expired(r.now); len(got) != 0 {
		t.Errorf("%+v at once", got)
	}
	if got := r.expirations.Expired(r.now + reproposalDelay); len(got) != 1 {
		t.Errorf("%+v", got)
	}
}

// Handing on: to one who waits, past the others; to one who has not asked yet, for a term; to nobody that can be.
func TestHandOn(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.want(acquire("b", 1), Waiting, "a", 1)
	r.want(acquire("c", 1), Waiting, "a", 1)
	r.want(Request{Kind: Transfer, Client: "a", Token: 1, To: "c"}, Done, "c", 2)
	r.want(acquire("c", 1), Granted, "c", 2)
	r.want(Request{Kind: Transfer, Client: "c", Token: 2, To: "heir"}, Done, "heir", 3)
	r.want(acquire("heir", 7), Granted, "heir", 3)
	r.want(Request{Kind: Transfer, Client: "heir", Token: 3, To: "gone"}, Done, "gone", 4)
	r.advance(9 * time.Second)
	r.want(acquire("b", 1), Waiting, "gone", 4)
	r.advance(3 * time.Second)
	r.want(acquire("b", 1), Granted, "b", 5)
	r.want(Request{Kind: Transfer, Client: "b", Token: 5, To: "one whose name is far too long"}, Done, "", 0)
}

// Every table is bounded: names, waiters, the length of names; terms are held within their bounds.
func TestBounds(t *testing.T) {
	r := newRecord(t)
	for i, want := range []Status{Granted, Granted, TableFull} {
		if got := r.apply(Request{Kind: Acquire, Name: fmt.Sprint("n", i), Client: "a", Sequence: 1}); got.Status != want {
			t.Errorf("name %d: %+v", i, got)
		}
	}
	if got := r.apply(Request{Kind: Release, Name: "n0", Client: "a", Token: 1}); got.Status != Done {
		t.Error(got)
	}
	for term, want := range map[time.Duration]time.Duration{1: time.Second, time.Hour: time.Minute} {
		got := r.apply(Request{Kind: Acquire, Name: "n2", Client: "a", Sequence: 1, Duration: term})
		if got.Status != Granted || got.Duration != want {
			t.Errorf("a term of %v: %+v", term, got)
		}
		r.apply(Request{Kind: Release, Name: "n2", Client: "a", Token: got.Token})
	}
	if got := r.apply(Request{Kind: Acquire, Name: "a name that is far too long", Client: "a", Sequence: 1}); got.Status != TableFull {
		t.Error(got)
	}
	other := NewTable(limits)
	other.Restore(r.table.LastToken(), r.table.List())
	if !reflect.DeepEqual(other, r.table) {
		t.Errorf("%+v, read back as %+v", r.table, other)
	}
}

// The holder's side alone: its term counts from before its ask, it ends by its own clock, gives back only what has ended, and what is granted
// to a wish that is over goes back.
func TestHolder(t *testing.T) {
	o := HolderOptions{Name: "x", Client: "a", Duration: 10 * time.Second, Drift: 0.1, Margin: time.Second, RetryInterval: 2 * time.Second}
	h := NewHolder(o)
	asked := h.Acquire(time.Second)[0].Request
	say := func(a Request, v Status, token Token) Reply {
		r := a.Reply(v)
		r.Token, r.Duration = token, 10*time.Second
		return r
	}
	if acts := h.Tick(2 * time.Second); acts != nil {
		t.Errorf("too early: %+v", acts)
	}
	again := h.Tick(3 * time.Second)[0].Request
	if again.Sequence != asked.Sequence || again.SendNumber == asked.SendNumber {
		t.Errorf("%+v, then %+v", asked, again)
	}
	acts := h.HandleReply(5*time.Second, say(asked, Granted, 4))
	if len(acts) != 1 || acts[0].Kind != ActionStartWork || acts[0].Until != 9*time.Second { // 1 + 10 - 1 - 1
		t.Fatalf("%+v", acts)
	}
	h.HandleReply(5*time.Second, say(again, Granted, 4))
	if token, until, ok := h.Held(10 * time.Second); !ok || token != 4 || until != 11*time.Second {
		t.Errorf("%d until %v: %v", token, until, ok)
	}
	renew := h.Tick(7 * time.Second)[0].Request
	if renew.Kind != Renew || renew.Token != 4 {
		t.Errorf("%+v", renew)
	}
	if h.HandleReply(8*time.Second, say(asked, NotHeld, 0)) != nil { // of before the grant
		t.Error("an old word ends it")
	}
	if acts := h.Tick(11 * time.Second); len(acts) != 1 || acts[0].Kind != ActionStopWork || acts[0].Reason != ReasonExpired {
		t.Errorf("%+v", acts)
	}
	if _, _, ok := h.Held(11 * time.Second); ok {
		t.Error("it may act")
	}
	if acts := h.HandleReply(11*time.Second, say(renew, Granted, 4)); acts != nil { // too late: it is ending
		t.Errorf("%+v", acts)
	}
	acts = h.WorkStopped(12 * time.Second)
	if len(acts) != 2 || acts[0].Request.Kind != Release || acts[0].Request.Token != 4 || acts[1].Request.Kind != Acquire || acts[1].Request.Sequence != 2 {
		t.Fatalf("%+v", acts)
	}
	second := acts[1].Request
	if acts := h.HandleReply(13*time.Second, say(again, Granted, 5)); len(acts) != 1 || acts[0].Request.Kind != Release || acts[0].Request.Token != 5 {
		t.Errorf("granted to a wish that is over: %+v", acts)
	}
	if acts := h.HandleReply(13*time.Second, say(second, HeldByOther, 0)); len(acts) != 1 || acts[0].Kind != ActionReportRejection || acts[0].Reason != ReasonBusy {
		t.Errorf("%+v", acts)
	}
	if acts := h.Release(14*time.Second, ""); len(acts) != 1 || acts[0].Request.Kind != RemoveWaiter {
		t.Errorf("%+v", acts)
	}
	if acts := h.HandleReply(14*time.Second, say(second, Granted, 6)); len(acts) != 1 || acts[0].Request.Kind != Release {
		t.Errorf("granted as it left: %+v", acts)
	}
	third := h.Acquire(20 * time.Second)[0].Request
	h.HandleReply(20*time.Second, say(third, Granted, 7))
	if acts := h.Release(21*time.Second, "b"); len(acts) != 1 || acts[0].Kind != ActionStopWork || acts[0].Reason != ReasonReleased {
		t.Errorf("%+v", acts)
	}
	if acts := h.WorkStopped(22 * time.Second); len(acts) != 1 || acts[0].Request.Kind != Transfer || acts[0].Request.To != "b" || acts[0].Request.Token != 7 {
		t.Errorf("%+v", acts)
	}
	if _, ok := h.Next(); ok {
		t.Error("it has something to do")
	}
}

// Guards against a word that a holder keeps with a name after it has lost it, and against notes without a bound: only the holder of the name's
// token may write, what is kept outlasts the lease, and a record that was passed on has it.
func TestNotes(t *testing.T) {
	table := NewTable(Limits{MaxNames: 2, MaxWaiters: 2, MaxNameBytes: 100, MinDuration: 1, MaxDuration: time.Hour})
	apply := func(k RequestKind, client string, token Token, value string) Reply {
		r, _ := table.Apply(Request{Kind: k, Name: "n", Client: client, Sequence: uint64(table.LastToken() + 1), Token: token, Value: value, Duration: time.Second})
		return r
	}
	first := apply(Acquire, "a", 0, "").Token
	steps := []struct {
		what  string
		reply Reply
		want  Status
		value string
	}{
		{"the holder writes", apply(WriteNote, "a", first, "one"), Done, "one"},
		{"another client", apply(WriteNote, "b", first, "two"), NotHeld, ""},
		{"another token", apply(WriteNote, "a", first+1, "two"), NotHeld, ""},
		{"too long", apply(WriteNote, "a", first, strings.Repeat("x", MaxNoteBytes+1)), TableFull, "one"},
		{"it is given back", apply(Release, "a", first, ""), Done, ""},
		{"and written after that", apply(WriteNote, "a", first, "late"), NotHeld, ""},
		{"the next one", apply(Acquire, "b", 0, ""), Granted, ""},
		{"finds it", apply(ReadNote, "b", table.LastToken(), ""), Done, "one"},
		{"the first one is still refused", apply(WriteNote, "a", first, "late"), NotHeld, ""},
	}
	for _, s := range steps {
		if s.reply.Status != s.want || s.reply.Value != s.value {
			t.Errorf("%s: %+v", s.what, s.reply)
		}
	}
	other := NewTable(table.limits)
	other.Restore(table.LastToken(), table.List())
	other.RestoreNotes(table.Notes())
	if r, _ := other.Apply(Request{Kind: ReadNote, Name: "n", Client: "b", Token: table.LastToken()}); r.Value != "one" {
		t.Errorf("passed on: %+v", r)
	}
	for _, name := range []string{"o", "p"} {
		table.Apply(Request{Kind: Release, Name: "n", Client: "b", Token: table.LastToken()})
		r, _ := table.Apply(Request{Kind: Acquire, Name: name, Client: "c", Sequence: 9, Duration: time.Second})
		r, _ = table.Apply(Request{Kind: WriteNote, Name: name, Client: "c", Token: r.Token, Value: "x"})
		if want := map[string]Status{"o": Done, "p": TableFull}[name]; r.Status != want {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if r := apply(WriteNote, "b", table.LastToken(), ""); r.Status == Done {
		t.Errorf("nobody holds it: %+v", r)
	}
}
