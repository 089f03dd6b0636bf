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

// Figure is one of a run's, for tables and comparisons.
type Figure struct {
	Name   string
	Better int // 1: more is, -1: less is
	Of     func(r *fleetsim.Result) float64
	Digits int
}

// Figures are all, in the order of tables. Times are in milliseconds, shares are of what clients wanted.
var Figures = []Figure{
	{"served", 1, func(r *fleetsim.Result) float64 { return part(r.OperationsServed, r.Operations) }, 4},
	{"p50", -1, func(r *fleetsim.Result) float64 { return ms(r.P50) }, 1},
	{"p99", -1, func(r *fleetsim.Result) float64 { return ms(r.P99) }, 1},
	{"worst p99", -1, func(r *fleetsim.Result) float64 { return ms(worst(r.Points)) }, 1},
	{"sends", -1, func(r *fleetsim.Result) float64 { return part(r.Attempts, r.Operations) }, 3},
	{"refused", -1, func(r *fleetsim.Result) float64 { return part(r.Rejected, r.Operations) }, 4},
	{"failed", -1, func(r *fleetsim.Result) float64 { return part(r.Failed, r.Operations) }, 4},
	{"fell", -1, func(r *fleetsim.Result) float64 { return float64(r.NodesOverloaded) }, 0},
	{"not well", -1, func(r *fleetsim.Result) float64 { return NotWell(r.Points).Seconds() }, 1},
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// worst is the highest p99 of an interval.
func worst(points []fleetsim.Point) (most time.Duration) {
	for _, p := range points {
		most = max(most, p.P99)
	}
	return most
}

// wellAt is the part of what clients wanted that a fleet which is well serves.
const wellAt = 0.95

// NotWell is how much of the time less than wellAt of what was wanted was served: a fault's, and how long its effects outlasted it.
func NotWell(points []fleetsim.Point) (sum time.Duration) {
	for i := range points {
		p := &points[i]
		if i+1 < len(points) && part(p.OperationsServed, p.Operations) < wellAt {
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

func medianOf(x []float64) float64 {
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
	low, high := bootstrap(func(draw func([]float64) []float64) float64 { return medianOf(draw(x)) })
	return Summary{medianOf(x), low, high}
}

// values are a policy's figures over its runs that ended.
func values(lines []Line, policy string, f Figure) (x []float64) {
	for _, l := range lines {
		if l.Policy == policy && l.Result != nil && l.Error == "" {
			x = append(x, f.Of(l.Result))
		}
	}
	return x
}

// Troubles are what no run may have: errors, and rules that were broken.
func Troubles(lines []Line) (all []string) {
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
func Report(out io.Writer, head Head, lines []Line) error {
	fmt.Fprintf(out, "%s (%d of %d runs)\n", head.Experiment, len(lines), len(head.Policies)*head.Seeds)
	if head.Question != "" {
		fmt.Fprintln(out, head.Question)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "policy")
	for _, f := range Figures {
		fmt.Fprint(w, "\t", f.Name)
	}
	fmt.Fprintln(w, "\t")
	sums := map[string][]Summary{}
	for _, policy := range head.Policies {
		for _, f := range Figures {
			if x := values(lines, policy, f); len(x) > 0 {
				sums[policy] = append(sums[policy], Summarize(x))
			}
		}
	}
	for _, policy := range head.Policies {
		fmt.Fprint(w, policy)
		for i, s := range sums[policy] {
			f := Figures[i]
			star := "*"
			for _, other := range sums {
				if f.Better > 0 && other[i].Low > s.High || f.Better < 0 && other[i].High < s.Low {
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
	_, err := fmt.Fprintf(out, "not well: seconds in which under %.0f%% of these were served; fell: nodes pushed over\n", 100*wellAt)
	for _, t := range Troubles(lines) {
		_, err = fmt.Fprintln(out, "TROUBLE:", t)
	}
	return err
}

// Difference is a figure of a policy in two files that differs beyond chance: the interval of the difference of medians is above or
// below 0.
type Difference struct {
	Policy, Figure string
	Before, After  float64
	Low, High      float64 // of After - Before
	Worse          float64 // by which part of Before it is worse; below 0: better
}

// Compare finds what differs between two files of one experiment's results.
func Compare(before, after []Line, policies []string) (all []Difference) {
	for _, policy := range policies {
		for _, f := range Figures {
			a, b := values(before, policy, f), values(after, policy, f)
			if len(a) == 0 || len(b) == 0 {
				continue
			}
			low, high := bootstrap(func(draw func([]float64) []float64) float64 { return medianOf(draw(b)) - medianOf(draw(a)) })
			if low <= 0 && high >= 0 {
				continue
			}
			d := Difference{Policy: policy, Figure: f.Name, Before: medianOf(a), After: medianOf(b), Low: low, High: high}
			d.Worse = float64(-f.Better) * (d.After - d.Before) / max(d.Before, 1e-9)
			all = append(all, d)
		}
	}
	return all
}
