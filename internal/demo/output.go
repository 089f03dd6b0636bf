package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"orchiddrift/balancer"
)

const (
	tableInterval = 250 * time.Millisecond
	lineInterval  = 2 * time.Second
)

// printProgress writes the state of both contenders until ctx ends. If Options.Live is set, it redraws one table. Otherwise it writes
// lines.
func printProgress(ctx context.Context, o Options, started time.Time, ours, random *contender) {
	interval := lineInterval
	if o.Live {
		interval = tableInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lines := 0
	for {
		now := time.Since(started)
		text := ""
		if o.Live {
			text = progressTable(o, now, ours, random)
			if lines > 0 {
				text = fmt.Sprintf("\x1b[%dA\x1b[J", lines) + text // moves the cursor up to the start of the table, and clears the rest of the screen
			}
			lines = strings.Count(text, "\n")
		} else {
			text = progressLine(o, now, ours, random)
		}
		if _, err := io.WriteString(o.Out, text); err != nil {
			return // the output has been closed by its reader
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func progressLine(o Options, now time.Duration, ours, random *contender) string {
	text := fmt.Sprintf("%5.1fs  %s;", now.Seconds(), phase(float64(now)/float64(o.For)))
	for _, s := range []*contender{ours, random} {
		c := s.load.total()
		text += fmt.Sprintf("  %s: %d asked, %.1f%% in time, p99 %v;", s.name, c.Requests, 100*c.InTime(), rounded(c.P99))
	}
	return strings.TrimSuffix(text, ";") + "\n"
}

func progressTable(o Options, now time.Duration, ours, random *contender) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%5.1f of %v   %s front   %s\n\n", now.Seconds(), o.For, o.Front, phase(float64(now)/float64(o.For)))
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "node\tkind\tstate\tin hand\tserved\testimate\tload\t\trandom: in hand\tserved\t")
	views := map[string]balancer.UpstreamView{}
	for _, v := range ours.client.view() {
		views[v.Name] = v
	}
	counts, randomCounts := ours.fleet.nodeCounts(), random.fleet.nodeCounts()
	randomInFlight := map[string]int{}
	for _, n := range random.fleet.allNodes() {
		randomInFlight[n.Options().Name] = n.InFlight()
	}
	for _, n := range ours.fleet.allNodes() {
		name := n.Options().Name
		v, listed := views[name]
		state := "gone"
		switch {
		case listed && v.EjectedFor > 0:
			state = "ejected"
		case listed && v.SlowStartCapacity < 1:
			state = fmt.Sprintf("cold %.0f%%", 100*v.SlowStartCapacity)
		case listed:
			state = "ready"
		case !n.Down():
			state = "draining"
		}
		estimate, loadText := "-", "-"
		if listed {
			estimate, loadText = rounded(v.Latency).String(), fmt.Sprintf("%.3f", v.Load)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t\t%d\t%d\t\n", name, n.Options().Type, state, n.InFlight(), counts[name].Executed,
			estimate, loadText, randomInFlight[name], randomCounts[name].Executed)
	}
	w.Flush() // writes to a Builder do not fail
	out.WriteString("\n")
	_ = Summary{ours.load.total(), random.load.total()}.rows(&out)
	return out.String()
}

// rows writes a table with a row for each contender.
func (s Summary) rows(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\tasked\t")
	for _, name := range resultNames {
		fmt.Fprintf(w, "%s\t", name)
	}
	fmt.Fprintln(w, "p50\tp95\tp99\t")
	for _, row := range []struct {
		name string
		c    Count
	}{{ourName, s.Ours}, {randomName, s.Random}} {
		fmt.Fprintf(w, "%s\t%d\t", row.name, row.c.Requests)
		for _, n := range row.c.Results {
			fmt.Fprintf(w, "%d\t", n)
		}
		fmt.Fprintf(w, "%v\t%v\t%v\t\n", rounded(row.c.P50), rounded(row.c.P95), rounded(row.c.P99))
	}
	return w.Flush()
}

// write prints the summary at the end of the demo.
func (s Summary) write(out io.Writer, o Options) error {
	fmt.Fprintf(out, "\nSummary: %s front and plain random choice, the same script, arrivals and seed, side by side for %v.\n\n", o.Front, o.For)
	if err := s.rows(out); err != nil {
		return err
	}
	overloaded := 0
	for _, n := range s.Ours.Nodes {
		if n.Overloaded {
			overloaded++
		}
	}
	overloadedRandom := 0
	for _, n := range s.Random.Nodes {
		if n.Overloaded {
			overloadedRandom++
		}
	}
	_, err := fmt.Fprintf(out, "\nIn time: %.1f%% beside %.1f%%. Cold nodes pushed over: %d beside %d.\n", 100*s.Ours.InTime(),
		100*s.Random.InTime(), overloaded, overloadedRandom)
	return err
}

// rounded returns a duration rounded for tables.
func rounded(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
