package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"orchiddrift/internal/server/framing"
)

// The phases of a client's connection. They are changed by compare-and-swap, so that of two concurrent changes one comes first: a request
// that is read after its connection was shut is not processed, and a connection on which a request was read is not shut.
const (
	phaseIdle   int32 = iota // nothing of a request has been read
	phaseActive              // a request is being read, or is in flight
	phaseShut                // shut by this side: no request that arrives is processed
)

// Bounds of the lingering close. Closing a socket with unread bytes resets the connection, and may destroy a response that is still on
// its way.
const (
	lingerTimeout  = 500 * time.Millisecond
	lingerMaxBytes = 1 << 20 // largest number of bytes that are read and discarded
)

// past is a deadline that interrupts a read at once.
var past = time.Unix(1, 0)

// writeCloser is implemented by connections that can be half-closed.
type writeCloser interface{ CloseWrite() error }

// conn is a connection of a client.
type conn struct {
	net.Conn                 // requests are read from it, and responses written to it
	socket   net.Conn        // the TCP connection: Conn, or the connection below TLS
	raw      syscall.RawConn // gives access to the socket's file descriptor; nil if not available

	framing   framing.Detector // used by the reader; net/http has one reader at a time
	ambiguous atomic.Bool      // see framing.Detector.Ambiguous
	arrival   arrival
	headEnd   []byte      // what is left of the end that the server reads of a head with too many fields
	headCut   atomic.Bool // a head had too many fields; nothing that follows it is read

	phase        atomic.Int32
	pipelined    atomic.Bool // bytes arrived after the request in flight, which has been read completely
	clientGone   atomic.Bool // a read reported the end of the client's stream or a reset
	closed       atomic.Bool
	onClientGone atomic.Pointer[func()] // is called if the client disconnects; nil unless a request that has been read completely is in flight

	signAt         atomic.Int64 // see lastSign; in nanoseconds after processStart
	readAheadBytes atomic.Int64 // bytes that were read ahead and that the server has not read
	readAheadSpace readAheadSpace

	mu              sync.Mutex // guards the following fields
	readDeadline    time.Time  // as set by the server
	shutDeadline    time.Time  // set once the connection was shut; nothing is read after it
	serverReads     bool       // the server reads from the connection
	readAheadBuffer *readAheadBuffer
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

// tryActivate records that a request arrives or is processed. It returns false if the connection was shut before, in which case the request
// is not processed: the connection ends without a response, which tells the client that its request was not read.
func (c *conn) tryActivate() bool {
	return c.phase.CompareAndSwap(phaseIdle, phaseActive) || c.phase.Load() == phaseActive
}

// requestEnded records that the request in flight got its response. The connection becomes idle unless a part of the next request was read.
func (c *conn) requestEnded() {
	c.onClientGone.Store(nil)
	c.arrival.requestEnded()
	if !c.pipelined.Swap(false) && !c.requestsBehind(0) {
		c.phase.CompareAndSwap(phaseActive, phaseIdle)
	}
}

// Read implements net.Conn. A head with too many fields ends early, see cutHead.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.headEnd) > 0 {
		n := copy(p, c.headEnd)
		c.headEnd = c.headEnd[n:]
		return n, nil
	}
	if c.headCut.Load() {
		return 0, c.discard()
	}
	c.arrival.readBegins(&c.framing)
	n, err := c.readClient(p)
	if n > 0 {
		if c.currentPhase() == phaseIdle {
			c.recordSign()
		}
		if !c.tryActivate() {
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
		}
		if c.onClientGone.Load() != nil {
			c.pipelined.Store(true)
			c.startReadAhead()
		}
	}
	accepted := c.framing.Feed(p[:n])
	c.arrival.readEnds(&c.framing)
	if c.framing.Ambiguous() {
		c.ambiguous.Store(true)
	}
	if c.framing.TooManyFields() {
		c.cutHead()
		return accepted, nil
	}
	return n, err
}

