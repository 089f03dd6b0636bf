package lease

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

var limits = Limits{Names: 2, Waiters: 2, NameBytes: 20, Shortest: time.Second, Longest: time.Minute}

// record is a Table with its leader, on a clock of its own.
type record struct {
	t     *testing.T
	now   time.Duration
	table *Table
	terms *Terms
	nr    uint64
}

func newRecord(t *testing.T) *record {
	r := &record{t: t, table: NewTable(limits)}
	r.terms = NewTerms(0, r.table, 0.1)
	return r
}

func (r *record) do(a Ask) Reply {
	r.nr++
	a.Nr = r.nr
	if a.Name == "" {
		a.Name = "x"
	}
	if a.Term == 0 {
		a.Term = 10 * time.Second
	}
	if a.Kind == Renew {
		return r.terms.Renew(r.now, a)
	}
	if reply, ok := r.terms.Repeats(r.now, a); ok {
		return reply
	}
	reply, granted := r.table.Apply(a)
	return r.terms.Applied(r.now, a, reply, granted)
}

// wait lets time go by, and applies what the leader ends.
func (r *record) wait(d time.Duration) {
	r.now += d
	for _, a := range r.terms.Due(r.now) {
		reply, granted := r.table.Apply(a)
		r.terms.Applied(r.now, a, reply, granted)
	}
}

func (r *record) want(a Ask, v Verdict, holder string, token Token) {
	r.t.Helper()
	got := r.do(a)
	if got.Verdict != v || v == Granted && (got.Holder != holder || got.Token != token) {
		r.t.Errorf("%+v: %+v, want %d %s %d", a, got, v, holder, token)
	}
	e := r.table.Entry("x")
	if holder == "" && e != nil || holder != "" && (e == nil || e.Holder != holder || e.Token != token) {
		r.t.Errorf("%+v: the record has %+v, want %s %d", a, e, holder, token)
	}
}

func acquire(client string, seq uint64) Ask {
	return Ask{Kind: Acquire, Client: client, Seq: seq, Wait: true}
}

// A lease goes from one to the next in the order of asking, with a token that rises, also where nobody held it in between.
func TestQueue(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.want(acquire("a", 1), Granted, "a", 1) // said again
	r.want(acquire("b", 1), Waiting, "a", 1)
	r.want(acquire("c", 1), Waiting, "a", 1)
	r.want(acquire("b", 1), Waiting, "a", 1) // keeps its place
	r.want(acquire("d", 1), Full, "a", 1)
	r.want(Ask{Kind: Acquire, Client: "d", Seq: 1}, Held, "a", 1)
	r.want(Ask{Kind: Release, Client: "b", Token: 1}, Lost, "a", 1) // not its own
	r.want(Ask{Kind: Release, Client: "a", Token: 1}, Done, "b", 2)
	r.want(Ask{Kind: Release, Client: "a", Token: 1}, Lost, "b", 2) // it comes twice
	r.want(Ask{Kind: Renew, Client: "a", Token: 1}, Lost, "b", 2)
	r.want(acquire("b", 2), Waiting, "c", 3) // it wants it anew, behind the one who waits
	r.want(acquire("b", 1), Lost, "c", 3)    // from before
	r.want(Ask{Kind: Drop, Client: "b", Seq: 1}, Done, "c", 3)
	r.want(Ask{Kind: Release, Client: "c", Token: 3}, Done, "b", 4)
	r.want(Ask{Kind: Release, Client: "b", Token: 4}, Done, "", 0)
	r.want(acquire("a", 2), Granted, "a", 5)
	r.want(acquire("a", 3), Granted, "a", 6) // wanted anew, nobody waits
}

