package daemon

import (
	"context"
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
	// alwaysBufferedBytes is how many bytes of each body are read before the request is forwarded, if there is memory for them.
	alwaysBufferedBytes = 64 << 10
	// The bytes of bodies beyond unspooledBytes of each share a spool, whose size is 1/spoolMemoryFraction of the memory limit. A body that
	// need not be complete before it is forwarded is streamed if it is longer than 1/maxSpoolFraction of the spool, or if it is longer than
	// alwaysBufferedBytes and the spool is full. Other bodies wait for space in the spool.
	spoolMemoryFraction = 8
	maxSpoolFraction    = 4
	unspooledBytes      = 4 << 10
	// maxSpoolWait is the longest wait for space in the spool, which is also at most 1/spoolWaitFraction of the request's time.
	maxSpoolWait      = 250 * time.Millisecond
	spoolWaitFraction = 4
	// spoolRetryAfter is when the client of a request for whose body there is no space may come back.
	spoolRetryAfter = time.Second
	// smallPieceBytes is the size of the pieces in which a body is streamed if the spool has no space for larger ones.
	smallPieceBytes = 4 << 10
	// minClientRate is the lowest rate at which a client may send its body, in bytes per second.
	minClientRate = 32 << 10
	// uploadSlack is added to the deadline of a streamed request, in addition to the time that its body may take.
	uploadSlack = time.Minute
	// Sizes of the first buffer of a body, in bytes.
	minBodyBuffer = 512
	maxBodyBuffer = 4 << 10
)

// expiredDeadline is a deadline in the past, which interrupts a read at once.
var expiredDeadline = time.Unix(1, 0)

var (
	errBodyTooLarge = errors.New("the body is too large")
	errSpoolFull    = errors.New("not done: too much is in hand to keep the body")
)

// clientBody reads a client's body, which has to arrive at minClientRate or faster. The time that reads take is subtracted from timeLeft,
// and each byte that arrives extends timeLeft. The time between reads does not count.
type clientBody struct {
	body        io.Reader
	controller  *http.ResponseController
	timeLeft    time.Duration
	bytesLeft   int64       // bytes that may still arrive; if negative, the body is too large
	failure     error       // why the body cannot be read completely
	started     bool        // a read has begun; in the first read net/http writes 100 Continue if the client expects it
	onRead      func(n int) // called after each read
	interruptAt atomic.Pointer[time.Time]
}

