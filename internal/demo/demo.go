// Package demo shows the main job with nothing to prepare: a fleet of stand-in nodes, their discovery, a front with the real
// module, and a client load, all in one process on loopback. While it plays, a node turns slow, others freeze, and half
// of the fleet is deployed anew. Beside it, in the same run, plain random choice meets the same script, arrivals and
// seeds on a fleet of its own.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"orchiddrift/balancer"
)

// Options are a demo's parameters.
type Options struct {
	For   time.Duration // how long it plays
	Front string        // "daemon" or "grpc"
	Rate  float64       // requests a second, for each of the two
	Seed  uint64
	Out   io.Writer
	Live  bool // Out is a terminal: draw one table over and over
}

const (
	shortest = 2 * time.Second
	longest  = time.Hour
	mostRate = 2000.0
)

func (o *Options) check() error {
	switch {
	case o.For < shortest || o.For > longest:
		return fmt.Errorf("for: %v is not between %v and %v", o.For, shortest, longest)
	case o.Front != "daemon" && o.Front != "grpc":
		return fmt.Errorf("front: %q is neither daemon nor grpc", o.Front)
	case !(o.Rate >= 1 && o.Rate <= mostRate):
		return fmt.Errorf("rate: %v is not between 1 and %v", o.Rate, mostRate)
	}
	return nil
}

// class is what the clients ask for.
type class struct {
	name   string
	effect balancer.Idempotency
	share  float64
	aim    time.Duration
	limit  time.Duration
}

var classes = []class{
	{"seat-search", balancer.Idempotent, 0.7, 250 * time.Millisecond, time.Second},
	{"payment-record", balancer.IdempotentWithKey, 0.1, 400 * time.Millisecond, 2 * time.Second},
	{"confirm-booking", balancer.NonIdempotent, 0.2, 400 * time.Millisecond, 2 * time.Second},
}

func moduleSettings() balancer.Settings {
	s := balancer.Settings{Zone: "home", FleetSize: 1, Tick: 5 * time.Millisecond, MaxAttempts: 4, HedgingAllowed: true,
		CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 500 * time.Millisecond,
		SlowStartMinCapacity: coldFrom, SlowStartWindow: warmUp, OverloadMultiple: fallMultiple, OverloadWindow: fallTime, WeightPerWork: true}
	for _, c := range classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.name, Idempotency: c.effect, LatencyObjective: c.aim, Deadline: c.limit, PriorityWeight: 1,
			LateValueFraction: 0.5, DedupScope: balancer.ScopeAll, DedupWindow: 6 * time.Second})
	}
	return s
}

// Summary is what came of it.
type Summary struct{ Ours, Random Count }

// Run plays the demo. It ends early, without an error, when ctx does.
func Run(ctx context.Context, o Options) (Summary, error) {
	if err := o.check(); err != nil {
		return Summary{}, err
	}
	sides := map[string]*side{}
	for _, name := range []string{ours, random} {
		s, err := newSide(name, o)
		if err != nil {
			return Summary{}, errors.Join(err, closeAll(sides))
		}
		sides[name] = s
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	done := make(chan struct{})
	for _, s := range sides {
		go func() {
			s.play(ctx, begun)
			done <- struct{}{}
		}()
	}
	show(ctx, o, begun, sides[ours], sides[random])
	for range sides {
		<-done
	}
	sum := Summary{sides[ours].load.total(), sides[random].load.total()}
	err := closeAll(sides)
	sum.Ours.Nodes, sum.Random.Nodes = sides[ours].fleet.outcome(), sides[random].fleet.outcome()
	if err == nil {
		err = sum.write(o.Out, o)
	}
	return sum, err
}

func closeAll(sides map[string]*side) error {
	var errs []error
	for _, s := range sides {
		errs = append(errs, s.close())
	}
	return errors.Join(errs...)
}

// The two sides.
const (
	ours   = "orchiddrift"
	random = "random choice"
)

// side is one way to balance, with a fleet and a load of its own.
type side struct {
	name  string
	fleet *fleet
	front front
	load  *load
}

func newSide(name string, o Options) (*side, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	s := &side{name: name, fleet: f}
	switch {
	case name == random && o.Front == "daemon":
		s.front = newRandomHTTP(f, o.Seed)
	case name == random:
		s.front = newRandomGRPC(f, o.Seed)
	case o.Front == "daemon":
		s.front, err = newDaemon(f, o.Seed)
	default:
		s.front, err = newPlugin(f, o.Seed)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	s.load = newLoad(s.front, o)
	return s, nil
}

// play runs the script beside the load until ctx ends, and waits for what is in hand.
func (s *side) play(ctx context.Context, begun time.Time) {
	script := make(chan struct{})
	go func() {
		s.fleet.play(ctx, begun)
		close(script)
	}()
	s.load.run(ctx, begun)
	<-script
}

func (s *side) close() error {
	err := s.front.close()
	s.fleet.close()
	return err
}
