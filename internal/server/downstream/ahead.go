package downstream

import (
	"errors"
	"os"
	"time"
)

// aheadMost is how much is read of a connection ahead of the server, at most, in bytes; aheadPart how much at a time. Memory is taken
// as it comes.
const (
	aheadMost = 32 << 10
	aheadPart = 4 << 10
)

// ahead reads what comes behind the request in hand, for the server's later reads. The server itself reads one byte behind a request
// and no more before it has its answer, so that it would not see the client go: the end of the connection stands behind that.
type ahead struct {
	done chan struct{} // closed once nothing is read any more; then the rest stands
	b    []byte
	err  error // of the connection
}

// readAhead begins to.
func (c *conn) readAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &ahead{done: make(chan struct{})}
	if c.ahead != nil { // what was read before has not been used up
		a.b, a.err = c.ahead.b, c.ahead.err
	}
	if c.ahead = a; a.err != nil || len(a.b) >= aheadMost || c.Conn.SetReadDeadline(time.Time{}) != nil {
		close(a.done)
		return
	}
	go func() {
		defer close(a.done)
		for a.err == nil && len(a.b) < aheadMost {
			if cap(a.b)-len(a.b) < aheadPart {
				a.b = append(make([]byte, 0, 2*cap(a.b)+aheadPart), a.b...)
			}
			n, err := c.Conn.Read(a.b[len(a.b) : len(a.b)+min(aheadPart, aheadMost-len(a.b))])
			a.b = a.b[:len(a.b)+n]
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded): // the server reads on
				return
			case err != nil:
				a.err = err
				c.hasGone()
			}
		}
	}()
}

// next is a read of the server: what was read ahead goes first.
func (c *conn) next(p []byte) (int, error) {
	c.mu.Lock()
	a := c.ahead
	if a != nil {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it may be closed
		c.mu.Unlock()
		<-a.done
		c.mu.Lock()
		n := copy(p, a.b)
		if a.b = a.b[n:]; n == 0 && a.err != nil {
			c.mu.Unlock()
			return 0, a.err
		}
		if len(a.b) == 0 && a.err == nil {
			c.ahead = nil
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
