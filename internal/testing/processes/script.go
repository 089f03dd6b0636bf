package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Deed is what a step does.
type Deed string

// Deeds. Each lasts for the step's For, where it has an end.
const (
	Kill      Deed = "kill"         // SIGKILL; started again after For with its disk
	KillBare  Deed = "kill-bare"    // the same, with an empty directory
	Pause     Deed = "pause"        // SIGSTOP, and SIGCONT after For
	Terminate Deed = "terminate"    // SIGTERM; started again after For once it has ended
	Replace   Deed = "replace"      // a successor beside it, then SIGTERM
	DropBoth  Deed = "drop"         // a link, both ways
	DropOut   Deed = "drop-out"     // one way
	DropBack  Deed = "drop-back"    // the other way
	Slow      Deed = "slow"         // a link, by Lag and up to Lag more each way
	Hang      Deed = "hang"         // what is connected, for ever
	Reset     Deed = "reset"        // what is connected
	CutOut    Deed = "cut"          // in the middle of a message, after Bytes
	Part      Deed = "part"         // all links between Group and the others, both ways
	PartOne   Deed = "part-one-way" // all links from Group to the others, and back over links of the others
)

// Step is one deed.
type Step struct {
	At    time.Duration `json:"at"`
	Do    Deed          `json:"do"`
	Who   string        `json:"who,omitempty"` // a process or a link
	Group []string      `json:"group,omitempty"`
	For   time.Duration `json:"for,omitempty"`
	Lag   time.Duration `json:"lag,omitempty"`
	Bytes int           `json:"bytes,omitempty"`
}

// Mix says what is drawn, and how.
type Mix struct {
	Processes, Links []string
	Length           time.Duration    // all steps have ended by then
	Every            time.Duration    // a step begins, on average
	Shortest         time.Duration    // a fault
	Longest          time.Duration    // a fault
	Weights          map[Deed]float64 // by which deeds are drawn; those without one are not
	Down             int              // processes that are down or stopped at once, at most
}

// Draw makes a script: the same seed and Mix give the same one. No process is given a second deed before the first has ended, and no link.
func Draw(seed uint64, m Mix) []Step {
	rng := rand.New(rand.NewPCG(seed, 0x70726f6373))
	deeds := make([]Deed, 0, len(m.Weights))
	total := 0.0
	for d, w := range m.Weights {
		deeds, total = append(deeds, d), total+w
	}
	slices.Sort(deeds) // a map's order is nobody's
	var out []Step
	free := map[string]time.Duration{} // until when each is busy
	down := func(at time.Duration) (n int) {
		for _, p := range m.Processes {
			if free[p] > at {
				n++
			}
		}
		return n
	}
	for at := time.Duration(0); total > 0; {
		at += time.Duration(rng.ExpFloat64() * float64(m.Every))
		s := Step{At: at, For: m.Shortest + time.Duration(rng.Float64()*float64(m.Longest-m.Shortest))}
		if at+s.For >= m.Length {
			return out
		}
		x := rng.Float64() * total
		for _, d := range deeds {
			if s.Do = d; x < m.Weights[d] {
				break
			}
			x -= m.Weights[d]
		}
		var from []string
		switch s.Do {
		case Kill, KillBare, Pause, Terminate, Replace:
			if down(at) >= m.Down {
				continue
			}
			from = m.Processes
		case Part, PartOne:
			group := slices.Clone(m.Processes)
			rng.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
			s.Group = group[:1+rng.IntN(max(1, len(group)/2))]
			slices.Sort(s.Group)
			if free["parts"] > at {
				continue
			}
			free["parts"] = at + s.For
			out = append(out, s)
			continue
		default:
			from = m.Links
		}
		if len(from) == 0 {
			continue
		}
		if s.Who = from[rng.IntN(len(from))]; free[s.Who] > at {
			continue
		}
		free[s.Who] = at + s.For
		switch s.Do {
		case Slow:
			s.Lag = time.Duration(rng.Float64() * float64(s.For) / 4)
		case CutOut:
			s.Bytes = rng.IntN(2000)
		}
		out = append(out, s)
	}
	return out
}

// Play does the steps of a script at their times, and returns once all have ended: everything runs again, and all links carry.
func (r *Rig) Play(ctx context.Context, script []Step) error {
	type due struct {
		at   time.Duration
		what string
		do   func() error
	}
	var all []due
	for _, s := range script {
		begin, end, err := r.deed(ctx, s)
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

// deed is what a step does at its beginning and, where that is not nil, at its end.
func (r *Rig) deed(ctx context.Context, s Step) (begin, end func() error, err error) {
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
	return nil, nil, fmt.Errorf("no such deed: %q", s.Do)
}

// part cuts a group of processes off from the others, or joins them again. One way: what the group says is lost, what it is told comes.
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
