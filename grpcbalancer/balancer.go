package grpcbalancer

import (
	"sync"

	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"

	"orchiddrift/internal/endpoints"
)

// policyName is the name of the load balancing policy that a Plugin's ClientConns use. The policy makes no decision: it keeps a SubConn for
// each upstream in the endpoint list, and its picker returns the SubConn to the upstream that the engine decided on.
const policyName = "orchidgrpc_decided"

func init() { balancer.Register(balancerBuilder{}) }

type balancerBuilder struct{}

// Name implements balancer.Builder.
func (balancerBuilder) Name() string { return policyName }

// Build implements balancer.Builder.
func (balancerBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &subConnBalancer{cc: cc, subConns: map[string]*subConn{}}
}

// subConnBalancer implements balancer.Balancer: it keeps the SubConns of one ClientConn, one for each upstream. grpc-go calls the methods
// of balancer.Balancer one at a time. The picker's Pick, connect, removeSubConn and replaceSubConnsTo are called from any goroutine.
type subConnBalancer struct {
	cc     balancer.ClientConn
	plugin *Plugin // nil until the resolver reports its first state

	mu       sync.RWMutex
	subConns map[string]*subConn // by the upstream's name
}

// subConn is a SubConn to one incarnation of an upstream. Its state is guarded by subConnBalancer.mu.
type subConn struct {
	conn     balancer.SubConn
	instance endpoints.Instance
	address  resolver.Address
	state    connectivity.State
}

// UpdateClientConnState implements balancer.Balancer: it creates and shuts down SubConns so that they match the resolver's list.
func (b *subConnBalancer) UpdateClientConnState(s balancer.ClientConnState) error {
	if plugin, ok := s.ResolverState.Attributes.Value(pluginKey{}).(*Plugin); ok && b.plugin == nil {
		b.plugin = plugin
		plugin.addBalancer(b)
	}
	listed := map[string]bool{}
	for _, endpoint := range s.ResolverState.Endpoints {
		for _, address := range endpoint.Addresses {
			name, _ := address.Attributes.Value(nameKey{}).(string)
			instance, _ := address.Attributes.Value(instanceKey{}).(endpoints.Instance)
			listed[name] = true
			b.ensureSubConn(name, instance, address)
		}
	}
	b.mu.Lock()
	for name, s := range b.subConns {
		if !listed[name] {
			delete(b.subConns, name)
			defer s.conn.Shutdown()
		}
	}
	b.mu.Unlock()
	b.updatePicker()
	return nil
}

// ensureSubConn creates a SubConn to an instance unless there is one already. The SubConn connects at its first pick, or when it is
// prewarmed.
func (b *subConnBalancer) ensureSubConn(name string, instance endpoints.Instance, address resolver.Address) {
	b.mu.RLock()
	old := b.subConns[name]
	b.mu.RUnlock()
	if old != nil && old.instance == instance {
		return
	}
	b.replaceSubConn(name, instance, address, old)
}

// replaceSubConn replaces old, which is nil if the upstream has no SubConn, with a new SubConn. It does nothing if old is no longer the
// upstream's SubConn. Open streams on old run to their end.
func (b *subConnBalancer) replaceSubConn(name string, instance endpoints.Instance, address resolver.Address, old *subConn) {
	s := &subConn{instance: instance, address: address, state: connectivity.Idle}
	//lint:ignore SA1019 only a SubConn with several addresses is deprecated, and this one has a single address
	conn, err := b.cc.NewSubConn([]resolver.Address{address}, balancer.NewSubConnOptions{
		StateListener: func(state balancer.SubConnState) {
			b.mu.Lock()
			s.state = state.ConnectivityState
			b.mu.Unlock()
			b.updatePicker() // makes grpc-go repeat the waiting picks
		},
	})
	if err != nil { // the ClientConn is closing
		return
	}
	s.conn = conn
	b.mu.Lock()
	outdated := b.subConns[name] != old // another goroutine has removed or replaced old
	if !outdated {
		b.subConns[name] = s
	}
	b.mu.Unlock()
	if outdated {
		conn.Shutdown()
		return
	}
	if old != nil {
		old.conn.Shutdown()
	}
}

// replaceSubConnsTo replaces the SubConns to the given instances: open streams run to their end, and new streams use a new connection.
func (b *subConnBalancer) replaceSubConnsTo(instances map[endpoints.Instance]bool) {
	outdated := map[string]*subConn{}
	b.mu.RLock()
	for name, s := range b.subConns {
		if instances[s.instance] {
			outdated[name] = s
		}
	}
	b.mu.RUnlock()
	for name, s := range outdated {
		b.replaceSubConn(name, s.instance, s.address, s)
	}
	if len(outdated) > 0 {
		b.updatePicker()
	}
}

// removeSubConn shuts down an upstream's SubConn if the upstream is draining or removed (ready is false), or if the SubConn leads to
// another incarnation than current. Open streams run to their end. No new stream is opened, not even one that already waits for the
// upstream's stream limit.
func (b *subConnBalancer) removeSubConn(name string, current endpoints.Instance, ready bool) {
	b.mu.Lock()
	s := b.subConns[name]
	if s != nil && (!ready || s.instance != current) {
		delete(b.subConns, name)
	} else {
		s = nil
	}
	b.mu.Unlock()
	if s != nil {
		s.conn.Shutdown()
		b.updatePicker() // the picks that wait for this SubConn are repeated, and fail
	}
}

// connect starts to connect the SubConn to an upstream, if it is idle. It does not block.
func (b *subConnBalancer) connect(name string) {
	b.mu.Lock()
	s := b.subConns[name]
	idle := s != nil && s.state == connectivity.Idle
	if idle {
		s.state = connectivity.Connecting // until the StateListener reports a state; prewarming takes idle for a failed connection
	}
	b.mu.Unlock()
	if idle {
		s.conn.Connect()
	}
}

// updatePicker makes grpc-go repeat the waiting picks. It always reports READY: each attempt finds out whether its upstream can be reached,
// and reports that to the engine.
func (b *subConnBalancer) updatePicker() {
	b.cc.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: picker{b}})
}

// ResolverError implements balancer.Balancer. The Plugin's resolver reports no errors.
func (b *subConnBalancer) ResolverError(error) {}

// UpdateSubConnState implements balancer.Balancer. States arrive at the StateListener instead.
func (b *subConnBalancer) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// ExitIdle implements balancer.Balancer. SubConns connect when an attempt needs them.
func (b *subConnBalancer) ExitIdle() {}

// Close implements balancer.Balancer.
func (b *subConnBalancer) Close() {
	if b.plugin != nil {
		b.plugin.removeBalancer(b)
	}
}
