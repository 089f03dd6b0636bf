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
	fleetSize            = 8 // number of nodes
	slowStartMinCapacity = 0.3
	slowStartWindow      = 4 * time.Second
	overloadMultiple     = 3.0
	overloadWindow       = 2 * time.Second
	drainTime            = 800 * time.Millisecond // time from the start of a node's drain to its end
	cores                = 2                      // number of cores of each node
)

// machineTypes are the machine types of the nodes, with their speed relative to the standard type. They represent a mix of old and new
// hardware.
var machineTypes = []struct {
	name  string
	speed float64
}{{"new-fast", 1.6}, {"standard", 1}, {"old-slow", 0.6}}

// The faults and the deployment of the script. Constants whose names end in From and To are fractions of the duration of the demo.
const (
	slowFrom, slowTo     = 0.15, 0.40
	freezeFrom, freezeTo = 0.45, 0.65
	deployFrom, deployTo = 0.70, 0.95
	slowFactor           = 8
	freezeEvery          = 1200 * time.Millisecond
	freezeFor            = 300 * time.Millisecond
)

// phase describes what the script does at a point of the demo. fraction is the part of the duration that has passed.
func phase(fraction float64) string {
	switch {
	case fraction >= slowFrom && fraction < slowTo:
		return fmt.Sprintf("node-0 is %d times slower", slowFactor)
	case fraction >= freezeFrom && fraction < freezeTo:
		return fmt.Sprintf("node-1 and node-2 freeze for %v every %v", freezeFor, freezeEvery)
	case fraction >= deployFrom && fraction < deployTo:
		return "half of the nodes are replaced, one after another, by cold ones"
	}
	return "all is well"
}

// fleet is a set of fake nodes with their discovery.
type fleet struct {
	options   Options
	grpc      bool
	ledger    *fakes.Ledger
	keys      *fakes.IdempotencyKeys
	discovery *fakes.Discovery

	mu    sync.Mutex
	nodes []*fakes.Node // all nodes in the order of their start, including stopped nodes
}

func newFleet(o Options) (*fleet, error) {
	f := &fleet{options: o, grpc: o.Front == "grpc", ledger: fakes.NewLedger(), keys: fakes.NewIdempotencyKeys(6 * time.Second),
		discovery: fakes.NewDiscovery()}
	f.ledger.CountOnly = true
	if _, err := f.discovery.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for i := range fleetSize {
		if err := f.start(i, fmt.Sprint("node-", i), time.Time{}); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// start starts a node at an index of the fleet and adds the node to discovery. For a replacement node, since is the time of its start. For a
// node of the initial fleet, since is zero, and only such nodes get the faults of the script.
func (f *fleet) start(index int, name string, since time.Time) error {
	machineType := machineTypes[index%len(machineTypes)]
	n := fakes.NodeOptions{Name: name, Zone: "home", Type: machineType.name, Cores: cores, ServiceRate: machineType.speed, MaxQueue: 40,
		Started: since, SlowStartMinCapacity: slowStartMinCapacity, SlowStartWindow: slowStartWindow, OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow,
		Keys: f.keys, Seed: f.options.Seed + uint64(index), Ledger: f.ledger}
	if since.IsZero() { // only nodes of the initial fleet get faults
		at := func(fraction float64) time.Duration { return time.Duration(fraction * float64(f.options.For)) }
		switch index {
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
	endpoint := endpoints.Endpoint{Name: name, Address: address, Zone: "home", MachineType: machineType.name, Status: endpoints.StatusReady}
	if !since.IsZero() {
		endpoint.StartedMs = float64(since.UnixMilli())
	}
	f.discovery.Set(endpoint)
	return nil
}

// runScript replaces half of the fleet, one node after another, during the deployment phase of the script. The faults of the script need no
// action here, because nodes get them when they start.
func (f *fleet) runScript(ctx context.Context, started time.Time) {
	steps := fleetSize / 2
	for i := range steps {
		fraction := deployFrom + (deployTo-deployFrom)*float64(i)/float64(steps)
		if !wait(ctx, time.Until(started.Add(time.Duration(fraction*float64(f.options.For))))) {
			return
		}
		index := fleetSize - 1 - i
		f.mu.Lock()
		old := f.nodes[index]
		f.mu.Unlock()
		if err := f.start(index, fmt.Sprintf("node-%d.new", index), time.Now()); err != nil {
			return // no port is free, so the remaining old nodes stay
		}
		f.discovery.Drain(old.Options().Name)
		old.Drain()
		time.AfterFunc(drainTime, func() {
			f.discovery.Remove(old.Options().Name)
			old.Kill()
		})
	}
}

// wait waits for d. It returns false if ctx ends first.
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

// readyNodes returns the addresses of the ready nodes by name.
func (f *fleet) readyNodes() map[string]string {
	addresses := map[string]string{}
	for _, e := range f.discovery.List().Endpoints {
		if e.Status == endpoints.StatusReady {
			addresses[e.Name] = e.Address
		}
	}
	return addresses
}

// nodeCounts returns the request counts of the nodes by name.
func (f *fleet) nodeCounts() map[string]fakes.NodeCount { return f.ledger.Nodes() }

// allNodes returns all nodes, including stopped nodes.
func (f *fleet) allNodes() []*fakes.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*fakes.Node(nil), f.nodes...)
}

func (f *fleet) close() {
	for _, n := range f.allNodes() {
		n.Close()
	}
	f.discovery.Close()
}
