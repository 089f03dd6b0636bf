package grpcbalancer

import (
	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/resolver"

	"orchiddrift/internal/endpoints"
)

// Scheme is the scheme of Plugin.Target.
const Scheme = "orchid"

// Keys of the attributes that the resolver attaches for the balancer.
type (
	pluginKey   struct{} // *Plugin, on the resolver's state
	nameKey     struct{} // the upstream's name, on an address
	instanceKey struct{} // endpoints.Instance, on an address
)

// resolverBuilder builds the resolvers of one Plugin. It is passed with a dial option and not registered globally.
type resolverBuilder struct{ plugin *Plugin }

// Scheme implements resolver.Builder.
func (b resolverBuilder) Scheme() string { return Scheme }

// Build implements resolver.Builder.
func (b resolverBuilder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	r := &listResolver{plugin: b.plugin, cc: cc}
	b.plugin.addResolver(r)
	r.updateState()
	return r, nil
}

// listResolver passes the Plugin's endpoint list to one ClientConn.
type listResolver struct {
	plugin *Plugin
	cc     resolver.ClientConn
}

// updateState passes on the current list. It is called from any goroutine and never passes on an older list after a newer one. It ignores
// the ClientConn's error, which asks for another resolution: that would return the same list.
func (r *listResolver) updateState() {
	r.plugin.resolverMu.Lock()
	defer r.plugin.resolverMu.Unlock()
	_ = r.cc.UpdateState(resolverState(r.plugin, r.plugin.registry.Instances()))
}

// ResolveNow implements resolver.Resolver. It does nothing: updates of the list are passed on as they arrive.
func (r *listResolver) ResolveNow(resolver.ResolveNowOptions) {}

// Close implements resolver.Resolver.
func (r *listResolver) Close() { r.plugin.removeResolver(r) }

// resolverState returns the endpoint list in grpc-go's form.
func resolverState(p *Plugin, instances map[string]endpoints.Instance) resolver.State {
	state := resolver.State{Attributes: attributes.New(pluginKey{}, p)}
	for name, instance := range instances {
		address := resolver.Address{
			Addr:       instance.Address,
			Attributes: attributes.New(nameKey{}, name).WithValue(instanceKey{}, instance),
		}
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{address}})
	}
	return state
}
