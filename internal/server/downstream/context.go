package downstream

import (
	"context"
	"net"
)

// connKey is the key of a request context's value that holds its connection.
type connKey struct{}

// connOf returns the connection behind what the server holds; nil: it is not one of this package.
func connOf(c net.Conn) *conn {
	switch c := c.(type) {
	case *conn:
		return c
	case *tlsConn:
		return c.conn
	}
	return nil
}

// connFrom returns the connection of a request's context.
func connFrom(ctx context.Context) (*conn, bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	return c, ok
}

// Context keeps the connection in the contexts of its requests: it is http.Server.ConnContext.
func (c *Connections) Context(ctx context.Context, of net.Conn) context.Context {
	if client := connOf(of); client != nil {
		return context.WithValue(ctx, connKey{}, client)
	}
	return ctx
}

// UnambiguousFraming reports whether all requests so far on a request's connection are known to frame their bodies in one way.
func UnambiguousFraming(ctx context.Context) bool {
	c, ok := connFrom(ctx)
	return ok && !c.ambiguous.Load()
}

// StartRequest begins the processing of a request. It returns false if the connection was shut before the request was read: it can have
// no response.
func StartRequest(ctx context.Context) bool {
	c, ok := connFrom(ctx)
	return !ok || c.tryActivate()
}

// OnClientGone is called once a request has been read to its last byte: what arrives now belongs to a later request. notify is called if
// the client disconnects, even where that can only be seen behind pipelined requests.
func OnClientGone(ctx context.Context, notify func()) {
	if c, ok := connFrom(ctx); ok {
		c.watchClient(notify)
	}
}

// ClientGone reports whether a request's client is known to have disconnected. It checks the connection where the context alone would not
// tell.
func ClientGone(ctx context.Context) bool {
	c, ok := connFrom(ctx)
	return ok && c.checkClientGone()
}
