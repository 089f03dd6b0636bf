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
	admissionServiceTime = 20 * time.Millisecond // so that the nodes do 1,200 such requests a second
	tenantCount          = 20
	admissionRunLength   = 30 * time.Second
)

var admissionClasses = []balancer.Class{{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}

func admissionSettings() balancer.Settings {
	return balancer.Settings{MaxAttempts: 3, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second,
		ConnectTimeout: time.Second, Tick: time.Millisecond}
}

// admissionVariant is a named admission control.
type admissionVariant struct {
	name string
	make func(seed uint64) admissionsim.AdmissionControl
}

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

// fixedLimit is the concurrency limit of the fixed variants: twice the number of nodes.
const fixedLimit = 48

// queueVariants are package admission and other queue disciplines. All but the first and the last have one fixed limit, so that only the
// order differs.
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

// limitVariants are package admission and other concurrency limits, all with one tenant.
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

// Admission prints comparisons of queue disciplines, cost hints, concurrency limits and client retries, in virtual time.
func Admission(o Options) error {
	for _, part := range []func(io.Writer, int) error{printFairness, printCostHints, printLimits, printRetryStorm} {
		if err := part(o.Out, o.Rounds); err != nil {
			return err
		}
		fmt.Fprintln(o.Out)
	}
	return nil
}

// eachSeed plays a run for each seed from 1 to rounds on all cores, and returns the results in this order.
func eachSeed(rounds int, play func(seed uint64) (*admissionsim.Result, error)) ([]*admissionsim.Result, error) {
	out := make([]*admissionsim.Result, rounds)
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for i := range rounds {
		g.Go(func() (err error) {
			out[i], err = play(uint64(i + 1))
			return err
		})
	}
	return out, g.Wait()
}

func medianOf(results []*admissionsim.Result, of func(*admissionsim.Result) float64) float64 {
	return medianBy(results, of)
}

// medianBy returns the median of a figure.
func medianBy[T any](of []T, figure func(T) float64) float64 {
	x := make([]float64, len(of))
	for i, v := range of {
		x[i] = figure(v)
	}
	slices.Sort(x)
	return x[len(x)/2]
}

// fractionInTime returns the fraction of the requests of the first n clients that were answered within the objective.
func fractionInTime(r *admissionsim.Result, n int) float64 {
	in, first := 0, 0
	for _, c := range r.Clients[:n] {
		in, first = in+c.WithinObjective, first+c.FirstRequests
	}
	return float64(in) / float64(max(1, first))
}

func answersInTime(r *admissionsim.Result, n int) (x []float64) {
	for _, c := range r.Clients[:n] {
		x = append(x, float64(c.WithinObjective))
	}
	return x
}

// printFairness compares the disciplines under a flooding client, and under equal demand above the capacity.
func printFairness(out io.Writer, rounds int) error {
	flood := append(tenants(tenantCount, 20), admissionsim.Client{Group: "script", Class: "search", MeanServiceTime: admissionServiceTime, ClosedLoops: 400,
		Rate: 1200.0 / (tenantCount + 1) * 50, MaxAttempts: 3})
	greedy := tenants(tenantCount, 120)
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
	base := medianOf(alone, func(r *admissionsim.Result) float64 { return fractionInTime(r, tenantCount) })
	for _, g := range queueVariants {
		a, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(flood, nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		b, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(greedy, nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		in := medianOf(a, func(r *admissionsim.Result) float64 { return fractionInTime(r, tenantCount) })
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.3f\t%.3f\t\n", g.name, in, admissionsim.RelativeTo(in, base),
			medianOf(a, func(r *admissionsim.Result) float64 { return float64(r.Clients[0].Quantile(0.99).Milliseconds()) }),
			medianOf(a, func(r *admissionsim.Result) float64 {
				return float64(r.Clients[tenantCount].WithinObjective+r.Clients[tenantCount].Late) / admissionRunLength.Seconds()
			}),
			medianOf(b, func(r *admissionsim.Result) float64 { return admissionsim.Jain(answersInTime(r, tenantCount)) }),
			medianOf(b, func(r *admissionsim.Result) float64 { return goodput(r) }),
			medianOf(b, reservationsKept), medianOf(b, func(r *admissionsim.Result) float64 { return r.Wasted }))
	}
	return w.Flush()
}

func goodput(r *admissionsim.Result) float64 {
	n := 0
	for _, c := range r.Clients {
		n += c.WithinObjective
	}
	return float64(n) / admissionRunLength.Seconds()
}

func reservationsKept(r *admissionsim.Result) float64 {
	returned, served := 0, 0
	for _, c := range r.Clients {
		returned, served = returned+c.ReservedReturns, served+c.ReservedServed
	}
	return float64(served) / float64(max(1, returned))
}

// printCostHints prints whether a false cost hint pays: ten clients hint the true cost, one a tenth of it, one ten times as much.
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
	all, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
		return admissionsim.Play(admissionRun(clients, nil, seed), newAdmissionQueue(nil)(seed))
	})
	if err != nil {
		return err
	}
	share := func(i int) float64 {
		return medianOf(all, func(r *admissionsim.Result) float64 {
			honest := 0.0
			for _, c := range r.Clients[2:] {
				honest += c.ServiceTime.Seconds() / 10
			}
			return r.Clients[i].ServiceTime.Seconds() / honest
		})
	}
	fmt.Fprintf(out, "work done for a client that hints a tenth: %.3f of an honest one's; that hints ten times: %.3f\n", share(0), share(1))
	return nil
}

