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

// The kinds of steps. Those that have an end last for Step.For.
const (
	Kill      StepKind = "kill"         // SIGKILL; started again after For with its disk
	KillBare  StepKind = "kill-bare"    // the same, with an empty directory
	Pause     StepKind = "pause"        // SIGSTOP, and SIGCONT after For
	Terminate StepKind = "terminate"    // SIGTERM; started again after For once it has ended
	Replace   StepKind = "replace"      // a new process beside it, then SIGTERM
	DropBoth  StepKind = "drop"         // a link, both ways
	DropOut   StepKind = "drop-out"     // one way
	DropBack  StepKind = "drop-back"    // the other way
	Slow      StepKind = "slow"         // a link, by Lag and up to Lag more each way
	Hang      StepKind = "hang"         // all connections, for ever
	Reset     StepKind = "reset"        // all connections
	CutOut    StepKind = "cut"          // in the middle of a message, after Bytes
	Part      StepKind = "part"         // all links between Group and the others, both ways
	PartOne   StepKind = "part-one-way" // all links from Group to the others, and back over links of the others
)

// Step is a fault or restart at a time.
type Step struct {
	At    time.Duration `json:"at"`
	Do    StepKind      `json:"do"`
	Who   string        `json:"who,omitempty"` // a process or a link
	Group []string      `json:"group,omitempty"`
	For   time.Duration `json:"for,omitempty"`
	Lag   time.Duration `json:"lag,omitempty"`
	Bytes int           `json:"bytes,omitempty"`
}

// Mix holds the parameters by which Draw makes a script.
type Mix struct {
	Processes, Links []string
	Length           time.Duration        // all steps have ended by then
	Every            time.Duration        // a step begins, on average
	Shortest         time.Duration        // a fault
	Longest          time.Duration        // a fault
	Weights          map[StepKind]float64 // relative frequencies of the kinds
	Down             int                  // maximum of processes that are down or stopped at the same time
}

// Draw returns the script of a seed: the same seed and Mix give the same one. A process or link gets no second fault before its first has
// ended.
func Draw(seed uint64, m Mix) []Step {
	d := drawer{mix: m, rng: rand.New(rand.NewPCG(seed, 0x70726f6373)), busyUntil: map[string]time.Duration{}}
	for kind, weight := range m.Weights {
		d.kinds, d.totalWeight = append(d.kinds, kind), d.totalWeight+weight
	}
	slices.Sort(d.kinds) // map iteration order is random
	var steps []Step
	for at := time.Duration(0); d.totalWeight > 0; {
		at += time.Duration(d.rng.ExpFloat64() * float64(m.Every))
		s := Step{At: at, For: m.Shortest + time.Duration(d.rng.Float64()*float64(m.Longest-m.Shortest))}
		if at+s.For >= m.Length {
			break
		}
		s.Do = d.kind()
		if d.complete(&s) {
			steps = append(steps, s)
		}
	}
	return steps
}

// partitions is the key of the one partition at a time in drawer.busyUntil.
const partitions = "parts"

// drawer draws the steps of a script one after another.
type drawer struct {
	mix         Mix
	rng         *rand.Rand
	kinds       []StepKind // sorted
	totalWeight float64
	busyUntil   map[string]time.Duration // end of the last fault by process or link
}

// kind draws a kind by the weights.
func (d *drawer) kind() (kind StepKind) {
	x := d.rng.Float64() * d.totalWeight
	for _, kind = range d.kinds {
		if x < d.mix.Weights[kind] {
			break
		}
		x -= d.mix.Weights[kind]
	}
	return kind
}

// complete draws the target and the parameters of a step; false: it cannot take place at its time.
func (d *drawer) complete(s *Step) bool {
	switch s.Do {
	case Kill, KillBare, Pause, Terminate, Replace:
		return d.down(s.At) < d.mix.Down && d.target(s, d.mix.Processes)
	case Part, PartOne:
		return d.partition(s)
	}
	if !d.target(s, d.mix.Links) {
		return false
	}
	switch s.Do {
	case Slow:
		s.Lag = time.Duration(d.rng.Float64() * float64(s.For) / 4)
	case CutOut:
		s.Bytes = d.rng.IntN(2000)
	}
	return true
}

