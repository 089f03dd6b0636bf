package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"orchiddrift/internal/simulation/fleetsim"
)

// Metric is a number computed from the result of a run, for tables and comparisons.
type Metric struct {
	Name      string
	Direction int // 1 if higher values are better, -1 if lower values are better
	Value     func(r *fleetsim.Result) float64
	Digits    int // number of digits after the decimal point in tables
}

// Metrics lists all metrics in the order of the table's columns. Latencies are in milliseconds, "fell" is the number of overloaded nodes, "not well" is
// in seconds, and the other metrics are per operation of the clients.
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

// maxP99 returns the highest p99 of all intervals.
func maxP99(points []fleetsim.Point) (highest time.Duration) {
	for _, p := range points {
		highest = max(highest, p.P99)
	}
	return highest
}

// healthyFraction is the lowest ratio of operations served to operations begun in an interval at which a fleet counts as healthy.
const healthyFraction = 0.95

// DegradedTime returns the total length of the intervals in which a fraction of the operations below healthyFraction was served. It measures the
// duration of a fault and of its after-effects. The last interval does not count, because points do not tell when it ends.
func DegradedTime(points []fleetsim.Point) (sum time.Duration) {
	for i := range points {
		p := &points[i]
		if i+1 < len(points) && fraction(p.OperationsServed, p.Operations) < healthyFraction {
			sum += points[i+1].At - p.At
		}
	}
	return sum
}

// Summary is the median of a policy's metric over all seeds, with its 95% confidence interval from bootstrapping (B. Efron, "Bootstrap Methods", 1979).
type Summary struct{ Median, Low, High float64 }

const (
	resamples       = 2000 // number of resamples for a confidence interval
	confidence      = 0.95
	bootstrapSeed   = 1979
	bootstrapStream = 95
)

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if n := len(sorted); n%2 == 0 {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return sorted[len(sorted)/2]
}

// bootstrap returns the confidence interval of a statistic by computing it on resampled values. The seed is fixed, so that the same values
// always give the same interval.
func bootstrap(statistic func(draw func([]float64) []float64) float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(bootstrapSeed, bootstrapStream))
	draw := func(values []float64) []float64 {
		sample := make([]float64, len(values))
		for i := range sample {
			sample[i] = values[rng.IntN(len(values))]
		}
		return sample
	}
	statistics := make([]float64, resamples)
	for i := range statistics {
		statistics[i] = statistic(draw)
	}
	slices.Sort(statistics)
	tail := (1 - confidence) / 2
	return statistics[int(tail*resamples)], statistics[int((1-tail)*resamples)-1]
}

// Summarize returns the summary of values, which must not be empty.
func Summarize(values []float64) Summary {
	low, high := bootstrap(func(draw func([]float64) []float64) float64 { return median(draw(values)) })
	return Summary{median(values), low, high}
}

// metricValues returns the values of a metric in a policy's successful runs.
func metricValues(runs []RunResult, policy string, metric Metric) (values []float64) {
	for _, run := range runs {
		if run.Policy == policy && run.Result != nil && run.Error == "" {
			values = append(values, metric.Value(run.Result))
		}
	}
	return values
}
