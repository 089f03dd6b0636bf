package measure

import (
	"slices"
	"time"
)

// sortedQuantile returns the p-quantile, p from 0 to 1, of sorted durations, or 0 if there are none.
func sortedQuantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Figures are the cost of a request and the latencies of one peer in one run.
type Figures struct {
	CPU      time.Duration // per request
	Mallocs  float64       // per request
	P50, P99 time.Duration
}

// figures returns the figures of requests with the given sorted latencies. The readings of the usage were taken before and after the requests.
func figures(before, after usage, latencies []time.Duration) Figures {
	n := float64(max(1, len(latencies)))
	return Figures{time.Duration(float64(after.CPU-before.CPU) / n), float64(after.Mallocs-before.Mallocs) / n,
		sortedQuantile(latencies, 0.5), sortedQuantile(latencies, 0.99)}
}

// median returns the median of each figure separately.
func median(all []Figures) Figures {
	pick := func(of func(Figures) float64) float64 {
		values := make([]float64, 0, len(all))
		for _, f := range all {
			values = append(values, of(f))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return Figures{time.Duration(pick(func(f Figures) float64 { return float64(f.CPU) })),
		pick(func(f Figures) float64 { return f.Mallocs }),
		time.Duration(pick(func(f Figures) float64 { return float64(f.P50) })),
		time.Duration(pick(func(f Figures) float64 { return float64(f.P99) }))}
}