// down returns the number of processes that have a fault at a time.
func (d *drawer) down(at time.Duration) (n int) {
	for _, p := range d.mix.Processes {
		if d.busyUntil[p] > at {
			n++
		}
	}
	return n
}

// partition draws the group of a partition; false: another partition lasts.
func (d *drawer) partition(s *Step) bool {
	group := slices.Clone(d.mix.Processes)
	d.rng.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	s.Group = group[:1+d.rng.IntN(max(1, len(group)/2))]
	slices.Sort(s.Group)
	return d.reserve(partitions, s)
}

// target draws the process or link of a step; false: there is none, or it has a fault.
func (d *drawer) target(s *Step, names []string) bool {
	if len(names) == 0 {
		return false
	}
	s.Who = names[d.rng.IntN(len(names))]
	return d.reserve(s.Who, s)
}

// reserve marks a target as busy for the length of a step; false: it is busy already.
func (d *drawer) reserve(name string, s *Step) bool {
	if d.busyUntil[name] > s.At {
		return false
	}
	d.busyUntil[name] = s.At + s.For
	return true
}

// Play runs the steps of a script at their times, and returns after the end of all: all processes run again and all links are healed.
func (r *Rig) Play(ctx context.Context, script []Step) error {
	type due struct {
		at   time.Duration
		what string
		do   func() error
	}
	var all []due
	for _, s := range script {
		begin, end, err := r.stepActions(ctx, s)
		if err != nil {
			return err
		}
		all = append(all, due{s.At, string(s.Do) + " " + s.Who, begin})
		if end != nil {
			all = append(all, due{s.At + s.For, "end of " + string(s.Do) + " " + s.Who, end})
		}
	}
	slices.SortStableFunc(all, func(a, b due) int { return int(a.at - b.at) })
	begun := time.Now()
	for _, d := range all {
		select {
		case <-time.After(d.at - time.Since(begun)):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := d.do(); err != nil {
			return fmt.Errorf("%s: %w", d.what, err)
		}
	}
	return nil
}

// stepActions returns the actions of a step at its start and at its end; end is nil if there is none.
func (r *Rig) stepActions(ctx context.Context, s Step) (begin, end func() error, err error) {
	r.mu.Lock()
	p, l := r.processes[s.Who], r.links[s.Who]
	r.mu.Unlock()
	switch s.Do {
	case Kill, KillBare, Pause, Terminate, Replace:
		if p == nil {
			return nil, nil, fmt.Errorf("%s %q: no such process", s.Do, s.Who)
		}
	case Part, PartOne:
	default:
		if l == nil {
			return nil, nil, fmt.Errorf("%s %q: no such link", s.Do, s.Who)
		}
	}
	again := func() error { return p.Start(ctx, nil) }
	set := func(out, back Fault) func() error {
		return func() error { l.Set(out, back); return nil }
	}
	heal := func() error { l.Heal(); return nil }
	switch s.Do {
	case Kill:
		return func() error { return p.Kill(ctx) }, again, nil
	case KillBare:
		return func() error { return p.Kill(ctx) }, func() error {
			if err := p.Forget(); err != nil {
				return err
			}
			return again()
		}, nil
	case Pause:
		return func() error { return p.Signal(syscall.SIGSTOP) }, func() error { return p.Signal(syscall.SIGCONT) }, nil
	case Terminate:
		return func() error { return p.Signal(syscall.SIGTERM) }, func() error {
			if err := p.Await(ctx); err != nil {
				return err
			}
			return again()
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
		return func() error { r.part(s.Group, s.Do == PartOne, true); return nil },
			func() error { r.part(s.Group, s.Do == PartOne, false); return nil }, nil
	}
	return nil, nil, fmt.Errorf("no such kind: %q", s.Do)
}

// part begins or ends a partition between a group of processes and the others. With oneWay only what the group sends is lost.
func (r *Rig) part(group []string, oneWay, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		out, back := slices.Contains(group, l.from), slices.Contains(group, l.to)
		if out == back {
			continue
		}
		lost := Fault{Drop: on}
		if !oneWay {
			l.Set(lost, lost)
		} else if out {
			l.Set(lost, Fault{})
		} else {
			l.Set(Fault{}, lost)
		}
	}
}
