package tlscredentials

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// startTLSServer starts a server that accepts handshakes until the test ends, and returns its address. With a nil config the server does
// not respond to the ClientHello.
func startTLSServer(t *testing.T, config *tls.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer conn.Close()
				if config == nil {
					_, _ = conn.Read(make([]byte, 4096))
					_, _ = conn.Read(make([]byte, 1))
					return
				}
				c := tls.Server(conn, config)
				if c.HandshakeContext(t.Context()) == nil {
					_, _ = c.Write([]byte("x"))
					_, _ = c.Read(make([]byte, 1))
				}
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		running.Wait()
	})
	return l.Addr().String()
}

// connect makes one connection, and reads the byte that the server sends once it has accepted the client.
func connect(ctx context.Context, c *Client, at endpoints.Instance) (*tls.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", at.Address)
	if err != nil {
		return nil, err
	}
	encrypted, err := c.Handshake(ctx, conn, at)
	if err == nil {
		_ = encrypted.SetReadDeadline(time.Now().Add(base.Timeout))
		_, err = encrypted.Read(make([]byte, 1))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return encrypted, nil
}

// TestHandshakes checks which upstreams are accepted, by identity (DNS name, URI or address), CA and version of TLS, and which upstreams
// accept the client's certificate.
func TestHandshakes(t *testing.T) {
	ca, other := base.CA(t, "one"), base.CA(t, "two")
	const uri = "spiffe://orchid.example/node/7"
	node := base.ServerTLS(t, base.Issue(t, ca, "127.0.0.1", "node7.example", uri))
	foreign := base.ServerTLS(t, base.Issue(t, other, "127.0.0.1", "node7.example"))
	old := node.Clone()
	old.MaxVersion = tls.VersionTLS12
	own := base.Issue(t, ca, "client.example")
	requiring := func(from *fakes.CA) *tls.Config {
		c := node.Clone()
		c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, x509.NewCertPool()
		c.ClientCAs.AppendCertsFromPEM(from.PEM)
		return c
	}
	for _, c := range []struct {
		name        string
		server      *tls.Config
		serviceName string // in the declaration
		identity    string // of the endpoint
		declaration UpstreamTLS
		accepted    bool
	}{
		{"by address", node, "", "", UpstreamTLS{}, true},
		{"by the service's name", node, "node7.example", "", UpstreamTLS{}, true},
		{"by the endpoint's name", node, "wrong.example", "node7.example", UpstreamTLS{}, true},
		{"by URI", node, "", uri, UpstreamTLS{}, true},
		{"another upstream's name", node, "", "node8.example", UpstreamTLS{}, false},
		{"another upstream's URI", node, "", uri + "0", UpstreamTLS{}, false},
		{"another CA", foreign, "node7.example", "", UpstreamTLS{}, false},
		{"an old version", old, "", "", UpstreamTLS{MinVersion: "1.3"}, false},
		{"an old version, allowed", old, "", "", UpstreamTLS{MinVersion: "1.2"}, true},
		{"upstream requires a certificate", requiring(ca), "", "", UpstreamTLS{Certificate: "y"}, true},
		{"upstream requires a certificate and gets none", requiring(ca), "", "", UpstreamTLS{}, false},
		{"upstream requires a certificate of another CA", requiring(other), "", "", UpstreamTLS{Certificate: "y"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newStoreRig(t, own, ca.PEM)
			c.declaration.Name = c.serviceName
			client := NewClient(r.Store, c.declaration)
			at := endpoints.Instance{Address: startTLSServer(t, c.server), TLSIdentity: c.identity}
			for range 2 { // the second connection resumes the session of the first, if there is one
				conn, err := connect(t.Context(), client, at)
				if (err == nil) != c.accepted {
					t.Errorf("connecting ended with error %v, want the opposite outcome", err)
				}
				if err == nil {
					conn.NetConn().Close()
				}
			}
		})
	}
}

// TestHandshakeThatStalls guards against a handshake that outlasts its context because the server does not respond to the ClientHello.
func TestHandshakeThatStalls(t *testing.T) {
	ca := base.CA(t, "one")
	r := newStoreRig(t, base.Issue(t, ca, "a"), ca.PEM)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := connect(ctx, NewClient(r.Store, UpstreamTLS{}), endpoints.Instance{Address: startTLSServer(t, nil)}); err == nil {
		t.Error("a stalled handshake succeeded")
	}
}

// TestAuthorityRotation checks the rotation of CA certificates with an overlap (old, both, new): a connection stays trusted while its CA
// is, and no connection is made or resumed under a CA that has been removed.
func TestAuthorityRotation(t *testing.T) {
	oldCA, newCA := base.CA(t, "old"), base.CA(t, "new")
	r := newStoreRig(t, base.Issue(t, oldCA, "a"), oldCA.PEM)
	client := NewClient(r.Store, UpstreamTLS{})
	oldServer := endpoints.Instance{Address: startTLSServer(t, base.ServerTLS(t, base.Issue(t, oldCA, "127.0.0.1")))}
	newServer := endpoints.Instance{Address: startTLSServer(t, base.ServerTLS(t, base.Issue(t, newCA, "127.0.0.1")))}
	mustConnect := func(at endpoints.Instance) *tls.Conn {
		t.Helper()
		conn, err := connect(t.Context(), client, at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.NetConn().Close() })
		return conn
	}
	oldConn := mustConnect(oldServer)
	base.Replace(t, r.files.CA, append(append([]byte{}, oldCA.PEM...), newCA.PEM...))
	r.Reload()
	newConn := mustConnect(newServer)
	mustConnect(oldServer)
	if !client.StillTrusted(oldConn, oldServer) || !client.StillTrusted(newConn, newServer) {
		t.Error("a connection under the old or the new CA is not trusted, although the file contains both CAs")
	}
	base.Replace(t, r.files.CA, newCA.PEM)
	r.Reload()
	for range 2 { // the second result is cached
		if client.StillTrusted(oldConn, oldServer) || !client.StillTrusted(newConn, newServer) {
			t.Error("a connection under the removed CA is trusted, or one under the remaining CA is not")
		}
	}
	if conn, err := connect(t.Context(), client, oldServer); err == nil { // without verification the cached session would be resumed
		conn.NetConn().Close()
		t.Error("connected to an upstream whose CA has been removed")
	}
}
