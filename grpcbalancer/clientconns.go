package grpcbalancer

import (
	"maps"
	"slices"

	"orchiddrift/balancer"
)

// applyUpdate passes an update of the endpoint list, which the registry has applied, to the engine and to every ClientConn. The
// registrySink calls it.
func (p *Plugin) applyUpdate(update balancer.EndpointUpdate) {
	p.engine.Update(update)
	if len(update.Endpoints) == 0 && update.Kind != balancer.FullUpdate {
		return
	}
	for _, r := range p.currentResolvers() {
		r.updateState()
	}
}

// removeSubConns shuts down the SubConns to an upstream that is draining or removed. The registry calls it directly, because the update
// through the resolvers takes longer, and picks could use the SubConns until then.
func (p *Plugin) removeSubConns(name string) {
	instance, ready := p.registry.Instance(name)
	for _, b := range p.currentBalancers() {
		b.removeSubConn(name, instance, ready)
	}
}

// currentBalancers returns the balancers of the open ClientConns, in no particular order.
func (p *Plugin) currentBalancers() []*subConnBalancer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.balancers))
}

// currentResolvers returns the resolvers of the open ClientConns, in no particular order.
func (p *Plugin) currentResolvers() []*listResolver {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.resolvers))
}

func (p *Plugin) addBalancer(b *subConnBalancer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancers[b] = true
}

func (p *Plugin) removeBalancer(b *subConnBalancer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.balancers, b)
}

func (p *Plugin) addResolver(r *listResolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resolvers[r] = true
}

func (p *Plugin) removeResolver(r *listResolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.resolvers, r)
}
