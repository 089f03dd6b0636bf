package membership

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// statusOf maps the names of states in the design note's table to statuses.
var statusOf = map[string]string{"up": ready, "starting": StatusStarting, "unknown": StatusUnknown, "draining": draining,
	"out of service": StatusOutOfService, "down": StatusDown, "gone": removed}

// stateTable reads the design note's table of the states of two sources. It returns the header and a row for each state.
func stateTable(t *testing.T) (columns []string, rows [][]string) {
	t.Helper()
	text, err := os.ReadFile("../../../docs/design/membership.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "## States of two sources")
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		row := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range row {
			row[i] = strings.TrimSpace(row[i])
		}
		switch {
		case !strings.HasPrefix(line, "|") || strings.HasPrefix(row[0], "---"):
		case columns == nil:
			columns = row
		default:
			rows = append(rows, row)
		}
	}
	return columns, rows
}

// mergedState merges the states of two sources and returns "none" (not listed), "ready" or "ends" (draining). If wasReady is set, each
// source first reports the upstream as up.
func mergedState(t *testing.T, sources [2]string, first, second string, wasReady bool) string {
	t.Helper()
	o := Default()
	o.MassRemovalHold = 0 // the removal of the only upstream would be a mass removal
	h := newHarness(t, o, "a", "b")
	states := []string{first, second}
	if first == "up" { // reported last, so that the upstream has not been ready before
		slices.Reverse(states)
	}
	for i, state := range states {
		if state == "absent" {
			continue
		}
		if wasReady || state == "gone" {
			h.change(sources[i], entry("n", 1, ready))
		}
		h.change(sources[i], entry("n", 1, statusOf[state]))
	}
	return map[string]string{"": "none", "n@1 " + ready: "ready", "n@1 " + draining: "ends"}[h.listText()]
}

// TestEveryPairOfStates checks that the merged state of each pair of states is the one in the design note's table, in either order of the
// sources, and whether or not the upstream was ready before.
func TestEveryPairOfStates(t *testing.T) {
	cells := 0
	columns, rows := stateTable(t)
	for _, row := range rows {
		for i, cell := range row[1:] {
			for _, wasReady := range []bool{true, false} {
				for _, sources := range [][2]string{{"a", "b"}, {"b", "a"}} {
					cells++
					want, isStarred := strings.CutSuffix(cell, "*")
					if isStarred && !wasReady {
						want = "none"
					}
					first, second := row[0], columns[i+1]
					if wasReady && first == "absent" && second == "absent" {
						continue
					}
					if got := mergedState(t, sources, first, second, wasReady); got != want {
						t.Errorf("states %s and %s, ready before: %v: merged to %s, want %s", first, second, wasReady, got, want)
					}
				}
			}
		}
	}
	if cells != 8*8*4 {
		t.Errorf("%d cells of the table were checked, want 8 rows of 8 columns, 4 times each", cells)
	}
}
