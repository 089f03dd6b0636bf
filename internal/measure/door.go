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
	doorNodes = 24
	doorWork  = 20 * time.Millisecond // so that the nodes do 1,200 such requests a second
	counters  = 20
	doorSpan  = 30 * time.Second
)

var doorClasses = []balancer.Class{{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}

func doorSettings() balancer.Settings {
	return balancer.Settings{MaxAttempts: 3, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second,
		ConnectTimeout: time.Second, Tick: time.Millisecond}
}

// namedGate is a kind of gate by name.
type namedGate struct {
	name string
	make func(seed uint64) admissionsim.AdmissionControl
}

func ourDoor(change func(*admission.Options)) func(uint64) admissionsim.AdmissionControl {
	return func(seed uint64) admissionsim.AdmissionControl {
		o := admission.Default()
		o.PrincipalSources = []string{"tenant"}
		if change != nil {
			change(&o)
		}
		return admission.New(o, doorClasses, seed)
	}
}

const doorPlaces = 48 // of the fixed limits beside: twice the nodes

// disciplines are ours and those beside it, all but the first two with one fixed limit, so that the order alone differs.
var disciplines = []namedGate{
	{"no door", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), admissionsim.Fixed(1<<30), 1<<30)
	}},
	{"FIFO", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), admissionsim.Fixed(doorPlaces), 256)
	}},
	{"CoDel with adaptive LIFO", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewCoDel(), admissionsim.Fixed(doorPlaces), 256)
	}},
	{"stochastic, 64 queues", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewShuffleSharded(64, 1), admissionsim.Fixed(doorPlaces), 256)
	}},
	{"shuffle-sharded, hands of 6 of 64", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewShuffleSharded(64, 6), admissionsim.Fixed(doorPlaces), 256)
	}},
	{"deficit round robin", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewDRR(), admissionsim.Fixed(doorPlaces), 256)
	}},
	{"door, the same fixed limit", ourDoor(func(o *admission.Options) { o.MinLimit, o.MaxLimit = doorPlaces, doorPlaces })},
	{"door", ourDoor(nil)},
}

