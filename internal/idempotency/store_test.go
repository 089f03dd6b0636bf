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
	o.Retention, o.MaxKeys, o.MaxBytes, o.MaxAnswerBytes, o.MaxRunning, o.MaxWaiting = units.Duration(time.Minute), 12, 14000, 300, 4, 2
	return o
}

// known is what the plain reference remembers of a key: everything that ever happened to it.
type known struct {
	print   Fingerprint
	runs    bool
	answer  *Answer
	sends   []Attempt
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
				if k := ref[id]; k == nil || k.runs || now-k.last < o.Retention.D() {
					t.Fatalf("%v is forgotten: %+v at %v", id, k, now)
				}
				delete(ref, id)
			}
			id := ID{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "tenant")), "c", fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			k := ref[id]
			switch what := rapid.IntRange(0, 6).Draw(t, "what"); {
			case what <= 2:
				print := Fingerprint{byte(rapid.IntRange(0, 5).Draw(t, "print") / 5)}
				d := s.Arrive(now, id, print)
				oldest := now
				if k != nil {
					for _, x := range k.sends {
						oldest = min(oldest, x.SentAt)
					}
				}
				switch {
				case k == nil:
					if d.Verdict != Execute && d.Verdict != Reject || d.Verdict == Execute && len(d.EarlierAttempts) > 0 {
						t.Fatalf("a new key: %+v", d)
					}
					if d.Verdict == Reject && d.RetryAfter <= 0 {
						t.Fatal("it is not told when to come back")
					}
				case k.print != print:
					if d.Verdict != Conflict {
						t.Fatalf("another request: %+v", d)
					}
				case k.runs:
					if d.Verdict != Wait && !(d.Verdict == Reject && k.waiting >= o.MaxWaiting) {
						t.Fatalf("while it runs: %+v", d)
					}
					if d.Verdict == Wait {
						k.waiting++
					}
				case k.answer != nil:
					if d.Verdict != Replay && d.Verdict != AnswerNotStored || d.Verdict == Replay && d.Answer != k.answer {
						t.Fatalf("after its answer: %+v", d)
					}
				case now-oldest >= window(""):
					if d.Verdict != Fail {
						t.Fatalf("sent at %v, now %v: %+v", oldest, now, d)
					}
				default:
					if d.Verdict != Reject && !(d.Verdict == Execute && fmt.Sprint(d.EarlierAttempts) == fmt.Sprint(k.sends)) {
						t.Fatalf("within the window: %+v, sends %v", d, k.sends)
					}
				}
				if d.Verdict == Execute {
					if runs() >= o.MaxRunning {
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
				x := Attempt{Zone: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "zone")), SentAt: now}
				s.AttemptStarted(id, x)
				k.sends = append(k.sends, x)
			case what == 4 && len(k.sends) > 0:
				x := k.sends[len(k.sends)-1]
				s.AttemptNotSent(id, x)
				for i := range k.sends {
					if k.sends[i] == x {
						k.sends = append(k.sends[:i:i], k.sends[i+1:]...)
						break
					}
				}
			case what == 5 && k.waiting > 0:
				s.StopWaiting(id)
				k.waiting--
			case what == 6:
				a := &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 500).Draw(t, "body"))}
				kind := Outcome(rapid.IntRange(0, 2).Draw(t, "end"))
				got := s.Finish(now, id, kind, a)
				if want := kind; kind == NotExecuted && len(k.sends) > 0 {
					if want = MayHaveRun; got != want {
						t.Fatalf("it ended as %v", got)
					}
				}
				k.runs, k.waiting, k.last = false, 0, now
				switch got {
				case NotExecuted:
					delete(ref, id)
				case Answered:
					k.answer, k.sends = a, nil
				}
			}
			if s.Len() != len(ref) || s.Len() > o.MaxKeys || s.Running() != runs() || s.Bytes() > o.MaxBytes.Bytes()+o.MaxRunning*mostSends*perSend {
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
			case k.runs && d.Verdict != Fail, !k.runs && k.answer != nil && d.Verdict != Replay && d.Verdict != AnswerNotStored:
				t.Fatalf("after a restart: %+v of %+v", d, k)
			}
			if d.Verdict == Execute {
				again.Finish(now, id, MayHaveRun, nil)
			}
		}
	})
}

// A full store refuses and forgets nothing; one tenant's flood leaves others room; what is told of coming back is true.
func TestFull(t *testing.T) {
	o := testOptions()
	o.MaxRunning = 100
	s := New(o, window)
	arrive := func(tenant string, key int) Decision {
		return s.Arrive(time.Hour, ID{tenant, "c", fmt.Sprint(key)}, Fingerprint{})
	}
	taken := map[string]int{}
	for i := range 20 {
		if d := arrive("flood", i); d.Verdict == Execute {
			taken["flood"]++
			s.Finish(time.Hour, ID{"flood", "c", fmt.Sprint(i)}, Answered, &Answer{Status: 200})
		} else if d.Verdict != Reject || d.RetryAfter != o.Retention.D() {
			t.Errorf("%+v", d)
		}
	}
	for i := range 3 {
		if d := arrive("quiet", i); d.Verdict == Execute {
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
	if gone := s.Expire(time.Hour + o.Retention.D()); len(gone) != 6 || s.Running() != 3 {
		t.Errorf("%v are forgotten, %d run", gone, s.Running())
	}
	if d := s.Arrive(time.Hour, ID{Key: strings.Repeat("x", maxID+1)}, Fingerprint{}); d.Verdict != Conflict {
		t.Errorf("a key of %d bytes: %+v", maxID+1, d)
	}
}

// BenchmarkKey is a keyed request's way: its arrival, a send, its end and a repeat.
func BenchmarkKey(b *testing.B) {
	o := Default()
	o.Retention = units.Duration(time.Second)
	s := New(o, window)
	a := &Answer{Status: 200, Body: make([]byte, 200)}
	now := time.Hour
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 20 * time.Microsecond
		id := ID{"tenant", "record", fmt.Sprint(i)}
		s.Expire(now)
		s.Arrive(now, id, Fingerprint{})
		s.AttemptStarted(id, Attempt{Zone: "a", SentAt: now})
		s.Finish(now, id, Answered, a)
		s.Arrive(now, id, Fingerprint{})
	}
}