// Who is not heard of loses lease and place; who renews keeps it; who was revoked gets no other term, and has the one it was given.
func TestTermsEnd(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.want(acquire("b", 1), Waiting, "a", 1)
	for range 3 {
		r.wait(9 * time.Second)
		r.want(Ask{Kind: Renew, Client: "a", Token: 1}, Granted, "a", 1)
		r.want(acquire("b", 1), Waiting, "a", 1)
	}
	r.want(acquire("c", 1), Waiting, "a", 1)
	r.wait(10500 * time.Millisecond) // the term, and not yet the drift
	r.want(acquire("b", 1), Waiting, "a", 1)
	r.wait(time.Second)
	r.want(acquire("b", 1), Granted, "b", 2) // c was dropped as well, b was heard
	r.want(acquire("c", 1), Waiting, "b", 2)
	r.want(Ask{Kind: Revoke, Client: "op"}, Done, "b", 2)
	r.want(Ask{Kind: Renew, Client: "b", Token: 2}, Lost, "b", 2)
	r.want(acquire("b", 1), Lost, "b", 2)
	r.wait(8 * time.Second)
	r.want(acquire("c", 1), Waiting, "b", 2)
	r.wait(5 * time.Second)
	r.want(acquire("c", 1), Granted, "c", 3)
	r.terms = NewTerms(r.now+5*time.Second, r.table, 0.1) // another leads: its term is counted anew, in full
	r.wait(15 * time.Second)
	r.want(Ask{Kind: Renew, Client: "c", Token: 3}, Granted, "c", 3)
	r.wait(time.Minute)
	r.want(Ask{Kind: Renew, Client: "c", Token: 3}, Lost, "", 0)
	if at, ok := r.terms.Next(); ok || len(r.terms.live) != 0 {
		t.Errorf("%v, %d are remembered", at, len(r.terms.live))
	}
}

// The end of a term is asked for again where what was asked got lost, and meanwhile nobody gets another one.
func TestEndIsAskedForAgain(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.now = 12 * time.Second
	if got := r.terms.Due(r.now); len(got) != 1 || got[0].Kind != Expire {
		t.Fatalf("%+v", got)
	}
	r.want(Ask{Kind: Renew, Client: "a", Token: 1}, Lost, "a", 1)
	r.want(acquire("a", 1), Lost, "a", 1)
	if got := r.terms.Due(r.now); len(got) != 0 {
		t.Errorf("%+v at once", got)
	}
	if got := r.terms.Due(r.now + askAgain); len(got) != 1 {
		t.Errorf("%+v", got)
	}
}

// Handing on: to one who waits, past the others; to one who has not asked yet, for a term; to nobody that can be.
func TestHandOn(t *testing.T) {
	r := newRecord(t)
	r.want(acquire("a", 1), Granted, "a", 1)
	r.want(acquire("b", 1), Waiting, "a", 1)
	r.want(acquire("c", 1), Waiting, "a", 1)
	r.want(Ask{Kind: HandOn, Client: "a", Token: 1, To: "c"}, Done, "c", 2)
	r.want(acquire("c", 1), Granted, "c", 2)
	r.want(Ask{Kind: HandOn, Client: "c", Token: 2, To: "heir"}, Done, "heir", 3)
	r.want(acquire("heir", 7), Granted, "heir", 3)
	r.want(Ask{Kind: HandOn, Client: "heir", Token: 3, To: "gone"}, Done, "gone", 4)
	r.wait(9 * time.Second)
	r.want(acquire("b", 1), Waiting, "gone", 4)
	r.wait(3 * time.Second)
	r.want(acquire("b", 1), Granted, "b", 5)
	r.want(Ask{Kind: HandOn, Client: "b", Token: 5, To: "one whose name is far too long"}, Done, "", 0)
}

