package daemon

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

const (
	// alwaysBufferedBytes of a body are read before it is decided on, whatever else is in flight.
	alwaysBufferedBytes = 64 << 10
	// Longer bodies are buffered as long as all of them together take at most a spoolMemoryFraction-th of the memory limit, and each at most
	// a maxSpoolFraction-th of that.
	spoolMemoryFraction = 8
	maxSpoolFraction    = 4
	// minClientRate is how fast a client has to send its body, in bytes a second.
	minClientRate = 32 << 10
	// uploadSlack is what upstreams may add to the time that a body takes.
	uploadSlack = time.Minute
	// Sizes of the first buffer of a body, in bytes.
	minBodyBuffer = 512
	maxBodyBuffer = 4 << 10
)

// past is a deadline that interrupts a read at once.
var past = time.Unix(1, 0)

var errBodyTooLarge = errors.New("the body is too large")

// clientBody reads a client's body. The client has timeLeft, which grows with each byte by minClientRate; time between reads does not count.
type clientBody struct {
	body        io.Reader
	conn        *http.ResponseController
	timeLeft    time.Duration
	bytesLeft   int64       // that may still arrive
	failure     error       // why the body cannot be read completely
	started     bool        // something was read: net/http has written 100 Continue if it was due
	onRead      func(n int) // is called after each read
	interruptAt atomic.Pointer[time.Time]
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	if b.bytesLeft < 0 {
		return 0, errBodyTooLarge
	}
	startedAt := time.Now()
	deadline := startedAt.Add(b.timeLeft)
	_ = b.conn.SetReadDeadline(deadline) // it cannot fail on a server's own connections; if it did, the read would show it
	if !b.started {
		b.started = true
		_ = b.conn.SetWriteDeadline(deadline)
	}
	if at := b.interruptAt.Load(); at != nil && at.Before(deadline) { // checked after the deadline was set, which interruptBy sets too
		_ = b.conn.SetReadDeadline(*at)
	}
	n, err := b.body.Read(p)
	b.timeLeft += time.Duration(n)*time.Second/minClientRate - time.Since(startedAt)
	b.bytesLeft -= int64(n)
	if b.bytesLeft < 0 {
		err = errBodyTooLarge
	}
	if err != nil && err != io.EOF && b.interruptAt.Load() == nil {
		b.failure = err
	}
	b.onRead(n)
	return n, err
}

// interruptBy ends reads at a time, including one that is waiting.
func (b *clientBody) interruptBy(t time.Time) {
	b.interruptAt.Store(&t)
	_ = b.conn.SetReadDeadline(t) // see Read
}

// interrupt makes a Read return that is waiting.
func (b *clientBody) interrupt() { b.interruptBy(past) }

// bodyRejection is the answer to a request whose body could not be read.
func bodyRejection(err error) *downstream.Rejection {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &downstream.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &downstream.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &downstream.Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf("reading the body: %v", err)}
}

// readBody reads the request's body: completely, or if that takes too much memory and complete is not asked for, its beginning. Memory is
// taken as the body arrives, since the head may be all that does.
func (c *clientRequest) readBody(req *downstream.Request, timeout time.Duration, complete bool) *downstream.Rejection {
	length := c.r.ContentLength
	if length == 0 {
		return nil
	}
	c.bodyReader = &clientBody{body: c.r.Body, conn: http.NewResponseController(c.w), timeLeft: timeout, bytesLeft: req.Route.MaxBody,
		onRead: c.daemon.shared.yieldAfter}
	c.body = make([]byte, 0, min(max(length, minBodyBuffer), maxBodyBuffer))
	for {
		if len(c.body) == cap(c.body) && !c.makeSpace(length, complete) {
			if complete {
				return &downstream.Rejection{Status: http.StatusInternalServerError, Text: "not done: too much is in hand to keep the body"}
			}
			c.bodyStreams = true
			return nil
		}
		n, err := c.bodyReader.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		switch {
		case err == io.EOF, err == nil && length > 0 && int64(len(c.body)) == length:
			_ = c.bodyReader.conn.SetReadDeadline(time.Time{})
			return nil
		case err != nil:
			return bodyRejection(err)
		}
	}
}

// makeSpace grows the buffer of a body. It returns false if the rest of the body has to be streamed or rejected.
func (c *clientRequest) makeSpace(length int64, complete bool) bool {
	buffered := int64(len(c.body))
	limit := c.daemon.shared.spoolSize / maxSpoolFraction
	if !complete && buffered >= alwaysBufferedBytes && (buffered >= limit || length > limit) {
		return false
	}
	return c.growBody(length)
}

// growBody doubles the buffer, up to the body's length, or -1 if that is unknown. It returns false if the spool is full.
func (c *clientRequest) growBody(length int64) bool {
	size := int64(cap(c.body))
	grown := 2 * size
	if size < alwaysBufferedBytes {
		grown = min(grown, alwaysBufferedBytes)
	}
	if length > size {
		grown = min(grown, length)
	}
	if more := grown - alwaysBufferedBytes - c.spooled; more > 0 {
		if !c.daemon.shared.bodySpool.TryAcquire(more) {
			return false
		}
		c.spooled += more
	}
	c.body = append(make([]byte, 0, grown), c.body...)
	return true
}

// releaseSpool gives back what the body holds of the spool.
func (c *clientRequest) releaseSpool() {
	if c.spooled > 0 {
		c.daemon.shared.bodySpool.Release(c.spooled)
		c.spooled = 0
	}
}

// upload makes the request that forwards the rest of the body as it arrives, and extends the deadline of its call.
func (c *clientRequest) upload(req *downstream.Request, call *engine.Call) *upstream.Request {
	length := c.r.ContentLength
	maxLength := length
	if length < 0 {
		maxLength = req.Route.MaxBody
	}
	call.StreamedBody = true
	call.Deadline += time.Duration(maxLength)*time.Second/minClientRate + uploadSlack
	return upstream.NewUpload(req.Method, req.Target, req.Host, req.Header, c.body,
		&upstream.Upload{Body: c.bodyReader, Length: length, Timeout: req.Timeout, Interrupt: c.bodyReader.interrupt})
}
