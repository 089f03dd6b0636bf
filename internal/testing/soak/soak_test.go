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
	seeds    = flag.Int("seeds", 2, "how many seeds are played")
	start    = flag.Uint64("seed", 1, "the first seed")
	length   = flag.Duration("for", 25*time.Second, "how long each is played")
	reportTo = flag.String("report", "", "a directory for the script, the record and the findings of each seed that breaks a rule")
)

func TestMain(m *testing.M) { os.Exit(processes.Main(m)) }

// The soak: go test ./internal/testing/soak -run Soak -v -timeout 2h -parallel 4 -seeds 50 -report DIR. A seed fails if there are findings.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
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
			if len(record.Requests) == 0 || served(record)*2 < len(record.Requests) {
				t.Errorf("%d of %d requests were served", served(record), len(record.Requests))
			}
		})
	}
}

const maxFindings = 20

func served(r *Record) int {
	n := 0
	for _, q := range r.Requests {
		if q.Status == 200 {
			n++
		}
	}
	return n
}

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
