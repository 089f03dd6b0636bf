package downstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"time"
)

// TLS says how clients' connections are encrypted.
type TLS struct {
	Config           *tls.Config
	HandshakeTimeout time.Duration // what it may take
}

// tlsConn is an encrypted connection whose requests' framing is followed: the watch reads what was decrypted. The library takes it for
// one that is not encrypted, but for ConnectionState.
type tlsConn struct {
	*conn
	tls              *tls.Conn
	handshakeTimeout time.Duration
}

func (s *TLS) wrap(c *conn) *tlsConn {
	t := tls.Server(c.socket, s.Config)
	c.Conn = t
	return &tlsConn{c, t, s.HandshakeTimeout}
}

// ConnectionState has the library's goroutine of this connection do the handshake, before it reads a request. One that fails shows at
// the first read.
func (s *tlsConn) ConnectionState() tls.ConnectionState {
	ctx, cancel := context.WithTimeout(context.Background(), s.handshakeTimeout)
	defer cancel()
	err := s.tls.HandshakeContext(ctx)
	if plain := (tls.RecordHeaderError{}); errors.As(err, &plain) && plain.Conn != nil {
		// One who has not begun to encrypt can read this.
		_ = plain.Conn.SetWriteDeadline(time.Now().Add(s.handshakeTimeout)) // it is closed next
		_, _ = io.WriteString(plain.Conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 26\r\n\r\nthis address speaks HTTPS\n")
	}
	return s.tls.ConnectionState()
}
