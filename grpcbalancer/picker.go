package grpcbalancer

import (
	"sync"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"

	"orchiddrift/internal/endpoints"
)

// policyName is the load balancing policy that a ClientConn of the plug-in's uses. It decides nothing: it holds a
// sub-connection for each upstream of the list, and hands an attempt the one that the module decided on.
const policyName = "orchidgrpc_decided"

func init() { balancer.Register(policyBuilder{}) }

type policyBuilder struct{}

func (policyBuilder) Name() string { return policyName }

func (policyBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &policy{cc: cc, subs: map[string]*sub{}}
}

// Keys of what the resolver tells the policy.
type (
	pluginKey struct{} // *Plugin, on the state
	nameKey   struct{} // upstream's name, on an address
	placeKey  struct{} // directory.Place, on an address
)

// policy holds the sub-connections of one ClientConn. grpc-go calls its methods one at a time; Pick and drop come
// from anywhere.
type policy struct {
	cc     balancer.ClientConn
	plugin *Plugin

	mu   sync.RWMutex
	subs map[string]*sub // by upstream
}

type sub struct {
	sc      balancer.SubConn
	place   endpoints.Instance
	address resolver.Address
	state   connectivity.State
}

func (p *policy) UpdateClientConnState(s balancer.ClientConnState) error {
	if plugin, ok := s.ResolverState.Attributes.Value(pluginKey{}).(*Plugin); ok && p.plugin == nil {
		p.plugin = plugin
		plugin.addPolicy(p)
	}
	wanted := map[string]bool{}
	for _, e := range s.ResolverState.Endpoints {
		for _, address := range e.Addresses {
			name, _ := address.Attributes.Value(nameKey{}).(string)
			place, _ := address.Attributes.Value(placeKey{}).(endpoints.Instance)
			wanted[name] = true
			p.want(name, place, address)
		}
	}
	p.mu.Lock()
	for name, s := range p.subs {
		if !wanted[name] {
			delete(p.subs, name)
			defer s.sc.Shutdown()
		}
	}
	p.mu.Unlock()
	p.publish()
	return nil
}

// want makes sure that there is a sub-connection to that process of the upstream. It connects with the first pick.
func (p *policy) want(name string, place endpoints.Instance, address resolver.Address) {
	p.mu.RLock()
	old := p.subs[name]
	p.mu.RUnlock()
	if old != nil && old.place == place {
		return
	}
	p.replace(name, place, address, old)
}

// replace makes a new sub-connection in the old one's place, if that is still there. Streams of the old one finish.
func (p *policy) replace(name string, place endpoints.Instance, address resolver.Address, old *sub) {
	s := &sub{place: place, address: address, state: connectivity.Idle}
	//lint:ignore SA1019 each has one address; only several are deprecated
	sc, err := p.cc.NewSubConn([]resolver.Address{address}, balancer.NewSubConnOptions{
		StateListener: func(st balancer.SubConnState) {
			p.mu.Lock()
			s.state = st.ConnectivityState
			p.mu.Unlock()
			p.publish() // wakes the picks that wait
		}})
	if err != nil { // the ClientConn is closing
		return
	}
	s.sc = sc
	p.mu.Lock()
	gone := p.subs[name] != old
	if !gone {
		p.subs[name] = s
	}
	p.mu.Unlock()
	if gone { // a drain went before
		sc.Shutdown()
		return
	}
	if old != nil {
		old.sc.Shutdown()
	}
}

// drop shuts the sub-connection to an upstream that drains or is gone: streams that are open finish, and none is
// opened any more, not even one that waits for the upstream's permission.
func (p *policy) drop(name string, still endpoints.Instance, ready bool) {
	p.mu.Lock()
	s := p.subs[name]
	if s != nil && (!ready || s.place != still) {
		delete(p.subs, name)
	} else {
		s = nil
	}
	p.mu.Unlock()
	if s != nil {
		s.sc.Shutdown()
		p.publish() // picks that wait for it are to end
	}
}

func (p *policy) publish() {
	// Always READY: whether an upstream can be reached is for each attempt to find out, and for the module to hear.
	p.cc.UpdateState(balancer.State{ConnectivityState: connectivity.Ready, Picker: picker{p}})
}

func (p *policy) ResolverError(error) {}

func (p *policy) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

func (p *policy) ExitIdle() {}

func (p *policy) Close() {
	if p.plugin != nil {
		p.plugin.removePolicy(p)
	}
}

// picker gives each attempt the sub-connection to its upstream.
type picker struct{ p *policy }

func (k picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	a := attemptOf(info.Ctx)
	if a == nil {
		return balancer.PickResult{}, errNotDecided
	}
	if err := a.pick(); err != nil {
		return balancer.PickResult{}, err
	}
	k.p.mu.RLock()
	s := k.p.subs[a.upstream]
	state := connectivity.Connecting // not yet told of by the resolver
	if s != nil && s.place == a.place {
		state = s.state
	}
	k.p.mu.RUnlock()
	switch state {
	case connectivity.Ready:
		if !a.found() {
			return balancer.PickResult{}, errNoConnect
		}
		return balancer.PickResult{SubConn: s.sc, Done: a.done}, nil
	case connectivity.TransientFailure:
		return balancer.PickResult{}, a.fail()
	case connectivity.Idle:
		s.sc.Connect()
	}
	a.wait()
	return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
}

// addresses is the list as the resolver tells it.
func addresses(p *Plugin, places map[string]endpoints.Instance) resolver.State {
	state := resolver.State{Attributes: attributes.New(pluginKey{}, p)}
	for name, place := range places {
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{{Addr: place.Address,
			Attributes: attributes.New(nameKey{}, name).WithValue(placeKey{}, place)}}})
	}
	return state
}
