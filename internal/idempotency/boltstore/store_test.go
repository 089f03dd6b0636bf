package boltstore

import (
	"fmt"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/recordcodec"
)

// TestRecordsSurviveReopen checks that, after any sequence of Puts, a reopened file has all records except those that were deleted as
// expired.
func TestRecordsSurviveReopen(t *testing.T) {
	files := 0
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		files++
		path := filepath.Join(dir, fmt.Sprint(files))
		want := map[idempotency.ID]idempotency.Record{}
		var clock time.Duration
		for range rapid.IntRange(1, 3).Draw(t, "opens") {
			s, err := Open(t.Context(), path, boltfile.LockWait{Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			checkLoad(t, s, clock, want)
			for range rapid.IntRange(0, 4).Draw(t, "puts") {
				record := drawRecord(t)
				var expired []idempotency.ID
				for id := range want {
					if rapid.Bool().Draw(t, "expired") && id != record.ID {
						expired = append(expired, id)
						delete(want, id)
					}
				}
				clock = max(clock, time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "now")))
				if err := s.Put(&record, expired, clock); err != nil {
					t.Fatal(err)
				}
				want[record.ID] = record
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func checkLoad(t *rapid.T, s *Store, wantClock time.Duration, want map[idempotency.ID]idempotency.Record) {
	t.Helper()
	got, clock := map[idempotency.ID]idempotency.Record{}, wantClock
	err := s.Load(func(now time.Duration, r idempotency.Record) error { clock, got[r.ID] = now, r; return nil })
	if err != nil || clock != wantClock || !reflect.DeepEqual(got, want) {
		t.Fatalf("Load returned %v, passed the clock %v (want %v) and the records\n%+v\nwant\n%+v", err, clock, wantClock, got, want)
	}
}

func drawRecord(t *rapid.T) idempotency.Record {
	r := idempotency.Record{
		ID:              idempotency.ID{Tenant: rapid.String().Draw(t, "tenant"), Class: "c", Key: rapid.StringN(1, 10, -1).Draw(t, "key")},
		Running:         rapid.Bool().Draw(t, "running"),
		Outcome:         idempotency.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
		AttemptsUnknown: rapid.Bool().Draw(t, "attempts unknown"),
		UpdatedAt:       time.Duration(rapid.Int64().Draw(t, "updated at")),
	}
	copy(r.Fingerprint[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "fingerprint"))
	if rapid.Bool().Draw(t, "answer") {
		r.Answer = &idempotency.Answer{
			Status: rapid.IntRange(100, 999).Draw(t, "status"),
			Body:   rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "body"),
			Header: map[string][]string{"A": {"1", "2"}, "B": {""}},
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "attempts") {
		r.Attempts = append(r.Attempts, idempotency.Attempt{
			Zone:   rapid.String().Draw(t, "zone"),
			Cell:   rapid.Int().Draw(t, "cell"),
			SentAt: time.Duration(rapid.Int64().Draw(t, "sent at")),
		})
	}
	return r
}

// TestNoiseInPlaceOfRecord checks that decoding never panics, whatever bytes a corrupt file contains.
func TestNoiseInPlaceOfRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, _ = recordcodec.DecodeShared(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}
