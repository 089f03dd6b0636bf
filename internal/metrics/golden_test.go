package metrics

import (
	"testing"

	"orchiddrift/internal/testing/golden"
)

// The operators' programs read the figures by name.
func TestTextGolden(t *testing.T) {
	f := Reading{Classes: []ClassReading{{Class: "booking", Taken: 6, Ended: [ends]int64{Completed: 1, Rejected: 2, Failed: 3}}, {Class: "search"}},
		Pending: 4, Sent: 5, Reloads: 6, ReloadsFailed: 7, Members: 8, Unavailable: 9, ListAge: 10, Overdue: 11, ListCalls: 12, ListCallsFailed: 13}
	without := f
	without.ListAge = -1
	golden.Match(t, "figures.txt", []byte(f.Text()+"\n"+without.Text()))
}
