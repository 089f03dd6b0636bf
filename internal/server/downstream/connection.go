package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"orchiddrift/internal/server/framing"
)

// The states of a client's connection. Whoever changes one does so by compare and swap, so that of two that cross one is the
// first: a request that is read after its connection was shut is not taken, and a connection on which one was read is not shut.
const (
	phaseIdle   int32 = iota // nothing of a request has been read
	phaseActive              // a request is read, or in hand
	phaseShut                // our side is shut: nothing that comes is taken
)

// lingerTimeout and lingerMaxBytes bound the lingering close, in time and in bytes that are read and dropped. A close over unread bytes
// resets the connection, and takes the answer with it that is still on its way.
const (
	lingerTimeout  = 500 * time.Millisecond
	lingerMaxBytes = 1 << 20
)

// conn is a connection of a client.
type conn struct {
	net.Conn                 // what requests are read from and answers are written to
	socket   net.Conn        // below it: the same where it is not encrypted
	raw      syscall.RawConn // of socket; nil: it is none

	framing   framing.Detector // of who reads; the library has one reader at a time
	ambiguous atomic.Bool

	phase        atomic.Int32
	pipelined    atomic.Bool // something came behind the request in hand, which has come whole
	clientGone   atomic.Bool // the client's end of the connection, or a reset, was read
	closed       atomic.Bool
	onClientGone atomic.Pointer[func()] // tells the request in hand, which has come whole, that its client has gone; nil: there is none

	mu              sync.Mutex       // of what follows
	readDeadline    time.Time        // the server's deadline for reads
	shutDeadline    time.Time        // shut: nothing is read after it
	readAheadBuffer *readAheadBuffer // nil: nothing is read ahead
}

func newConn(socket net.Conn) *conn {
	c := &conn{Conn: socket, socket: socket}
	if s, ok := socket.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

func (c *conn) currentPhase() int32 { return c.phase.Load() }

// tryActivate says that a request comes, or is taken; false: the connection was shut before, and it is not to be taken. Its client finds
// an end of the connection with no answer, which tells it that the request was not read.
func (c *conn) tryActivate() bool {
	return c.phase.CompareAndSwap(phaseIdle, phaseActive) || c.phase.Load() == phaseActive
}

// requestEnded says that the request in hand has its answer. Where a part of the next one has been read the connection is not idle.
func (c *conn) requestEnded() {
	c.onClientGone.Store(nil)
	if !c.pipelined.Swap(false) {
		c.phase.CompareAndSwap(phaseActive, phaseIdle)
	}
}

// Read is net.Conn's.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readNext(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.markClientGone()
	}
	if n > 0 {
		if !c.tryActivate() {
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
		}
		if c.onClientGone.Load() != nil {
			c.pipelined.Store(true)
			c.startReadAhead()
		}
	}
	if c.framing.Feed(p[:n]); c.framing.Ambiguous() {
		c.ambiguous.Store(true)
	}
	return n, err
}

// SetReadDeadline is net.Conn's. One that was shut is not read for longer.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.readAheadBuffer != nil { // it has none
		return nil
	}
	return c.setDeadline()
}

// setDeadline has reads end as they are to; the caller holds mu.
func (c *conn) setDeadline() error {
	t := c.readDeadline
	if !c.shutDeadline.IsZero() && (t.IsZero() || t.After(c.shutDeadline)) {
		t = c.shutDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// markClientGone notes that the client has gone, and tells the request in hand.
func (c *conn) markClientGone() {
	c.clientGone.Store(true)
	if leave := c.onClientGone.Load(); leave != nil {
		(*leave)()
	}
}

// watchClient says that a request has come whole, and whom to tell should its client go.
func (c *conn) watchClient(leave func()) {
	c.onClientGone.Store(&leave)
	if c.clientGone.Load() {
		leave()
	}
}

// shutWrite half-closes the connection, and bounds what is still read of it.
func (c *conn) shutWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.shutDeadline.IsZero() {
		return
	}
	c.shutDeadline = time.Now().Add(lingerTimeout)
	_ = c.setDeadline()     // these fail where it has ended
	if c.Conn != c.socket { // says on the encrypted layer that it ends
		_ = c.Conn.SetWriteDeadline(c.shutDeadline)
		_ = c.CloseWrite()
	}
	if s, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = s.CloseWrite()
	}
}

// closeIdle ends a connection on which nothing has come: it half-closes it, and the server reads on, and closes it once the client has
// or lingerTimeout is over. Where bytes wait to be read it does nothing: they are a request.
func (c *conn) closeIdle() {
	if !c.hasUnreadBytes() && c.phase.CompareAndSwap(phaseIdle, phaseShut) {
		c.shutWrite()
	}
}

// closeUnlessActive closes a connection at once that has no request, or whose client has gone; false: one has begun.
func (c *conn) closeUnlessActive() bool {
	if !c.clientGone.Load() && !c.phase.CompareAndSwap(phaseIdle, phaseShut) && c.phase.Load() != phaseShut {
		return false
	}
	c.closeNow()
	return true
}

// closeNow closes it at once.
func (c *conn) closeNow() {
	c.phase.Store(phaseShut)
	c.closed.Store(true)
	c.socket.Close()
}

// Close is net.Conn's, for the server, which calls it once it neither reads nor writes any more: a lingering close. A second one
// closes at once.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return c.socket.Close()
	}
	c.phase.Store(phaseShut)
	if !c.clientGone.Load() {
		c.shutWrite()
		_, _ = io.CopyN(io.Discard, c.socket, lingerMaxBytes) // until the client ends it, or it is time
	}
	return c.socket.Close()
}

// CloseWrite is for the library, which so has a client read its last answer.
func (c *conn) CloseWrite() error {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return s.CloseWrite()
	}
	return errors.ErrUnsupported
}

// hasUnreadBytes tells whether bytes wait to be read.
func (c *conn) hasUnreadBytes() (some bool) {
	if c.raw == nil {
		return false
	}
	_ = c.raw.Control(func(fd uintptr) { // it fails where the socket is closed
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return some
}

// checkClientGone tells whether the client has ended the connection, also where more unread bytes stand before the end than are read ahead.
func (c *conn) checkClientGone() bool {
	if c.clientGone.Load() || !c.pipelined.Load() || c.raw == nil {
		return c.clientGone.Load()
	}
	_ = c.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			if p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
				c.markClientGone()
			}
		}
	})
	return c.clientGone.Load()
}

type connKey struct{}

// connOf is the connection behind what the server has.
func connOf(c net.Conn) *conn {
	switch c := c.(type) {
	case *conn:
		return c
	case *tlsConn:
		return c.conn
	}
	return nil
}

// Context keeps the connection for what is asked of a request's context below.
func (c *Connections) Context(ctx context.Context, of net.Conn) context.Context {
	if one := connOf(of); one != nil {
		return context.WithValue(ctx, connKey{}, one)
	}
	return ctx
}

// UnambiguousFraming tells whether the requests of ctx's connection are known to frame their bodies in one way each.
func UnambiguousFraming(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && !c.ambiguous.Load()
}

// StartRequest takes a request for its answer; false: its connection was shut before it was read, so that it can have none.
func StartRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.tryActivate()
}

// OnClientGone says that a request has come to its last byte: what comes now is behind it. leave is called should its client go, also where
// that can be seen behind other requests alone.
func OnClientGone(ctx context.Context, leave func()) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.watchClient(leave)
	}
}

// ClientGone tells whether a request's client is known to have gone. It looks at the connection where ctx alone would not tell.
func ClientGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.checkClientGone()
}
