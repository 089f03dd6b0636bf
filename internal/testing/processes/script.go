package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// StepKind is the kind of a step.
type StepKind string

// The kinds of steps. A fault with a duration ends after Step.For.
const (
	Kill      StepKind = "kill"         // SIGKILL to a process, which starts again after For in the same directory
	KillBare  StepKind = "kill-bare"    // as Kill, but the directory is emptied before the process starts again
	Pause     StepKind = "pause"        // SIGSTOP to a process, and SIGCONT after For
	Terminate StepKind = "terminate"    // SIGTERM to a process, which starts again once For has passed and the old run has ended
	Replace   StepKind = "replace"      // starts a new run of a process, then sends SIGTERM to the old run
	DropBoth  StepKind = "drop"         // a link drops both directions
	DropOut   StepKind = "drop-out"     // a link drops the direction Out
	DropBack  StepKind = "drop-back"    // a link drops the direction Back
	Slow      StepKind = "slow"         // a link delays each direction by Lag, plus a random time of up to Lag
	Hang      StepKind = "hang"         // all open connections of a link hang until they are reset after For
	Reset     StepKind = "reset"        // all open connections of a link are reset
	CutOut    StepKind = "cut"          // a link resets a connection after it has forwarded Bytes more bytes in the direction Out
	Part      StepKind = "part"         // links between Group and the other processes drop both directions
	PartOne   StepKind = "part-one-way" // links between Group and the other processes drop the bytes that Group sends
)

// Step is a fault, or a restart of a process, at a given time of a script.
type Step struct {
	At    time.Duration `json:"at"`
	Do    StepKind      `json:"do"`
	Who   string        `json:"who,omitempty"` // the process or link that the step affects
	Group []string      `json:"group,omitempty"`
	For   time.Duration `json:"for,omitempty"`
	Lag   time.Duration `json:"lag,omitempty"`
	Bytes int           `json:"bytes,omitempty"`
}

// Mix holds the parameters with which Draw generates a script.
type Mix struct {
	Processes, Links []string
	Length           time.Duration        // length of the script; all faults end before the script ends
	Every            time.Duration        // mean time between the starts of steps
	Shortest         time.Duration        // minimum length of a fault
	Longest          time.Duration        // maximum length of a fault
	Weights          map[StepKind]float64 // relative frequencies of the kinds
	Down             int                  // maximum number of processes that are down or stopped at the same time
}

// Draw returns a random script. The same seed and Mix give the same script. A process or link never has two faults at the same time.
func Draw(seed uint64, m Mix) []Step {
	g := scriptGenerator{mix: m, rng: rand.New(rand.NewPCG(seed, 0x70726f6373)), busyUntil: map[string]time.Duration{}}
	for kind, weight := range m.Weights {
		g.kinds, g.totalWeight = append(g.kinds, kind), g.totalWeight+weight
	}
	slices.Sort(g.kinds) // the order in which a map is iterated is random
	var steps []Step
	for at := time.Duration(0); g.totalWeight > 0; {
		at += time.Duration(g.rng.ExpFloat64() * float64(m.Every))
		s := Step{At: at, For: m.Shortest + time.Duration(g.rng.Float64()*float64(m.Longest-m.Shortest))}
		if at+s.For >= m.Length {
			break
		}
		s.Do = g.kind()
		if g.complete(&s) {
			steps = append(steps, s)
		}
	}
	return steps
}

// partitions is the key for partitions in scriptGenerator.busyUntil. Only one partition lasts at a time.
const partitions = "parts"

// scriptGenerator draws the steps of a script one after another.
type scriptGenerator struct {
	mix         Mix
	rng         *rand.Rand
	kinds       []StepKind // sorted
	totalWeight float64
	busyUntil   map[string]time.Duration // end of the last fault of each process or link
}

// kind draws the kind of a step according to Mix.Weights.
func (g *scriptGenerator) kind() (kind StepKind) {
	x := g.rng.Float64() * g.totalWeight
	for _, kind = range g.kinds {
		if x < g.mix.Weights[kind] {
			break
		}
		x -= g.mix.Weights[kind]
	}
	return kind
}

// complete draws the target and the parameters of a step. It returns false if no such step can begin at its time.
func (g *scriptGenerator) complete(s *Step) bool {
	switch s.Do {
	case Kill, KillBare, Pause, Terminate, Replace:
		return g.down(s.At) < g.mix.Down && g.target(s, g.mix.Processes)
	case Part, PartOne:
		return g.partition(s)
	}
	if !g.target(s, g.mix.Links) {
		return false
	}
	switch s.Do {
	case Slow:
		s.Lag = time.Duration(g.rng.Float64() * float64(s.For) / 4)
	case CutOut:
		s.Bytes = g.rng.IntN(2000)
	}
	return true
}

// down returns the number of processes that have a fault at a given time.
func (g *scriptGenerator) down(at time.Duration) (n int) {
	for _, p := range g.mix.Processes {
		if g.busyUntil[p] > at {
			n++
		}
	}
	return n
}

