package measure

import (
	"slices"
	"time"
)

// sortedQuantile returns the p-quantile of sorted durations, where p is from 0 to 1. It returns 0 if there are no durations.
func sortedQuantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Figures are the cost per request and the latencies of one peer in one run.
type Figures struct {
	CPU      time.Duration // CPU time per request
	Mallocs  float64       // allocations per request
	P50, P99 time.Duration
}

// figures returns the figures of requests with the given sorted latencies. before and after are the resource usage before and after these
// requests.
func figures(before, after usage, latencies []time.Duration) Figures {
	n := float64(max(1, len(latencies)))
	return Figures{time.Duration(float64(after.CPU-before.CPU) / n), float64(after.Mallocs-before.Mallocs) / n,
		sortedQuantile(latencies, 0.5), sortedQuantile(latencies, 0.99)}
}

// median returns Figures in which each figure is the median of this figure over all runs.
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
