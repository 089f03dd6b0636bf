package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"orchiddrift/internal/endpoints"
)

// TLSClient encrypts connections. tlscredentials.Client implements it.
type TLSClient interface {
	// Handshake makes a new connection an encrypted one to an instance, and verifies that it is that instance. It ends with ctx.
	Handshake(ctx context.Context, conn net.Conn, instance endpoints.Instance) (*tls.Conn, error)
	// StillTrusted reports whether a connection made earlier would still be made now.
	StillTrusted(conn *tls.Conn, instance endpoints.Instance) bool
}

// pooledConn is one connection to an instance of an upstream. Nothing reads from it between exchanges, so that isIdle can tell whether
// anything has arrived.
type pooledConn struct {
	net.Conn                  // what requests are written to: the socket, or tlsConn
	rawSocket syscall.RawConn // of the socket
	tlsConn   *tls.Conn       // nil: not encrypted
	tlsSocket *countingConn   // what tlsConn writes to
	name      string          // of the upstream
	instance  endpoints.Instance
	idleSince time.Time
	prewarmed bool // it was opened ahead, and has not carried a request
}

// isIdle reports whether the connection is open and has received nothing since its last response.
func (c *pooledConn) isIdle() bool {
	var err error
	failed := c.rawSocket.Read(func(fd uintptr) bool {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if failed != nil || err != syscall.EAGAIN {
		return false
	}
	return c.tlsConn == nil || c.tlsBufferEmpty()
}

// tlsBufferEmpty reports whether crypto/tls holds no decrypted bytes: what arrived in one record with the last response is no longer
// on the socket.
func (c *pooledConn) tlsBufferEmpty() bool {
	if c.tlsConn.SetReadDeadline(past) != nil {
		return false
	}
	n, err := c.tlsConn.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.tlsConn.SetReadDeadline(time.Time{}) == nil
}

// closeSocket closes the socket without a TLS alert, which could block on a peer that does not read.
func (c *pooledConn) closeSocket() {
	if c.tlsConn != nil {
		c.tlsConn.NetConn().Close()
		return
	}
	c.Close()
}
