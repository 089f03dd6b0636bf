package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// After a cancelled attempt an encrypted connection stays open for a short time so that it can be used again: a new handshake costs both
// sides more than reading a short response that nobody waits for. A connection without encryption is closed at once.
const (
	cancelledResponseTimeout  = 20 * time.Millisecond // for the response to a cancelled attempt
	maxCancelledResponseBytes = 64 << 10              // bytes of the body of that response
)

// expiredDeadline is a deadline in the past: it makes a pending read or write return at once.
var expiredDeadline = time.Unix(1, 0)

// interruptOnDone interrupts reads of a connection when ctx ends. The returned function stops this, and reports whether the connection
// can still be read.
func interruptOnDone(ctx context.Context, conn *pooledConn) (detach func() bool) {
	var interrupted chan struct{} // closed once interruptRead has returned
	if conn.tlsConn != nil {
		interrupted = make(chan struct{})
	}
	stop := context.AfterFunc(ctx, func() {
		conn.interruptRead(context.Cause(ctx))
		if interrupted != nil {
			close(interrupted)
		}
	})
	return func() bool { return stop() || conn.tlsConn != nil && conn.resumeRead(ctx, interrupted) }
}

// interruptRead makes a pending read of a connection return. It closes the socket, except on an encrypted connection whose attempt was
// cancelled: there it only sets a read deadline in the past, so that drainCancelled can keep the connection.
func (c *pooledConn) interruptRead(cause error) {
	if c.tlsConn == nil || errors.Is(cause, context.DeadlineExceeded) || c.tlsConn.SetReadDeadline(expiredDeadline) != nil {
		c.closeSocket()
	}
}

// resumeRead undoes interruptRead on an encrypted connection whose complete response arrived before the interruption. It returns false if
// the connection is closed.
func (c *pooledConn) resumeRead(ctx context.Context, interrupted <-chan struct{}) bool {
	<-interrupted // closed as soon as interruptRead returns, which does not block
	return !errors.Is(context.Cause(ctx), context.DeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// drainCancelled reads the response to a cancelled attempt for up to cancelledResponseTimeout, so that its connection can carry another
// request.
func (p *Pool) drainCancelled(conn *pooledConn, r *Request) {
	if conn.SetReadDeadline(time.Now().Add(cancelledResponseTimeout)) == nil && drainResponse(conn, r) &&
		conn.SetReadDeadline(time.Time{}) == nil {
		p.putIdle(conn)
		return
	}
	p.discard(conn)
}

// drainResponse reads and discards a response. It reports whether the connection has no unread bytes left.
func drainResponse(conn *pooledConn, r *Request) bool {
	reader := newResponseReader(conn)
	defer reader.release()
	message, err := reader.head(r)
	if err != nil || message.StatusCode < http.StatusOK || message.Close {
		return false
	}
	if r.expectsNoBody(message) {
		return reader.Buffered() == 0
	}
	delimited := message.ContentLength >= 0 && message.ContentLength <= maxCancelledResponseBytes || len(message.TransferEncoding) > 0
	if !delimited {
		return false
	}
	if _, err := reader.body(message, maxCancelledResponseBytes); err != nil {
		return false
	}
	return reader.Buffered() == 0
}
