package fleetsim

import (
	"slices"
	"time"

	"orchiddrift/internal/endpoints"
)

// FaultKind is a kind of fault. Its values appear in experiment files.
type FaultKind string

// The kinds of faults.
const (
	Slow       FaultKind = "slow"      // service times are multiplied by Factor
	Freeze     FaultKind = "freeze"    // the node serves and answers nothing
	Errors     FaultKind = "errors"    // every attempt fails at once after it was executed
	Reject     FaultKind = "turn away" // every attempt is rejected at once without being executed
	Crash      FaultKind = "crash"     // the process dies, and later restarts in slow start; the endpoint list changes after crashDetectionDelay
	Deploy     FaultKind = "deploy"    // nodes are drained one after another and restart in slow start
	Partition  FaultKind = "cut"       // a zone and the other zones cannot reach each other
	ZoneOutage FaultKind = "lost"      // like Crash for all machines of a zone, but connections get no response at all
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{Slow, Freeze, Errors, Reject, Crash, Deploy, Partition, ZoneOutage, Kill}

// Fault is a fault that affects some nodes or sidecars for a time.
type Fault struct {
	Kind     FaultKind
	At       time.Duration // time since the start
	Duration time.Duration // duration of the fault; for Deploy the time over which the drains are spread, for Crash the time until the restart
	Fraction float64       // fraction of the nodes, or for Kill of the sidecars, selected at random; not used by zonal kinds
	Zone     int           // index of the zone, for zonal kinds
	Factor   float64       // factor of Slow
}

// Zonal reports whether faults of a kind affect the nodes of one zone. Faults of other kinds affect a fraction of all nodes or sidecars.
func (k FaultKind) Zonal() bool { return k == Partition || k == ZoneOutage }

// scheduleFaults schedules the start and end of each of the run's faults.
func (s *simulation) scheduleFaults() {
	for _, f := range s.run.Faults {
		if f.Kind == Kill {
			s.scheduleKills(f)
			continue
		}
		affected := s.affectedNodes(f)
		for i, n := range affected {
			switch f.Kind {
			case Crash, ZoneOutage:
				n.restarted = true
				s.After(f.At, func() { s.crashNode(n, f.Duration, f.Kind == ZoneOutage) })
			case Deploy:
				n.restarted = true
				delay := f.Duration * time.Duration(i) / time.Duration(len(affected))
				s.After(f.At+delay, func() { s.redeployNode(n) })
			default:
				s.After(f.At, func() { n.faults = append(n.faults, &f) })
				s.After(f.At+f.Duration, func() {
					n.faults = slices.DeleteFunc(n.faults, func(other *Fault) bool { return other == &f })
					s.serveQueue(n)
				})
			}
		}
	}
}

// affectedNodes returns the nodes that a fault affects: those of its zone if its kind is zonal, or else a random fraction of all nodes.
func (s *simulation) affectedNodes(f Fault) []*node {
	var affected []*node
	if f.Kind.Zonal() {
		for _, n := range s.nodes {
			if n.index%s.run.Zones == f.Zone {
				affected = append(affected, n)
			}
		}
		return affected
	}
	for _, i := range s.rng.Perm(len(s.nodes))[:int(f.Fraction*float64(len(s.nodes))+0.5)] {
		affected = append(affected, s.nodes[i])
	}
	return affected
}

// fault returns the fault of a kind that currently affects the node, or nil if there is none.
func (n *node) fault(kind FaultKind) *Fault {
	for _, f := range n.faults {
		if f.Kind == kind {
			return f
		}
	}
	return nil
}

// crashNode stops a node without draining it, and starts it again after a downtime. The endpoint list changes after crashDetectionDelay.
// If silent is set, connections to the node get no response.
func (s *simulation) crashNode(n *node, downtime time.Duration, silent bool) {
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
	s.After(max(downtime, crashDetectionDelay+maxListDelay), func() { s.startNode(n) })
}

// redeployNode drains a node, stops it and starts it again after RestartDowntime.
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

// scheduleRestarts selects a random RestartFraction of the nodes. These nodes drain, stop and restart in slow start.
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

// resize changes the number of nodes. It drains and stops the nodes from index size on, and starts the nodes below size that are down.
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
