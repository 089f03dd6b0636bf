package grpcbalancer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/filewatch"
	"orchiddrift/internal/tlscredentials"
)

// TLS says how connections to upstreams are encrypted, by TLS 1.3 and from files that are watched: what replaces them is
// taken over without breaking what runs, and what can't be used keeps what there is.
type TLS struct {
	CA          string // authorities that upstreams' certificates have to come from, PEM
	Name        string // that a certificate has to bear where its Endpoint has no Identity, a DNS name or a URI; absent: the address
	Certificate string // shown to upstreams, PEM; absent: none
	Key         string // its private key, PEM
}

const (
	keysEvery = 250 * time.Millisecond // files are looked at this often
	warnKeys  = 7 * 24 * time.Hour     // ahead of a certificate's end
)

// guard is a plug-in's encryption: grpc-go's transport credentials, and the connections made with them. It holds an entry
// for each that is open, and is safe for concurrent use.
type guard struct {
	store  *tlscredentials.Store
	client *tlscredentials.Client

	mu   sync.Mutex
	open map[*guarded]bool
}

// guarded is one connection.
type guarded struct {
	*tls.Conn
	g  *guard
	at endpoints.Instance
}

func newGuard(t TLS, log *slog.Logger) (*guard, error) {
	if t.CA == "" {
		return nil, errors.New("TLS: there is no CA")
	}
	if (t.Certificate == "") != (t.Key == "") {
		return nil, errors.New("TLS: Certificate and Key belong together")
	}
	store, err := tlscredentials.Open(tlscredentials.Files{Certificate: t.Certificate, Key: t.Key, CA: t.CA}, warnKeys, log)
	if err != nil {
		return nil, fmt.Errorf("TLS: %w", err)
	}
	return &guard{store: store, open: map[*guarded]bool{},
		client: tlscredentials.NewClient(store, tlscredentials.UpstreamTLS{CA: t.CA, Name: t.Name, Certificate: t.Certificate, Key: t.Key})}, nil
}

// follow looks at the files until ctx ends, and names the places of connections that would not come up any more once
// other authorities count.
func (g *guard) follow(ctx context.Context, withdrawn func(map[endpoints.Instance]bool)) {
	generation := g.store.Current().Generation
	filewatch.Watch(ctx, keysEvery, func() {
		g.store.Reload()
		now := g.store.Current().Generation
		if now == generation {
			return
		}
		generation = now
		places := map[endpoints.Instance]bool{}
		g.mu.Lock()
		for c := range g.open {
			if !g.client.StillTrusted(c.Conn, c.at) {
				places[c.at] = true
			}
		}
		g.mu.Unlock()
		if len(places) > 0 {
			withdrawn(places)
		}
	})
}

func (c *guarded) Close() error {
	c.g.mu.Lock()
	delete(c.g.open, c)
	c.g.mu.Unlock()
	return c.Conn.Close()
}

// ClientHandshake is credentials.TransportCredentials'. A handshake that fails is a connection that never came up.
func (g *guard) ClientHandshake(ctx context.Context, _ string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	at := endpoints.Instance{Address: raw.RemoteAddr().String()}
	if a := credentials.ClientHandshakeInfoFromContext(ctx).Attributes; a != nil {
		if place, ok := a.Value(placeKey{}).(endpoints.Instance); ok {
			at = place
		}
	}
	config := g.client.Config(at)
	config.NextProtos = []string{"h2"}
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	state := conn.ConnectionState()
	if state.NegotiatedProtocol != "h2" {
		return nil, nil, errors.New("the upstream does not speak HTTP/2")
	}
	c := &guarded{conn, g, at}
	g.mu.Lock()
	g.open[c] = true
	g.mu.Unlock()
	return c, credentials.TLSInfo{State: state, CommonAuthInfo: credentials.CommonAuthInfo{
		SecurityLevel: credentials.PrivacyAndIntegrity}}, nil
}

// ServerHandshake is credentials.TransportCredentials'; the plug-in has no servers.
func (g *guard) ServerHandshake(net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return nil, nil, errors.New("orchidgrpc: these credentials are for clients")
}

// Info is credentials.TransportCredentials'.
func (g *guard) Info() credentials.ProtocolInfo {
	//lint:ignore SA1019 peers of older versions of grpc-go still read it
	return credentials.ProtocolInfo{SecurityProtocol: "tls", SecurityVersion: "1.3"}
}

// Clone is credentials.TransportCredentials'.
func (g *guard) Clone() credentials.TransportCredentials { return g }

// OverrideServerName is credentials.TransportCredentials'; names are the list's.
func (g *guard) OverrideServerName(string) error { return nil }

// renew replaces the sub-connections to these places: streams that are open finish, new ones go by a new handshake.
func (p *policy) renew(places map[endpoints.Instance]bool) {
	p.mu.RLock()
	type stale struct {
		name string
		s    *sub
	}
	var all []stale
	for name, s := range p.subs {
		if places[s.place] {
			all = append(all, stale{name, s})
		}
	}
	p.mu.RUnlock()
	for _, of := range all {
		p.replace(of.name, of.s.place, of.s.address, of.s)
	}
	if len(all) > 0 {
		p.publish()
	}
}

// withdrawn has every policy renew its sub-connections to places whose connections are no longer trusted.
func (p *Plugin) withdrawn(places map[endpoints.Instance]bool) {
	for _, q := range p.allPolicies() {
		q.renew(places)
	}
}
