package idempotency

import (
	"testing"
	"time"
)

// What a request meets in a shared store, row by row: nothing is sent that may run, or may have run where that can't be told.
func TestMeet(t *testing.T) {
	const wall = 1000 * time.Hour
	sent := func(ago ...time.Duration) (of []Attempt) {
		for _, d := range ago {
			of = append(of, Attempt{Zone: "z", SentAt: wall - d})
		}
		return of
	}
	prior := []Attempt{{Zone: "z", SentAt: time.Second}}
	elsewhere := []Attempt{{Zone: "y", SentAt: time.Second}}
	answer := &Answer{Status: 200}
	for _, c := range []struct {
		name  string
		r     Record
		mine  bool
		lives bool
		skew  time.Duration
		prior []Attempt
		want  Verdict
		ages  []time.Duration
	}{
		{"runs", Record{Running: true}, false, true, time.Second, nil, Wait, nil},
		{"ran when its process ended", Record{Running: true}, false, false, time.Second, nil, Fail, nil},
		{"ran again when its process ended", Record{Running: true, Attempts: sent(time.Second)}, false, false, time.Second, prior, Fail, nil},
		{"answered", Record{Answer: answer}, false, false, 0, nil, Replay, nil},
		{"answered at length", Record{}, false, false, 0, nil, AnswerNotStored, nil},
		{"answered here", Record{Answer: answer}, true, true, 0, prior, Replay, nil},
		{"uncertain", Record{Outcome: MayHaveRun, Attempts: sent(2*time.Second, time.Second)}, false, false, time.Second, nil, Execute, []time.Duration{3 * time.Second, 2 * time.Second}},
		{"uncertain, known here in part", Record{Outcome: MayHaveRun, Attempts: sent(2*time.Second, time.Second)}, false, false, time.Second, prior, Execute, []time.Duration{3 * time.Second, 2 * time.Second}},
		{"uncertain, clocks not trusted", Record{Outcome: MayHaveRun, Attempts: sent(time.Second)}, false, false, 0, nil, Fail, nil},
		{"uncertain, one too old", Record{Outcome: MayHaveRun, Attempts: sent(time.Second, 5*time.Second)}, false, false, time.Second, nil, Fail, nil},
		{"uncertain, of a clock ahead", Record{Outcome: MayHaveRun, Attempts: sent(-time.Hour)}, false, false, time.Second, nil, Execute, []time.Duration{time.Second}},
		{"uncertain, sends lost", Record{Outcome: MayHaveRun, AttemptsUnknown: true, Attempts: sent(time.Second)}, false, false, time.Second, nil, Fail, nil},
		{"uncertain, no sends", Record{Outcome: MayHaveRun}, false, false, time.Second, nil, Fail, nil},
		{"uncertain here", Record{Outcome: MayHaveRun, Attempts: sent(time.Second)}, true, true, 0, prior, Execute, []time.Duration{time.Second}},
		{"uncertain here, and elsewhere before", Record{Outcome: MayHaveRun, Attempts: sent(time.Second)}, true, true, 0, elsewhere, Fail, nil},
		{"uncertain here, and more than is known", Record{Outcome: MayHaveRun, Attempts: sent(time.Second, time.Second)}, true, true, 0, prior, Fail, nil},
		{"its end here was not told", Record{Running: true}, true, true, 0, prior, Execute, []time.Duration{time.Second}},
		{"ran here, forgotten", Record{Running: true}, true, true, time.Second, nil, Fail, nil},
	} {
		m := SharedRequest{ID: ID{"t", "c", "k"}, Fingerprint: Fingerprint{1}, Process: "p", EarlierAttempts: c.prior, DedupWindow: 6 * time.Second, MaxClockSkew: c.skew}
		r := SharedRecord{Record: c.r, Owner: "o", Claim: ClaimName("pp", "1")}
		if r.ID, r.Fingerprint = m.ID, m.Fingerprint; c.mine {
			r.Claim = ClaimName("p", "1")
		}
		d := m.Resolve(&r, c.lives, wall)
		var ages []time.Duration
		for _, x := range d.EarlierAttempts {
			ages = append(ages, x.SentAt)
		}
		if d.Verdict != c.want || len(ages) != len(c.ages) || len(ages) > 0 && ages[0] != c.ages[0] || d.Verdict == Replay && d.Answer != answer {
			t.Errorf("%s: %+v", c.name, d)
		}
		for _, other := range []func(){func() { r.Fingerprint[0]++ }, func() { r.Fingerprint, r.ID.Key = m.Fingerprint, "other" }} {
			if other(); m.Resolve(&r, c.lives, wall).Verdict != Conflict {
				t.Errorf("%s: another request is none", c.name)
			}
		}
	}
}

// Adopted sends are in place of those known, and count.
func TestAdopt(t *testing.T) {
	s := New(testOptions(), window)
	id := ID{"t", "c", "k"}
	s.Arrive(0, id, Fingerprint{})
	before := s.Bytes()
	s.AdoptAttempts(id, []Attempt{{Zone: "a"}, {Zone: "a", SentAt: time.Second}})
	if s.Bytes() != before+2*perSend {
		t.Errorf("%d bytes, %d before", s.Bytes(), before)
	}
	if kind := s.Finish(2*time.Second, id, NotExecuted, nil); kind != MayHaveRun {
		t.Errorf("it ended as %v", kind)
	}
	if d := s.Arrive(3*time.Second, id, Fingerprint{}); d.Verdict != Execute || len(d.EarlierAttempts) != 2 {
		t.Errorf("%+v", d)
	}
	s.AdoptAttempts(id, nil)
	if s.Bytes() != before || s.Finish(4*time.Second, id, NotExecuted, nil) != NotExecuted || s.Len() != 0 {
		t.Errorf("%d bytes, %d keys", s.Bytes(), s.Len())
	}
}
