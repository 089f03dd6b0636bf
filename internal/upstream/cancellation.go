package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// A cancelled attempt on an encrypted connection keeps the connection for a moment, since a handshake costs both sides more than a short
// response that nobody waits for. Without encryption the connection is closed at once.
const (
	cancelledAnswerTimeout = 20 * time.Millisecond // for the response to a cancelled attempt
	maxCancelledAnswer     = 64 << 10              // bytes of its body
)

// past is a deadline that interrupts a read at once.
var past = time.Unix(1, 0)

// interruptOnDone interrupts the reading of a connection when ctx ends. The returned function stops that, and reports whether the
// connection can still be read.
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

// interruptRead ends the reading of a connection: it closes the socket, or, where the connection is encrypted and the attempt was
// cancelled, only makes the read return, so that drainCancelled may go on with the connection.
func (c *pooledConn) interruptRead(cause error) {
	if c.tlsConn == nil || errors.Is(cause, context.DeadlineExceeded) || c.tlsConn.SetReadDeadline(past) != nil {
		c.closeSocket()
	}
}

// resumeRead undoes interruptRead on an encrypted connection whose response had arrived completely meanwhile. It returns false if the
// connection is closed.
func (c *pooledConn) resumeRead(ctx context.Context, interrupted <-chan struct{}) bool {
	<-interrupted // it does not block
	return !errors.Is(context.Cause(ctx), context.DeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// drainCancelled reads the response to a cancelled attempt for a moment, so that its connection can carry another request.
func (p *Pool) drainCancelled(conn *pooledConn, r *Request) {
	if conn.SetReadDeadline(time.Now().Add(cancelledAnswerTimeout)) == nil && drainResponse(conn, r) &&
		conn.SetReadDeadline(time.Time{}) == nil {
		p.putIdle(conn)
		return
	}
	p.discard(conn)
}

// drainResponse reads and drops a response. It reports whether nothing of it is left on the connection.
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
	delimited := message.ContentLength >= 0 && message.ContentLength <= maxCancelledAnswer || len(message.TransferEncoding) > 0
	if !delimited {
		return false
	}
	if _, err := reader.body(message, maxCancelledAnswer); err != nil {
		return false
	}
	return reader.Buffered() == 0
}