// Every table is bounded: names, waiters, the length of names; terms are held within their bounds.
func TestBounds(t *testing.T) {
	r := newRecord(t)
	for i, want := range []Verdict{Granted, Granted, Full} {
		if got := r.do(Ask{Kind: Acquire, Name: fmt.Sprint("n", i), Client: "a", Seq: 1}); got.Verdict != want {
			t.Errorf("name %d: %+v", i, got)
		}
	}
	if got := r.do(Ask{Kind: Release, Name: "n0", Client: "a", Token: 1}); got.Verdict != Done {
		t.Error(got)
	}
	for term, want := range map[time.Duration]time.Duration{1: time.Second, time.Hour: time.Minute} {
		got := r.do(Ask{Kind: Acquire, Name: "n2", Client: "a", Seq: 1, Term: term})
		if got.Verdict != Granted || got.Term != want {
			t.Errorf("a term of %v: %+v", term, got)
		}
		r.do(Ask{Kind: Release, Name: "n2", Client: "a", Token: got.Token})
	}
	if got := r.do(Ask{Kind: Acquire, Name: "a name that is far too long", Client: "a", Seq: 1}); got.Verdict != Full {
		t.Error(got)
	}
	other := NewTable(limits)
	other.Load(r.table.Last(), r.table.List())
	if !reflect.DeepEqual(other, r.table) {
		t.Errorf("%+v, read back as %+v", r.table, other)
	}
}

// The holder's side alone: its term counts from before its ask, it ends by its own clock, gives back only what has ended, and what is granted
// to a wish that is over goes back.
func TestHolder(t *testing.T) {
	o := HolderOptions{Name: "x", Client: "a", Term: 10 * time.Second, Drift: 0.1, Margin: time.Second, Retry: 2 * time.Second}
	h := NewHolder(o)
	asked := h.Want(time.Second)[0].Ask
	say := func(a Ask, v Verdict, token Token) Reply {
		r := a.reply(v)
		r.Token, r.Term = token, 10*time.Second
		return r
	}
	if acts := h.Tick(2 * time.Second); acts != nil {
		t.Errorf("too early: %+v", acts)
	}
	again := h.Tick(3 * time.Second)[0].Ask
	if again.Seq != asked.Seq || again.Nr == asked.Nr {
		t.Errorf("%+v, then %+v", asked, again)
	}
	acts := h.Heard(5*time.Second, say(asked, Granted, 4))
	if len(acts) != 1 || acts[0].Do != Begin || acts[0].Until != 9*time.Second { // 1 + 10 - 1 - 1
		t.Fatalf("%+v", acts)
	}
	h.Heard(5*time.Second, say(again, Granted, 4))
	if token, until, ok := h.May(10 * time.Second); !ok || token != 4 || until != 11*time.Second {
		t.Errorf("%d until %v: %v", token, until, ok)
	}
	renew := h.Tick(7 * time.Second)[0].Ask
	if renew.Kind != Renew || renew.Token != 4 {
		t.Errorf("%+v", renew)
	}
	if h.Heard(8*time.Second, say(asked, Lost, 0)) != nil { // of before the grant
		t.Error("an old word ends it")
	}
	if acts := h.Tick(11 * time.Second); len(acts) != 1 || acts[0].Do != End || acts[0].Why != Over {
		t.Errorf("%+v", acts)
	}
	if _, _, ok := h.May(11 * time.Second); ok {
		t.Error("it may act")
	}
	if acts := h.Heard(11*time.Second, say(renew, Granted, 4)); acts != nil { // too late: it is ending
		t.Errorf("%+v", acts)
	}
	acts = h.Stopped(12 * time.Second)
	if len(acts) != 2 || acts[0].Ask.Kind != Release || acts[0].Ask.Token != 4 || acts[1].Ask.Kind != Acquire || acts[1].Ask.Seq != 2 {
		t.Fatalf("%+v", acts)
	}
	second := acts[1].Ask
	if acts := h.Heard(13*time.Second, say(again, Granted, 5)); len(acts) != 1 || acts[0].Ask.Kind != Release || acts[0].Ask.Token != 5 {
		t.Errorf("granted to a wish that is over: %+v", acts)
	}
	if acts := h.Heard(13*time.Second, say(second, Held, 0)); len(acts) != 1 || acts[0].Do != Turned || acts[0].Why != Busy {
		t.Errorf("%+v", acts)
	}
	if acts := h.Leave(14*time.Second, ""); len(acts) != 1 || acts[0].Ask.Kind != Drop {
		t.Errorf("%+v", acts)
	}
	if acts := h.Heard(14*time.Second, say(second, Granted, 6)); len(acts) != 1 || acts[0].Ask.Kind != Release {
		t.Errorf("granted as it left: %+v", acts)
	}
	third := h.Want(20 * time.Second)[0].Ask
	h.Heard(20*time.Second, say(third, Granted, 7))
	if acts := h.Leave(21*time.Second, "b"); len(acts) != 1 || acts[0].Do != End || acts[0].Why != Left {
		t.Errorf("%+v", acts)
	}
	if acts := h.Stopped(22 * time.Second); len(acts) != 1 || acts[0].Ask.Kind != HandOn || acts[0].Ask.To != "b" || acts[0].Ask.Token != 7 {
		t.Errorf("%+v", acts)
	}
	if _, ok := h.Next(); ok {
		t.Error("it has something to do")
	}
}

