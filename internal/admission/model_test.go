package admission

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func smallOptions() Options {
	o := Default()
	o.MaxQueued, o.MaxQueuedBytes, o.MaxPrincipals, o.MaxReservations, o.MinLimit, o.MaxLimit = 20, 1500, 32, 12, 2, 6
	return o
}

// script runs random events on a harness. draw returns a random number from 0 to n-1.
type script struct {
	*harness
	draw func(n int) int
	open []Ticket // tickets that neither Cancel nor Done has been called with
}

// play runs random events, then completes all requests and checks that the queue is empty.
func (s *script) play(steps int) error {
	for i := range steps {
		if err := s.step(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return s.drain()
}

// step runs one random event.
func (s *script) step() error {
	if s.draw(8) == 0 {
		s.now += time.Duration(s.draw(300)) * time.Millisecond
	} else { // the clock often stands still
		s.now += time.Duration(s.draw(3)) * time.Millisecond
	}
	switch kind := s.draw(10); {
	case kind < 5:
		t, err := s.arrive(s.drawArrival())
		s.open = append(s.open, t)
		return err
	case kind < 8 && len(s.open) > 0:
		i := s.draw(len(s.open))
		t := s.open[i]
		s.open[i] = s.open[len(s.open)-1]
		s.open = s.open[:len(s.open)-1]
		if s.draw(4) == 0 {
			return s.cancel(t)
		}
		return s.complete(t, Outcome(s.draw(3)))
	case kind == 8:
		return s.wake()
	default:
		o := s.queue.options
		o.Weights = []Weight{{"g1", float64(s.draw(4))}, {"g2", float64(s.draw(4)) / 2}, {"g3", 0}}
		o.MinLimit = 1 + s.draw(4)
		s.queue.Configure(s.now, o)
		return s.wake()
	}
}

func (s *script) drawArrival() Arrival {
	a := Arrival{Group: fmt.Sprint("g", s.draw(6)), Class: []string{"search", "pay", "unknown"}[s.draw(3)],
		CostHint: time.Duration(s.draw(50)) * time.Millisecond, Bytes: int64(s.draw(200)), Retry: s.draw(4) == 0}
	if s.draw(2) == 0 {
		a.Flow = fmt.Sprint("f", s.draw(40))
	}
	if s.draw(8) == 0 {
		a.Group = fmt.Sprint("once", s.draw(1<<16))
	}
	if s.draw(10) == 0 {
		a.ArrivedAt = s.now - time.Duration(s.draw(2000))*time.Millisecond
	}
	a.Deadline = s.now + time.Duration(s.draw(1500))*time.Millisecond
	return a
}

// drain completes what is admitted until the queue is empty, then waits until every reservation has expired.
func (s *script) drain() error {
	for s.queue.Stats().InFlight+s.queue.Stats().Queued > 0 {
		s.now += 10 * time.Millisecond
		for t, state := range s.state {
			if state == entryAdmitted {
				if err := s.complete(t, Completed); err != nil {
					return err
				}
			}
		}
		if err := s.wake(); err != nil {
			return err
		}
	}
	s.now += s.queue.options.maxRetryAfter() + maxGrace + time.Second
	if err := s.wake(); err != nil {
		return err
	}
	if stats := s.queue.Stats(); stats.Principals != 0 || stats.Reservations != 0 || len(s.queue.groups) != 0 {
		return fmt.Errorf("after all requests and reservations have ended, stats are %+v and %d groups are left", stats, len(s.queue.groups))
	}
	return nil
}

// In any order of events, the queue must keep its bounds and counts, admit or reject each request only once, use the
// whole limit while requests wait, and hold nothing after the last request and reservation.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &script{harness: newHarness(smallOptions()), draw: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }}
		if err := s.play(150); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzDoor checks the same invariants with events that the fuzzer chooses.
func FuzzDoor(f *testing.F) {
	f.Add([]byte("a flood of names that come once, and a clock that stands"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 8192 {
			return
		}
		steps := len(data) / 6
		s := &script{harness: newHarness(smallOptions()), draw: func(n int) int {
			if len(data) < 2 {
				return 0
			}
			v := binary.LittleEndian.Uint16(data)
			data = data[2:]
			return int(v) % n
		}}
		if err := s.play(steps); err != nil {
			t.Fatal(err)
		}
	})
}

// backlogged is a harness in which several principals always have requests queued. It adds up their actual costs.
type backlogged struct {
	*harness
	principal map[Ticket]int
	running   []runningRequest
	started   int // number of requests in harness.admitted that are in running or have ended
	cost      []float64
	maxCost   float64 // largest actual cost of a request, s
}

type runningRequest struct {
	ticket Ticket
	endsAt time.Duration
}

// feed lets a request of a principal arrive.
func (b *backlogged) feed(t *rapid.T, principal int) {
	ticket, err := b.arrive(Arrival{Group: fmt.Sprint(principal), Deadline: b.now + 100*time.Hour, ArrivedAt: b.now + time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	b.principal[ticket] = principal
}

// completeNext completes the request that ends first, and lets another one of its principal arrive.
func (b *backlogged) completeNext(t *rapid.T) {
	for ; b.started < len(b.admitted); b.started++ {
		cost := time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond
		b.running = append(b.running, runningRequest{b.admitted[b.started], b.now + cost})
	}
	next := 0
	for i := range b.running {
		if b.running[i].endsAt < b.running[next].endsAt {
			next = i
		}
	}
	request := b.running[next]
	b.running = append(b.running[:next], b.running[next+1:]...)
	cost := (request.endsAt - b.admittedAt[request.ticket]).Seconds()
	b.now = request.endsAt
	if err := b.complete(request.ticket, Completed); err != nil {
		t.Fatal(err)
	}
	principal := b.principal[request.ticket]
	b.cost[principal] += cost
	b.maxCost = max(b.maxCost, cost)
	b.feed(t, principal)
}

// TestFairnessBound guards against unfairness beyond the bound of SFQ(D) (Jin et al. 2004, theorem 1). Between two
// principals that always have requests queued, actual cost over weight may differ by D+1 of the largest requests of
// both and by the error of the estimates. The reference is the sum of the actual costs alone.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Default()
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		o.MinLimit, o.MaxLimit, o.MaxQueued = limit, limit, 1000
		n := rapid.IntRange(2, 5).Draw(t, "principals")
		weights := make([]float64, n)
		for i := range n {
			weights[i] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			o.Weights = append(o.Weights, Weight{fmt.Sprint(i), weights[i]})
		}
		b := &backlogged{harness: newHarness(o), principal: map[Ticket]int{}, cost: make([]float64, n)}
		for i := range n {
			for range 12 {
				b.feed(t, i)
			}
		}
		for range 300 {
			b.completeNext(t)
		}
		for i := range n {
			for j := range i {
				difference := math.Abs(b.cost[i]/weights[i] - b.cost[j]/weights[j])
				bound := float64(limit+2) * 2 * b.maxCost * (1/weights[i] + 1/weights[j])
				if difference > bound {
					t.Fatalf("principals %d and %d were served %.3f and %.3f s at weights %v and %v: %.3f s apart for their weights, want at most %.3f",
						i, j, b.cost[i], b.cost[j], weights[i], weights[j], difference, bound)
				}
			}
		}
	})
}
