package metrics

import (
	"testing"

	"orchiddrift/internal/testing/golden"
)

// TestTextGolden checks the names of all metrics, which operators' programs depend on.
func TestTextGolden(t *testing.T) {
	reading := Reading{Classes: []ClassReading{{Class: "booking", Started: 6, Finished: [outcomesEnd]int64{Completed: 1, Rejected: 2, Failed: 3}}, {Class: "search"}},
		Pending: 4, AttemptsSent: 5, Reloads: 6, ReloadsFailed: 7, Members: 8, Unavailable: 9, ListAge: 10, Overdue: 11, ListCalls: 12, ListCallsFailed: 13}
	withoutLists := reading
	withoutLists.ListAge = -1
	golden.Match(t, "figures.txt", []byte(reading.Text()+"\n"+withoutLists.Text()))
}
