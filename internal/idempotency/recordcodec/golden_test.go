package recordcodec

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/testing/golden"
)

// TestRecordsGolden checks that records for a file and for a shared store are encoded byte for byte as in the previous release, and that
// records written by the previous release can be decoded.
func TestRecordsGolden(t *testing.T) {
	id := idempotency.ID{Tenant: "agents", Class: "payment", Key: "k-1"}
	fingerprint := idempotency.Fingerprint{1, 2, 3, 15: 16}
	attempts := []idempotency.Attempt{{Zone: "dc1", Cell: 2, SentAt: 3 * time.Second}, {}}
	answer := &idempotency.Answer{Status: 201, Header: map[string][]string{"Content-Type": {"text/plain", "again"}}, Body: []byte("paid")}
	records := []struct {
		name   string
		record idempotency.Record
	}{
		{"running", idempotency.Record{ID: id, Fingerprint: fingerprint, Running: true, Attempts: attempts, UpdatedAt: time.Minute}},
		{"answered", idempotency.Record{ID: id, Fingerprint: fingerprint, Outcome: idempotency.Answered, Answer: answer, UpdatedAt: -time.Second}},
		{"too-large", idempotency.Record{ID: id, Fingerprint: fingerprint, Outcome: idempotency.Answered}},
		{"uncertain", idempotency.Record{ID: id, Fingerprint: fingerprint, Outcome: idempotency.MayHaveRun, Attempts: attempts, AttemptsUnknown: true, UpdatedAt: 1}},
	}
	var out strings.Builder
	for _, r := range records {
		fmt.Fprintf(&out, "%s %s\n", r.name, hex.EncodeToString(Encode(&r.record)))
		shared := idempotency.SharedRecord{Record: r.record, Owner: "694d", Claim: "694d/1"}
		fmt.Fprintf(&out, "%s-shared %s\n", r.name, hex.EncodeToString(EncodeShared(&shared)))
	}
	golden.Match(t, "records.txt", []byte(out.String()))
	lines := strings.Fields(string(golden.Read(t, "records.txt", []byte(out.String()))))
	for i, r := range records {
		plain, err := hex.DecodeString(lines[4*i+1])
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(plain, &idempotency.Record{})
		if err != nil || !reflect.DeepEqual(got, r.record) {
			t.Errorf("record %s is decoded as %+v with error %v, want %+v", r.name, got, err, r.record)
		}
		encoded, err := hex.DecodeString(lines[4*i+3])
		if err != nil {
			t.Fatal(err)
		}
		shared, err := DecodeShared(encoded)
		if want := (idempotency.SharedRecord{Record: r.record, Owner: "694d", Claim: "694d/1"}); err != nil || !reflect.DeepEqual(shared, want) {
			t.Errorf("shared record %s is decoded as %+v with error %v, want %+v", r.name, shared, err, want)
		}
	}
}
