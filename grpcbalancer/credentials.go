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

// TLS configures TLS 1.3 on connections to upstreams. The files are watched: replaced files are loaded without breaking open streams, and
// the previous credentials stay in use while the files are unusable.
type TLS struct {
	CA          string // PEM file of the certificate authorities that must have signed the upstreams' certificates
	Name        string // DNS name or URI that the certificate of an Endpoint without Identity must have; if empty, the Endpoint's address
	Certificate string // PEM file of the client certificate presented to upstreams; if empty, none is presented
	Key         string // PEM file of the client certificate's private key
}

const (
	filePollInterval = 250 * time.Millisecond // time between two checks of the files for changes
	expiryWarning    = 7 * 24 * time.Hour     // a warning is logged this long before a certificate expires
)

// transportCredentials implements credentials.TransportCredentials for all ClientConns of a Plugin. It tracks their open connections, to
// find those whose certificates are no longer trusted after the authorities were replaced. It is safe for concurrent use.
type transportCredentials struct {
	store  *tlscredentials.Store
	client *tlscredentials.Client

	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is an open connection that leaves transportCredentials.open when it is closed.
type trackedConn struct {
	*tls.Conn
	credentials *transportCredentials
	instance    endpoints.Instance
}

// newTransportCredentials loads the files. It fails if one of them is missing or unusable.
func newTransportCredentials(t TLS, log *slog.Logger) (*transportCredentials, error) {
	if t.CA == "" {
		return nil, errors.New("TLS: CA is required")
	}
	if (t.Certificate == "") != (t.Key == "") {
		return nil, errors.New("TLS: Certificate and Key must be set together")
	}
	files := tlscredentials.Files{Certificate: t.Certificate, Key: t.Key, CA: t.CA}
	store, err := tlscredentials.Open(files, expiryWarning, log)
	if err != nil {
		return nil, fmt.Errorf("TLS: %w", err)
	}
	upstream := tlscredentials.UpstreamTLS{CA: t.CA, Name: t.Name, Certificate: t.Certificate, Key: t.Key}
	return &transportCredentials{
		store:  store,
		client: tlscredentials.NewClient(store, upstream),
		open:   map[*trackedConn]bool{},
	}, nil
}

// watchFiles reloads the files when they change, until ctx ends. After a change it calls replace with the instances whose open connections
// the new authorities do not trust. It runs in a goroutine of the Plugin.
func (c *transportCredentials) watchFiles(ctx context.Context, replace func(map[endpoints.Instance]bool)) {
	generation := c.store.Current().Generation
	filewatch.Watch(ctx, filePollInterval, func() {
		c.store.Reload()
		current := c.store.Current().Generation
		if current == generation {
			return
		}
		generation = current
		if untrusted := c.untrustedInstances(); len(untrusted) > 0 {
			replace(untrusted)
		}
	})
}

// untrustedInstances returns the instances of the open connections that the current authorities do not trust.
func (c *transportCredentials) untrustedInstances() map[endpoints.Instance]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	untrusted := map[endpoints.Instance]bool{}
	for conn := range c.open {
		if !c.client.StillTrusted(conn.Conn, conn.instance) {
			untrusted[conn.instance] = true
		}
	}
	return untrusted
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.credentials.mu.Lock()
	delete(c.credentials.open, c)
	c.credentials.mu.Unlock()
	return c.Conn.Close()
}

// ClientHandshake implements credentials.TransportCredentials. A failed handshake counts as a connection that was never made: nothing was
// sent on it.
func (c *transportCredentials) ClientHandshake(ctx context.Context, _ string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	instance := endpoints.Instance{Address: raw.RemoteAddr().String()}
	if attributes := credentials.ClientHandshakeInfoFromContext(ctx).Attributes; attributes != nil {
		if decided, ok := attributes.Value(instanceKey{}).(endpoints.Instance); ok {
			instance = decided
		}
	}
	config := c.client.Config(instance)
	config.NextProtos = []string{"h2"}
	tlsConn := tls.Client(raw, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	state := tlsConn.ConnectionState()
	if state.NegotiatedProtocol != "h2" {
		return nil, nil, errors.New("TLS handshake: the upstream did not negotiate HTTP/2")
	}
	conn := &trackedConn{Conn: tlsConn, credentials: c, instance: instance}
	c.mu.Lock()
	c.open[conn] = true
	c.mu.Unlock()
	security := credentials.CommonAuthInfo{SecurityLevel: credentials.PrivacyAndIntegrity}
	return conn, credentials.TLSInfo{State: state, CommonAuthInfo: security}, nil
}

// ServerHandshake implements credentials.TransportCredentials. It always fails: the credentials are for clients.
func (c *transportCredentials) ServerHandshake(net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return nil, nil, errors.New("orchidgrpc: server handshake: these credentials are for clients only")
}

// Info implements credentials.TransportCredentials.
func (c *transportCredentials) Info() credentials.ProtocolInfo {
	//lint:ignore SA1019 peers of older versions of grpc-go still read it
	return credentials.ProtocolInfo{SecurityProtocol: "tls", SecurityVersion: "1.3"}
}

// Clone implements credentials.TransportCredentials. It returns c itself: the credentials hold no state of a single ClientConn.
func (c *transportCredentials) Clone() credentials.TransportCredentials { return c }

// OverrideServerName implements credentials.TransportCredentials. It does nothing: TLS and the endpoint list determine the names that
// certificates must have.
func (c *transportCredentials) OverrideServerName(string) error { return nil }

// replaceSubConns makes every ClientConn open new connections to the given instances, whose present connections are no longer trusted.
func (p *Plugin) replaceSubConns(untrusted map[endpoints.Instance]bool) {
	for _, b := range p.currentBalancers() {
		b.replaceSubConnsTo(untrusted)
	}
}
