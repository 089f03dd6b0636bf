package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A process could not start again with the keys that it had written itself: attempts took a full store beyond its limits, and the load took
// that for limits that were lowered. No key may be lost by it either.
func TestOwnRecordsFitAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := testOptions()
		options.MaxKeys, options.MaxRunning, options.TenantFraction = 100, 100, 1
		store := New(options, testDedupWindow)
		now := time.Second
		var known []ID
		for n := 0; ; n++ {
			id := ID{Tenant: "t", Class: "c", Key: rapid.StringN(1, 40, 40).Draw(t, "key")}
			if store.Arrive(now, id, Fingerprint{}).Verdict != Execute {
				if n > 3 {
					break
				}
				continue
			}
			known = append(known, id)
		}
		for _, id := range known { // those that were under way when the store became full
			for range rapid.IntRange(0, 3).Draw(t, "attempts") {
				store.AttemptStarted(id, Attempt{Zone: "a", SentAt: now})
			}
			outcome := rapid.SampledFrom([]Outcome{Answered, MayHaveRun}).Draw(t, "outcome")
			store.Finish(now, id, outcome, &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 300).Draw(t, "body"))})
		}
		restarted := New(options, testDedupWindow)
		for _, id := range known {
			record, _ := store.Record(now, id)
			if err := restarted.Load(now, record); err != nil {
				t.Fatalf("loading key %v of %d: %v; %d bytes were held, %d are allowed", id, len(known), err, store.Bytes(), options.MaxBytes.Bytes())
			}
		}
		for _, id := range known {
			if verdict := restarted.Arrive(now, id, Fingerprint{}).Verdict; verdict == Execute {
				t.Fatalf("key %v is not known after the restart", id)
			}
		}
	})
}
