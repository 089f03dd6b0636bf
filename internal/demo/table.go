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
	liveEvery  = 250 * time.Millisecond
	plainEvery = 2 * time.Second
)

// show writes how things stand until ctx ends: one table over and over on a terminal, else a line now and then.
func show(ctx context.Context, o Options, begun time.Time, a, b *side) {
	every := plainEvery
	if o.Live {
		every = liveEvery
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	lines := 0
	for {
		now := time.Since(begun)
		text := ""
		if o.Live {
			text = table(o, now, a, b)
			if lines > 0 {
				text = fmt.Sprintf("\x1b[%dA\x1b[J", lines) + text // up, and clear to the end
			}
			lines = strings.Count(text, "\n")
		} else {
			text = line(o, now, a, b)
		}
		if _, err := io.WriteString(o.Out, text); err != nil {
			return // nobody looks
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func line(o Options, now time.Duration, a, b *side) string {
	text := fmt.Sprintf("%5.1fs  %s;", now.Seconds(), phase(float64(now)/float64(o.For)))
	for _, s := range []*side{a, b} {
		c := s.load.total()
		text += fmt.Sprintf("  %s: %d asked, %.1f%% in time, p99 %v;", s.name, c.Asked, 100*c.InTime(), short(c.P99))
	}
	return strings.TrimSuffix(text, ";") + "\n"
}

func table(o Options, now time.Duration, a, b *side) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%5.1f of %v   %s front   %s\n\n", now.Seconds(), o.For, o.Front, phase(float64(now)/float64(o.For)))
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "node\tkind\tstate\tin hand\tserved\testimate\tload\t\trandom: in hand\tserved\t")
	views := map[string]balancer.UpstreamView{}
	for _, v := range a.front.view() {
		views[v.Name] = v
	}
	counts, others := a.fleet.outcome(), b.fleet.outcome()
	beside := map[string]int{}
	for _, n := range b.fleet.all() {
		beside[n.Options().Name] = n.InFlight()
	}
	for _, n := range a.fleet.all() {
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
		estimate, loaded := "-", "-"
		if listed {
			estimate, loaded = short(v.Latency).String(), fmt.Sprintf("%.3f", v.Load)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t\t%d\t%d\t\n", name, n.Options().Type, state, n.InFlight(), counts[name].Executed,
			estimate, loaded, beside[name], others[name].Executed)
	}
	w.Flush() // to a Builder: it can't fail
	out.WriteString("\n")
	_ = Summary{a.load.total(), b.load.total()}.rows(&out)
	return out.String()
}

// rows writes one row for each side.
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
	}{{ours, s.Ours}, {random, s.Random}} {
		fmt.Fprintf(w, "%s\t%d\t", row.name, row.c.Asked)
		for _, n := range row.c.By {
			fmt.Fprintf(w, "%d\t", n)
		}
		fmt.Fprintf(w, "%v\t%v\t%v\t\n", short(row.c.P50), short(row.c.P95), short(row.c.P99))
	}
	return w.Flush()
}

// write is the closing summary.
func (s Summary) write(out io.Writer, o Options) error {
	fmt.Fprintf(out, "\nSummary: %s front and plain random choice, the same script, arrivals and seed, side by side for %v.\n\n", o.Front, o.For)
	if err := s.rows(out); err != nil {
		return err
	}
	fell := 0
	for _, n := range s.Ours.Nodes {
		if n.Overloaded {
			fell++
		}
	}
	fellRandom := 0
	for _, n := range s.Random.Nodes {
		if n.Overloaded {
			fellRandom++
		}
	}
	_, err := fmt.Fprintf(out, "\nIn time: %.1f%% beside %.1f%%. Cold nodes pushed over: %d beside %d.\n", 100*s.Ours.InTime(),
		100*s.Random.InTime(), fell, fellRandom)
	return err
}

func short(d time.Duration) time.Duration {
	if d < 10*time.Millisecond {
		return d.Round(100 * time.Microsecond)
	}
	return d.Round(time.Millisecond)
}
