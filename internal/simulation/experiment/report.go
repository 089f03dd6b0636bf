package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Failures describes the runs that failed and those with violations of invariants.
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

// Report writes a table: for each policy the medians over the seeds with their confidence intervals. A star marks the policies that no
// other one surpasses beyond chance.
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
