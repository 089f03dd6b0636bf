package downstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"time"
)

// plainTextResponse is sent to a client that does not begin a TLS handshake.
const plainTextResponse = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 26\r\n\r\nthis address speaks HTTPS\n"

// TLS says how clients' connections are encrypted.
type TLS struct {
	Config           *tls.Config
	HandshakeTimeout time.Duration
}

// tlsConn is an encrypted connection; the framing of the decrypted requests is followed. net/http takes it for a plain connection, except
// that it calls ConnectionState.
type tlsConn struct {
	*conn
	tls              *tls.Conn
	handshakeTimeout time.Duration
}

func (t *TLS) wrap(c *conn) *tlsConn {
	encrypted := tls.Server(c.socket, t.Config)
	c.Conn = encrypted
	return &tlsConn{c, encrypted, t.HandshakeTimeout}
}

// ConnectionState makes the handshake on net/http's goroutine of the connection, before a request is read. A failure shows in the first
// read.
func (c *tlsConn) ConnectionState() tls.ConnectionState {
	ctx, cancel := context.WithTimeout(context.Background(), c.handshakeTimeout)
	defer cancel()
	err := c.tls.HandshakeContext(ctx)
	if plain := (tls.RecordHeaderError{}); errors.As(err, &plain) && plain.Conn != nil {
		_ = plain.Conn.SetWriteDeadline(time.Now().Add(c.handshakeTimeout)) // the connection is closed next
		_, _ = io.WriteString(plain.Conn, plainTextResponse)
	}
	return c.tls.ConnectionState()
}
