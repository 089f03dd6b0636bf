package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
)

const (
	size         = 8 // nodes
	coldFrom     = 0.3
	warmUp       = 4 * time.Second
	fallMultiple = 3.0
	fallTime     = 2 * time.Second
	drainTime    = 800 * time.Millisecond // of a node that is replaced
	cores        = 2
)

// kinds of machines, as a fleet that is half replaced has them.
var kinds = []struct {
	name  string
	speed float64
}{{"new-fast", 1.6}, {"standard", 1}, {"old-slow", 0.6}}

// The script, as shares of the whole time.
const (
	slowFrom, slowTo     = 0.15, 0.40
	freezeFrom, freezeTo = 0.45, 0.65
	deployFrom, deployTo = 0.70, 0.95
	slowFactor           = 8
	freezeEvery          = 1200 * time.Millisecond
	freezeFor            = 300 * time.Millisecond
)

// phase says what goes on at a share of the whole time.
func phase(share float64) string {
	switch {
	case share >= slowFrom && share < slowTo:
		return fmt.Sprintf("node-0 is %d times slower", slowFactor)
	case share >= freezeFrom && share < freezeTo:
		return fmt.Sprintf("node-1 and node-2 freeze for %v every %v", freezeFor, freezeEvery)
	case share >= deployFrom && share < deployTo:
		return "half of the nodes are replaced, one after another, by cold ones"
	}
	return "all is well"
}

// fleet is the nodes, their list, and what happens to them.
type fleet struct {
	o         Options
	grpc      bool
	ledger    *fakes.Ledger
	keys      *fakes.IdempotencyKeys
	discovery *fakes.Discovery

	mu    sync.Mutex
	nodes []*fakes.Node // in the order of their start, those that have gone too
}

func newFleet(o Options) (*fleet, error) {
	f := &fleet{o: o, grpc: o.Front == "grpc", ledger: fakes.NewLedger(), keys: fakes.NewIdempotencyKeys(6 * time.Second),
		discovery: fakes.NewDiscovery()}
	f.ledger.CountOnly = true
	if _, err := f.discovery.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range size {
		if err := f.start(i, fmt.Sprint("node-", i), time.Time{}); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// start starts the node at a place of the fleet, and lists it.
func (f *fleet) start(place int, name string, since time.Time) error {
	kind := kinds[place%len(kinds)]
	n := fakes.NodeOptions{Name: name, Zone: "home", Type: kind.name, Cores: cores, ServiceRate: kind.speed, MaxQueue: 40,
		Started: since, SlowStartMinCapacity: coldFrom, SlowStartWindow: warmUp, OverloadMultiple: fallMultiple, OverloadWindow: fallTime,
		Keys: f.keys, Seed: f.o.Seed + uint64(place), Ledger: f.ledger}
	if since.IsZero() { // the fleet of the beginning meets the script
		at := func(share float64) time.Duration { return time.Duration(share * float64(f.o.For)) }
		switch place {
		case 0:
			n.Faults = []fakes.Fault{{Kind: fakes.Slow, Factor: slowFactor, From: at(slowFrom), To: at(slowTo)}}
		case 1, 2:
			n.Faults = []fakes.Fault{{Kind: fakes.Freeze, From: at(freezeFrom), To: at(freezeTo), Every: freezeEvery, For: freezeFor}}
		}
	}
	body := []byte(name)
	if f.grpc {
		encoded, err := proto.Marshal(wrapperspb.String(name))
		if err != nil {
			return err
		}
		body = encoded
	}
	n.Answer = func(fakes.Job) []byte { return body }
	node := fakes.NewNode(n)
	listen := node.ListenHTTP
	if f.grpc {
		listen = node.ListenGRPC
	}
	address, err := listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.nodes = append(f.nodes, node)
	f.mu.Unlock()
	e := endpoints.Endpoint{Name: name, Address: address, Zone: "home", MachineType: kind.name, Status: endpoints.StatusReady}
	if !since.IsZero() {
		e.StartedMs = float64(since.UnixMilli())
	}
	f.discovery.Set(e)
	return nil
}

// play replaces half of the fleet in the time that the script has for it.
func (f *fleet) play(ctx context.Context, begun time.Time) {
	steps := size / 2
	for i := range steps {
		share := deployFrom + (deployTo-deployFrom)*float64(i)/float64(steps)
		if !wait(ctx, time.Until(begun.Add(time.Duration(share*float64(f.o.For))))) {
			return
		}
		place := size - 1 - i
		f.mu.Lock()
		old := f.nodes[place]
		f.mu.Unlock()
		if err := f.start(place, fmt.Sprintf("node-%d.new", place), time.Now()); err != nil {
			return // no port is free: the old one stays
		}
		f.discovery.Drain(old.Options().Name)
		old.Drain()
		time.AfterFunc(drainTime, func() {
			f.discovery.Remove(old.Options().Name)
			old.Kill()
		})
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// listed is the nodes that want requests, with their addresses.
func (f *fleet) listed() map[string]string {
	places := map[string]string{}
	for _, e := range f.discovery.List().Endpoints {
		if e.Status == endpoints.StatusReady {
			places[e.Name] = e.Address
		}
	}
	return places
}

// outcome is what the nodes saw.
func (f *fleet) outcome() map[string]fakes.NodeCount { return f.ledger.Nodes() }

func (f *fleet) all() []*fakes.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*fakes.Node(nil), f.nodes...)
}

func (f *fleet) close() {
	for _, n := range f.all() {
		n.Close()
	}
	f.discovery.Close()
}
