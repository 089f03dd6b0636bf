package experiment

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"orchiddrift/internal/simulation/fleetsim"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const smallExperiment = `name = "small"
length = "8s"
seeds = 2
policies = ["ours", "random", "prequal"]
[fleet]
nodes = 12
sidecars = 4
zones = 3
`

func parse(t *testing.T, text string) *Experiment {
	t.Helper()
	e, err := Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func runExperiment(t *testing.T, e *Experiment, runner Runner, path string) []RunResult {
	t.Helper()
	if err := runner.Run(t.Context(), e, path); err != nil {
		t.Fatal(err)
	}
	_, results, err := Read(path)
	if err != nil || len(results) != len(e.PolicyNames())*e.Seeds {
		t.Fatalf("results file has %d runs (error %v), want one for each policy and seed", len(results), err)
	}
	return results
}

// TestResultsAreEqualToTheByte guards against results that depend on the order in which workers finish, or on an interruption. Three
// runs have to give byte-identical files: with one worker, with four workers, and with an interruption in the middle of a line and a
// resumption. Results of another experiment or version must not be appended to.
func TestResultsAreEqualToTheByte(t *testing.T) {
	e := parse(t, smallExperiment+"[[fault]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"3s\"\npart = 0.5\n[[fault]]\nkind = \"cut\"\nat = \"5s\"\nfor = \"1s\"\nzone = 1\n")
	dir := t.TempDir()
	oneWorker, fourWorkers, resumed := filepath.Join(dir, "1"), filepath.Join(dir, "4"), filepath.Join(dir, "parts")
	runExperiment(t, e, Runner{Workers: 1}, oneWorker)
	runExperiment(t, e, Runner{Workers: 4}, fourWorkers)
	want, err := os.ReadFile(oneWorker)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	err = Runner{Workers: 2, OnResult: func(done, _ int, _ RunResult) {
		if done == 2 {
			cancel()
		}
	}}.Run(ctx, e, resumed)
	if err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	partial, err := os.ReadFile(resumed)
	if err != nil || len(partial) == len(want) {
		t.Fatalf("the interrupted run wrote a complete results file, or no results file: %v", err)
	}
	if err := os.WriteFile(resumed, partial[:len(partial)-30], 0o600); err != nil { // cuts the file in the middle of a line
		t.Fatal(err)
	}
	runExperiment(t, e, Runner{Workers: 2}, resumed)
	for _, path := range []string{fourWorkers, resumed} {
		if got, err := os.ReadFile(path); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s differs from the results of one worker: read error %v, got %d bytes, want %d", path, err, len(got), len(want))
		}
	}
	if err := (Runner{}).Run(t.Context(), parse(t, smallExperiment), oneWorker); !errors.Is(err, ErrMismatch) {
		t.Errorf("running another experiment with the same results file: got error %v, want ErrMismatch", err)
	}
	if err := (Runner{Version: "2"}).Run(t.Context(), e, oneWorker); !errors.Is(err, ErrMismatch) {
		t.Errorf("running another version with the same results file: got error %v, want ErrMismatch", err)
	}
}

// faultyPolicy wraps another policy. Its behavior is to panic, to hang, or to pick from all nodes that were ever listed.
type faultyPolicy struct {
	fleetsim.Policy
	behavior   string
	rng        *rand.Rand
	everListed []string
	unblock    chan struct{}
}

func (p *faultyPolicy) SetUpstreams(names []string) {
	p.Policy.SetUpstreams(names)
	for _, n := range names {
		if len(p.everListed) < 1000 {
			p.everListed = append(p.everListed, n)
		}
	}
}

func (p *faultyPolicy) Pick(now time.Duration) string {
	switch p.behavior {
	case "panics":
		panic("no such node")
	case "hangs":
		<-p.unblock
	case "strays":
		return p.everListed[p.rng.IntN(len(p.everListed))]
	}
	return p.Policy.Pick(now)
}

