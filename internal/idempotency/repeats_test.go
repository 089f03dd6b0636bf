package idempotency

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/units"
)

func window(string) time.Duration { return 6 * time.Second }

func testOptions() Options {
	o := Default()
	o.Keep, o.Entries, o.Bytes, o.Answer, o.Running, o.Waiting = units.Duration(time.Minute), 12, 14000, 300, 4, 2
	return o
}

// known is what the plain reference remembers of a key: everything that ever happened to it.
type known struct {
	print   Print
	runs    bool
	answer  *Answer
	sends   []Send
	last    time.Duration
	waiting int
}

// Any history, held against a reference that forgets nothing: no key that may matter is forgotten, none is run where an earlier send
// may have run beyond its window, no answer is another request's, and all bounds hold.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := testOptions()
		s := New(o, window)
		now := time.Hour
		ref := map[ID]*known{}
		runs := func() (n int) {
			for _, k := range ref {
				if k.runs {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			for _, id := range s.Expire(now) {
				if k := ref[id]; k == nil || k.runs || now-k.last < o.Keep.D() {
					t.Fatalf("%v is forgotten: %+v at %v", id, k, now)
				}
				delete(ref, id)
			}
			id := ID{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "tenant")), "c", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			k := ref[id]
			switch what := rapid.IntRange(0, 6).Draw(t, "what"); {
			case what <= 2:
				print := Print{byte(rapid.IntRange(0, 5).Draw(t, "print") / 5)}
				d := s.Arrive(now, id, print)
				oldest := now
				if k != nil {
					for _, x := range k.sends {
						oldest = min(oldest, x.Sent)
					}
				}
				switch {
				case k == nil:
					if d.Verdict != Run && d.Verdict != Refuse || d.Verdict == Run && len(d.Prior) > 0 {
						t.Fatalf("a new key: %+v", d)
					}
					if d.Verdict == Refuse && d.RetryIn <= 0 {
						t.Fatal("it is not told when to come back")
					}
				case k.print != print:
					if d.Verdict != Conflict {
						t.Fatalf("another request: %+v", d)
					}
				case k.runs:
					if d.Verdict != Wait && !(d.Verdict == Refuse && k.waiting >= o.Waiting) {
						t.Fatalf("while it runs: %+v", d)
					}
					if d.Verdict == Wait {
						k.waiting++
					}
				case k.answer != nil:
					if d.Verdict != Replay && d.Verdict != Answered || d.Verdict == Replay && d.Answer != k.answer {
						t.Fatalf("after its answer: %+v", d)
					}
				case now-oldest >= window(""):
					if d.Verdict != Fail {
						t.Fatalf("sent at %v, now %v: %+v", oldest, now, d)
					}
				default:
					if d.Verdict != Refuse && !(d.Verdict == Run && fmt.Sprint(d.Prior) == fmt.Sprint(k.sends)) {
						t.Fatalf("within the window: %+v, sends %v", d, k.sends)
					}
				}
				if d.Verdict == Run {
					if runs() >= o.Running {
						t.Fatal("too many run")
					}
					if k == nil {
						k = &known{print: print}
						ref[id] = k
					}
					k.runs = true
				}
			case k == nil || !k.runs:
			case what == 3:
				x := Send{Zone: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "zone")), Sent: now}
				s.Sent(id, x)
				k.sends = append(k.sends, x)
			case what == 4 && len(k.sends) > 0:
				x := k.sends[len(k.sends)-1]
				s.Unsent(id, x)
				for i := range k.sends {
					if k.sends[i] == x {
						k.sends = append(k.sends[:i:i], k.sends[i+1:]...)
						break
					}
				}
			case what == 5 && k.waiting > 0:
				s.Leave(id)
				k.waiting--
			case what == 6:
				a := &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 500).Draw(t, "body"))}
				kind := Kind(rapid.IntRange(0, 2).Draw(t, "end"))
				got := s.End(now, id, kind, a)
				if want := kind; kind == NeverRan && len(k.sends) > 0 {
					if want = Uncertain; got != want {
						t.Fatalf("it ended as %v", got)
					}
				}
				k.runs, k.waiting, k.last = false, 0, now
				switch got {
				case NeverRan:
					delete(ref, id)
				case WasAnswered:
					k.answer, k.sends = a, nil
				}
			}
			if s.Len() != len(ref) || s.Len() > o.Entries || s.Running() != runs() || s.Bytes() > o.Bytes.Bytes()+o.Running*mostSends*perSend {
				t.Fatalf("%d keys (%d), %d run (%d), %d bytes", s.Len(), len(ref), s.Running(), runs(), s.Bytes())
			}
		}
		// And what a disk would have had brings the same back, but for what ran: that is never sent again.
		again := New(o, window)
		for id, k := range ref {
			r, ok := s.Record(now, id)
			if !ok || again.Load(now, r) != nil {
				t.Fatalf("%v can't be loaded", id)
			}
			d := again.Arrive(now, id, k.print)
			switch {
			case k.runs && d.Verdict != Fail, !k.runs && k.answer != nil && d.Verdict != Replay && d.Verdict != Answered:
				t.Fatalf("after a restart: %+v of %+v", d, k)
			}
			if d.Verdict == Run {
				again.End(now, id, Uncertain, nil)
			}
		}
	})
}

// A full store refuses and forgets nothing; one tenant's flood leaves others room; what is told of coming back is true.
func TestFull(t *testing.T) {
	o := testOptions()
	o.Running = 100
	s := New(o, window)
	arrive := func(tenant string, key int) Decision {
		return s.Arrive(time.Hour, ID{tenant, "c", fmt.Sprint(key)}, Print{})
	}
	taken := map[string]int{}
	for i := range 20 {
		if d := arrive("flood", i); d.Verdict == Run {
			taken["flood"]++
			s.End(time.Hour, ID{"flood", "c", fmt.Sprint(i)}, WasAnswered, &Answer{Status: 200})
		} else if d.Verdict != Refuse || d.RetryIn != o.Keep.D() {
			t.Errorf("%+v", d)
		}
	}
	for i := range 3 {
		if d := arrive("quiet", i); d.Verdict == Run {
			taken["quiet"]++
		}
	}
	if taken["flood"] != 6 || taken["quiet"] != 3 {
		t.Errorf("taken: %v", taken)
	}
	for i := range taken["flood"] {
		if d := arrive("flood", i); d.Verdict != Replay {
			t.Errorf("key %d: %+v", i, d)
		}
	}
	if gone := s.Expire(time.Hour + o.Keep.D()); len(gone) != 6 || s.Running() != 3 {
		t.Errorf("%v are forgotten, %d run", gone, s.Running())
	}
	if d := s.Arrive(time.Hour, ID{Key: strings.Repeat("x", maxID+1)}, Print{}); d.Verdict != Conflict {
		t.Errorf("a key of %d bytes: %+v", maxID+1, d)
	}
}

// BenchmarkKey is a keyed request's way: its arrival, a send, its end and a repeat.
func BenchmarkKey(b *testing.B) {
	o := Default()
	o.Keep = units.Duration(time.Second)
	s := New(o, window)
	a := &Answer{Status: 200, Body: make([]byte, 200)}
	now := time.Hour
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 20 * time.Microsecond
		id := ID{"tenant", "record", fmt.Sprint(i)}
		s.Expire(now)
		s.Arrive(now, id, Print{})
		s.Sent(id, Send{Zone: "a", Sent: now})
		s.End(now, id, WasAnswered, a)
		s.Arrive(now, id, Print{})
	}
}
