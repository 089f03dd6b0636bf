package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"orchiddrift/internal/testing/processes"
)

var (
	seeds    = flag.Int("seeds", 2, "number of seeds to run")
	start    = flag.Uint64("seed", 1, "first seed")
	length   = flag.Duration("for", 25*time.Second, "length of the script of each seed")
	reportTo = flag.String("report", "", "directory for the script, record and findings of each seed with a finding")
)

func TestMain(m *testing.M) { os.Exit(processes.Main(m)) }

// TestSoak runs the script of each seed and checks the record against the rules. A seed fails if it has findings, or if fewer than half of its
// requests were served. This command starts a longer run:
//
//	go test ./internal/testing/soak -run Soak -v -timeout 2h -parallel 4 -seeds 50 -report DIR
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the soak test takes a minute")
	}
	for seed := *start; seed < *start+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := Draw(seed, *length)
			record := Play(t, script)
			findings := CheckRules(record)
			t.Logf("seed %d: %d sidecars, %d steps, %d requests, %d attempts, %d answered 200, %d findings", seed, script.Sidecars, len(script.Steps),
				len(record.Requests), len(record.Attempts), served(record), len(findings))
			for i, f := range findings {
				if i < maxFindings {
					t.Errorf("%v", f)
				}
			}
			if len(findings) > 0 && *reportTo != "" {
				report(t, script, record, findings)
			}
			if awaited := awaited(record); awaited == 0 || served(record)*2 < awaited {
				t.Errorf("%d of %d requests whose clients stayed were served, want at least half", served(record), awaited)
			}
		})
	}
}

// maxFindings limits the findings that are printed for a seed.
const maxFindings = 20

// awaited returns the number of requests whose clients stayed.
func awaited(r *Record) int {
	n := 0
	for i := range r.Requests {
		if r.Requests[i].DisconnectedAt == 0 {
			n++
		}
	}
	return n
}

// served returns the number of requests that were answered with status 200.
func served(r *Record) int {
	n := 0
	for _, q := range r.Requests {
		if q.Status == 200 {
			n++
		}
	}
	return n
}

// report writes the script, record and findings of a seed to a JSON file.
func report(t *testing.T, script Script, record *Record, findings []Finding) {
	t.Helper()
	text, err := json.MarshalIndent(map[string]any{"script": script, "findings": findings, "record": record}, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(*reportTo, fmt.Sprintf("seed-%d.json", script.Seed)), text, 0o600)
	}
	if err != nil {
		t.Error(err)
	}
}
