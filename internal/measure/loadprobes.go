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

// LoadProbes shows whether load probes help sidecars with little traffic, for several utilizations of the nodes. The fleet has 200 sidecars and
// 1,000 nodes, a tenth of which are five times slower.
func LoadProbes(o Options) error {
	const sidecars, nodes = 200, 1000
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes busy\ta sidecar sends a second\tchoice\tserved\tp50 ms\tp99 ms\tprobes a node and second\tprobes a request\t")
	type row struct {
		utilization float64
		name        string
		syncProbes  *fleetsim.SyncProbes
		asyncProbes int // number of load probes per request
		hideLatency bool
		result      *fleetsim.Result
	}
	var rows []*row
	for _, utilization := range []float64{0.02, 0.1, 0.3, 0.5} {
		rows = append(rows, &row{utilization: utilization, name: "module"}, &row{utilization: utilization, name: "2 probes", syncProbes: &fleetsim.SyncProbes{PerRequest: 2, ServiceTime: 200 * time.Microsecond}},
			&row{utilization: utilization, name: "4 probes", syncProbes: &fleetsim.SyncProbes{PerRequest: 4, ServiceTime: 200 * time.Microsecond}},
			&row{utilization: utilization, name: "module with 2", asyncProbes: 2}, &row{utilization: utilization, name: "module with 4", asyncProbes: 4},

			&row{utilization: utilization, name: "module with 2, no latency told", asyncProbes: 2, hideLatency: true}, &row{utilization: utilization, name: "module with 4, no latency told", asyncProbes: 4, hideLatency: true})
	}
	rate := func(r *row) float64 { return r.utilization * nodes / fleetServiceTime.Seconds() }
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for _, r := range rows {
		g.Go(func() (err error) {
			run := fleetRun(sidecars)
			run.Nodes, run.Rate, run.SyncProbes = nodes, rate(r), r.syncProbes
			if r.asyncProbes > 0 {
				run.LoadProbes, run.HideProbeLatency = loadprobe.Default(), r.hideLatency
				run.LoadProbes.Enabled, run.LoadProbes.UpstreamsPerRequest, run.LoadProbes.ProbesPerRequest = true, r.asyncProbes, float64(r.asyncProbes)
			}
			run.NodeSpeed = func(i int) float64 {
				if i%10 == 0 {
					return 0.2
				}
				return 1
			}
			r.result, err = fleetsim.Play(run)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range rows {
		fmt.Fprintf(w, "%.2f\t%.1f\t%s\t%.4f\t%.0f\t%.0f\t%.1f\t%.1f\t\n", r.utilization, rate(r)/sidecars, r.name, float64(r.result.Served)/float64(r.result.Requests),
			r.result.P50.Seconds()*1e3, r.result.P99.Seconds()*1e3, float64(r.result.Probes)/nodes/60, float64(r.result.Probes)/float64(r.result.Requests))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return printProbeScale(o)
}

// printProbeScale prints the number of probes per node for 10 to 400 sidecars at constant total traffic.
func printProbeScale(o Options) error {
	sizes := []int{10, 25, 50, 100, 200, 400}
	results := make([]*fleetsim.Result, len(sizes))
	const nodes, rate = 1000, 1000.0
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for i, m := range sizes {
		g.Go(func() (err error) {
			run := fleetRun(m)
			run.Nodes, run.Rate, run.LoadProbes = nodes, rate, loadprobe.Default()
			run.LoadProbes.Enabled = true
			results[i], err = fleetsim.Play(run)
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
		result := results[i]
		fmt.Fprintf(w, "%d\t%.1f\t%.2f\t%.2f\t%.4f\t%.0f\t\n", m, rate/float64(m), float64(result.Probes)/nodes/60, float64(result.Probes)/float64(result.Requests),
			float64(result.Served)/float64(result.Requests), result.P99.Seconds()*1e3)
	}
	return w.Flush()
}
