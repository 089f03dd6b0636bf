// Package subset decides which upstreams a sidecar knows as its own, so that what it holds open, and what an upstream has
// open of all sidecars, does not grow with the fleet. It is a state machine: lists, traffic and time in, changes of the
// smaller list out; no I/O, no clock, and no word between sidecars. docs/design/subset.md weighs the ways.
package subset

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/endpoints"
)

// Subset is the state machine. It is not safe for concurrent use.
type Subset struct {
	o      Options
	zone   string
	most   int
	all    map[string]endpoints.Endpoint // as listed, those that drain included
	home   *ring                         // of the own zone: upstreams that are ready
	away   *ring
	chosen map[string]endpoints.Endpoint // as told
	ending map[string]time.Time          // told as ending since they are no longer its own: when they go

	size  int       // upstreams that its traffic calls for now
	want  int       // the size that it goes by
	since time.Time // size has called for another one
	next  time.Time // when time alone changes something
	born  time.Time // when it had its first list
}

// RemovedGrace is how long an upstream that is no longer its own may finish what it has, before it is forgotten.
const RemovedGrace = 10 * time.Second

// New returns a Subset of a sidecar in a zone. self tells sidecars apart whose index is not known. descriptors is how many
// connections to upstreams there may be.
func New(o Options, self, zone string, descriptors int) *Subset {
	id := xxhash.Sum64String(self)
	s := &Subset{o: o, zone: zone, most: max(1, min(o.MaxSize, descriptors/descriptorPart)), all: map[string]endpoints.Endpoint{},
		home: newRing(id), away: newRing(id), chosen: map[string]endpoints.Endpoint{}, ending: map[string]time.Time{}}
	s.want = min(o.MinSize, s.most)
	s.size = s.want
	return s
}

// young is how long after its first list a Subset takes any larger size at once.
const young = 10 * time.Second

// descriptorPart: each upstream of its own may have this many connections, on average.
const descriptorPart = 5

// Update takes a list, whole or what changed in it, and returns what changes in the smaller one; nil: nothing.
func (s *Subset) Update(now time.Time, l *endpoints.List) *endpoints.List {
	if s.born.IsZero() {
		s.born = now
	}
	if l.Snapshot {
		listed := make(map[string]bool, len(l.Endpoints))
		for i := range l.Endpoints {
			listed[l.Endpoints[i].Name] = true
		}
		for name := range s.all {
			if !listed[name] {
				s.put(endpoints.Endpoint{Name: name, Status: endpoints.StatusGone})
			}
		}
	}
	for _, e := range l.Endpoints {
		s.put(e)
	}
	return s.choose(now)
}

func (s *Subset) put(e endpoints.Endpoint) {
	was, there := s.all[e.Name]
	if there && was.Status == endpoints.StatusReady {
		if e.Status == endpoints.StatusReady && s.ring(was) == s.ring(e) {
			s.all[e.Name] = e
			return
		}
		s.ring(was).remove(e.Name)
	}
	switch e.Status {
	case endpoints.StatusReady:
		s.ring(e).add(e.Name)
		s.all[e.Name] = e
	case endpoints.StatusTerminating:
		s.all[e.Name] = e
	default:
		delete(s.all, e.Name)
	}
}

func (s *Subset) ring(e endpoints.Endpoint) *ring {
	if s.zone == "" || e.Zone == s.zone {
		return s.home
	}
	return s.away
}

// Rate tells how many requests a second the sidecar has sent of late. A larger size is taken soon, since until then few
// upstreams carry all of it; a smaller one once it has been called for long enough. Sizes go by steps of two, so that sidecars
// with a little more traffic than others have the same.
func (s *Subset) Rate(now time.Time, perSecond float64) *endpoints.List {
	size := s.o.MinSize
	for float64(size) < perSecond*s.o.SampleInterval.D().Seconds() && size < s.most {
		size *= 2
	}
	size = min(size, s.most)
	if size == s.want {
		s.size, s.since = size, time.Time{}
		return s.tick(now)
	}
	if (size > s.want) != (s.size > s.want) || s.since.IsZero() {
		s.since = now
	}
	s.size = size
	wait := s.o.ShrinkDelay.D()
	if size > s.want {
		if wait = s.o.GrowDelay.D(); now.Sub(s.born) < young { // how much traffic there is has never been known yet
			wait = 0
		}
	}
	if now.Sub(s.since) < wait {
		return s.tick(now)
	}
	s.want, s.since = size, time.Time{}
	return s.choose(now)
}

// Tick lets time pass.
func (s *Subset) Tick(now time.Time) *endpoints.List { return s.tick(now) }

