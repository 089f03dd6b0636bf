package measure

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/simulation/admissionsim"
)

const (
	admissionNodes       = 24
	admissionServiceTime = 20 * time.Millisecond // with this service time the nodes have a capacity of 1,200 requests per second
	tenantCount          = 20
	admissionRunLength   = 30 * time.Second
)

var admissionClasses = []balancer.Class{{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}

func admissionSettings() balancer.Settings {
	return balancer.Settings{MaxAttempts: 3, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second,
		ConnectTimeout: time.Second, Tick: time.Millisecond}
}

// admissionVariant is an admission control that is compared, with its name in the tables.
type admissionVariant struct {
	name string
	make func(seed uint64) admissionsim.AdmissionControl
}

// newAdmissionQueue returns a constructor of an admission.Queue in which each tenant is one principal. change modifies the default options.
func newAdmissionQueue(change func(*admission.Options)) func(uint64) admissionsim.AdmissionControl {
	return func(seed uint64) admissionsim.AdmissionControl {
		o := admission.Default()
		o.PrincipalSources = []string{"tenant"}
		if change != nil {
			change(&o)
		}
		return admission.New(o, admissionClasses, seed)
	}
}

// fixedLimit is the concurrency limit of the variants with a fixed limit. It is twice the number of nodes.
const fixedLimit = 48

// queueVariants are package admission and other queue disciplines. All except the first and the last have the same fixed concurrency limit, so
// that they differ only in the order of the requests.
var queueVariants = []admissionVariant{
	{"no door", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), admissionsim.Fixed(1<<30), 1<<30)
	}},
	{"FIFO", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), admissionsim.Fixed(fixedLimit), 256)
	}},
	{"CoDel with adaptive LIFO", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewCoDel(), admissionsim.Fixed(fixedLimit), 256)
	}},
	{"stochastic, 64 queues", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewShuffleSharded(64, 1), admissionsim.Fixed(fixedLimit), 256)
	}},
	{"shuffle-sharded, hands of 6 of 64", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewShuffleSharded(64, 6), admissionsim.Fixed(fixedLimit), 256)
	}},
	{"deficit round robin", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewDRR(), admissionsim.Fixed(fixedLimit), 256)
	}},
	{"door, the same fixed limit", newAdmissionQueue(func(o *admission.Options) { o.MinLimit, o.MaxLimit = fixedLimit, fixedLimit })},
	{"door", newAdmissionQueue(nil)},
}

// limitVariants are package admission and other concurrency limits. They are compared under the load of a single tenant.
var limitVariants = []admissionVariant{
	{"fixed at 48", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), admissionsim.Fixed(fixedLimit), 256)
	}},
	{"AIMD by the aim", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), &admissionsim.AIMD{MaxLatency: 200 * time.Millisecond}, 256)
	}},
	{"gradient", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), &admissionsim.Gradient{}, 256)
	}},
	{"rate x delay", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), &admissionsim.RateDelay{}, 256)
	}},
	{"Vegas", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), &admissionsim.Vegas{}, 256)
	}},
	{"door", newAdmissionQueue(func(o *admission.Options) { o.PrincipalSources = []string{"tenant"} })},
}

// tenants returns n clients that each send rate requests per second.
func tenants(n int, rate float64) (c []admissionsim.Client) {
	for i := range n {
		c = append(c, admissionsim.Client{Group: fmt.Sprintf("counter-%02d", i), Class: "search", MeanServiceTime: admissionServiceTime, Rate: rate, MaxAttempts: 3, HonorsRetryAfter: true})
	}
	return c
}

func admissionRun(clients []admissionsim.Client, slow func(time.Duration) float64, seed uint64) admissionsim.Run {
	return admissionsim.Run{Nodes: admissionNodes, Classes: admissionClasses, Settings: admissionSettings(), Clients: clients, Slowdown: slow,
		Length: admissionRunLength, Seed: seed}
}

// Admission prints comparisons of queue disciplines, cost hints, concurrency limits and client retries. All of them are simulated in virtual
// time.
func Admission(o Options) error {
	for _, part := range []func(io.Writer, int) error{printFairness, printCostHints, printLimits, printRetryStorm} {
		if err := part(o.Out, o.Rounds); err != nil {
			return err
		}
		fmt.Fprintln(o.Out)
	}
	return nil
}

// eachSeed plays a run for each seed from 1 to rounds. The runs are parallel on all cores. It returns the results in the order of the seeds.
func eachSeed(rounds int, play func(seed uint64) (*admissionsim.Result, error)) ([]*admissionsim.Result, error) {
	results := make([]*admissionsim.Result, rounds)
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for i := range rounds {
		g.Go(func() (err error) {
			results[i], err = play(uint64(i + 1))
			return err
		})
	}
	return results, g.Wait()
}

func medianOf(results []*admissionsim.Result, figure func(*admissionsim.Result) float64) float64 {
	return medianBy(results, figure)
}