// limits are ours and those beside it, all with one principal.
var limits = []namedGate{
	{"fixed at 48", func(uint64) admissionsim.AdmissionControl {
		return admissionsim.NewQueue(admissionsim.NewFIFO(), admissionsim.Fixed(doorPlaces), 256)
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
	{"door", ourDoor(func(o *admission.Options) { o.PrincipalSources = []string{"tenant"} })},
}

func quiet(n int, rate float64) (c []admissionsim.Client) {
	for i := range n {
		c = append(c, admissionsim.Client{Group: fmt.Sprintf("counter-%02d", i), Class: "search", MeanServiceTime: doorWork, Rate: rate, MaxAttempts: 3, HonorsRetryAfter: true})
	}
	return c
}

func doorRun(clients []admissionsim.Client, slow func(time.Duration) float64, seed uint64) admissionsim.Run {
	return admissionsim.Run{Nodes: doorNodes, Classes: doorClasses, Settings: doorSettings(), Clients: clients, Slowdown: slow,
		Length: doorSpan, Seed: seed}
}

// Door prints what disciplines at the door, limits and repeats come to, in virtual time with the real module.
func Door(o Options) error {
	for _, part := range []func(io.Writer, int) error{doorFair, doorHints, doorLimits, doorRetries} {
		if err := part(o.Out, o.Rounds); err != nil {
			return err
		}
		fmt.Fprintln(o.Out)
	}
	return nil
}

// eachSeed plays a gate with some seeds, on all cores, and returns what became of them in their order.
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

// medianBy is the median of a figure.
func medianBy[T any](of []T, figure func(T) float64) float64 {
	x := make([]float64, len(of))
	for i, v := range of {
		x[i] = figure(v)
	}
	slices.Sort(x)
	return x[len(x)/2]
}

// counted is the mean share in time of the first n clients.
func counted(r *admissionsim.Result, n int) float64 {
	in, first := 0, 0
	for _, c := range r.Clients[:n] {
		in, first = in+c.WithinObjective, first+c.FirstRequests
	}
	return float64(in) / float64(max(1, first))
}

func answersOf(r *admissionsim.Result, n int) (x []float64) {
	for _, c := range r.Clients[:n] {
		x = append(x, float64(c.WithinObjective))
	}
	return x
}

// doorFair is the wish's own case, and equal demand above capacity.
func doorFair(out io.Writer, rounds int) error {
	flood := append(quiet(counters, 20), admissionsim.Client{Group: "script", Class: "search", MeanServiceTime: doorWork, ClosedLoops: 400,
		Rate: 1200.0 / (counters + 1) * 50, MaxAttempts: 3})
	greedy := quiet(counters, 120)
	shops := quiet(counters, 20)
	for i := range 200 {
		shops = append(shops, admissionsim.Client{Group: "shop", Flow: fmt.Sprint(i), Class: "search", MeanServiceTime: doorWork, Rate: 30, MaxAttempts: 3})
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "discipline\tcounters in time\tof alone\tp99 ms\tscript's answers a second\tJain, 20 x 2 times capacity\tgoodput there\tkept of promised\twork wasted\t")
	alone, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
		return admissionsim.Play(doorRun(quiet(counters, 20), nil, seed), disciplines[0].make(seed))
	})
	if err != nil {
		return err
	}
	base := medianOf(alone, func(r *admissionsim.Result) float64 { return counted(r, counters) })
	for _, g := range disciplines {
		a, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(doorRun(flood, nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		b, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(doorRun(greedy, nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		in := medianOf(a, func(r *admissionsim.Result) float64 { return counted(r, counters) })
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.3f\t%.3f\t\n", g.name, in, admissionsim.RelativeTo(in, base),
			medianOf(a, func(r *admissionsim.Result) float64 { return float64(r.Clients[0].Quantile(0.99).Milliseconds()) }),
			medianOf(a, func(r *admissionsim.Result) float64 {
				return float64(r.Clients[counters].WithinObjective+r.Clients[counters].Late) / doorSpan.Seconds()
			}),
			medianOf(b, func(r *admissionsim.Result) float64 { return admissionsim.Jain(answersOf(r, counters)) }),
			medianOf(b, func(r *admissionsim.Result) float64 { return goodput(r) }),
			medianOf(b, keptOf), medianOf(b, func(r *admissionsim.Result) float64 { return r.Wasted }))
	}
	return w.Flush()
}

func goodput(r *admissionsim.Result) float64 {
	n := 0
	for _, c := range r.Clients {
		n += c.WithinObjective
	}
	return float64(n) / doorSpan.Seconds()
}

func keptOf(r *admissionsim.Result) float64 {
	told, kept := 0, 0
	for _, c := range r.Clients {
		told, kept = told+c.ReservedReturns, kept+c.ReservedServed
	}
	return float64(kept) / float64(max(1, told))
}

// doorHints is whether a false hint pays: ten clients that say what it costs, one that says a tenth, one ten times that.
func doorHints(out io.Writer, rounds int) error {
	var clients []admissionsim.Client
	for i := range 12 {
		hint := 1.0
		switch i {
		case 0:
			hint = 0.1
		case 1:
			hint = 10
		}
		clients = append(clients, admissionsim.Client{Group: fmt.Sprint(i), Class: "search", MeanServiceTime: doorWork, Rate: 200, HintFactor: hint, MaxAttempts: 1})
	}
	all, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
		return admissionsim.Play(doorRun(clients, nil, seed), ourDoor(nil)(seed))
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

// doorLimits is the limits over a day: calm, three times too much, nodes slower by eight, and back.
func doorLimits(out io.Writer, rounds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "limit\tgoodput at 0.7\tat 3 times\tmean in hand\tp50 ms\tslower by 8, of what can be\tin hand\tback, of 3 times\ts to 0.9 of it\t")
	load := func(rate float64) []admissionsim.Client {
		return []admissionsim.Client{{Group: "all", Class: "search", MeanServiceTime: doorWork, Rate: rate, MaxAttempts: 1}}
	}
	slow := func(t time.Duration) float64 {
		if t >= 10*time.Second && t < 20*time.Second {
			return 8
		}
		return 1
	}
	for _, g := range limits {
		calm, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(doorRun(load(840), nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		over, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(doorRun(load(3600), nil, seed), g.make(seed))
		})
		if err != nil {
			return err
		}
		eight, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
			return admissionsim.Play(doorRun(load(3600), slow, seed), g.make(seed))
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

// doorRetries is a storm: three times the load for ten seconds, from clients that try three times, then 0.7 of it again.
func doorRetries(out io.Writer, rounds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "gate\tclients\tgoodput before\tin the storm\tafter\ts to 0.95 of before\ttries a request in the storm\tkept of promised\t")
	for _, obeys := range []bool{false, true} {
		clients := quiet(counters, 42)
		for i := range clients {
			clients[i].HonorsRetryAfter, clients[i].MarksRetries, clients[i].MaxAttempts = obeys, true, 4
			more := clients[i]
			more.Rate, more.From, more.To = 138, 10*time.Second, 20*time.Second
			clients = append(clients, more)
		}
		who := "come back at once"
		if obeys {
			who = "come back when told"
		}
		for _, g := range []namedGate{disciplines[0], disciplines[1], disciplines[len(disciplines)-1]} {
			all, err := eachSeed(rounds, func(seed uint64) (*admissionsim.Result, error) {
				return admissionsim.Play(doorRun(clients, nil, seed), g.make(seed))
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
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t\n", g.name, who, before,
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
					for _, c := range r.Clients[counters:] {
						asked, first = asked+c.Attempts, first+c.FirstRequests
					}
					return float64(asked) / float64(max(1, first))
				}), medianOf(all, keptOf))
		}
	}
	return w.Flush()
}
