package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Failures returns a description of each run that failed or violated an invariant.
func Failures(runs []RunResult) (failures []string) {
	for _, run := range runs {
		prefix := fmt.Sprintf("%s, seed %d: ", run.Policy, run.Seed)
		if run.Error != "" {
			failures = append(failures, prefix+run.Error)
		}
		if run.Result != nil && run.Result.Violations > 0 {
			failures = append(failures, fmt.Sprintf("%s%d times a rule was broken, as at %s", prefix, run.Result.Violations, run.Result.ViolationTexts[0]))
		}
	}
	return failures
}

// Report writes a table of each policy's medians over the seeds with their confidence intervals, followed by the failures. A star marks
// a value if no other policy has a better value by a statistically significant margin.
func Report(out io.Writer, head Header, runs []RunResult) error {
	fmt.Fprintf(out, "%s (%d of %d runs)\n", head.Experiment, len(runs), len(head.Policies)*head.Seeds)
	if head.Question != "" {
		fmt.Fprintln(out, head.Question)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "policy")
	for _, metric := range Metrics {
		fmt.Fprint(table, "\t", metric.Name)
	}
	fmt.Fprintln(table, "\t")
	summaries := map[string][]Summary{}
	for _, policy := range head.Policies {
		for _, metric := range Metrics {
			if values := metricValues(runs, policy, metric); len(values) > 0 {
				summaries[policy] = append(summaries[policy], Summarize(values))
			}
		}
	}
	for _, policy := range head.Policies {
		fmt.Fprint(table, policy)
		for i, summary := range summaries[policy] {
			metric := Metrics[i]
			marker := "*"
			for _, other := range summaries {
				if metric.Direction > 0 && other[i].Low > summary.High || metric.Direction < 0 && other[i].High < summary.Low {
					marker = " "
				}
			}
			fmt.Fprintf(table, "\t%.*f (%.*f-%.*f)%s", metric.Digits, summary.Median, metric.Digits, summary.Low, metric.Digits, summary.High, marker)
		}
		fmt.Fprintln(table, "\t")
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out, "median over seeds (95% interval); * no other is better beyond chance. Times in ms; sends, refused, failed an operation that clients wanted;")
	_, err := fmt.Fprintf(out, "not well: seconds in which under %.0f%% of these were served; fell: nodes pushed over\n", 100*healthyFraction)
	for _, failure := range Failures(runs) {
		_, err = fmt.Fprintln(out, "TROUBLE:", failure)
	}
	return err
}
