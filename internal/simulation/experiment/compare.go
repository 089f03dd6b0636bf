package experiment

// Difference is a statistically significant change of a policy's metric between two sets of results. Significant means that the
// confidence interval of the difference of the medians does not contain 0.
type Difference struct {
	Policy, Metric string
	Before, After  float64
	Low, High      float64 // confidence interval of After - Before
	Regression     float64 // fraction of Before by which After is worse; it is negative if After is better
}

// Compare returns the statistically significant differences between two sets of results of the same experiment.
func Compare(before, after []RunResult, policies []string) (differences []Difference) {
	for _, policy := range policies {
		for _, metric := range Metrics {
			beforeValues, afterValues := metricValues(before, policy, metric), metricValues(after, policy, metric)
			if len(beforeValues) == 0 || len(afterValues) == 0 {
				continue
			}
			low, high := bootstrap(func(draw func([]float64) []float64) float64 {
				return median(draw(afterValues)) - median(draw(beforeValues))
			})
			if low <= 0 && high >= 0 {
				continue
			}
			difference := Difference{Policy: policy, Metric: metric.Name, Before: median(beforeValues), After: median(afterValues), Low: low, High: high}
			difference.Regression = float64(-metric.Direction) * (difference.After - difference.Before) / max(difference.Before, 1e-9)
			differences = append(differences, difference)
		}
	}
	return differences
}
