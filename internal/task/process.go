package task

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// SchedulerOptions are a Process's parameters.
type SchedulerOptions struct {
	MaxRuns         int           // runs at once
	Spread          time.Duration // processes ask for a due run within so long, each at its own moment; one that runs others asks later by so much for each
	RecheckInterval time.Duration // a task that somebody else has is looked at again so soon: it may have been lost
}

// Scheduler is one process's part in the fleet's tasks: when it asks for which. It is for one goroutine.
type Scheduler struct {
	o       SchedulerOptions
	rng     *rand.Rand
	tasks   []*mine // the most urgent first
	out     int     // asked for, or run
	running int
	drains  bool
}

type mine struct {
	name     string
	priority int
	at       time.Time // it is asked for; zero: never
	out      bool
	runs     bool
}

// NewScheduler returns one that knows no tasks.
func NewScheduler(o SchedulerOptions, rng *rand.Rand) *Scheduler { return &Scheduler{o: o, rng: rng} }

// Add has it ask for a task from now on. A higher priority goes first where there is not room for all.
func (p *Scheduler) Add(now time.Time, name string, priority int) {
	p.tasks = append(p.tasks, &mine{name: name, priority: priority, at: now.Add(p.delay())})
	slices.SortStableFunc(p.tasks, func(a, b *mine) int { return cmp.Compare(b.priority, a.priority) })
}

// delay is drawn anew for each due run.
func (p *Scheduler) delay() time.Duration {
	d := time.Duration(p.running) * p.o.Spread
	if p.o.Spread > 0 {
		d += time.Duration(p.rng.Int64N(int64(p.o.Spread)))
	}
	return d
}

// Due returns the tasks that are to be asked for now.
func (p *Scheduler) Due(now time.Time) (names []string) {
	for _, t := range p.tasks {
		if p.drains || p.out >= p.o.MaxRuns {
			break
		}
		if !t.out && !t.at.IsZero() && !now.Before(t.at) {
			t.out = true
			p.out++
			names = append(names, t.name)
		}
	}
	return names
}

// Next is when Ask may have something; false: not before something else happens.
func (p *Scheduler) Next() (time.Time, bool) {
	var next time.Time
	if p.drains || p.out >= p.o.MaxRuns {
		return next, false
	}
	for _, t := range p.tasks {
		if !t.out && !t.at.IsZero() && (next.IsZero() || t.at.Before(next)) {
			next = t.at
		}
	}
	return next, !next.IsZero()
}

func (p *Scheduler) find(name string) *mine {
	for _, t := range p.tasks {
		if t.name == name && t.out {
			return t
		}
	}
	return nil
}

// Started says that a task that was asked for runs here.
func (p *Scheduler) Started(name string) {
	if t := p.find(name); t != nil && !t.runs {
		t.runs = true
		p.running++
	}
}

func (p *Scheduler) back(name string) *mine {
	t := p.find(name)
	if t == nil {
		return nil
	}
	if t.runs {
		t.runs = false
		p.running--
	}
	t.out = false
	p.out--
	return t
}

// Waiting says that a task was asked for, and that nothing is due before at; zero: never again.
func (p *Scheduler) Waiting(name string, at time.Time) {
	if t := p.back(name); t != nil {
		if t.at = at; !at.IsZero() {
			t.at = at.Add(p.delay())
		}
	}
}

// HeldElsewhere says that somebody else has it, or that nobody could be asked.
func (p *Scheduler) HeldElsewhere(now time.Time, name string) {
	if t := p.back(name); t != nil {
		t.at = now.Add(p.o.RecheckInterval/2 + time.Duration(p.rng.Int64N(int64(p.o.RecheckInterval))))
	}
}

// Drain has it ask for nothing any more, or, with false, for all that is due.
func (p *Scheduler) Drain(on bool) { p.drains = on }
