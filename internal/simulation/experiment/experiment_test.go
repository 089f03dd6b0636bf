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

const small = `name = "small"
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

func runs(t *testing.T, e *Experiment, n Runner, path string) []RunResult {
	t.Helper()
	if err := n.Run(t.Context(), e, path); err != nil {
		t.Fatal(err)
	}
	_, lines, err := Read(path)
	if err != nil || len(lines) != len(e.PolicyNames())*e.Seeds {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	return lines
}

// TestResultsAreEqualToTheByte plays one experiment with one worker, with four, and interrupted and resumed: the files are equal. Results
// of another experiment or version are not appended to.
func TestResultsAreEqualToTheByte(t *testing.T) {
	e := parse(t, small+"[[fault]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"3s\"\npart = 0.5\n[[fault]]\nkind = \"cut\"\nat = \"5s\"\nfor = \"1s\"\nzone = 1\n")
	dir := t.TempDir()
	one, four, parts := filepath.Join(dir, "1"), filepath.Join(dir, "4"), filepath.Join(dir, "parts")
	runs(t, e, Runner{Workers: 1}, one)
	runs(t, e, Runner{Workers: 4}, four)
	want, err := os.ReadFile(one)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	err = Runner{Workers: 2, OnResult: func(done, _ int, _ RunResult) {
		if done == 2 {
			stop()
		}
	}}.Run(ctx, e, parts)
	if err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	cut, err := os.ReadFile(parts)
	if err != nil || len(cut) == len(want) {
		t.Fatalf("it was not stopped: %v", err)
	}
	if err := os.WriteFile(parts, cut[:len(cut)-30], 0o600); err != nil { // in the middle of a line
		t.Fatal(err)
	}
	runs(t, e, Runner{Workers: 2}, parts)
	for _, path := range []string{four, parts} {
		if got, err := os.ReadFile(path); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %v, %d bytes, %d with one core", path, err, len(got), len(want))
		}
	}
	if err := (Runner{}).Run(t.Context(), parse(t, small), one); !errors.Is(err, ErrMismatch) {
		t.Errorf("another experiment: %v", err)
	}
	if err := (Runner{Version: "2"}).Run(t.Context(), e, one); !errors.Is(err, ErrMismatch) {
		t.Errorf("another version: %v", err)
	}
}

// faultyPolicy chooses at random, but panics, hangs, or picks from all nodes that were ever listed.
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

// TestFailuresNameMisbehavingPolicies checks that a policy that panics, hangs or sends to draining nodes is reported while the others go on.
func TestFailuresNameMisbehavingPolicies(t *testing.T) {
	free, random := make(chan struct{}), fleetsim.Policies["random"]
	for _, how := range []string{"panics", "hangs", "strays"} {
		fleetsim.Policies[how] = func(rng *rand.Rand) fleetsim.Policy {
			return &faultyPolicy{Policy: random(rng), behavior: how, rng: rng, unblock: free}
		}
		defer delete(fleetsim.Policies, how)
	}
	text := strings.Replace(small, `"ours", "random", "prequal"`, `"panics", "hangs", "strays", "ours"`, 1)
	e := parse(t, strings.Replace(text, "seeds = 2", "seeds = 1", 1)+"[[fault]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"3s\"\npart = 0.5\n")
	lines := runs(t, e, Runner{Workers: 4, Timeout: time.Second}, filepath.Join(t.TempDir(), "r"))
	close(free)
	got := strings.Join(Failures(lines), "\n")
	for _, want := range []string{"panics, seed 1: it panicked: no such node", "hangs, seed 1: it did not end within 1s", "strays, seed 1: ", "after it was told to be leaving"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is not told of:\n%s", want, got)
		}
	}
	if strings.Contains(got, "ours") || lines[3].Result == nil || lines[3].Result.OperationsServed == 0 {
		t.Errorf("ours did not go on: %s", got)
	}
	var out strings.Builder
	if err := Report(&out, Header{Experiment: "x", Policies: e.PolicyNames(), Seeds: 1}, lines); err != nil || strings.Count(out.String(), "TROUBLE") != 3 {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// TestEachFaultLowersServedOperations checks that each kind of fault lowers what a random policy serves, without a violation.
func TestEachFaultLowersServedOperations(t *testing.T) {
	play := func(policy, fault string) *fleetsim.Result {
		t.Helper()
		text := strings.Replace(small, `["ours", "random", "prequal"]`, `["`+policy+`"]`, 1) + fault
		lines := runs(t, parse(t, strings.Replace(text, "seeds = 2", "seeds = 1", 1)), Runner{}, filepath.Join(t.TempDir(), "r"))
		if trouble := Failures(lines); len(trouble) > 0 {
			t.Errorf("%s, %q: %v", policy, fault, trouble)
		}
		return lines[0].Result
	}
	hurt := func(r *fleetsim.Result) int { return r.Operations - r.OperationsServed }
	calm := play("random", "")
	for kind, least := range map[string]float64{"slow": 0.01, "freeze": 0.02, "errors": 0.01, "turn away": 0.005, "crash": 0.005, "cut": 0.02} {
		r := play("random", "[[fault]]\nkind = \""+kind+"\"\nat = \"2s\"\nfor = \"4s\"\npart = 0.34\nfactor = 20.0\n")
		if float64(hurt(r)-hurt(calm)) < least*float64(r.Operations) {
			t.Errorf("%s: %d of %d are not served, %d without a fault", kind, hurt(r), r.Operations, hurt(calm))
		}
	}
	if r := play("ours", "[[fault]]\nkind = \"deploy\"\nat = \"1s\"\nfor = \"4s\"\npart = 0.25\n"); fraction(r.OperationsServed, r.Operations) < 0.97 || r.NodesOverloaded > 0 {
		t.Errorf("a deploy: %d of %d, %d fell", r.OperationsServed, r.Operations, r.NodesOverloaded)
	}
	over := "[[load.step]]\nat = \"2s\"\nbusy = 3.0\n[[load.step]]\nat = \"4s\"\nbusy = 0.2\n"
	once, again := play("ours", over), play("ours", over+"[clients]\ntries = 3\n")
	if once.Requests != once.Operations || again.Requests <= again.Operations || again.Operations < 3*calm.Operations/2 {
		t.Errorf("%d requests of %d; with tries %d of %d; %d in calm", once.Requests, once.Operations, again.Requests, again.Operations, calm.Operations)
	}
}

// TestLibraryExperimentsHaveNoFailures plays every experiment of the library with the balancer.
func TestLibraryExperimentsHaveNoFailures(t *testing.T) {
	files, err := filepath.Glob("../../../lab/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			e, err := LoadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			e.Policies, e.Seeds = []string{BalancerPolicy}, 1
			lines := runs(t, e, Runner{}, filepath.Join(t.TempDir(), "r"))
			if trouble := Failures(lines); len(trouble) > 0 || lines[0].Result.OperationsServed == 0 {
				t.Errorf("%v", trouble)
			}
		})
	}
}

// TestParseRejectsInvalidFiles checks that each invalid file, and each file that holds no results, gives an error that names the problem.
func TestParseRejectsInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"length = \"1s\"\n":                                                "name",
		small + "[[fault]]\nat = \"1s\"\n":                                 "kind",
		small + "[[fault]]\nkind = \"earthquake\"":                         "kind",
		small + "[[fault]]\nkind = \"cut\"\nzone = 3\n":                    "there is no zone 3",
		small + "[load]\nbusy = -1.0\n":                                    "busy",
		small + "[load]\nbusy = 1e9\n":                                     "busy",
		small + "[[load.step]]\nat = \"2s\"\n[[load.step]]\nat = \"1s\"\n": "before the one before",
		small + "[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n":       "names no class of its own",
		small + "[[class]]\nname = \"a\"\ndeadline = \"1ms\"\n":            "before aim",
		strings.Replace(small, "random", "best", 1):                        "no policy \"best\"",
		strings.Replace(small, "random", "ours", 1):                        "twice",
		strings.Replace(small, "nodes = 12", "nodes = 100000", 1):          "nodes",
		strings.Replace(small, "8s", "100000h", 1):                         "requests",
		strings.Replace(small, "8s", "1ns", 1):                             "need some time",
		small + "[clients]\nwait = \"-1s\"\n":                              "not a duration",
	} {
		if _, err := Parse("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	path := filepath.Join(t.TempDir(), "r")
	for _, text := range []string{"", "{}\n", "noise", "{\"experiment\":\"x\"}\nnoise"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Read(path); err == nil {
			t.Errorf("%q is read", text)
		}
	}
}

// TestCompareFindsDifferencesBeyondChance checks that Compare reports differences beyond chance only, with their direction.
func TestCompareFindsDifferencesBeyondChance(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	lines := func(p99, spread float64) (all []RunResult) {
		for seed := range 10 {
			ms := p99 + spread*rng.NormFloat64()
			all = append(all, RunResult{Policy: BalancerPolicy, Seed: seed + 1, Result: &fleetsim.Result{Operations: 100, OperationsServed: 99, P99: time.Duration(ms * 1e6)}})
		}
		return all
	}
	for _, c := range []struct{ before, after, spread, worse float64 }{{200, 200, 10, 0}, {200, 201, 10, 0}, {200, 250, 10, 0.25}, {200, 150, 10, -0.25}} {
		all := Compare(lines(c.before, c.spread), lines(c.after, c.spread), []string{BalancerPolicy})
		if c.worse == 0 && len(all) > 0 || c.worse != 0 && (len(all) != 1 || all[0].Metric != "p99" || all[0].Regression < c.worse-0.1 || all[0].Regression > c.worse+0.1) {
			t.Errorf("%+v: %+v", c, all)
		}
	}
	if s := Summarize([]float64{1, 2, 3, 4, 100}); s.Median != 3 || s.Low < 1 || s.Low > 3 || s.High < 3 || s.High > 100 {
		t.Errorf("%+v", s)
	}
	points := []fleetsim.Point{{At: 0, Operations: 10, OperationsServed: 10}, {At: time.Second, Operations: 10, OperationsServed: 9}, {At: 2 * time.Second, Operations: 10, OperationsServed: 8},
		{At: 3 * time.Second, Operations: 10, OperationsServed: 10}, {At: 4 * time.Second}}
	if d := DegradedTime(points); d != 2*time.Second {
		t.Errorf("not well for %v", d)
	}
}
