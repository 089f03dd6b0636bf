package lease

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"orchiddrift/internal/testing/golden"
)

// jsonLines encodes values as JSON, one value per line.
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

// goldenLines checks that values are encoded as the golden file's lines, and that these lines are decoded to the values.
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
			t.Errorf("%s: line %d is decoded as %+v, want %+v", name, i+1, got, want[i])
		}
	}
}

// Guards against a change that earlier releases cannot read: requests are stored in the raft log, entries in its snapshots, and replies are sent
// between releases. Their encoding and the numbers of their kinds and statuses must stay the same.
func TestRecordsGolden(t *testing.T) {
	var requests []Request
	for _, kind := range []RequestKind{Acquire, Renew, Release, Transfer, Revoke, Expire, RemoveWaiter, WriteNote, ReadNote} {
		requests = append(requests, Request{Kind: kind, Name: "report", Client: "c1", Sequence: 2, SendNumber: 3, Token: 4, Duration: 5 * time.Second, Wait: true, To: "c2", Value: "text"})
	}
	goldenLines(t, "asks.jsonl", append(requests, Request{Kind: Acquire}))
	var replies []Reply
	for _, status := range []Status{Granted, Waiting, HeldByOther, TableFull, NotHeld, Done} {
		replies = append(replies, Reply{Status: status, Client: "c1", Name: "report", Sequence: 2, SendNumber: 3, Token: 4, Duration: 5 * time.Second, Position: 6, Holder: "c0", Value: "text"})
	}
	goldenLines(t, "replies.jsonl", append(replies, Reply{}))
	goldenLines(t, "entries.jsonl", []Entry{
		{Name: "report", Holder: "c1", Sequence: 2, Token: 4, Duration: 5 * time.Second, Revoked: true, TransferPending: true,
			Waiters: []Waiter{{Client: "c2", Sequence: 1, Duration: time.Second}, {Client: "c3"}}},
		{Name: "free"},
	})
}
