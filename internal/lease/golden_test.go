package lease

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/testing/golden"
)

// jsonLines writes values as JSON, a line each.
func jsonLines[T any](t *testing.T, values []T) []byte {
	t.Helper()
	var out bytes.Buffer
	for _, value := range values {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(text, '\n'))
	}
	return out.Bytes()
}

// goldenLines holds values to a file of JSON lines, in both directions.
func goldenLines[T any](t *testing.T, name string, want []T) {
	t.Helper()
	text := jsonLines(t, want)
	golden.Match(t, name, text)
	in := json.NewDecoder(bytes.NewReader(golden.Read(t, name, text)))
	for i := range want {
		var got T
		if err := in.Decode(&got); err != nil {
			t.Fatalf("%s: line %d: %v", name, i+1, err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%s: line %d is read as %+v, want %+v", name, i+1, got, want[i])
		}
	}
}

// Asks stand in the group's log, entries in its snapshots, and replies go between releases: they are read and written byte for byte as the
// release before did, their kinds by the same numbers.
func TestRecordsGolden(t *testing.T) {
	var asks []Request
	for _, kind := range []RequestKind{Acquire, Renew, Release, Transfer, Revoke, Expire, RemoveWaiter, WriteNote, ReadNote} {
		asks = append(asks, Request{Kind: kind, Name: "report", Client: "c1", Sequence: 2, SendNumber: 3, Token: 4, Duration: 5 * time.Second, Wait: true, To: "c2", Value: "text"})
	}
	goldenLines(t, "asks.jsonl", append(asks, Request{Kind: Acquire}))
	var replies []Reply
	for _, verdict := range []Status{Granted, Waiting, HeldByOther, TableFull, NotHeld, Done} {
		replies = append(replies, Reply{Status: verdict, Client: "c1", Name: "report", Sequence: 2, SendNumber: 3, Token: 4, Duration: 5 * time.Second, Position: 6, Holder: "c0", Value: "text"})
	}
	goldenLines(t, "replies.jsonl", append(replies, Reply{}))
	goldenLines(t, "entries.jsonl", []Entry{
		{Name: "report", Holder: "c1", Sequence: 2, Token: 4, Duration: 5 * time.Second, Revoked: true, TransferPending: true,
			Waiters: []Waiter{{Client: "c2", Sequence: 1, Duration: time.Second}, {Client: "c3"}}},
		{Name: "free"},
	})
}
