package idempotency

import (
	"slices"
	"testing"
	"time"
)

// TestResolve checks the decision on each kind of record. It guards against executing a request that may still be running, or whose earlier
// attempts may have been executed and can't be deduplicated any more.
func TestResolve(t *testing.T) {
	const wall = 1000 * time.Hour
	sentAgo := func(ages ...time.Duration) (attempts []Attempt) {
		for _, age := range ages {
			attempts = append(attempts, Attempt{Zone: "z", SentAt: wall - age})
		}
		return attempts
	}
	sameZone := []Attempt{{Zone: "z", SentAt: time.Second}}
	otherZone := []Attempt{{Zone: "y", SentAt: time.Second}}
	answer := &Answer{Status: 200}
	for _, c := range []struct {
		name       string
		record     Record
		own        bool // this process wrote the record
		ownerAlive bool
		skew       time.Duration
		earlier    []Attempt
		want       Verdict
		wantAges   []time.Duration
	}{
		{"running", Record{Running: true}, false, true, time.Second, nil, Wait, nil},
		{"running, its process ended", Record{Running: true}, false, false, time.Second, nil, Fail, nil},
		{"running with an earlier attempt, its process ended", Record{Running: true, Attempts: sentAgo(time.Second)}, false, false, time.Second, sameZone, Fail, nil},
		{"answered", Record{Answer: answer}, false, false, 0, nil, Replay, nil},
		{"answered, too large", Record{}, false, false, 0, nil, AnswerNotStored, nil},
		{"answered here", Record{Answer: answer}, true, true, 0, sameZone, Replay, nil},
		{"uncertain", Record{Outcome: MayHaveRun, Attempts: sentAgo(2*time.Second, time.Second)}, false, false, time.Second, nil, Execute, []time.Duration{3 * time.Second, 2 * time.Second}},
		{"uncertain, one of two attempts known here", Record{Outcome: MayHaveRun, Attempts: sentAgo(2*time.Second, time.Second)}, false, false, time.Second, sameZone, Execute, []time.Duration{3 * time.Second, 2 * time.Second}},
		{"uncertain, clock skew unknown", Record{Outcome: MayHaveRun, Attempts: sentAgo(time.Second)}, false, false, 0, nil, Fail, nil},
		{"uncertain, one attempt too old", Record{Outcome: MayHaveRun, Attempts: sentAgo(time.Second, 5*time.Second)}, false, false, time.Second, nil, Fail, nil},
		{"uncertain, writer's clock ahead", Record{Outcome: MayHaveRun, Attempts: sentAgo(-time.Hour)}, false, false, time.Second, nil, Execute, []time.Duration{time.Second}},
		{"uncertain, attempts unknown", Record{Outcome: MayHaveRun, AttemptsUnknown: true, Attempts: sentAgo(time.Second)}, false, false, time.Second, nil, Fail, nil},
		{"uncertain, no attempts", Record{Outcome: MayHaveRun}, false, false, time.Second, nil, Fail, nil},
		{"uncertain here", Record{Outcome: MayHaveRun, Attempts: sentAgo(time.Second)}, true, true, 0, sameZone, Execute, []time.Duration{time.Second}},
		{"uncertain here, and elsewhere before", Record{Outcome: MayHaveRun, Attempts: sentAgo(time.Second)}, true, true, 0, otherZone, Fail, nil},
		{"uncertain here, more attempts than known", Record{Outcome: MayHaveRun, Attempts: sentAgo(time.Second, time.Second)}, true, true, 0, sameZone, Fail, nil},
		{"finished here, settlement pending", Record{Running: true}, true, true, 0, sameZone, Execute, []time.Duration{time.Second}},
		{"ran here, expired", Record{Running: true}, true, true, time.Second, nil, Fail, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := SharedRequest{ID: ID{"t", "c", "k"}, Fingerprint: Fingerprint{1}, Process: "p", EarlierAttempts: c.earlier, DedupWindow: 6 * time.Second, MaxClockSkew: c.skew}
			record := SharedRecord{Record: c.record, Owner: "o", Claim: ClaimName("pp", "1")}
			if record.ID, record.Fingerprint = request.ID, request.Fingerprint; c.own {
				record.Claim = ClaimName("p", "1")
			}
			d := request.Resolve(&record, c.ownerAlive, wall)
			var ages []time.Duration
			for _, attempt := range d.EarlierAttempts {
				ages = append(ages, attempt.SentAt)
			}
			if d.Verdict != c.want || !slices.Equal(ages, c.wantAges) || d.Verdict == Replay && d.Answer != answer {
				t.Errorf("Resolve returned %+v, which has not the verdict, answer or attempt ages of this case", d)
			}
			checkConflicts(t, request, record, c.ownerAlive, wall)
		})
	}
}

// checkConflicts checks that a request conflicts with a record that has another fingerprint, and with a record that has another key.
func checkConflicts(t *testing.T, request SharedRequest, record SharedRecord, ownerAlive bool, wall time.Duration) {
	t.Helper()
	otherFingerprint, otherKey := record, record
	otherFingerprint.Fingerprint[0]++
	otherKey.ID.Key = "other"
	for _, other := range []*SharedRecord{&otherFingerprint, &otherKey} {
		if d := request.Resolve(other, ownerAlive, wall); d.Verdict != Conflict {
			t.Errorf("Resolve with the record %+v of another request returned %+v, want Conflict", other, d)
		}
	}
}

// TestAdoptAttempts checks that adopted attempts replace the known attempts, and count as attempts that may have been executed.
func TestAdoptAttempts(t *testing.T) {
	s := New(testOptions(), testDedupWindow)
	id := ID{"t", "c", "k"}
	s.Arrive(0, id, Fingerprint{})
	before := s.Bytes()
	s.AdoptAttempts(id, []Attempt{{Zone: "a"}, {Zone: "a", SentAt: time.Second}})
	if s.Bytes() != before+2*attemptBytes {
		t.Errorf("Store takes %d bytes after adopting two attempts and %d before, want a difference of two attempts", s.Bytes(), before)
	}
	if outcome := s.Finish(2*time.Second, id, NotExecuted, nil); outcome != MayHaveRun {
		t.Errorf("request with adopted attempts finished as %v, want MayHaveRun", outcome)
	}
	if d := s.Arrive(3*time.Second, id, Fingerprint{}); d.Verdict != Execute || len(d.EarlierAttempts) != 2 {
		t.Errorf("decision on the repeated request: %+v, want Execute with the two adopted attempts", d)
	}
	s.AdoptAttempts(id, nil)
	if s.Bytes() != before || s.Finish(4*time.Second, id, NotExecuted, nil) != NotExecuted || s.Len() != 0 {
		t.Errorf("after adopting no attempts and finishing as NotExecuted: %d bytes, %d keys; want an empty Store", s.Bytes(), s.Len())
	}
}
