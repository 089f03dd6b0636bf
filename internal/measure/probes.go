package measure

import (
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"orchiddrift/internal/simulation/fleetsim"
	"orchiddrift/internal/upstream/loadprobe"
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
		probe *fleetsim.SyncProbes
		ask   int
		blind bool
		seen  *fleetsim.Result
	}
	var rows []*row
	for _, busy := range []float64{0.02, 0.1, 0.3, 0.5} {
		rows = append(rows, &row{busy: busy, name: "module"}, &row{busy: busy, name: "2 probes", probe: &fleetsim.SyncProbes{PerRequest: 2, ServiceTime: 200 * time.Microsecond}},
			&row{busy: busy, name: "4 probes", probe: &fleetsim.SyncProbes{PerRequest: 4, ServiceTime: 200 * time.Microsecond}},
			&row{busy: busy, name: "module with 2", ask: 2}, &row{busy: busy, name: "module with 4", ask: 4},

			&row{busy: busy, name: "module with 2, no latency told", ask: 2, blind: true}, &row{busy: busy, name: "module with 4, no latency told", ask: 4, blind: true})
	}
	rate := func(r *row) float64 { return r.busy * nodes / fleetWork.Seconds() }
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for _, r := range rows {
		g.Go(func() (err error) {
			run := fleetRun(sidecars)
			run.Nodes, run.Rate, run.SyncProbes = nodes, rate(r), r.probe
			if r.ask > 0 {
				run.LoadProbes, run.HideProbeLatency = loadprobe.Default(), r.blind
				run.LoadProbes.Enabled, run.LoadProbes.UpstreamsPerRequest, run.LoadProbes.ProbesPerRequest = true, r.ask, float64(r.ask)
			}
			run.NodeSpeed = func(i int) float64 {
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
	if err := w.Flush(); err != nil {
		return err
	}
	return probeScale(o)
}

// probeScale prints probes a node as sidecars grow from 10 to 200 at constant traffic.
func probeScale(o Options) error {
	sizes := []int{10, 25, 50, 100, 200, 400}
	seen := make([]*fleetsim.Result, len(sizes))
	const nodes, rate = 1000, 1000.0
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for i, m := range sizes {
		g.Go(func() (err error) {
			run := fleetRun(m)
			run.Nodes, run.Rate, run.LoadProbes = nodes, rate, loadprobe.Default()
			run.LoadProbes.Enabled = true
			seen[i], err = fleetsim.Play(run)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "sidecars\ta sidecar sends a second\tprobes a node and second\tprobes a request\tserved\tp99 ms\t")
	for i, m := range sizes {
		s := seen[i]
		fmt.Fprintf(w, "%d\t%.1f\t%.2f\t%.2f\t%.4f\t%.0f\t\n", m, rate/float64(m), float64(s.Probes)/nodes/60, float64(s.Probes)/float64(s.Requests),
			float64(s.Served)/float64(s.Requests), s.P99.Seconds()*1e3)
	}
	return w.Flush()
}