// TestFailuresNameMisbehavingPolicies checks that a policy that panics, hangs or sends to draining nodes is reported, and that other
// policies still run.
func TestFailuresNameMisbehavingPolicies(t *testing.T) {
	release, newRandom := make(chan struct{}), fleetsim.Policies["random"]
	for _, misbehavior := range []string{"panics", "hangs", "strays"} {
		fleetsim.Policies[misbehavior] = func(rng *rand.Rand) fleetsim.Policy {
			return &faultyPolicy{Policy: newRandom(rng), behavior: misbehavior, rng: rng, unblock: release}
		}
		defer delete(fleetsim.Policies, misbehavior)
	}
	text := strings.Replace(smallExperiment, `"ours", "random", "prequal"`, `"panics", "hangs", "strays", "ours"`, 1)
	e := parse(t, strings.Replace(text, "seeds = 2", "seeds = 1", 1)+"[[fault]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"3s\"\npart = 0.5\n")
	results := runExperiment(t, e, Runner{Workers: 4, Timeout: time.Second}, filepath.Join(t.TempDir(), "r"))
	close(release)
	got := strings.Join(Failures(results), "\n")
	for _, want := range []string{"panics, seed 1: it panicked: no such node", "hangs, seed 1: it did not end within 1s", "strays, seed 1: ", "after it was told to be leaving"} {
		if !strings.Contains(got, want) {
			t.Errorf("the failures do not mention %q:\n%s", want, got)
		}
	}
	if strings.Contains(got, "ours") || results[3].Result == nil || results[3].Result.OperationsServed == 0 {
		t.Errorf("the policy ours failed, or served nothing beside the faulty policies: %s", got)
	}
	var out strings.Builder
	if err := Report(&out, Header{Experiment: "x", Policies: e.PolicyNames(), Seeds: 1}, results); err != nil || strings.Count(out.String(), "TROUBLE") != 3 {
		t.Errorf("the report does not list 3 failures (error %v):\n%s", err, out.String())
	}
}

// TestEachFaultLowersServedOperations guards against faults without an effect. Each kind of fault has to lower the number of operations
// that a random policy serves, without breaking an invariant. The balancer has to serve most operations during a deployment, and
// clients' retries have to add requests.
func TestEachFaultLowersServedOperations(t *testing.T) {
	play := func(policy, fault string) *fleetsim.Result {
		t.Helper()
		text := strings.Replace(smallExperiment, `["ours", "random", "prequal"]`, `["`+policy+`"]`, 1) + fault
		results := runExperiment(t, parse(t, strings.Replace(text, "seeds = 2", "seeds = 1", 1)), Runner{}, filepath.Join(t.TempDir(), "r"))
		if failures := Failures(results); len(failures) > 0 {
			t.Errorf("policy %s with fault %q: unexpected failures %v", policy, fault, failures)
		}
		return results[0].Result
	}
	unserved := func(result *fleetsim.Result) int { return result.Operations - result.OperationsServed }
	withoutFault := play("random", "")
	for kind, minDrop := range map[string]float64{"slow": 0.01, "freeze": 0.02, "errors": 0.01, "turn away": 0.005, "crash": 0.005, "cut": 0.02} {
		result := play("random", "[[fault]]\nkind = \""+kind+"\"\nat = \"2s\"\nfor = \"4s\"\npart = 0.34\nfactor = 20.0\n")
		if float64(unserved(result)-unserved(withoutFault)) < minDrop*float64(result.Operations) {
			t.Errorf("fault %s has too little effect: %d of %d operations were not served, and %d were not served without a fault", kind, unserved(result), result.Operations, unserved(withoutFault))
		}
	}
	if result := play("ours", "[[fault]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"4s\"\npart = 0.25\n"); fraction(result.OperationsServed, result.Operations) < 0.97 || result.NodesOverloaded > 0 {
		t.Errorf("deploy: %d of %d operations were served and %d nodes were overloaded; want at least 0.97 of the operations and no overloaded node", result.OperationsServed, result.Operations, result.NodesOverloaded)
	}
	overload := "[[load.step]]\nat = \"2s\"\nbusy = 3.0\n[[load.step]]\nat = \"4s\"\nbusy = 0.2\n"
	withoutRetries, withRetries := play("ours", overload), play("ours", overload+"[clients]\ntries = 3\n")
	if withoutRetries.Requests != withoutRetries.Operations || withRetries.Requests <= withRetries.Operations || withRetries.Operations < 3*withoutFault.Operations/2 {
		t.Errorf("overload: %d requests for %d operations without retries, %d for %d with retries, and %d operations at normal load; want more requests with retries", withoutRetries.Requests, withoutRetries.Operations, withRetries.Requests, withRetries.Operations, withoutFault.Operations)
	}
}

