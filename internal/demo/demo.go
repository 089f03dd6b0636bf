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
	Front string        // client side of the demo: "daemon" or "grpc"
	Rate  float64       // requests per second to each of the two contenders, which are the balancer and random choice
	Seed  uint64
	Out   io.Writer
	Live  bool // Out is a terminal, on which one table is redrawn; otherwise lines are added
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

// Summary holds the results of the balancer (Ours) and of random choice.
type Summary struct{ Ours, Random Count }

// Run runs the demo and prints its progress and summary. If ctx ends, the demo ends early, without an error.
func Run(ctx context.Context, o Options) (Summary, error) {
	if err := o.check(); err != nil {
		return Summary{}, err
	}
	contenders := map[string]*contender{}
	for _, name := range []string{ourName, randomName} {
		c, err := newContender(name, o)
		if err != nil {
			return Summary{}, errors.Join(err, closeAll(contenders))
		}
		contenders[name] = c
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	done := make(chan struct{})
	for _, c := range contenders {
		go func() {
			c.runScript(ctx, started)
			done <- struct{}{}
		}()
	}
	printProgress(ctx, o, started, contenders[ourName], contenders[randomName])
	for range contenders {
		<-done
	}
	summary := Summary{contenders[ourName].load.total(), contenders[randomName].load.total()}
	err := closeAll(contenders)
	summary.Ours.Nodes, summary.Random.Nodes = contenders[ourName].fleet.nodeCounts(), contenders[randomName].fleet.nodeCounts()
	if err == nil {
		err = summary.write(o.Out, o)
	}
	return summary, err
}

func closeAll(contenders map[string]*contender) error {
	var errs []error
	for _, c := range contenders {
		errs = append(errs, c.close())
	}
	return errors.Join(errs...)
}

// Names of the contenders in the output.
const (
	ourName    = "orchiddrift"
	randomName = "random choice"
)

// contender is one of the two load balancing strategies, with its own fleet and load.
type contender struct {
	name   string
	fleet  *fleet
	client balancedClient
	load   *load
}

func newContender(name string, o Options) (*contender, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	c := &contender{name: name, fleet: f}
	switch {
	case name == randomName && o.Front == "daemon":
		c.client = newRandomHTTP(f, o.Seed)
	case name == randomName:
		c.client = newRandomGRPC(f, o.Seed)
	case o.Front == "daemon":
		c.client, err = newDaemonClient(f, o.Seed)
	default:
		c.client, err = newGRPCClient(f, o.Seed)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	c.load = newLoad(c.client, o)
	return c, nil
}

// runScript runs the script and the load until ctx ends. It then waits for the requests in flight.
func (c *contender) runScript(ctx context.Context, started time.Time) {
	scriptEnded := make(chan struct{})
	go func() {
		c.fleet.runScript(ctx, started)
		close(scriptEnded)
	}()
	c.load.run(ctx, started)
	<-scriptEnded
}

func (c *contender) close() error {
	err := c.client.close()
	c.fleet.close()
	return err
}