// Read implements io.Reader.
func (b *clientBody) Read(p []byte) (int, error) {
	if b.bytesLeft < 0 {
		return 0, errBodyTooLarge
	}
	startedAt := time.Now()
	deadline := startedAt.Add(b.timeLeft)
	_ = b.controller.SetReadDeadline(deadline) // cannot fail on a server's connection; if it did, the read would fail too
	if !b.started {
		b.started = true
		_ = b.controller.SetWriteDeadline(deadline)
	}
	if at := b.interruptAt.Load(); at != nil && at.Before(deadline) { // restores the deadline of interruptBy, which may just have been replaced
		_ = b.controller.SetReadDeadline(*at)
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

// interruptBy makes reads, including a read in progress, fail at time t at the latest.
func (b *clientBody) interruptBy(t time.Time) {
	b.interruptAt.Store(&t)
	_ = b.controller.SetReadDeadline(t) // see Read
}

// interrupt makes reads, including a read in progress, fail at once.
func (b *clientBody) interrupt() { b.interruptBy(expiredDeadline) }

// bodyRejection returns the answer to a request whose body could not be read.
func bodyRejection(err error) *downstream.Rejection {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &downstream.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &downstream.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &downstream.Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf("reading the body: %v", err)}
}

// readBody reads the request's body. If the body would take too much memory, readBody reads its beginning and leaves the rest to be
// streamed; if complete is true, it rejects the request instead once the spool has no space left. Memory is allocated as the body arrives,
// since some clients send only the head of a request.
func (c *clientRequest) readBody(req *downstream.Request, timeout time.Duration, complete bool) *downstream.Rejection {
	length := c.r.ContentLength
	if length == 0 {
		return nil
	}
	c.bodyReader = &clientBody{body: c.r.Body, controller: http.NewResponseController(c.w), timeLeft: timeout, bytesLeft: req.Route.MaxBody,
		onRead: c.daemon.shared.yieldAfter}
	c.body = make([]byte, 0, min(max(length, minBodyBuffer), maxBodyBuffer))
	for {
		if len(c.body) == cap(c.body) && !c.makeSpace(req, length, complete) {
			c.bodyStreams = !complete && c.mayStream(length)
			if c.bodyStreams {
				return nil
			}
			return &downstream.Rejection{Status: http.StatusServiceUnavailable, Text: errSpoolFull.Error(), RetryAfter: spoolRetryAfter}
		}
		n, err := c.bodyReader.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		switch {
		case err == io.EOF, err == nil && length > 0 && int64(len(c.body)) == length:
			_ = c.bodyReader.controller.SetReadDeadline(time.Time{})
			return nil
		case err != nil:
			return bodyRejection(err)
		}
	}
}

// mayStream reports whether a body may be forwarded as it arrives, if there is no space for it. Its length is -1 if it is not known. A body of
// usual length is not: it would keep an upstream waiting for a client that may be slow.
func (c *clientRequest) mayStream(length int64) bool {
	return length < 0 || length > alwaysBufferedBytes
}

// makeSpace grows the body's buffer. It returns false if the rest of the body has to be streamed or rejected.
func (c *clientRequest) makeSpace(req *downstream.Request, length int64, complete bool) bool {
	buffered := int64(len(c.body))
	limit := c.daemon.shared.spoolSize / maxSpoolFraction
	if !complete && buffered >= alwaysBufferedBytes && (buffered >= limit || length > limit) {
		return false
	}
	wait := time.Duration(0)
	if complete || !c.mayStream(length) {
		wait = min(maxSpoolWait, req.Timeout/spoolWaitFraction)
	}
	return c.growBody(length, wait)
}

// growBody doubles the buffer, but not beyond length, which is the length of the body, or -1 if that is unknown. It returns false if the
// spool has no space until wait is over.
func (c *clientRequest) growBody(length int64, wait time.Duration) bool {
	size := int64(cap(c.body))
	grown := 2 * size
	if size < alwaysBufferedBytes {
		grown = min(grown, alwaysBufferedBytes)
	}
	if length > size {
		grown = min(grown, length)
	}
	if more := grown - unspooledBytes - c.spooled.Load(); more > 0 && !c.reserveSpool(more, wait) {
		return false
	}
	c.body = append(make([]byte, 0, grown), c.body...)
	return true
}

// reserveSpool reserves bytes of the spool for the body, and reports whether there was space for them until wait was over.
func (c *clientRequest) reserveSpool(bytes int64, wait time.Duration) bool {
	spool := c.daemon.shared.bodySpool
	if !spool.TryAcquire(bytes) {
		if wait <= 0 {
			return false
		}
		ctx, cancel := context.WithTimeout(c.r.Context(), wait)
		defer cancel()
		if spool.Acquire(ctx, bytes) != nil {
			return false
		}
	}
	c.spooled.Add(bytes)
	return true
}

// releaseSpool returns the body's bytes to the spool.
func (c *clientRequest) releaseSpool() {
	if bytes := c.spooled.Swap(0); bytes > 0 {
		c.daemon.shared.bodySpool.Release(bytes)
	}
}

// reservePieces reserves space for the pieces in which a body is streamed, and returns their size.
func (c *clientRequest) reservePieces(length int64) int {
	bytes := int64(upstream.MaxPieceBytes)
	if length < 0 {
		bytes *= 2 // a chunk is put together from a piece
	}
	if !c.daemon.shared.bodySpool.TryAcquire(bytes) {
		return smallPieceBytes
	}
	c.pieces = bytes
	return upstream.MaxPieceBytes
}

// releasePieces returns the space of the pieces to the spool. The body is no longer read.
func (c *clientRequest) releasePieces() {
	if c.pieces > 0 {
		c.daemon.shared.bodySpool.Release(c.pieces)
		c.pieces = 0
	}
}

// upload creates the upstream request that streams the rest of the body as it arrives. It extends the deadline of the call by the longest
// time that the body may take.
func (c *clientRequest) upload(req *downstream.Request, call *engine.Call) *upstream.Request {
	length := c.r.ContentLength
	maxLength := length
	if length < 0 {
		maxLength = req.Route.MaxBody
	}
	call.StreamedBody = true
	call.Deadline += time.Duration(maxLength)*time.Second/minClientRate + uploadSlack
	return upstream.NewUpload(req.Method, req.Target, req.Host, req.Header, c.body, &upstream.Upload{Body: c.bodyReader, Length: length,
		Timeout: req.Timeout, Interrupt: c.bodyReader.interrupt, PieceBytes: c.reservePieces(length), Forwarding: c.releaseSpool})
}
