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

// secured is an encrypted connection whose requests' framing is followed: the watch reads what was decrypted. The library takes it for
// one that is not encrypted, but for ConnectionState.
type secured struct {
	*conn
	tls  *tls.Conn
	most time.Duration
}

func (s *TLS) over(c *conn) *secured {
	t := tls.Server(c.socket, s.Config)
	c.Conn = t
	return &secured{c, t, s.HandshakeTimeout}
}

// ConnectionState has the library's goroutine of this connection do the handshake, before it reads a request. One that fails shows at
// the first read.
func (s *secured) ConnectionState() tls.ConnectionState {
	ctx, cancel := context.WithTimeout(context.Background(), s.most)
	defer cancel()
	err := s.tls.HandshakeContext(ctx)
	if plain := (tls.RecordHeaderError{}); errors.As(err, &plain) && plain.Conn != nil {
		// One who has not begun to encrypt can read this.
		_ = plain.Conn.SetWriteDeadline(time.Now().Add(s.most)) // it is closed next
		_, _ = io.WriteString(plain.Conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 26\r\n\r\nthis address speaks HTTPS\n")
	}
	return s.tls.ConnectionState()
}
