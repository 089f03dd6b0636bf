package measure

import (
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"orchiddrift/internal/fleetsim"
)

// Probe prints whether asking nodes before each request would help sidecars that send little: 200 sidecars before 1,000 nodes, a
// tenth of which are five times slower, by how busy the nodes are.
func Probe(o Options) error {
	const sidecars, nodes = 200, 1000
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes busy\ta sidecar sends a second\tchoice\tserved\tp50 ms\tp99 ms\tprobes a node and second\tprobes a request\t")
	type row struct {
		busy  float64
		name  string
		probe *fleetsim.Probes
		seen  *fleetsim.Result
	}
	var rows []*row
	for _, busy := range []float64{0.02, 0.1, 0.3, 0.5} {
		rows = append(rows, &row{busy: busy, name: "module"}, &row{busy: busy, name: "2 probes", probe: &fleetsim.Probes{Each: 2, Cost: 200 * time.Microsecond}},
			&row{busy: busy, name: "4 probes", probe: &fleetsim.Probes{Each: 4, Cost: 200 * time.Microsecond}})
	}
	rate := func(r *row) float64 { return r.busy * nodes / fleetWork.Seconds() }
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for _, r := range rows {
		g.Go(func() (err error) {
			run := fleetRun(sidecars)
			run.Nodes, run.Rate, run.Probes = nodes, rate(r), r.probe
			run.Speed = func(i int) float64 {
				if i%10 == 0 {
					return 0.2
				}
				return 1
			}
			r.seen, err = fleetsim.Play(run)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range rows {
		fmt.Fprintf(w, "%.2f\t%.1f\t%s\t%.4f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", r.busy, rate(r)/sidecars, r.name, float64(r.seen.Served)/float64(r.seen.Requests),
			r.seen.P50.Seconds()*1e3, r.seen.P99.Seconds()*1e3, float64(r.seen.Probes)/nodes/60, float64(r.seen.Probes)/float64(r.seen.Requests))
	}
	return w.Flush()
}