// partition draws the group of processes of a partition. It returns false if an earlier partition has not ended.
func (g *scriptGenerator) partition(s *Step) bool {
	group := slices.Clone(g.mix.Processes)
	g.rng.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	s.Group = group[:1+g.rng.IntN(max(1, len(group)/2))]
	slices.Sort(s.Group)
	return g.reserve(partitions, s)
}

// target draws the process or link of a step. It returns false if names is empty, or if the drawn process or link has a fault already.
func (g *scriptGenerator) target(s *Step, names []string) bool {
	if len(names) == 0 {
		return false
	}
	s.Who = names[g.rng.IntN(len(names))]
	return g.reserve(s.Who, s)
}

// reserve marks a target as busy for the length of a step. It returns false if the target is busy already.
func (g *scriptGenerator) reserve(name string, s *Step) bool {
	if g.busyUntil[name] > s.At {
		return false
	}
	g.busyUntil[name] = s.At + s.For
	return true
}

// Play runs the steps of a script at their times. It returns after the last step has ended, when all processes run and all links are
// healed.
func (r *Rig) Play(ctx context.Context, script []Step) error {
	type action struct {
		at   time.Duration
		what string
		do   func() error
	}
	var actions []action
	for _, s := range script {
		begin, end, err := r.stepActions(ctx, s)
		if err != nil {
			return err
		}
		actions = append(actions, action{s.At, string(s.Do) + " " + s.Who, begin})
		if end != nil {
			actions = append(actions, action{s.At + s.For, "end of " + string(s.Do) + " " + s.Who, end})
		}
	}
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.at - b.at) })
	begun := time.Now()
	for _, next := range actions {
		select {
		case <-time.After(next.at - time.Since(begun)):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := next.do(); err != nil {
			return fmt.Errorf("%s: %w", next.what, err)
		}
	}
	return nil
}

// stepActions returns the actions of a step at its start and at its end. The function end is nil if there is nothing to do at the end.
func (r *Rig) stepActions(ctx context.Context, s Step) (begin, end func() error, err error) {
	r.mu.Lock()
	p, l := r.processes[s.Who], r.links[s.Who]
	r.mu.Unlock()
	switch s.Do {
	case Kill, KillBare, Pause, Terminate, Replace:
		if p == nil {
			return nil, nil, fmt.Errorf("step %s %q: no such process", s.Do, s.Who)
		}
	case Part, PartOne:
	default:
		if l == nil {
			return nil, nil, fmt.Errorf("step %s %q: no such link", s.Do, s.Who)
		}
	}
	restart := func() error { return p.Start(ctx, nil) }
	set := func(out, back Fault) func() error {
		return func() error { l.Set(out, back); return nil }
	}
	heal := func() error { l.Heal(); return nil }
	switch s.Do {
	case Kill:
		return func() error { return p.Kill(ctx) }, restart, nil
	case KillBare:
		return func() error { return p.Kill(ctx) }, func() error {
			if err := p.Forget(); err != nil {
				return err
			}
			return restart()
		}, nil
	case Pause:
		return func() error { return p.Signal(syscall.SIGSTOP) }, func() error { return p.Signal(syscall.SIGCONT) }, nil
	case Terminate:
		return func() error { return p.Signal(syscall.SIGTERM) }, func() error {
			if err := p.Await(ctx); err != nil {
				return err
			}
			return restart()
		}, nil
	case Replace:
		return func() error { return p.Replace(ctx, nil) }, nil, nil
	case DropBoth:
		return set(Fault{Drop: true}, Fault{Drop: true}), heal, nil
	case DropOut:
		return set(Fault{Drop: true}, Fault{}), heal, nil
	case DropBack:
		return set(Fault{}, Fault{Drop: true}), heal, nil
	case Slow:
		f := Fault{Delay: s.Lag, Jitter: s.Lag}
		return set(f, f), heal, nil
	case Hang:
		return func() error { l.Hang(); return nil }, func() error { l.Reset(); return nil }, nil
	case Reset:
		return func() error { l.Reset(); return nil }, nil, nil
	case CutOut:
		return func() error { l.Cut(Out, s.Bytes); return nil }, heal, nil
	case Part, PartOne:
		return func() error { r.setPartition(s.Group, s.Do == PartOne, true); return nil },
			func() error { r.setPartition(s.Group, s.Do == PartOne, false); return nil }, nil
	}
	return nil, nil, fmt.Errorf("script has a step of the unknown kind %q", s.Do)
}

// setPartition starts or ends a partition between a group of processes and all others. If oneWay is set, the links drop only the bytes
// that the group sends.
func (r *Rig) setPartition(group []string, oneWay, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		fromGroup, toGroup := slices.Contains(group, l.from), slices.Contains(group, l.to)
		if fromGroup == toGroup {
			continue
		}
		drop := Fault{Drop: on}
		if !oneWay {
			l.Set(drop, drop)
		} else if fromGroup {
			l.Set(drop, Fault{})
		} else {
			l.Set(Fault{}, drop)
		}
	}
}