// readClient reads for the server, and records that the client has disconnected if it has.
func (c *conn) readClient(p []byte) (int, error) {
	n, err := c.readNext(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.markClientGone()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. A connection that was shut is not read after its shutDeadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.readAheadBuffer != nil { // reading ahead has no deadline
		return nil
	}
	return c.setDeadlineLocked()
}

// setDeadlineLocked applies the earlier of the two deadlines. c.mu is held.
func (c *conn) setDeadlineLocked() error {
	deadline := c.readDeadline
	if !c.shutDeadline.IsZero() && (deadline.IsZero() || deadline.After(c.shutDeadline)) {
		deadline = c.shutDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// markClientGone records that the client has disconnected, and notifies the request in flight.
func (c *conn) markClientGone() {
	c.clientGone.Store(true)
	if notify := c.onClientGone.Load(); notify != nil {
		(*notify)()
	}
}

// watchClient sets the function to call if the client disconnects while its request, which has been read completely, is in flight. If
// requests behind it have been read already, the server does not read on its own until it has answered them.
func (c *conn) watchClient(notify func()) {
	c.onClientGone.Store(&notify)
	if c.clientGone.Load() {
		notify()
		return
	}
	if c.requestsBehind(1) {
		c.startReadAhead()
	}
}

// requestsBehind reports whether bytes of a later request have been read, by the server or ahead of it. inFlight is the number of requests
// that were read completely and are not answered.
func (c *conn) requestsBehind(inFlight int64) bool {
	return c.arrival.behind(inFlight) || c.readAheadBytes.Load() > 0
}

// shutWrite half-closes the connection, and bounds how long it is still read.
func (c *conn) shutWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.shutDeadline.IsZero() {
		return
	}
	c.shutDeadline = time.Now().Add(lingerTimeout)
	_ = c.setDeadlineLocked() // this and the following fail if the connection has ended
	if c.Conn != c.socket {   // sends the TLS close alert
		_ = c.Conn.SetWriteDeadline(c.shutDeadline)
		_ = c.CloseWrite()
	}
	if s, ok := c.socket.(writeCloser); ok {
		_ = s.CloseWrite()
	}
}

// closeIdle half-closes an idle connection. The server reads on, and closes the connection once the client has closed it or lingerTimeout
// has passed. If there are unread bytes closeIdle does nothing, since they belong to a request.
func (c *conn) closeIdle() {
	if !c.hasUnreadBytes() && c.phase.CompareAndSwap(phaseIdle, phaseShut) {
		c.shutWrite()
	}
}

// closeUnlessActive closes the connection at once if it has no request in flight or its client has disconnected. Otherwise it returns
// false.
func (c *conn) closeUnlessActive() bool {
	if !c.clientGone.Load() && !c.phase.CompareAndSwap(phaseIdle, phaseShut) && c.phase.Load() != phaseShut {
		return false
	}
	c.closeNow()
	return true
}

// closeIf closes an active connection at once if its request, which has not come completely, may be dropped.
func (c *conn) closeIf(droppable bool) bool {
	if !droppable || !c.phase.CompareAndSwap(phaseActive, phaseShut) {
		return false
	}
	c.closeNow()
	return true
}

// closeNow closes the connection without lingering.
func (c *conn) closeNow() {
	c.phase.Store(phaseShut)
	c.closed.Store(true)
	c.socket.Close()
}

// Close implements net.Conn with a lingering close. The server calls it once it neither reads nor writes any more. A second call closes the
// connection without lingering.
func (c *conn) Close() error {
	defer c.endReadAhead()
	if c.closed.Swap(true) {
		return c.socket.Close()
	}
	c.phase.Store(phaseShut)
	if !c.clientGone.Load() {
		c.shutWrite()
		_, _ = io.CopyN(io.Discard, c.socket, lingerMaxBytes) // until the client closes, or the deadline
	}
	return c.socket.Close()
}

// CloseWrite half-closes the connection. net/http calls it so that a client can read its last response.
func (c *conn) CloseWrite() error {
	if s, ok := c.Conn.(writeCloser); ok {
		return s.CloseWrite()
	}
	return errors.ErrUnsupported
}

// hasUnreadBytes reports whether bytes wait to be read on the socket.
func (c *conn) hasUnreadBytes() (unread bool) {
	if c.raw == nil {
		return false
	}
	_ = c.raw.Control(func(fd uintptr) { // it fails if the socket is closed
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
