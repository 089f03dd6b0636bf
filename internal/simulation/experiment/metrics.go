package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"orchiddrift/internal/simulation/fleetsim"
)

// Metric is a figure of a run, for tables and comparisons.
type Metric struct {
	Name      string
	Direction int // 1: higher is better; -1: lower is better
	Value     func(r *fleetsim.Result) float64
	Digits    int // after the decimal point, in tables
}

// Metrics lists all metrics in the order of tables. Times are in milliseconds, counts are per operation of the clients.
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

// maxP99 is the highest p99 of any interval.
func maxP99(points []fleetsim.Point) (most time.Duration) {
	for _, p := range points {
		most = max(most, p.P99)
	}
	return most
}

// healthyFraction is the least fraction of the operations begun in an interval that a healthy fleet serves in it.
const healthyFraction = 0.95

// DegradedTime is the length of all intervals in which less than healthyFraction of the operations was served: the time of a fault and
// of its after-effects.
func DegradedTime(points []fleetsim.Point) (sum time.Duration) {
	for i := range points {
		p := &points[i]
		if i+1 < len(points) && fraction(p.OperationsServed, p.Operations) < healthyFraction {
			sum += points[i+1].At - p.At
		}
	}
	return sum
}

// Summary is a metric of a policy over all seeds: the median and its 95% confidence interval, by the bootstrap (B. Efron, "Bootstrap Methods", 1979).
type Summary struct{ Median, Low, High float64 }

const (
	resamples       = 2000 // of a bootstrap
	confidence      = 0.95
	bootstrapSeed   = 1979
	bootstrapStream = 95
)

func median(x []float64) float64 {
	sorted := slices.Sorted(slices.Values(x))
	if n := len(sorted); n%2 == 0 {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return sorted[len(sorted)/2]
}

// bootstrap returns the confidence interval of a statistic that is computed on resampled values. The draws are the same each time.
func bootstrap(statistic func(draw func([]float64) []float64) float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(bootstrapSeed, bootstrapStream))
	draw := func(x []float64) []float64 {
		of := make([]float64, len(x))
		for i := range of {
			of[i] = x[rng.IntN(len(x))]
		}
		return of
	}
	all := make([]float64, resamples)
	for i := range all {
		all[i] = statistic(draw)
	}
	slices.Sort(all)
	tail := (1 - confidence) / 2
	return all[int(tail*resamples)], all[int((1-tail)*resamples)-1]
}

// Summarize returns the summary of at least one value.
func Summarize(x []float64) Summary {
	low, high := bootstrap(func(draw func([]float64) []float64) float64 { return median(draw(x)) })
	return Summary{median(x), low, high}
}

// metricValues are the values of a metric over a policy's successful runs.
func metricValues(lines []RunResult, policy string, f Metric) (x []float64) {
	for _, l := range lines {
		if l.Policy == policy && l.Result != nil && l.Error == "" {
			x = append(x, f.Value(l.Result))
		}
	}
	return x
}
