package downstream

import (
	"errors"
	"os"
	"time"
)

// maxReadAhead is how much is read of a connection ahead of the server, at most, in bytes; readAheadStep how much at a time. Memory is taken
// as it comes.
const (
	maxReadAhead  = 32 << 10
	readAheadStep = 4 << 10
)

// readAheadBuffer reads what comes behind the request in hand, for the server's later reads. The server itself reads one byte behind a request
// and no more before it has its answer, so that it would not see the client go: the end of the connection stands behind that.
type readAheadBuffer struct {
	done   chan struct{} // closed once nothing is read any more; then the rest stands
	unread []byte
	err    error // of the connection
}

// startReadAhead begins to.
func (c *conn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &readAheadBuffer{done: make(chan struct{})}
	if c.readAheadBuffer != nil { // what was read before has not been used up
		a.unread, a.err = c.readAheadBuffer.unread, c.readAheadBuffer.err
	}
	if c.readAheadBuffer = a; a.err != nil || len(a.unread) >= maxReadAhead || c.Conn.SetReadDeadline(time.Time{}) != nil {
		close(a.done)
		return
	}
	go func() {
		defer close(a.done)
		for a.err == nil && len(a.unread) < maxReadAhead {
			if cap(a.unread)-len(a.unread) < readAheadStep {
				a.unread = append(make([]byte, 0, 2*cap(a.unread)+readAheadStep), a.unread...)
			}
			n, err := c.Conn.Read(a.unread[len(a.unread) : len(a.unread)+min(readAheadStep, maxReadAhead-len(a.unread))])
			a.unread = a.unread[:len(a.unread)+n]
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded): // the server reads on
				return
			case err != nil:
				a.err = err
				c.markClientGone()
			}
		}
	}()
}

// readNext is a read of the server: what was read ahead goes first.
func (c *conn) readNext(p []byte) (int, error) {
	c.mu.Lock()
	a := c.readAheadBuffer
	if a != nil {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it may be closed
		c.mu.Unlock()
		<-a.done
		c.mu.Lock()
		n := copy(p, a.unread)
		if a.unread = a.unread[n:]; n == 0 && a.err != nil {
			c.mu.Unlock()
			return 0, a.err
		}
		if len(a.unread) == 0 && a.err == nil {
			c.readAheadBuffer = nil
		}
		_ = c.setDeadline()
		if n > 0 {
			c.mu.Unlock()
			return n, nil
		}
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}
