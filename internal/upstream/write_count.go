package upstream

import (
	"net"
	"sync/atomic"
)

// Only the number of bytes that the operating system has accepted can prove that an upstream did not receive a complete request. Later
// events prove nothing, because the upstream may run the request before the write returns.

// send writes b and returns the number of its bytes that may have left this process. Bytes that the system has accepted count even if the
// write fails. crypto/tls does not count a record whose write failed; send counts it, unless the socket accepted only a part of it.
func (c *pooledConn) send(b []byte) (sent int, err error) {
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

// countingConn is a socket that records whether its last write was accepted completely. crypto/tls writes from more than one goroutine, so
// a write by another goroutine can make a request count as possibly sent, which is safe.
type countingConn struct {
	net.Conn
	wroteAll atomic.Bool
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wroteAll.Store(n == len(b))
	return n, err
}
