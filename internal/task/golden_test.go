package task

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/testing/golden"
)

// A task's record must be encoded in the same way as by earlier releases, and records from earlier releases must be decoded. Otherwise a fleet that
// runs two releases at once could not read its own records.
func TestRecordGolden(t *testing.T) {
	due := time.Date(2026, 12, 3, 4, 30, 0, 0, time.UTC)
	var want []Record
	for _, phase := range []Phase{Begun, Ended, Lost, Skipped} {
		want = append(want, Record{Due: due, Phase: phase, Token: 12, By: "a", Attempts: 2, ExitCode: 3})
	}
	want = append(want, Record{Due: due, Phase: Begun})
	var out strings.Builder
	for _, r := range want {
		out.WriteString(r.Encode() + "\n")
	}
	golden.Match(t, "records.jsonl", []byte(out.String()))
	lines := strings.Split(strings.TrimSpace(string(golden.Read(t, "records.jsonl", []byte(out.String())))), "\n")
	for i, line := range lines {
		got, err := DecodeRecord(line)
		if err != nil || !reflect.DeepEqual(*got, want[i]) {
			t.Errorf("%s is decoded as %+v, error %v; want %+v", line, got, err, want[i])
		}
	}
}
