package tlscredentials

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"

	"orchiddrift/internal/endpoints"
)

// Server is the configuration for clients' connections. Each handshake uses what the Store holds then; handshakes under
// way, and connections that stand, go on with what they began with.
func Server(s *Store, d ListenerTLS) *tls.Config {
	c := &tls.Config{MinVersion: version(d.MinVersion), NextProtos: []string{"http/1.1"}}
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.Current().Pair, nil }
	if d.Clients == "none" {
		return c
	}
	if c.ClientAuth = tls.RequireAnyClientCert; d.Clients == "wanted" {
		c.ClientAuth = tls.RequestClientCert
	}
	// The authorities may be others at a resumption than they were at the handshake, so that each is looked at here.
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			if d.Clients == "required" {
				return errors.New("no client certificate")
			}
			return nil
		}
		return verify(state.PeerCertificates, s.Current().CA, x509.ExtKeyUsageClientAuth)
	}
	return c
}

func verify(chain []*x509.Certificate, ca *x509.CertPool, usage x509.ExtKeyUsage) error {
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: ca, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}

// Client makes connections to upstreams encrypted ones. It implements upstream.TLSClient, and is safe for concurrent use.
type Client struct {
	store *Store
	name  string // that certificates bear where an entry names none
	base  *tls.Config

	sessions tls.ClientSessionCache

	mu      sync.Mutex
	trusted map[*x509.Certificate]int64 // leafs found good under a CA's generation, see Trusts
}

const (
	sessions   = 1024 // kept for resumption, over all upstreams
	maxTrusted = 4096
)

// NewClient returns one by a service's declaration.
func NewClient(s *Store, d UpstreamTLS) *Client {
	c := &Client{store: s, name: d.Name, sessions: tls.NewLRUClientSessionCache(sessions), trusted: map[*x509.Certificate]int64{}}
	c.base = &tls.Config{MinVersion: version(d.MinVersion), NextProtos: []string{"http/1.1"},
		// The library's own check knows no URIs, and no authorities that change: VerifyConnection does it, at each
		// handshake and each resumption.
		InsecureSkipVerify: true}
	if d.Certificate != "" {
		c.base.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.Current().Pair, nil }
	}
	return c
}

// Config is a configuration for connections to the upstream at a place, for those who make them themselves.
func (c *Client) Config(at endpoints.Instance) *tls.Config {
	config := c.base.Clone()
	name := c.expected(at)
	// A session is resumed with the very same upstream only.
	config.ClientSessionCache = scoped{c.sessions, at.Address + " " + at.TLSIdentity + " "}
	config.ServerName, _, _ = net.SplitHostPort(at.Address) // an address is not sent
	if name != "" && !strings.Contains(name, "://") {
		config.ServerName = name
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("the upstream shows no certificate")
		}
		if err := verify(state.PeerCertificates, c.store.Current().CA, x509.ExtKeyUsageServerAuth); err != nil {
			return err
		}
		return bears(state.PeerCertificates[0], name, at.Address)
	}
	return config
}

// scoped is the part of a cache of sessions that belongs to one upstream.
type scoped struct {
	tls.ClientSessionCache
	scope string
}

func (s scoped) Get(key string) (*tls.ClientSessionState, bool) {
	return s.ClientSessionCache.Get(s.scope + key)
}

func (s scoped) Put(key string, state *tls.ClientSessionState) {
	s.ClientSessionCache.Put(s.scope+key, state)
}

func (c *Client) expected(at endpoints.Instance) string {
	if at.TLSIdentity != "" {
		return at.TLSIdentity
	}
	return c.name
}

// bears holds a certificate against the name that an upstream has to have, a DNS name or a URI; where none is named, it
// has to be for the address.
func bears(leaf *x509.Certificate, name, address string) error {
	switch {
	case name == "":
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return err
		}
		return leaf.VerifyHostname(host)
	case strings.Contains(name, "://"):
		for _, uri := range leaf.URIs {
			if uri.String() == name {
				return nil
			}
		}
		return fmt.Errorf("the certificate is not for %s", name)
	}
	return leaf.VerifyHostname(name)
}

// Handshake makes a fresh connection an encrypted one.
func (c *Client) Handshake(ctx context.Context, conn net.Conn, at endpoints.Instance) (*tls.Conn, error) {
	return c.HandshakeALPN(ctx, conn, at, "http/1.1")
}

// HandshakeALPN is Client for another protocol's connections, by its ALPN name.
func (c *Client) HandshakeALPN(ctx context.Context, conn net.Conn, at endpoints.Instance, protocol string) (*tls.Conn, error) {
	config := c.Config(at)
	config.NextProtos = []string{protocol}
	t := tls.Client(conn, config)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// StillTrusted tells whether a connection made earlier would still be made now: by the authorities of now, and under the name
// of now.
func (c *Client) StillTrusted(t *tls.Conn, at endpoints.Instance) bool {
	m := c.store.Current()
	state := t.ConnectionState()
	if len(state.PeerCertificates) == 0 {
		return false
	}
	leaf := state.PeerCertificates[0]
	c.mu.Lock()
	known := c.trusted[leaf] == m.Generation
	c.mu.Unlock()
	if known {
		return true
	}
	if verify(state.PeerCertificates, m.CA, x509.ExtKeyUsageServerAuth) != nil ||
		bears(leaf, c.expected(at), at.Address) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.trusted) >= maxTrusted {
		clear(c.trusted)
	}
	c.trusted[leaf] = m.Generation
	return true
}
