package downstream

import (
	"errors"
	"os"
	"time"
)

// Bounds of reading ahead, in bytes. Memory is allocated as bytes arrive.
const (
	maxReadAhead  = 32 << 10 // maximum for one connection
	readAheadStep = 4 << 10  // maximum for one read
)

// readAheadBuffer holds bytes that arrive after the request in flight, for the server's later reads. The server itself reads only one byte
// after a request before it has sent the response. Without reading ahead it would not detect that a client disconnects after it has sent
// pipelined requests.
type readAheadBuffer struct {
	done   chan struct{} // closed once reading ahead has stopped; the other fields may be used then
	unread []byte
	err    error // error of the connection
}

// startReadAhead begins to read ahead on a goroutine of its own, unless the server reads itself or reading ahead goes on.
func (c *conn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.readAheadBuffer
	if c.serverReads || before != nil && !before.stopped() {
		return
	}
	buffer := &readAheadBuffer{done: make(chan struct{})}
	if before != nil { // the server has not read all of the previous buffer
		buffer.unread, buffer.err = before.unread, before.err
	}
	c.readAheadBuffer = buffer
	if buffer.err != nil || len(buffer.unread) >= maxReadAhead || c.Conn.SetReadDeadline(time.Time{}) != nil {
		close(buffer.done)
		return
	}
	go c.readAhead(buffer)
}

// stopped reports whether reading ahead has stopped.
func (b *readAheadBuffer) stopped() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// readAhead reads until the buffer is full, the connection ends, or the server interrupts it to read itself.
func (c *conn) readAhead(buffer *readAheadBuffer) {
	defer close(buffer.done)
	for buffer.err == nil && len(buffer.unread) < maxReadAhead {
		buffer.grow()
		used := len(buffer.unread)
		n, err := c.Conn.Read(buffer.unread[used : used+min(readAheadStep, maxReadAhead-used)])
		buffer.unread = buffer.unread[:used+n]
		c.readAheadBytes.Add(int64(n))
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil:
			buffer.err = err
			c.markClientGone()
		}
	}
}

// grow makes space for one more read.
func (b *readAheadBuffer) grow() {
	if cap(b.unread)-len(b.unread) < readAheadStep {
		b.unread = append(make([]byte, 0, 2*cap(b.unread)+readAheadStep), b.unread...)
	}
}

// readNext reads for the server. It returns the bytes that were read ahead before it reads from the connection.
func (c *conn) readNext(p []byte) (int, error) {
	c.setServerReads(true)
	defer c.setServerReads(false)
	n, err := c.readBuffered(p)
	if n > 0 || err != nil {
		return n, err
	}
	return c.Conn.Read(p)
}

func (c *conn) setServerReads(reads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverReads = reads
}

// readBuffered stops reading ahead and copies the bytes that were read to p. It returns 0 and nil if nothing is buffered.
func (c *conn) readBuffered(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	buffer := c.readAheadBuffer
	if buffer == nil {
		return 0, nil
	}
	_ = c.Conn.SetReadDeadline(past) // the connection may be closed
	c.mu.Unlock()
	<-buffer.done
	c.mu.Lock()
	n := copy(p, buffer.unread)
	buffer.unread = buffer.unread[n:]
	c.readAheadBytes.Add(-int64(n))
	if n == 0 && buffer.err != nil {
		return 0, buffer.err
	}
	if len(buffer.unread) == 0 && buffer.err == nil {
		c.readAheadBuffer = nil
	}
	_ = c.setDeadlineLocked()
	return n, nil
}