// TestLibraryExperimentsHaveNoFailures checks that the balancer runs every experiment in lab/ without a failure.
func TestLibraryExperimentsHaveNoFailures(t *testing.T) {
	files, err := filepath.Glob("../../../lab/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("found %d experiment files (error %v), want at least 10", len(files), err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			e, err := LoadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			e.Policies, e.Seeds = []string{BalancerPolicy}, 1
			results := runExperiment(t, e, Runner{}, filepath.Join(t.TempDir(), "r"))
			if failures := Failures(results); len(failures) > 0 || results[0].Result.OperationsServed == 0 {
				t.Errorf("the run failed or served no operation: %v", failures)
			}
		})
	}
}

// TestParseRejectsInvalidFiles checks that each invalid experiment file gives an error that names the problem, and that reading a file
// without results fails.
func TestParseRejectsInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"length = \"1s\"\n":                                                          "name",
		smallExperiment + "[[fault]]\nat = \"1s\"\n":                                 "kind",
		smallExperiment + "[[fault]]\nkind = \"earthquake\"":                         "kind",
		smallExperiment + "[[fault]]\nkind = \"cut\"\nzone = 3\n":                    "there is no zone 3",
		smallExperiment + "[load]\nbusy = -1.0\n":                                    "busy",
		smallExperiment + "[load]\nbusy = 1e9\n":                                     "busy",
		smallExperiment + "[[load.step]]\nat = \"2s\"\n[[load.step]]\nat = \"1s\"\n": "before the one before",
		smallExperiment + "[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n":       "names no class of its own",
		smallExperiment + "[[class]]\nname = \"a\"\ndeadline = \"1ms\"\n":            "before aim",
		strings.Replace(smallExperiment, "random", "best", 1):                        "no policy \"best\"",
		strings.Replace(smallExperiment, "random", "ours", 1):                        "twice",
		strings.Replace(smallExperiment, "nodes = 12", "nodes = 100000", 1):          "nodes",
		strings.Replace(smallExperiment, "8s", "100000h", 1):                         "requests",
		strings.Replace(smallExperiment, "8s", "1ns", 1):                             "need some time",
		smallExperiment + "[clients]\nwait = \"-1s\"\n":                              "not a duration",
	} {
		if _, err := Parse("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse of %q: got error %v, want an error that names the problem", text, err)
		}
	}
	path := filepath.Join(t.TempDir(), "r")
	for _, text := range []string{"", "{}\n", "noise", "{\"experiment\":\"x\"}\nnoise"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(path); err == nil {
			t.Errorf("Read accepted %q, which holds no results", text)
		}
	}
}

// TestCompareFindsDifferencesBeyondChance checks that Compare reports only statistically significant differences, with their direction.
// It also checks the values that Summarize and DegradedTime compute.
func TestCompareFindsDifferencesBeyondChance(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	resultsWith := func(p99, spread float64) (all []RunResult) {
		for seed := range 10 {
			ms := p99 + spread*rng.NormFloat64()
			all = append(all, RunResult{Policy: BalancerPolicy, Seed: seed + 1, Result: &fleetsim.Result{Operations: 100, OperationsServed: 99, P99: time.Duration(ms * 1e6)}})
		}
		return all
	}
	for _, c := range []struct{ before, after, spread, worse float64 }{{200, 200, 10, 0}, {200, 201, 10, 0}, {200, 250, 10, 0.25}, {200, 150, 10, -0.25}} {
		all := Compare(resultsWith(c.before, c.spread), resultsWith(c.after, c.spread), []string{BalancerPolicy})
		if c.worse == 0 && len(all) > 0 || c.worse != 0 && (len(all) != 1 || all[0].Metric != "p99" || all[0].Regression < c.worse-0.1 || all[0].Regression > c.worse+0.1) {
			t.Errorf("p99 medians %+v: Compare returned the unexpected differences %+v", c, all)
		}
	}
	if summary := Summarize([]float64{1, 2, 3, 4, 100}); summary.Median != 3 || summary.Low < 1 || summary.Low > 3 || summary.High < 3 || summary.High > 100 {
		t.Errorf("unexpected summary of the values 1, 2, 3, 4, 100: %+v", summary)
	}
	points := []fleetsim.Point{{At: 0, Operations: 10, OperationsServed: 10}, {At: time.Second, Operations: 10, OperationsServed: 9}, {At: 2 * time.Second, Operations: 10, OperationsServed: 8},
		{At: 3 * time.Second, Operations: 10, OperationsServed: 10}, {At: 4 * time.Second}}
	if d := DegradedTime(points); d != 2*time.Second {
		t.Errorf("degraded time is %v, want 2s", d)
	}
}
