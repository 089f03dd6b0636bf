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

const (
	// maxSessions is how many TLS sessions are cached for resumption, over all upstreams.
	maxSessions = 1024
	// maxTrustedLeaves is how many verified certificates are cached. Beyond it the cache is cleared.
	maxTrustedLeaves = 4096
)

// Client encrypts connections to upstreams. It implements upstream.TLSClient and is safe for concurrent use.
type Client struct {
	store    *Store
	identity string // expected in certificates if the endpoint has no identity; if empty, the endpoint's address is expected
	base     *tls.Config
	sessions tls.ClientSessionCache

	mu      sync.Mutex
	trusted map[*x509.Certificate]int64 // verified leaf certificates, with the Material.Generation that they were verified under
}

// NewClient returns a Client for a service's declaration, with the credentials of s.
func NewClient(s *Store, d UpstreamTLS) *Client {
	c := &Client{store: s, identity: d.Name, sessions: tls.NewLRUClientSessionCache(maxSessions), trusted: map[*x509.Certificate]int64{}}
	c.base = &tls.Config{
		MinVersion: version(d.MinVersion),
		NextProtos: []string{alpnHTTP1},
		// crypto/tls cannot verify URIs, or use CA certificates that change. Config sets VerifyConnection to a function that does both, at
		// each handshake and resumption.
		InsecureSkipVerify: true,
	}
	if d.Certificate != "" {
		c.base.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.Current().Pair, nil }
	}
	return c
}

// Config returns the TLS configuration of connections to an upstream, for callers that make the connections themselves.
func (c *Client) Config(at endpoints.Instance) *tls.Config {
	config := c.base.Clone()
	identity := c.expectedIdentity(at)
	config.ClientSessionCache = upstreamSessions{c.sessions, at.Address + " " + at.TLSIdentity + " "}
	config.ServerName, _, _ = net.SplitHostPort(at.Address) // crypto/tls does not send a name that is an IP address
	if identity != "" && !isURI(identity) {
		config.ServerName = identity
	}
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("the upstream presented no certificate")
		}
		if err := verifyChain(state.PeerCertificates, c.store.Current().CA, x509.ExtKeyUsageServerAuth); err != nil {
			return err
		}
		return verifyIdentity(state.PeerCertificates[0], identity, at.Address)
	}
	return config
}

// upstreamSessions is the part of a session cache that belongs to one upstream. A session is resumed only with the upstream that it was
// established with.
type upstreamSessions struct {
	tls.ClientSessionCache
	prefix string
}

// Get implements tls.ClientSessionCache.
func (s upstreamSessions) Get(key string) (*tls.ClientSessionState, bool) {
	return s.ClientSessionCache.Get(s.prefix + key)
}

// Put implements tls.ClientSessionCache.
func (s upstreamSessions) Put(key string, state *tls.ClientSessionState) {
	s.ClientSessionCache.Put(s.prefix+key, state)
}

// expectedIdentity returns the identity that an upstream's certificate must have. It is empty if the certificate must have the
// upstream's address.
func (c *Client) expectedIdentity(at endpoints.Instance) string {
	if at.TLSIdentity != "" {
		return at.TLSIdentity
	}
	return c.identity
}

// isURI reports whether an identity is a URI and not a DNS name.
func isURI(identity string) bool { return strings.Contains(identity, "://") }

// verifyIdentity verifies that a certificate is valid for the identity, or for the host of address if the identity is empty.
func verifyIdentity(leaf *x509.Certificate, identity, address string) error {
	switch {
	case identity == "":
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return err
		}
		return leaf.VerifyHostname(host)
	case isURI(identity):
		for _, uri := range leaf.URIs {
			if uri.String() == identity {
				return nil
			}
		}
		return fmt.Errorf("the upstream's certificate is not valid for %s", identity)
	default:
		return leaf.VerifyHostname(identity)
	}
}

// Handshake performs the TLS handshake on a new connection, for HTTP/1.1.
func (c *Client) Handshake(ctx context.Context, conn net.Conn, at endpoints.Instance) (*tls.Conn, error) {
	return c.HandshakeALPN(ctx, conn, at, alpnHTTP1)
}

// HandshakeALPN performs the TLS handshake on a new connection, for the protocol with this ALPN name.
func (c *Client) HandshakeALPN(ctx context.Context, conn net.Conn, at endpoints.Instance, protocol string) (*tls.Conn, error) {
	config := c.Config(at)
	config.NextProtos = []string{protocol}
	encrypted := tls.Client(conn, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return encrypted, nil
}

// StillTrusted reports whether the certificates of an established connection would be accepted now, with the current CA certificates and
// the current identity of the upstream.
func (c *Client) StillTrusted(conn *tls.Conn, at endpoints.Instance) bool {
	material := c.store.Current()
	chain := conn.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return false
	}
	leaf := chain[0]
	c.mu.Lock()
	verified := c.trusted[leaf] == material.Generation
	c.mu.Unlock()
	if verified {
		return true
	}
	if verifyChain(chain, material.CA, x509.ExtKeyUsageServerAuth) != nil ||
		verifyIdentity(leaf, c.expectedIdentity(at), at.Address) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.trusted) >= maxTrustedLeaves {
		clear(c.trusted)
	}
	c.trusted[leaf] = material.Generation
	return true
}
