package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"orchiddrift/internal/simulation/fleetsim"
)

// Metric is one of a run's, for tables and comparisons.
type Metric struct {
	Name      string
	Direction int // 1: more is, -1: less is
	Value     func(r *fleetsim.Result) float64
	Digits    int
}

// Metrics are all, in the order of tables. Times are in milliseconds, shares are of what clients wanted.
var Metrics = []Metric{
	{"served", 1, func(r *fleetsim.Result) float64 { return fraction(r.OperationsServed, r.Operations) }, 4},
	{"p50", -1, func(r *fleetsim.Result) float64 { return milliseconds(r.P50) }, 1},
	{"p99", -1, func(r *fleetsim.Result) float64 { return milliseconds(r.P99) }, 1},
	{"worst p99", -1, func(r *fleetsim.Result) float64 { return milliseconds(maxP99(r.Points)) }, 1},
	{"sends", -1, func(r *fleetsim.Result) float64 { return fraction(r.Attempts, r.Operations) }, 3},
	{"refused", -1, func(r *fleetsim.Result) float64 { return fraction(r.Rejected, r.Operations) }, 4},
	{"failed", -1, func(r *fleetsim.Result) float64 { return fraction(r.Failed, r.Operations) }, 4},
	{"fell", -1, func(r *fleetsim.Result) float64 { return float64(r.NodesOverloaded) }, 0},
	{"not well", -1, func(r *fleetsim.Result) float64 { return DegradedTime(r.Points).Seconds() }, 1},
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fraction(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// maxP99 is the highest p99 of an interval.
func maxP99(points []fleetsim.Point) (most time.Duration) {
	for _, p := range points {
		most = max(most, p.P99)
	}
	return most
}

// healthyFraction is the part of what clients wanted that a fleet which is well serves.
const healthyFraction = 0.95

// DegradedTime is how much of the time less than healthyFraction of what was wanted was served: a fault's, and how long its effects outlasted it.
func DegradedTime(points []fleetsim.Point) (sum time.Duration) {
	for i := range points {
		p := &points[i]
		if i+1 < len(points) && fraction(p.OperationsServed, p.Operations) < healthyFraction {
			sum += points[i+1].At - p.At
		}
	}
	return sum
}

// Summary is what a policy's runs came to in one figure: the median over seeds, and the interval that holds it with 95% confidence, by
// the bootstrap (B. Efron, "Bootstrap Methods", 1979).
type Summary struct{ Median, Low, High float64 }

const (
	resamples  = 2000
	confidence = 0.95
)

func median(x []float64) float64 {
	sorted := slices.Sorted(slices.Values(x))
	if n := len(sorted); n%2 == 0 {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return sorted[len(sorted)/2]
}

// bootstrap is the interval of a figure of samples drawn anew. It draws the same each time.
func bootstrap(figure func(draw func([]float64) []float64) float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(1979, 95))
	draw := func(x []float64) []float64 {
		of := make([]float64, len(x))
		for i := range of {
			of[i] = x[rng.IntN(len(x))]
		}
		return of
	}
	all := make([]float64, resamples)
	for i := range all {
		all[i] = figure(draw)
	}
	slices.Sort(all)
	tail := (1 - confidence) / 2
	return all[int(tail*resamples)], all[int((1-tail)*resamples)-1]
}

// Summarize sums one figure up; there is at least one value.
func Summarize(x []float64) Summary {
	low, high := bootstrap(func(draw func([]float64) []float64) float64 { return median(draw(x)) })
	return Summary{median(x), low, high}
}

// metricValues are a policy's figures over its runs that ended.
func metricValues(lines []RunResult, policy string, f Metric) (x []float64) {
	for _, l := range lines {
		if l.Policy == policy && l.Result != nil && l.Error == "" {
			x = append(x, f.Value(l.Result))
		}
	}
	return x
}

// Failures are what no run may have: errors, and rules that were broken.
func Failures(lines []RunResult) (all []string) {
	for _, l := range lines {
		at := fmt.Sprintf("%s, seed %d: ", l.Policy, l.Seed)
		if l.Error != "" {
			all = append(all, at+l.Error)
		}
		if l.Result != nil && l.Result.Violations > 0 {
			all = append(all, fmt.Sprintf("%s%d times a rule was broken, as at %s", at, l.Result.Violations, l.Result.ViolationTexts[0]))
		}
	}
	return all
}

// Report writes a table: for each policy the medians over seeds, with their intervals. A star is at the best of a figure, and at those whose
// intervals reach it.
func Report(out io.Writer, head Header, lines []RunResult) error {
	fmt.Fprintf(out, "%s (%d of %d runs)\n", head.Experiment, len(lines), len(head.Policies)*head.Seeds)
	if head.Question != "" {
		fmt.Fprintln(out, head.Question)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "policy")
	for _, f := range Metrics {
		fmt.Fprint(w, "\t", f.Name)
	}
	fmt.Fprintln(w, "\t")
	sums := map[string][]Summary{}
	for _, policy := range head.Policies {
		for _, f := range Metrics {
			if x := metricValues(lines, policy, f); len(x) > 0 {
				sums[policy] = append(sums[policy], Summarize(x))
			}
		}
	}
	for _, policy := range head.Policies {
		fmt.Fprint(w, policy)
		for i, s := range sums[policy] {
			f := Metrics[i]
			star := "*"
			for _, other := range sums {
				if f.Direction > 0 && other[i].Low > s.High || f.Direction < 0 && other[i].High < s.Low {
					star = " "
				}
			}
			fmt.Fprintf(w, "\t%.*f (%.*f-%.*f)%s", f.Digits, s.Median, f.Digits, s.Low, f.Digits, s.High, star)
		}
		fmt.Fprintln(w, "\t")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out, "median over seeds (95% interval); * no other is better beyond chance. Times in ms; sends, refused, failed an operation that clients wanted;")
	_, err := fmt.Fprintf(out, "not well: seconds in which under %.0f%% of these were served; fell: nodes pushed over\n", 100*healthyFraction)
	for _, t := range Failures(lines) {
		_, err = fmt.Fprintln(out, "TROUBLE:", t)
	}
	return err
}

// Difference is a figure of a policy in two files that differs beyond chance: the interval of the difference of medians is above or
// below 0.
type Difference struct {
	Policy, Metric string
	Before, After  float64
	Low, High      float64 // of After - Before
	Regression     float64 // by which part of Before it is worse; below 0: better
}

// Compare finds what differs between two files of one experiment's results.
func Compare(before, after []RunResult, policies []string) (all []Difference) {
	for _, policy := range policies {
		for _, f := range Metrics {
			a, b := metricValues(before, policy, f), metricValues(after, policy, f)
			if len(a) == 0 || len(b) == 0 {
				continue
			}
			low, high := bootstrap(func(draw func([]float64) []float64) float64 { return median(draw(b)) - median(draw(a)) })
			if low <= 0 && high >= 0 {
				continue
			}
			d := Difference{Policy: policy, Metric: f.Name, Before: median(a), After: median(b), Low: low, High: high}
			d.Regression = float64(-f.Direction) * (d.After - d.Before) / max(d.Before, 1e-9)
			all = append(all, d)
		}
	}
	return all
}
