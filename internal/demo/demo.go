package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"orchiddrift/balancer"
)

// Options are the parameters of a demo.
type Options struct {
	For   time.Duration // duration of the demo
	Front string        // "daemon" or "grpc"
	Rate  float64       // requests per second, for each of the two contenders
	Seed  uint64
	Out   io.Writer
	Live  bool // Out is a terminal: redraw one table instead of adding lines
}

const (
	minDuration = 2 * time.Second
	maxDuration = time.Hour
	maxRate     = 2000.0
)

func (o *Options) check() error {
	switch {
	case o.For < minDuration || o.For > maxDuration:
		return fmt.Errorf("for: %v is not between %v and %v", o.For, minDuration, maxDuration)
	case o.Front != "daemon" && o.Front != "grpc":
		return fmt.Errorf("front: %q is neither daemon nor grpc", o.Front)
	case !(o.Rate >= 1 && o.Rate <= maxRate):
		return fmt.Errorf("rate: %v is not between 1 and %v", o.Rate, maxRate)
	}
	return nil
}

// class is a class of requests.
type class struct {
	name             string
	idempotency      balancer.Idempotency
	share            float64
	latencyObjective time.Duration
	deadline         time.Duration
}

var classes = []class{
	{"seat-search", balancer.Idempotent, 0.7, 250 * time.Millisecond, time.Second},
	{"payment-record", balancer.IdempotentWithKey, 0.1, 400 * time.Millisecond, 2 * time.Second},
	{"confirm-booking", balancer.NonIdempotent, 0.2, 400 * time.Millisecond, 2 * time.Second},
}

func balancerSettings() balancer.Settings {
	s := balancer.Settings{Zone: "home", FleetSize: 1, Tick: 5 * time.Millisecond, MaxAttempts: 4, HedgingAllowed: true,
		CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 500 * time.Millisecond,
		SlowStartMinCapacity: slowStartMinCapacity, SlowStartWindow: slowStartWindow, OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow, WeightPerWork: true}
	for _, c := range classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.name, Idempotency: c.idempotency, LatencyObjective: c.latencyObjective, Deadline: c.deadline, PriorityWeight: 1,
			LateValueFraction: 0.5, DedupScope: balancer.ScopeAll, DedupWindow: 6 * time.Second})
	}
	return s
}

// Summary holds the results of both contenders.
type Summary struct{ Ours, Random Count }

// Run plays the demo and prints its progress and summary. The end of ctx ends it early, without an error.
func Run(ctx context.Context, o Options) (Summary, error) {
	if err := o.check(); err != nil {
		return Summary{}, err
	}
	sides := map[string]*contender{}
	for _, name := range []string{ourName, randomName} {
		s, err := newContender(name, o)
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
	printProgress(ctx, o, begun, sides[ourName], sides[randomName])
	for range sides {
		<-done
	}
	sum := Summary{sides[ourName].load.total(), sides[randomName].load.total()}
	err := closeAll(sides)
	sum.Ours.Nodes, sum.Random.Nodes = sides[ourName].fleet.outcome(), sides[randomName].fleet.outcome()
	if err == nil {
		err = sum.write(o.Out, o)
	}
	return sum, err
}

func closeAll(sides map[string]*contender) error {
	var errs []error
	for _, s := range sides {
		errs = append(errs, s.close())
	}
	return errors.Join(errs...)
}

// The names of the contenders.
const (
	ourName    = "orchiddrift"
	randomName = "random choice"
)

// contender is a load balancing strategy with a fleet and a load of its own.
type contender struct {
	name  string
	fleet *fleet
	front balancedClient
	load  *load
}

func newContender(name string, o Options) (*contender, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	s := &contender{name: name, fleet: f}
	switch {
	case name == randomName && o.Front == "daemon":
		s.front = newRandomHTTP(f, o.Seed)
	case name == randomName:
		s.front = newRandomGRPC(f, o.Seed)
	case o.Front == "daemon":
		s.front, err = newDaemonClient(f, o.Seed)
	default:
		s.front, err = newGRPCClient(f, o.Seed)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	s.load = newLoad(s.front, o)
	return s, nil
}

// play runs the script beside the load until ctx ends, and waits for the requests in flight.
func (s *contender) play(ctx context.Context, begun time.Time) {
	script := make(chan struct{})
	go func() {
		s.fleet.play(ctx, begun)
		close(script)
	}()
	s.load.run(ctx, begun)
	<-script
}

func (s *contender) close() error {
	err := s.front.close()
	s.fleet.close()
	return err
}
