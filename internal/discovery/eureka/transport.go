package eureka

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
)

const (
	defaultConnectTimeout  = time.Second
	idleConnectionTimeout  = 90 * time.Second
	maxResponseHeaderBytes = 16 << 10
	maxIdleConnections     = 1 // maximum per server; the client makes one call at a time
	maxConnections         = 2 // maximum per server
)

// newClient returns a client of the declared servers, and the credentials for https servers, which are nil if no TLS is configured.
func newClient(d Declaration, connectTimeout time.Duration, log *slog.Logger) (*client, *tlscredentials.Store, error) {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: cmp.Or(connectTimeout, defaultConnectTimeout)}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxConnsPerHost:        maxConnections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		IdleConnTimeout:        idleConnectionTimeout,
	}
	var credentials *tlscredentials.Store
	if d.TLS.CA != "" {
		var err error
		credentials, err = tlscredentials.Open(tlscredentials.Files{Certificate: d.TLS.Certificate, Key: d.TLS.Key, CA: d.TLS.CA}, d.TLS.WarnBefore.D(), log)
		if err != nil {
			return nil, nil, fmt.Errorf("eureka %s: %w", d.Name, err)
		}
		transport.DialTLSContext = dialTLS(transport.DialContext, tlscredentials.NewClient(credentials, d.TLS))
	}
	c := &client{
		servers:          make([]string, len(d.Servers)),
		http:             &http.Client{Transport: transport, CheckRedirect: rejectRedirect},
		timeout:          d.Timeout.D(),
		maxResponseBytes: int64(d.MaxAnswer),
		accept:           "application/" + cmp.Or(d.Format, "json"),
		user:             d.User,
		password:         d.password,
	}
	for i, server := range d.Servers {
		c.servers[i] = strings.TrimRight(server, "/")
	}
	return c, credentials, nil
}

// rejectRedirect makes the client return a redirect as the response instead of following it.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTLS returns a function that dials an https server.
func dialTLS(dial dialFunc, secure *tlscredentials.Client) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tlsConn, err := secure.Handshake(ctx, conn, endpoints.Instance{Address: address})
		if err != nil {
			conn.Close()
			return nil, err
		}
		return tlsConn, nil
	}
}
