package downstream

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Bounds of reading ahead, in bytes. Memory is allocated as bytes arrive.
const (
	maxReadAhead   = 256 << 10 // maximum for one connection
	readAheadStep  = 4 << 10   // maximum for one read
	freeReadAhead  = 4 << 10   // memory of each connection that all connections together need not share
	readAheadGrows = 2         // factor by which the memory of a connection grows
)

// readAheadSpace is the memory in which the bytes of one connection are read ahead.
type readAheadSpace struct {
	shared *semaphore.Weighted // of all connections; nil if it is not bounded
	taken  atomic.Int64        // bytes of shared
}

// reserve takes the space for a buffer of so many bytes, and reports whether there is space for it.
func (s *readAheadSpace) reserve(size int) bool {
	more := int64(size) - freeReadAhead - s.taken.Load()
	if more <= 0 || s.shared == nil {
		return true
	}
	if !s.shared.TryAcquire(more) {
		return false
	}
	s.taken.Add(more)
	return true
}

// release gives all space back.
func (s *readAheadSpace) release() {
	if taken := s.taken.Swap(0); taken > 0 {
		s.shared.Release(taken)
	}
}

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
	for buffer.err == nil && len(buffer.unread) < maxReadAhead && buffer.grow(&c.readAheadSpace) {
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

// grow makes space for one more read, and reports whether there is memory for it.
func (b *readAheadBuffer) grow(space *readAheadSpace) bool {
	if cap(b.unread)-len(b.unread) >= readAheadStep {
		return true
	}
	size := min(max(readAheadGrows*cap(b.unread), len(b.unread)+readAheadStep), maxReadAhead)
	if !space.reserve(size) {
		return false
	}
	b.unread = append(make([]byte, 0, size), b.unread...)
	return true
}

// endReadAhead gives the memory of reading ahead back. The socket is closed.
func (c *conn) endReadAhead() {
	c.mu.Lock()
	buffer := c.readAheadBuffer
	c.mu.Unlock()
	if buffer != nil {
		<-buffer.done
	}
	c.readAheadSpace.release()
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
		c.readAheadSpace.release()
	}
	_ = c.setDeadlineLocked()
	return n, nil
}
