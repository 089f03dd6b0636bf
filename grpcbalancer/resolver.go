package grpcbalancer

import (
	"google.golang.org/grpc/resolver"
)

// Scheme is the scheme of Plugin.Target.
const Scheme = "orchid"

// resolverBuilder makes resolvers that tell the plug-in's list. It is one plug-in's: there is no global registration.
type resolverBuilder struct{ p *Plugin }

func (b resolverBuilder) Scheme() string { return Scheme }

func (b resolverBuilder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	r := &listResolver{p: b.p, cc: cc}
	b.p.addResolver(r)
	r.tell()
	return r, nil
}

// listResolver tells one ClientConn of the list.
type listResolver struct {
	p  *Plugin
	cc resolver.ClientConn
}

// tell passes on the list as it is now, never an older one after it. What grpc-go says of it changes nothing: the list is
// the list.
func (r *listResolver) tell() {
	r.p.tellMu.Lock()
	defer r.p.tellMu.Unlock()
	_ = r.cc.UpdateState(addresses(r.p, r.p.directory.Instances()))
}

func (r *listResolver) ResolveNow(resolver.ResolveNowOptions) {}

func (r *listResolver) Close() { r.p.removeResolver(r) }
