package experiment

// Difference is a metric of a policy that differs between two files beyond chance: the confidence interval of the difference of the
// medians does not hold 0.
type Difference struct {
	Policy, Metric string
	Before, After  float64
	Low, High      float64 // of After - Before
	Regression     float64 // fraction of Before by which After is worse; negative: better
}

// Compare returns the differences between two files of results of one experiment.
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