func (s *Subset) tick(now time.Time) *endpoints.List {
	if s.next.IsZero() || now.Before(s.next) {
		return nil
	}
	return s.choose(now)
}

// Next is when Tick is due; zero: time changes nothing.
func (s *Subset) Next() time.Time { return s.next }

// Size is how many are its own now, and how many are listed.
func (s *Subset) Size() (own, listed int) { return len(s.chosen), len(s.all) }

// choose picks its own anew, and tells what differs.
func (s *Subset) choose(now time.Time) *endpoints.List {
	s.next = time.Time{}
	away := int(math.Ceil(float64(s.want) * s.o.RemoteZoneFraction))
	home := s.want - away
	if n := s.home.len(); n < home { // a small zone: the others make up for it
		home, away = n, s.want-n
	}
	if n := s.away.len(); n < away {
		away, home = n, s.want-n
	}
	picked := make(map[string]bool, s.want+1)
	s.pick(now, s.home, home, picked)
	s.pick(now, s.away, away, picked)
	s.keep(now, picked)
	out := &endpoints.List{}
	for name := range picked {
		e := s.all[name]
		if was, ok := s.chosen[name]; !ok || was != e {
			out.Endpoints = append(out.Endpoints, e)
			s.chosen[name] = e
		}
		delete(s.ending, name)
	}
	for name, was := range s.chosen {
		if picked[name] {
			continue
		}
		e, listed := s.all[name]
		if !listed { // gone
			was.Status = endpoints.StatusGone
			delete(s.chosen, name)
			delete(s.ending, name)
			out.Endpoints = append(out.Endpoints, was)
			continue
		}
		until, ends := s.ending[name]
		switch {
		case e.Status == endpoints.StatusTerminating: // as it is listed, to its end
			if delete(s.ending, name); was != e {
				s.chosen[name] = e
				out.Endpoints = append(out.Endpoints, e)
			}
		case !ends:
			s.ending[name] = now.Add(RemovedGrace)
			s.soon(now.Add(RemovedGrace))
			e.Status = endpoints.StatusTerminating
			s.chosen[name] = e
			out.Endpoints = append(out.Endpoints, e)
		case !until.After(now):
			was.Status = endpoints.StatusGone
			delete(s.chosen, name)
			delete(s.ending, name)
			out.Endpoints = append(out.Endpoints, was)
		default:
			s.soon(until)
		}
	}
	if len(out.Endpoints) == 0 {
		return nil
	}
	slices.SortFunc(out.Endpoints, func(a, b endpoints.Endpoint) int {
		return compare(place{name: a.Name}, place{name: b.Name})
	})
	return out
}

// pick adds a ring's share. Where more than half of it is cold, warm ones from beyond are borrowed, half as many at most:
// so that when many restart at once, those who are warm carry the load and the cold ones get what the module lets them.
func (s *Subset) pick(now time.Time, r *ring, want int, picked map[string]bool) {
	names, own := r.share(s.o.Index, s.o.FleetSize, want, want)
	own = min(own, max(0, s.most-len(picked)))
	warm, borrow := 0, 0
	for i, name := range names {
		begun, cold := s.cold(now, name)
		if i < own {
			picked[name] = true
			if cold {
				s.soon(begun)
			} else {
				warm++
			}
			continue
		}
		if 2*(warm+borrow) >= own || borrow >= (own+1)/2 || len(picked) >= s.most {
			return
		}
		if !cold {
			borrow++
			picked[name] = true
		}
	}
}

// cold tells whether a listed upstream has started lately, and until when it counts so.
func (s *Subset) cold(now time.Time, name string) (until time.Time, cold bool) {
	until = time.UnixMilli(int64(s.all[name].StartedMs)).Add(s.o.SlowStartWindow.D())
	return until, s.all[name].StartedMs > 0 && until.After(now)
}

// keep has those stay that were its own and are warm, while more than half of what was picked is cold: where a fleet grows many
// times over at once, hardly a warm one is left on the ring to be borrowed.
func (s *Subset) keep(now time.Time, picked map[string]bool) {
	warm := 0
	for name := range picked {
		if _, cold := s.cold(now, name); !cold {
			warm++
		}
	}
	if 2*warm >= len(picked) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.chosen)) {
		if 2*warm >= len(picked) || len(picked) >= s.most {
			return
		}
		if _, cold := s.cold(now, name); cold || picked[name] || s.chosen[name].Status != endpoints.StatusReady ||
			s.all[name].Status != endpoints.StatusReady {
			continue
		}
		picked[name] = true
		warm++
	}
}

func (s *Subset) soon(at time.Time) {
	if s.next.IsZero() || at.Before(s.next) {
		s.next = at
	}
}
