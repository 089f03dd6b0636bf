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

// What is put is what is loaded, at whatever open it is; what is taken out is gone; and no bytes in a record's place are believed or
// end the process.
func TestRecords(t *testing.T) {
	n := 0
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		n++
		path := filepath.Join(dir, fmt.Sprint(n))
		want := map[idempotency.ID]idempotency.Record{}
		var last time.Duration
		for range rapid.IntRange(1, 3).Draw(t, "opens") {
			l, err := Open(t.Context(), path, boltfile.LockWait{Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			got := map[idempotency.ID]idempotency.Record{}
			at := last
			err = l.Load(func(of time.Duration, r idempotency.Record) error { at, got[r.ID] = of, r; return nil })
			if err != nil || at != last || !reflect.DeepEqual(got, want) {
				t.Fatalf("%v, %v (%v):\n%+v\nwant\n%+v", err, at, last, got, want)
			}
			for range rapid.IntRange(0, 4).Draw(t, "puts") {
				r := idempotency.Record{ID: idempotency.ID{Tenant: rapid.String().Draw(t, "tenant"), Class: "c", Key: rapid.StringN(1, 10, -1).Draw(t, "key")},
					Running: rapid.Bool().Draw(t, "running"), Outcome: idempotency.Outcome(rapid.IntRange(0, 2).Draw(t, "kind")), AttemptsUnknown: rapid.Bool().Draw(t, "lost"), UpdatedAt: time.Duration(rapid.Int64().Draw(t, "at"))}
				copy(r.Fingerprint[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "print"))
				if rapid.Bool().Draw(t, "answer") {
					r.Answer = &idempotency.Answer{Status: rapid.IntRange(100, 999).Draw(t, "status"), Body: rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "body"),
						Header: map[string][]string{"A": {"1", "2"}, "B": {""}}}
				}
				for range rapid.IntRange(0, 2).Draw(t, "sends") {
					r.Attempts = append(r.Attempts, idempotency.Attempt{Zone: rapid.String().Draw(t, "zone"), Cell: rapid.Int().Draw(t, "cell"), SentAt: time.Duration(rapid.Int64().Draw(t, "sent"))})
				}
				var gone []idempotency.ID
				for id := range want {
					if rapid.Bool().Draw(t, "gone") && id != r.ID {
						gone = append(gone, id)
						delete(want, id)
					}
				}
				last = max(last, time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "now")))
				if err := l.Put(&r, gone, last); err != nil {
					t.Fatal(err)
				}
				want[r.ID] = r
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		_, _ = recordcodec.DecodeShared(rapid.SliceOf(rapid.Byte()).Draw(t, "noise")) // whatever it says, it says it
	})
}