// printLimits compares the limits under low load, three times the capacity, and nodes that are eight times slower for ten seconds.
func printLimits(out io.Writer, rounds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "limit\tgoodput at 0.7\tat 3 times\tmean in hand\tp50 ms\tslower by 8, of what can be\tin hand\tback, of 3 times\ts to 0.9 of it\t")
	load := func(rate float64) []admissionsim.Client {
		return []admissionsim.Client{{Group: "all", Class: "search", MeanServiceTime: admissionServiceTime, Rate: rate, MaxAttempts: 1}}
	}
	slow := func(t time.Duration) float64 {
		if t >= 10*time.Second && t < 20*time.Second {
			return 8
		}
		return 1
	}
	for _, g := range limitVariants {
		calm, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(load(840), nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		over, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(load(3600), nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		eight, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(admissionRun(load(3600), slow, seed), g.make(seed))
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
		steady := medianOf(over, func(r *admissionsim.Result) float64 { return mean(r, 5, 30, r.Clients[0].WithinObjectiveByInterval) })
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.0f\t\n", g.name, medianOf(calm, goodput), steady,
			medianOf(over, func(r *admissionsim.Result) float64 { return mean(r, 5, 30, r.InFlightByInterval) }),
			medianOf(over, func(r *admissionsim.Result) float64 { return float64(r.Clients[0].Quantile(0.5).Milliseconds()) }),
			medianOf(eight, func(r *admissionsim.Result) float64 {
				return mean(r, 12, 20, r.Clients[0].WithinObjectiveByInterval) / 150
			}),
			medianOf(eight, func(r *admissionsim.Result) float64 { return mean(r, 15, 20, r.InFlightByInterval) }),
			medianOf(eight, func(r *admissionsim.Result) float64 {
				return mean(r, 21, 30, r.Clients[0].WithinObjectiveByInterval) / steady
			}),
			medianOf(eight, func(r *admissionsim.Result) float64 {
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

// printRetryStorm compares the recovery from a retry storm: three times the load for ten seconds, then 0.7 of the capacity again.
func printRetryStorm(out io.Writer, rounds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "gate\tclients\tgoodput before\tin the storm\tafter\ts to 0.95 of before\ttries a request in the storm\tkept of promised\t")
	for _, obeys := range []bool{false, true} {
		clients := tenants(tenantCount, 42)
		for i := range clients {
			clients[i].HonorsRetryAfter, clients[i].MarksRetries, clients[i].MaxAttempts = obeys, true, 4
			more := clients[i]
			more.Rate, more.From, more.To = 138, 10*time.Second, 20*time.Second
			clients = append(clients, more)
		}
		behavior := "come back at once"
		if obeys {
			behavior = "come back when told"
		}
		for _, g := range []admissionVariant{queueVariants[0], queueVariants[1], queueVariants[len(queueVariants)-1]} {
			all, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
				return admissionsim.Play(admissionRun(clients, nil, seed), g.make(seed))
			})
			if err != nil {
				return err
			}
			at := func(r *admissionsim.Result, from, to int) float64 {
				sum := 0.0
				for _, c := range r.Clients {
					for _, v := range c.WithinObjectiveByInterval[from:to] {
						sum += v
					}
				}
				return sum / float64(to-from)
			}
			before := medianOf(all, func(r *admissionsim.Result) float64 { return at(r, 2, 10) })
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t\n", g.name, behavior, before,
				medianOf(all, func(r *admissionsim.Result) float64 { return at(r, 11, 20) }),
				medianOf(all, func(r *admissionsim.Result) float64 { return at(r, 22, 30) }),
				medianOf(all, func(r *admissionsim.Result) float64 {
					for i := 20; i < 30; i++ {
						if at(r, i, i+1) >= 0.95*before {
							return float64(i - 20)
						}
					}
					return 10
				}),
				medianOf(all, func(r *admissionsim.Result) float64 {
					asked, first := 0, 0
					for _, c := range r.Clients[tenantCount:] {
						asked, first = asked+c.Attempts, first+c.FirstRequests
					}
					return float64(asked) / float64(max(1, first))
				}), medianOf(all, reservationsKept))
		}
	}
	return w.Flush()
}
