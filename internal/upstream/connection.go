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
	// Handshake performs the TLS handshake on a new connection to an instance and verifies that the peer is that instance. It is cancelled
	// when ctx ends.
	Handshake(ctx context.Context, conn net.Conn, instance endpoints.Instance) (*tls.Conn, error)
	// StillTrusted reports whether a connection that was made earlier would also be accepted now.
	StillTrusted(conn *tls.Conn, instance endpoints.Instance) bool
}

// pooledConn is one connection to an instance of an upstream. Nothing reads from it between exchanges, so that isIdle can detect unexpected
// bytes.
type pooledConn struct {
	net.Conn                  // carries the requests: the socket, or tlsConn if the connection is encrypted
	rawSocket syscall.RawConn // gives access to the socket's file descriptor
	tlsConn   *tls.Conn       // nil if the connection is not encrypted
	tlsSocket *countingConn   // the socket that tlsConn uses
	name      string          // name of the upstream
	instance  endpoints.Instance
	idleSince time.Time
	prewarmed bool // opened ahead of use, and has not carried a request yet
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

// tlsBufferEmpty reports whether crypto/tls holds no decrypted bytes. Bytes that arrived in one record with the last response are no longer
// on the socket, so that isIdle can't see them there.
func (c *pooledConn) tlsBufferEmpty() bool {
	if c.tlsConn.SetReadDeadline(expiredDeadline) != nil {
		return false
	}
	n, err := c.tlsConn.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.tlsConn.SetReadDeadline(time.Time{}) == nil
}

// closeSocket closes the socket without sending a TLS alert: writing the alert could block if the peer does not read.
func (c *pooledConn) closeSocket() {
	if c.tlsConn != nil {
		c.tlsConn.NetConn().Close()
		return
	}
	c.Close()
}
