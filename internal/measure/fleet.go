package measure

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/simulation/fleetsim"
	"orchiddrift/internal/units"
	"orchiddrift/internal/upstream/prewarm"
)

const (
	fleetNodes       = 5000
	fleetRate        = 10_000.0
	fleetServiceTime = 100 * time.Millisecond // keeps each node busy for a fifth of the time
)

// fleetRun returns a run of a fleet of sidecars with subsets. The total traffic is the same for all numbers of sidecars.
func fleetRun(sidecars int) fleetsim.Run {
	o := subset.Default()
	o.Enabled, o.MaxSize, o.RemoteZoneFraction, o.ShrinkDelay = true, 4096, 0, units.Duration(5*time.Second)
	return fleetsim.Run{Sidecars: sidecars, Nodes: fleetNodes, Rate: fleetRate, MeanServiceTime: fleetServiceTime, Length: 60 * time.Second, Seed: 1,
		Subset: o, IndexKnown: true, ConnectDelay: 2 * time.Millisecond, MaxConnections: 1 << 20,
		Settings: balancer.Settings{MaxAttempts: 3, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: time.Second, ConnectTimeout: time.Second,
			Tick: 5 * time.Millisecond, SlowStartMinCapacity: 0.2, SlowStartWindow: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
			Classes: []balancer.Class{{Name: "search", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}}}
}

// namedFleetRun is a simulated run and its name in the table.
type namedFleetRun struct {
	name string
	run  fleetsim.Run
}

// fleetFaultRuns returns runs of fleets without subsets, and of fleets with restarts of nodes, changes of the list size or uneven traffic.
func fleetFaultRuns() (runs []namedFleetRun) {
	add := func(name string, sidecars int, change func(*fleetsim.Run)) {
		r := fleetRun(sidecars)
		change(&r)
		runs = append(runs, namedFleetRun{name, r})
	}
	add("200, index not known", 200, func(r *fleetsim.Run) { r.IndexKnown = false })
	add("200, no subsets", 200, func(r *fleetsim.Run) { r.Subset.Enabled = false })
	add("10, no subsets", 10, func(r *fleetsim.Run) { r.Subset.Enabled = false })
	add("200, by chance among all", 200, func(r *fleetsim.Run) { r.Subset.Enabled, r.SyncProbes = false, &fleetsim.SyncProbes{PerRequest: 1} })
	restart := func(r *fleetsim.Run) {
		r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 20*time.Second, 10*time.Second, 0.5, 3*time.Second
		r.Rate, r.Settings.SlowStartMinCapacity, r.Settings.OverloadMultiple, r.Settings.OverloadWindow = 25_000, 0.1, 2, time.Second
	}
	add("200, half restart in 10 s at half busy", 200, restart)
	add("the same, modules not told of cold ones", 200, func(r *fleetsim.Run) { restart(r); r.HideStartTimes = true })
	slowConnect := func(r *fleetsim.Run) {
		r.ConnectDelay = 50 * time.Millisecond
		r.RestartAt, r.RestartOver, r.RestartFraction, r.RestartDowntime = 20*time.Second, 10*time.Second, 0.5, 3*time.Second
	}
	add("200, half restart, a connection takes 50 ms", 200, slowConnect)
	add("the same, connections open ahead", 200, func(r *fleetsim.Run) { slowConnect(r); r.Prewarming = prewarm.Default(); r.Prewarming.Enabled = true })
	add("200, the list shrinks to 50 and grows back", 200, func(r *fleetsim.Run) {
		r.Rate = 100
		r.ListSizes = []fleetsim.ListSize{{At: 15 * time.Second, Nodes: 50}, {At: 35 * time.Second, Nodes: fleetNodes}}
	})
	add("200, one with a thousand times the others' traffic", 200, func(r *fleetsim.Run) {
		r.TrafficWeight = func(i int) float64 {
			if i == 0 {
				return 1000
			}
			return 1
		}
	})
	return runs
}

// Fleet prints how fleets of 10 to 200 sidecars load 5,000 nodes at constant total traffic in virtual time, and then the effect of faults.
// plot names the file of a chart of the connections. If plot is empty, Fleet writes no chart.
func Fleet(o Options, plot string) error {
	var runs []namedFleetRun
	sizes := []int{10, 25, 50, 100, 200}
	for _, m := range sizes {
		runs = append(runs, namedFleetRun{fmt.Sprintf("%d sidecars", m), fleetRun(m)})
	}
	runs = append(runs, fleetFaultRuns()...)
	results := make([]*fleetsim.Result, len(runs))
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for i, r := range runs {
		g.Go(func() (err error) {
			results[i], err = fleetsim.Play(r.run)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "fleet\tserved\tits own\tconnections a node\tmost\ta sidecar, most\tmade\tmost to one in 1 s\trequests that wait for one\tnodes asked\tmost/mean work\tfell over\tp50 ms\tp99 ms\tdecisions\t")
	for i, r := range results {
		fmt.Fprintf(w, "%s\t%.4f\t%.0f\t%.2f\t%.0f\t%d\t%d\t%d\t%.3f\t%d\t%.2f\t%d\t%.0f\t%.0f\t%d\t\n", runs[i].name, float64(r.Served)/float64(max(1, r.Requests)),
			r.MeanSubsetSize, r.MeanConnectionsPerNode, r.MaxConnectionsPerNode, r.MaxConnectionsPerSidecar, r.ConnectionsOpened, r.MaxConnectionsOpenedPerSecond, float64(r.RequestsDelayedByConnect)/float64(max(1, r.Requests)), r.NodesUsed, r.LoadSpread, r.NodesOverloaded, r.P50.Seconds()*1e3, r.P99.Seconds()*1e3, r.Decisions)
	}
	if err := w.Flush(); err != nil || plot == "" {
		return err
	}
	connections := make([]float64, len(sizes))
	for i := range sizes {
		connections[i] = results[i].MeanConnectionsPerNode
	}
	return os.WriteFile(plot, []byte(svgChart("connections a node, by sidecars (5,000 nodes, 10,000 requests a second)", sizes, connections)), 0o644)
}

// svgChart returns an SVG line chart of y over x. Both axes start at 0.
func svgChart(title string, x []int, y []float64) string {
	const width, height, left, bottom = 640.0, 320.0, 60.0, 40.0
	maxY, maxX := 0.0, float64(x[len(x)-1])
	for _, v := range y {
		maxY = max(maxY, v*1.2)
	}
	px := func(v float64) float64 { return left + v/maxX*(width-left-20) }
	py := func(v float64) float64 { return height - bottom - v/maxY*(height-bottom-40) }
	var b strings.Builder
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n", width, height)
	fmt.Fprintf(&b, "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n<text x=\"%.0f\" y=\"20\">%s</text>\n", left, title)
	fmt.Fprintf(&b, "<path d=\"M%.1f %.1f V%.1f H%.1f\" stroke=\"black\" fill=\"none\"/>\n", left, 40.0, py(0), px(maxX))
	var points []string
	for i := range x {
		points = append(points, fmt.Sprintf("%.1f,%.1f", px(float64(x[i])), py(y[i])))
		fmt.Fprintf(&b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%d</text>\n", px(float64(x[i])), py(0)+18, x[i])
		fmt.Fprintf(&b, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"middle\">%.2f</text>\n", px(float64(x[i])), py(y[i])-8, y[i])
	}
	fmt.Fprintf(&b, "<polyline points=\"%s\" stroke=\"black\" fill=\"none\" stroke-width=\"2\"/>\n</svg>\n", strings.Join(points, " "))
	return b.String()
}
