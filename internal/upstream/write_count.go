package upstream

import (
	"net"
	"sync/atomic"
)

// That an upstream cannot have received a complete request is proved only by the number of bytes that the system has taken, and by
// nothing that is learnt later: the upstream may run the request before the write returns.

// send writes b and returns how much of it may have left this process. An error does not count against bytes that the system has taken.
// On an encrypted connection the count of crypto/tls leaves out a record whose write failed; that record may have left unless the socket
// took less than all of it.
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

// countingConn is a socket that notes whether its last write was taken completely. crypto/tls writes from more than one goroutine: a
// write of another one may make a request count as possibly sent, which is the safe side.
type countingConn struct {
	net.Conn
	wroteAll atomic.Bool
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wroteAll.Store(n == len(b))
	return n, err
}
