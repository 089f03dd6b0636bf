package upstream

import (
	"net"
	"sync/atomic"
)

// What proves that a request was not had whole is the count of its bytes that the system took, and nothing that is learnt after: the
// upstream may have run it before the write returns.

// send writes b, and tells how much of it may be out: an error counts against no byte that the system has taken. On an encrypted
// connection the library's count leaves out a record whose write failed; that one is out unless the socket below took less than it.
func (c *pooledConn) send(b []byte) (out int, err error) {
	if c.tlsConn == nil {
		return c.Write(b)
	}
	c.tlsSocket.wroteAll.Store(false)
	n, err := c.Write(b)
	if err != nil && c.tlsSocket.wroteAll.Load() {
		n = len(b)
	}
	return n, err
}

// countingConn is a socket that knows whether the last write was taken whole. The library writes from more than one goroutine: the other's
// last write may have it say that a request may be out, which is the safe side.
type countingConn struct {
	net.Conn
	wroteAll atomic.Bool
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wroteAll.Store(n == len(b))
	return n, err
}
