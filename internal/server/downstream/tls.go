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

// TLS configures the encryption of clients' connections.
type TLS struct {
	Config           *tls.Config
	HandshakeTimeout time.Duration
}

// tlsConn is an encrypted connection. Its conn checks the framing of the decrypted requests. net/http treats it as a plain connection,
// except that it calls ConnectionState.
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

// ConnectionState performs the handshake. net/http calls it on the connection's goroutine before it reads a request. The first read returns
// the error of a handshake that failed.
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
