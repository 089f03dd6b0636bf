package idempotency

import (
	"testing"
	"time"
)

// What a request meets in a shared store, row by row: nothing is sent that may run, or may have run where that can't be told.
func TestMeet(t *testing.T) {
	const wall = 1000 * time.Hour
	sent := func(ago ...time.Duration) (of []Send) {
		for _, d := range ago {
			of = append(of, Send{Zone: "z", Sent: wall - d})
		}
		return of
	}
	prior := []Send{{Zone: "z", Sent: time.Second}}
	elsewhere := []Send{{Zone: "y", Sent: time.Second}}
	answer := &Answer{Status: 200}
	for _, c := range []struct {
		name  string
		r     Record
		mine  bool
		lives bool
		skew  time.Duration
		prior []Send
		want  Verdict
		ages  []time.Duration
	}{
		{"runs", Record{Running: true}, false, true, time.Second, nil, Wait, nil},
		{"ran when its process ended", Record{Running: true}, false, false, time.Second, nil, Fail, nil},
		{"ran again when its process ended", Record{Running: true, Sends: sent(time.Second)}, false, false, time.Second, prior, Fail, nil},
		{"answered", Record{Answer: answer}, false, false, 0, nil, Replay, nil},
		{"answered at length", Record{}, false, false, 0, nil, Answered, nil},
		{"answered here", Record{Answer: answer}, true, true, 0, prior, Replay, nil},
		{"uncertain", Record{Kind: Uncertain, Sends: sent(2*time.Second, time.Second)}, false, false, time.Second, nil, Run, []time.Duration{3 * time.Second, 2 * time.Second}},
		{"uncertain, known here in part", Record{Kind: Uncertain, Sends: sent(2*time.Second, time.Second)}, false, false, time.Second, prior, Run, []time.Duration{3 * time.Second, 2 * time.Second}},
		{"uncertain, clocks not trusted", Record{Kind: Uncertain, Sends: sent(time.Second)}, false, false, 0, nil, Fail, nil},
		{"uncertain, one too old", Record{Kind: Uncertain, Sends: sent(time.Second, 5*time.Second)}, false, false, time.Second, nil, Fail, nil},
		{"uncertain, of a clock ahead", Record{Kind: Uncertain, Sends: sent(-time.Hour)}, false, false, time.Second, nil, Run, []time.Duration{time.Second}},
		{"uncertain, sends lost", Record{Kind: Uncertain, Lost: true, Sends: sent(time.Second)}, false, false, time.Second, nil, Fail, nil},
		{"uncertain, no sends", Record{Kind: Uncertain}, false, false, time.Second, nil, Fail, nil},
		{"uncertain here", Record{Kind: Uncertain, Sends: sent(time.Second)}, true, true, 0, prior, Run, []time.Duration{time.Second}},
		{"uncertain here, and elsewhere before", Record{Kind: Uncertain, Sends: sent(time.Second)}, true, true, 0, elsewhere, Fail, nil},
		{"uncertain here, and more than is known", Record{Kind: Uncertain, Sends: sent(time.Second, time.Second)}, true, true, 0, prior, Fail, nil},
		{"its end here was not told", Record{Running: true}, true, true, 0, prior, Run, []time.Duration{time.Second}},
		{"ran here, forgotten", Record{Running: true}, true, true, time.Second, nil, Fail, nil},
	} {
		m := Meeting{ID: ID{"t", "c", "k"}, Print: Print{1}, Process: "p", Prior: c.prior, Window: 6 * time.Second, Skew: c.skew}
		r := Shared{Record: c.r, Owner: "o", Claim: ClaimOf("pp", "1")}
		if r.ID, r.Print = m.ID, m.Print; c.mine {
			r.Claim = ClaimOf("p", "1")
		}
		d := m.Meet(&r, c.lives, wall)
		var ages []time.Duration
		for _, x := range d.Prior {
			ages = append(ages, x.Sent)
		}
		if d.Verdict != c.want || len(ages) != len(c.ages) || len(ages) > 0 && ages[0] != c.ages[0] || d.Verdict == Replay && d.Answer != answer {
			t.Errorf("%s: %+v", c.name, d)
		}
		for _, other := range []func(){func() { r.Print[0]++ }, func() { r.Print, r.ID.Key = m.Print, "other" }} {
			if other(); m.Meet(&r, c.lives, wall).Verdict != Conflict {
				t.Errorf("%s: another request is none", c.name)
			}
		}
	}
}

// Adopted sends are in place of those known, and count.
func TestAdopt(t *testing.T) {
	s := New(testOptions(), window)
	id := ID{"t", "c", "k"}
	s.Arrive(0, id, Print{})
	before := s.Bytes()
	s.Adopt(id, []Send{{Zone: "a"}, {Zone: "a", Sent: time.Second}})
	if s.Bytes() != before+2*perSend {
		t.Errorf("%d bytes, %d before", s.Bytes(), before)
	}
	if kind := s.End(2*time.Second, id, NeverRan, nil); kind != Uncertain {
		t.Errorf("it ended as %v", kind)
	}
	if d := s.Arrive(3*time.Second, id, Print{}); d.Verdict != Run || len(d.Prior) != 2 {
		t.Errorf("%+v", d)
	}
	s.Adopt(id, nil)
	if s.Bytes() != before || s.End(4*time.Second, id, NeverRan, nil) != NeverRan || s.Len() != 0 {
		t.Errorf("%d bytes, %d keys", s.Bytes(), s.Len())
	}
}