// Guards against a word that a holder keeps with a name after it has lost it, and against notes without a bound: only the holder of the name's
// token may write, what is kept outlasts the lease, and a record that was passed on has it.
func TestNotes(t *testing.T) {
	table := NewTable(Limits{Names: 2, Waiters: 2, NameBytes: 100, Shortest: 1, Longest: time.Hour})
	apply := func(k Kind, client string, token Token, value string) Reply {
		r, _ := table.Apply(Ask{Kind: k, Name: "n", Client: client, Seq: uint64(table.Last() + 1), Token: token, Value: value, Term: time.Second})
		return r
	}
	first := apply(Acquire, "a", 0, "").Token
	steps := []struct {
		what  string
		reply Reply
		want  Verdict
		value string
	}{
		{"the holder writes", apply(Note, "a", first, "one"), Done, "one"},
		{"another client", apply(Note, "b", first, "two"), Lost, ""},
		{"another token", apply(Note, "a", first+1, "two"), Lost, ""},
		{"too long", apply(Note, "a", first, strings.Repeat("x", NoteBytes+1)), Full, "one"},
		{"it is given back", apply(Release, "a", first, ""), Done, ""},
		{"and written after that", apply(Note, "a", first, "late"), Lost, ""},
		{"the next one", apply(Acquire, "b", 0, ""), Granted, ""},
		{"finds it", apply(Look, "b", table.Last(), ""), Done, "one"},
		{"the first one is still refused", apply(Note, "a", first, "late"), Lost, ""},
	}
	for _, s := range steps {
		if s.reply.Verdict != s.want || s.reply.Value != s.value {
			t.Errorf("%s: %+v", s.what, s.reply)
		}
	}
	other := NewTable(table.limits)
	other.Load(table.Last(), table.List())
	other.Keep(table.Notes())
	if r, _ := other.Apply(Ask{Kind: Look, Name: "n", Client: "b", Token: table.Last()}); r.Value != "one" {
		t.Errorf("passed on: %+v", r)
	}
	for _, name := range []string{"o", "p"} {
		table.Apply(Ask{Kind: Release, Name: "n", Client: "b", Token: table.Last()})
		r, _ := table.Apply(Ask{Kind: Acquire, Name: name, Client: "c", Seq: 9, Term: time.Second})
		r, _ = table.Apply(Ask{Kind: Note, Name: name, Client: "c", Token: r.Token, Value: "x"})
		if want := map[string]Verdict{"o": Done, "p": Full}[name]; r.Verdict != want {
			t.Errorf("%s: %+v", name, r)
		}
	}
	if r := apply(Note, "b", table.Last(), ""); r.Verdict == Done {
		t.Errorf("nobody holds it: %+v", r)
	}
}