// medianBy returns the median over all items of the value that figure returns.
func medianBy[T any](items []T, figure func(T) float64) float64 {
	values := make([]float64, len(items))
	for i, v := range items {
		values[i] = figure(v)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// fractionInTime returns the fraction of the first n clients' requests that were answered within the latency objective.
func fractionInTime(r *admissionsim.Result, n int) float64 {
	inTime, first := 0, 0
	for _, c := range r.Clients[:n] {
		inTime, first = inTime+c.WithinObjective, first+c.FirstRequests
	}
	return float64(inTime) / float64(max(1, first))
}

// answersInTime returns the number of answers within the latency objective, for each of the first n clients.
func answersInTime(r *admissionsim.Result, n int) (counts []float64) {
	for _, c := range r.Clients[:n] {
		counts = append(counts, float64(c.WithinObjective))
	}
	return counts
}

// printFairness compares the queue disciplines in two situations: one client floods the nodes, or all clients have the same demand and together
// exceed the capacity.
func printFairness(out io.Writer, rounds int) error {
	flood := append(tenants(tenantCount, 20), admissionsim.Client{Group: "script", Class: "search", MeanServiceTime: admissionServiceTime, ClosedLoops: 400,
		Rate: 1200.0 / (tenantCount + 1) * 50, MaxAttempts: 3})
	excessDemand := tenants(tenantCount, 120)
	shops := tenants(tenantCount, 20)
	for i := range 200 {
		shops = append(shops, admissionsim.Client{Group: "shop", Flow: fmt.Sprint(i), Class: "search", MeanServiceTime: admissionServiceTime, Rate: 30, MaxAttempts: 3})
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "discipline\tcounters in time\tof alone\tp99 ms\tscript's answers a second\tJain, 20 x 2 times capacity\tgoodput there\tkept of promised\twork wasted\t")
	alone, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
		return admissionsim.Play(admissionRun(tenants(tenantCount, 20), nil, seed), queueVariants[0].make(seed))
	})
	if err != nil {
		return err
	}
	fractionAlone := medianOf(alone, func(r *admissionsim.Result) float64 { return fractionInTime(r, tenantCount) })
	for _, variant := range queueVariants {
		flooded, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(flood, nil, seed), variant.make(seed))
		})
		if err != nil {
			return err
		}
		overloaded, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(excessDemand, nil, seed), variant.make(seed))
		})
		if err != nil {
			return err
		}
		inTime := medianOf(flooded, func(r *admissionsim.Result) float64 { return fractionInTime(r, tenantCount) })
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.3f\t%.3f\t\n", variant.name, inTime, admissionsim.RelativeTo(inTime, fractionAlone),
			medianOf(flooded, func(r *admissionsim.Result) float64 { return float64(r.Clients[0].Quantile(0.99).Milliseconds()) }),
			medianOf(flooded, func(r *admissionsim.Result) float64 {
				return float64(r.Clients[tenantCount].WithinObjective+r.Clients[tenantCount].Late) / admissionRunLength.Seconds()
			}),
			medianOf(overloaded, func(r *admissionsim.Result) float64 { return admissionsim.Jain(answersInTime(r, tenantCount)) }),
			medianOf(overloaded, func(r *admissionsim.Result) float64 { return goodput(r) }),
			medianOf(overloaded, reservationsKept), medianOf(overloaded, func(r *admissionsim.Result) float64 { return r.Wasted }))
	}
	return w.Flush()
}

// goodput returns the number of answers within the latency objective per second, over all clients.
func goodput(r *admissionsim.Result) float64 {
	n := 0
	for _, c := range r.Clients {
		n += c.WithinObjective
	}
	return float64(n) / admissionRunLength.Seconds()
}

// reservationsKept returns the fraction of the retries at a reserved time that were served.
func reservationsKept(r *admissionsim.Result) float64 {
	returned, served := 0, 0
	for _, c := range r.Clients {
		returned, served = returned+c.ReservedReturns, served+c.ReservedServed
	}
	return float64(served) / float64(max(1, returned))
}

// printCostHints shows whether a client gains from a false cost hint. Ten clients hint the true cost, one client hints a tenth of the cost, and
// one client hints ten times the cost.
func printCostHints(out io.Writer, rounds int) error {
	var clients []admissionsim.Client
	for i := range 12 {
		hint := 1.0
		switch i {
		case 0:
			hint = 0.1
		case 1:
			hint = 10
		}
		clients = append(clients, admissionsim.Client{Group: fmt.Sprint(i), Class: "search", MeanServiceTime: admissionServiceTime, Rate: 200, HintFactor: hint, MaxAttempts: 1})
	}
	results, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
		return admissionsim.Play(admissionRun(clients, nil, seed), newAdmissionQueue(nil)(seed))
	})
	if err != nil {
		return err
	}
	relativeWork := func(i int) float64 {
		return medianOf(results, func(r *admissionsim.Result) float64 {
			honest := 0.0
			for _, c := range r.Clients[2:] {
				honest += c.ServiceTime.Seconds() / 10
			}
			return r.Clients[i].ServiceTime.Seconds() / honest
		})
	}
	fmt.Fprintf(out, "work done for a client that hints a tenth: %.3f of an honest one's; that hints ten times: %.3f\n", relativeWork(0), relativeWork(1))
	return nil
}

