package downstream

import (
	"context"
	"net"
	"time"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// connOf returns the conn of a connection that the server holds, or nil if the connection is not of this package.
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

// Context adds the connection to the contexts of its requests. It is used as http.Server.ConnContext.
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

// StartRequest begins the processing of a request. It returns false if the connection was shut before the request was read: the request
// cannot get a response.
func StartRequest(ctx context.Context) bool {
	c, ok := connFrom(ctx)
	return !ok || c.tryActivate()
}

// OnClientGone has notify called if the client disconnects, even if pipelined requests precede the end of the connection. It must be called
// once a request has been read to its last byte: bytes that arrive afterwards belong to a later request.
func OnClientGone(ctx context.Context, notify func()) {
	if c, ok := connFrom(ctx); ok {
		c.watchClient(notify)
	}
}

// Closed reports whether a request's connection has been closed by this side.
func Closed(ctx context.Context) bool {
	c, ok := connFrom(ctx)
	return ok && c.closed.Load()
}

// PresenceOf returns what is known about a request's client. It must be called once the request has been read to its last byte, or
// while its body is streamed.
func PresenceOf(ctx context.Context) Presence {
	c, ok := connFrom(ctx)
	if !ok {
		return Present
	}
	return c.presence(time.Now())
}
