package httpheader

import "testing"

func TestParseStatusesRejectsUnusable(t *testing.T) {
	for _, words := range [][]string{{"1xx"}, {"6xx"}, {"abc"}, {"100"}, {"429"}, {"503"}, {"-1"}} {
		if _, err := ParseStatuses(words); err == nil {
			t.Errorf("ParseStatuses accepts %q, want an error", words)
		}
	}
}
