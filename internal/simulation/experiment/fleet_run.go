package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/simulation/fleetsim"
	"orchiddrift/internal/units"
)

// Parameters that are the same in every run and cannot be set in an experiment file.
const (
	maxAttempts              = 3 // maximum attempts of a request, for every policy
	maxRetryAfter            = 5 * time.Second
	connectTimeout           = 500 * time.Millisecond
	balancerTick             = 5 * time.Millisecond
	overloadWindow           = 2 * time.Second
	lateValueFraction        = 0.5                    // value of an answer after the latency objective, relative to an answer within it
	defaultLatencyObjective  = 400 * time.Millisecond // latency objective of the only class if a file declares no classes
	defaultDeadline          = 2 * time.Second        // deadline of that class
	effectSafe, effectUnsafe = "safe", "unsafe"       // values of Class.Effect
)

// fleetRun returns the parameters of a run of a policy with a seed.
func (e *Experiment) fleetRun(policy string, seed int) (fleetsim.Run, error) {
	baseUtilization := e.Load.Utilization
	if baseUtilization == 0 {
		baseUtilization = 1 // avoids a division of the load steps by 0
	}
	run := fleetsim.Run{
		Sidecars:        e.Fleet.Sidecars,
		Nodes:           e.Fleet.Nodes,
		Zones:           e.Fleet.Zones,
		Rate:            baseUtilization * e.warmCapacity(),
		RateSteps:       []fleetsim.RateStep{{At: 0, Multiple: e.Load.Utilization / baseUtilization}},
		MeanServiceTime: e.Fleet.MeanServiceTime.D(),
		Length:          e.Length.D(),
		Seed:            uint64(seed),
		ConnectDelay:    e.Fleet.ConnectDelay.D(),
		RestartDowntime: e.Fleet.RestartDowntime.D(),
		Interval:        e.Interval.D(),
		MaxAttempts:     maxAttempts,
		CostHints:       e.Fleet.CostHints,
		Clients: fleetsim.Clients{
			MaxRetries:      e.Clients.MaxRetries,
			InitialBackoff:  e.Clients.InitialBackoff.D(),
			HonorRetryAfter: e.Clients.HonorRetryAfter,
		},
		Settings:  e.balancerSettings(policy),
		Discovery: e.discovery(),
		Faults:    e.faults(),
	}
	for _, step := range e.Load.Steps {
		run.RateSteps = append(run.RateSteps, fleetsim.RateStep{At: step.At.D(), Multiple: step.Utilization / baseUtilization})
	}
	run.Settings.Classes, run.ClassFractions = e.classes()
	if e.Fleet.Subset {
		run.Subset, run.IndexKnown = subset.Default(), true
		run.Subset.Enabled = true
	}
	if !isBalancer(policy) {
		if run.Policy = fleetsim.Policies[policy]; run.Policy == nil {
			return run, fmt.Errorf("there is no policy %q", policy)
		}
	}
	return run, nil
}

// balancerSettings returns the settings of the balancers, without the classes.
func (e *Experiment) balancerSettings(policy string) balancer.Settings {
	return balancer.Settings{
		MaxAttempts:          maxAttempts,
		HedgingAllowed:       policy != NoHedgingPolicy,
		CancellationAllowed:  true,
		RetryAfterAllowed:    true,
		MaxRetryAfter:        maxRetryAfter,
		ConnectTimeout:       connectTimeout,
		CrossZonePrice:       e.Fleet.CrossZonePrice,
		Tick:                 balancerTick,
		SlowStartMinCapacity: e.Fleet.SlowStartMinCapacity,
		SlowStartWindow:      e.Fleet.SlowStartWindow.D(),
		OverloadMultiple:     e.Fleet.OverloadMultiple,
		OverloadWindow:       overloadWindow,
	}
}

// classes returns the classes, and the fraction of the traffic of each class.
func (e *Experiment) classes() (classes []balancer.Class, fractions []float64) {
	declared := e.Classes
	if len(declared) == 0 {
		declared = []Class{{Name: "request", Weight: 1, Effect: effectSafe, LatencyObjective: units.Duration(defaultLatencyObjective), Deadline: units.Duration(defaultDeadline)}}
	}
	sum := 0.0
	for _, c := range declared {
		sum += c.Weight
	}
	for _, c := range declared {
		class := balancer.Class{
			Name:              c.Name,
			LatencyObjective:  c.LatencyObjective.D(),
			Deadline:          c.Deadline.D(),
			PriorityWeight:    1,
			LateValueFraction: lateValueFraction,
		}
		if c.Effect == effectUnsafe {
			class.Idempotency = balancer.NonIdempotent
		}
		classes, fractions = append(classes, class), append(fractions, c.Weight/sum)
	}
	return classes, fractions
}

// discovery returns the discovery service, or nil if the experiment has none.
func (e *Experiment) discovery() *fleetsim.Discovery {
	d := e.Discovery
	if d.TimeForAllCalls <= 0 {
		return nil
	}
	return &fleetsim.Discovery{
		LinesPerSecond: float64(e.Fleet.Sidecars*(e.Fleet.Nodes+d.LinesPerCall)) / d.TimeForAllCalls.D().Seconds(),
		LinesPerCall:   d.LinesPerCall,
		Timeout:        d.Timeout.D(),
		DownAt:         d.DownAt.D(),
		DownFor:        d.DownFor.D(),
	}
}

func (e *Experiment) faults() []fleetsim.Fault {
	var faults []fleetsim.Fault
	for _, f := range e.Faults {
		faults = append(faults, fleetsim.Fault{
			Kind:     fleetsim.FaultKind(f.Kind),
			At:       f.At.D(),
			Duration: f.Duration.D(),
			Fraction: f.Fraction,
			Zone:     f.Zone,
			Factor:   f.Factor,
		})
	}
	return faults
}

// warmCapacity returns the rate that all nodes together can serve when none is in slow start, in requests
// per second.
func (e *Experiment) warmCapacity() float64 {
	return float64(e.Fleet.Nodes) / e.Fleet.MeanServiceTime.D().Seconds()
}

// PolicyNames returns the policies that the experiment compares. If the file names none, it returns all
// policies.
func (e *Experiment) PolicyNames() []string {
	if len(e.Policies) > 0 {
		return e.Policies
	}
	all := []string{BalancerPolicy, NoHedgingPolicy}
	for name := range fleetsim.Policies {
		all = append(all, name)
	}
	slices.Sort(all[2:])
	return all
}

// errPanic is the error of a run whose policy panicked.
var errPanic = errors.New("it panicked")

// play simulates a run. It returns a panic of the run's policy as an error, so that the other runs continue.
func play(r fleetsim.Run) (result *fleetsim.Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	return fleetsim.Play(r)
}