// printLimits compares the concurrency limits in three situations: at 0.7 of the capacity, at three times the capacity, and while the nodes are
// eight times slower for ten seconds.
func printLimits(out io.Writer, rounds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "limit\tgoodput at 0.7\tat 3 times\tmean in hand\tp50 ms\tslower by 8, of what can be\tin hand\tback, of 3 times\ts to 0.9 of it\t")
	clients := func(rate float64) []admissionsim.Client {
		return []admissionsim.Client{{Group: "all", Class: "search", MeanServiceTime: admissionServiceTime, Rate: rate, MaxAttempts: 1}}
	}
	slowdown := func(t time.Duration) float64 {
		if t >= 10*time.Second && t < 20*time.Second {
			return 8
		}
		return 1
	}
	for _, variant := range limitVariants {
		lowLoad, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(clients(840), nil, seed), variant.make(seed))
		})
		if err != nil {
			return err
		}
		overload, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(clients(3600), nil, seed), variant.make(seed))
		})
		if err != nil {
			return err
		}
		slowed, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(clients(3600), slowdown, seed), variant.make(seed))
		})
		if err != nil {
			return err
		}
		mean := func(r *admissionsim.Result, from, to int, bins []float64) float64 {
			sum := 0.0
			for _, v := range bins[from:to] {
				sum += v
			}
			return sum / float64(to-from)
		}
		steady := medianOf(overload, func(r *admissionsim.Result) float64 { return mean(r, 5, 30, r.Clients[0].WithinObjectiveByInterval) })
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.0f\t\n", variant.name, medianOf(lowLoad, goodput), steady,
			medianOf(overload, func(r *admissionsim.Result) float64 { return mean(r, 5, 30, r.InFlightByInterval) }),
			medianOf(overload, func(r *admissionsim.Result) float64 { return float64(r.Clients[0].Quantile(0.5).Milliseconds()) }),
			medianOf(slowed, func(r *admissionsim.Result) float64 {
				return mean(r, 12, 20, r.Clients[0].WithinObjectiveByInterval) / 150
			}),
			medianOf(slowed, func(r *admissionsim.Result) float64 { return mean(r, 15, 20, r.InFlightByInterval) }),
			medianOf(slowed, func(r *admissionsim.Result) float64 {
				return mean(r, 21, 30, r.Clients[0].WithinObjectiveByInterval) / steady
			}),
			medianOf(slowed, func(r *admissionsim.Result) float64 {
				for i, v := range r.Clients[0].WithinObjectiveByInterval[20:30] {
					if v >= 0.9*steady {
						return float64(i)
					}
				}
				return 10
			}))
	}
	return w.Flush()
}

// printRetryStorm compares the recovery after a retry storm. In the storm the load is three times the capacity for ten seconds, and before and
// after it 0.7 of the capacity.
func printRetryStorm(out io.Writer, rounds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "gate\tclients\tgoodput before\tin the storm\tafter\ts to 0.95 of before\ttries a request in the storm\tkept of promised\t")
	for _, honorsRetryAfter := range []bool{false, true} {
		clients := tenants(tenantCount, 42)
		for i := range clients {
			clients[i].HonorsRetryAfter, clients[i].MarksRetries, clients[i].MaxAttempts = honorsRetryAfter, true, 4
			surge := clients[i]
			surge.Rate, surge.From, surge.To = 138, 10*time.Second, 20*time.Second
			clients = append(clients, surge)
		}
		behavior := "come back at once"
		if honorsRetryAfter {
			behavior = "come back when told"
		}
		for _, variant := range []admissionVariant{queueVariants[0], queueVariants[1], queueVariants[len(queueVariants)-1]} {
			results, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
				return admissionsim.Play(admissionRun(clients, nil, seed), variant.make(seed))
			})
			if err != nil {
				return err
			}
			goodputBetween := func(r *admissionsim.Result, from, to int) float64 {
				sum := 0.0
				for _, c := range r.Clients {
					for _, v := range c.WithinObjectiveByInterval[from:to] {
						sum += v
					}
				}
				return sum / float64(to-from)
			}
			before := medianOf(results, func(r *admissionsim.Result) float64 { return goodputBetween(r, 2, 10) })
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t\n", variant.name, behavior, before,
				medianOf(results, func(r *admissionsim.Result) float64 { return goodputBetween(r, 11, 20) }),
				medianOf(results, func(r *admissionsim.Result) float64 { return goodputBetween(r, 22, 30) }),
				medianOf(results, func(r *admissionsim.Result) float64 {
					for i := 20; i < 30; i++ {
						if goodputBetween(r, i, i+1) >= 0.95*before {
							return float64(i - 20)
						}
					}
					return 10
				}),
				medianOf(results, func(r *admissionsim.Result) float64 {
					attempts, first := 0, 0
					for _, c := range r.Clients[tenantCount:] {
						attempts, first = attempts+c.Attempts, first+c.FirstRequests
					}
					return float64(attempts) / float64(max(1, first))
				}), medianOf(results, reservationsKept))
		}
	}
	return w.Flush()
}
