package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// FaultKind is what befalls nodes.
type FaultKind string

// The kinds.
const (
	Slow       FaultKind = "slow"      // work takes Factor times as long
	Freeze     FaultKind = "freeze"    // nothing is worked on, nothing answered
	Errors     FaultKind = "errors"    // an error at once: it ran
	Reject     FaultKind = "turn away" // turned away at once: it did not run
	Crash      FaultKind = "crash"     // gone without a word, and back cold; the list tells late
	Deploy     FaultKind = "deploy"    // drained one after another, and back cold
	Partition  FaultKind = "cut"       // a zone reaches the others no more, nor they it
	ZoneOutage FaultKind = "lost"      // a zone's machines vanish and say nothing; back cold, and the list tells late of both
)

// FaultKinds are all.
var FaultKinds = []FaultKind{Slow, Freeze, Errors, Reject, Crash, Deploy, Partition, ZoneOutage, Kill}

// Fault is what befalls a part of the nodes for a time.
type Fault struct {
	Kind     FaultKind
	At       time.Duration // since the run's begin
	Duration time.Duration // Deploy: in which all of them are drained; Crash: how long each is away
	Fraction float64       // of all nodes, drawn by chance; Cut, Lost: Zone's nodes
	Zone     int
	Factor   float64 // of Slow
}

// Zonal tells whether a kind befalls a zone's nodes, and not a part of all.
func (k FaultKind) Zonal() bool { return k == Partition || k == ZoneOutage }

func (s *simulation) scheduleFaults() {
	for _, f := range s.run.Faults {
		if f.Kind == Kill {
			s.scheduleKills(f)
			continue
		}
		var of []*node
		if f.Kind.Zonal() {
			for _, n := range s.nodes {
				if n.index%s.run.Zones == f.Zone {
					of = append(of, n)
				}
			}
		} else {
			for _, i := range s.rng.Perm(len(s.nodes))[:int(f.Fraction*float64(len(s.nodes))+0.5)] {
				of = append(of, s.nodes[i])
			}
		}
		for i, n := range of {
			n.restarted = n.restarted || f.Kind == Crash || f.Kind == Deploy || f.Kind == ZoneOutage
			switch f.Kind {
			case Crash, ZoneOutage:
				s.After(f.At, func() { s.crashNode(n, f.Duration, f.Kind == ZoneOutage) })
			case Deploy:
				s.After(f.At+f.Duration*time.Duration(i)/time.Duration(len(of)), func() { s.redeployNode(n) })
			default:
				s.After(f.At, func() { n.faults = append(n.faults, &f) })
				s.After(f.At+f.Duration, func() {
					n.faults = slices.DeleteFunc(n.faults, func(x *Fault) bool { return x == &f })
					s.serveQueue(n)
				})
			}
		}
	}
}

func (n *node) fault(k FaultKind) *Fault {
	for _, f := range n.faults {
		if f.Kind == k {
			return f
		}
	}
	return nil
}

func (s *simulation) crashNode(n *node, away time.Duration, silent bool) {
	if !n.up {
		return
	}
	n.silent = silent
	s.stopNode(n)
	s.After(crashDetectionDelay, func() {
		if !n.up {
			s.announceStatus(n, endpoints.StatusGone)
		}
	})
	s.After(max(away, crashDetectionDelay+maxListDelay), func() { s.startNode(n) })
}

func (s *simulation) redeployNode(n *node) {
	if !n.up {
		return
	}
	s.announceStatus(n, endpoints.StatusTerminating)
	s.After(maxListDelay+drainTime, func() {
		s.stopNode(n)
		s.announceStatus(n, endpoints.StatusGone)
		s.After(s.run.RestartDowntime, func() { s.startNode(n) })
	})
}

// scheduleRestarts has a part of the nodes drain, go, and come back cold.
func (s *simulation) scheduleRestarts() {
	if s.run.RestartAt == 0 {
		return
	}
	for _, i := range s.rng.Perm(len(s.nodes))[:int(s.run.RestartFraction*float64(len(s.nodes)))] {
		n := s.nodes[i]
		s.After(s.run.RestartAt+time.Duration(s.rng.Int64N(int64(s.run.RestartOver)+1)), func() {
			n.restarted = true
			s.announceStatus(n, endpoints.StatusTerminating)
			s.After(maxListDelay+drainTime, func() {
				s.stopNode(n)
				s.announceStatus(n, endpoints.StatusGone)
				s.After(s.run.RestartDowntime, func() {
					n.up, n.startedAt = true, s.Now()
					s.announceStatus(n, endpoints.StatusReady)
				})
			})
		})
	}
}

// resize has the list lose its last nodes, or get them back.
func (s *simulation) resize(size int) {
	for i, n := range s.nodes {
		switch {
		case i >= size && n.up:
			n.restarted = true
			s.announceStatus(n, endpoints.StatusTerminating)
			s.After(maxListDelay+drainTime, func() { s.stopNode(n); s.announceStatus(n, endpoints.StatusGone) })
		case i < size && !n.up && !n.overloaded:
			n.up, n.startedAt = true, s.Now()
			s.announceStatus(n, endpoints.StatusReady)
		}
	}
}
