package daemon

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/golden"
)

// TestKeyPayloadsGolden checks the payloads of the messages about idempotency keys that the processes of a replacement exchange.
func TestKeyPayloadsGolden(t *testing.T) {
	var out strings.Builder
	for _, payload := range []any{
		keyQuery{Number: 7, Service: "web", Tenant: "t", Class: "record", Key: "k1", Fingerprint: idempotency.Fingerprint{1, 2}},
		keyReply{Number: 7, Verdict: idempotency.Replay, Answer: &idempotency.Answer{Status: 200, Header: map[string][]string{"A": {"b"}}, Body: []byte("paid")}},
		keyReply{Number: 8, Verdict: idempotency.Reject, RetryAfter: time.Second},
		keyRecord{Service: "web", Record: []byte("encoded by recordcodec")},
	} {
		text, err := json.Marshal(payload)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%T %s\n", payload, text)
	}
	golden.Match(t, "keys.txt", []byte(out.String()))
}

// TestIDPayloadsGolden checks the payloads of the messages about IDs that the processes of a replacement exchange.
func TestIDPayloadsGolden(t *testing.T) {
	var out strings.Builder
	for _, payload := range []any{
		idQuery{Number: 7, Service: "web", ID: "booking"},
		idReply{Number: 7, Known: true},
		idRecord{Service: "web", ID: "booking", Left: time.Second},
	} {
		text, err := json.Marshal(payload)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%T %s\n", payload, text)
	}
	golden.Match(t, "ids.txt", []byte(out.String()))
}
