package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
)

// Sizes of bodies, in bytes.
const (
	// maxBufferedBodyBytes is the longest response body that is read completely before any of it is forwarded. A longer request body is
	// written while the response is read.
	maxBufferedBodyBytes = 64 << 10
	// MaxPassThroughBytes is the longest response body that is passed through; a response with a longer body counts as malformed.
	MaxPassThroughBytes = 64 << 20
	// firstPartBytes is the maximum number of bytes of a longer body of known length that are read before it is forwarded.
	firstPartBytes = 16 << 10
)

// readIdleTimeout is the longest time for which an upstream may send no byte of a body that is being forwarded.
const readIdleTimeout = 10 * time.Second

// ErrTruncated reports that a response ended before it was complete.
var ErrTruncated = errors.New("upstream response truncated")

// Remainder is the rest of a body that is forwarded as it arrives. One goroutine uses it, but any goroutine may call End.
type Remainder struct {
	Length int64 // length of the complete body in bytes; -1 if unknown

	pool       *Pool
	conn       *pooledConn
	reader     *responseReader
	body       io.Reader
	pumped     *pumpedBody // the body, if its length is unknown; nil otherwise
	ctx        context.Context
	detach     func() bool // see exchange.detach
	closeAfter bool        // the connection cannot be reused after this response
	complete   bool        // all of the body has been read

	err   error // error of the latest Read
	ended atomic.Bool
}

// Read reads the next bytes of the body. It returns io.EOF at the end of a complete body, and an error that wraps ErrTruncated if the rest
// cannot be read.
func (r *Remainder) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(readIdleTimeout)); err != nil {
		return 0, r.fail(err)
	}
	if r.ctx.Err() != nil { // checked after the deadline is set, since a cancellation sets it too on an encrypted connection
		return 0, r.fail(context.Cause(r.ctx))
	}
	n, err := r.body.Read(p)
	switch {
	case err == io.EOF:
		r.complete, r.err = true, io.EOF
	case err != nil:
		_ = r.fail(err)
	}
	if n > 0 {
		return n, nil
	}
	return 0, r.err
}

// fail records why the rest of the body cannot be read, and returns the error of all further Reads.
func (r *Remainder) fail(cause error) error {
	r.err = fmt.Errorf("%w: %w", ErrTruncated, cause)
	return r.err
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Remainder) Buffered() int {
	if r.pumped != nil {
		return len(r.pumped.piece)
	}
	return r.reader.Buffered()
}

// Result returns how the attempt ended. It is called once reading has ended: the result is Reset if the upstream closed the connection
// early, and Cancelled if nobody read the body to its end.
func (r *Remainder) Result() balancer.Result {
	switch {
	case r.complete:
		return balancer.OK
	case r.err == nil || r.ctx.Err() != nil:
		return balancer.Cancelled
	}
	return r.reader.failure()
}

// End returns the connection to the pool if the body was read completely, and closes it otherwise. Only the first call counts.
func (r *Remainder) End() {
	if r.ended.Swap(true) {
		return
	}
	if r.pumped != nil {
		r.pumped.end(r.conn.closeSocket)
	}
	detached := r.detach()
	reusable := detached && r.complete && !r.closeAfter && r.reader.Buffered() == 0 && r.conn.SetReadDeadline(time.Time{}) == nil
	r.reader.release()
	if reusable {
		r.pool.putIdle(r.conn)
	} else {
		r.pool.discard(r.conn)
	}
}

// readFirstPart reads the beginning of a body that is forwarded as it arrives, because the body is longer than maxBufferedBodyBytes or of
// unknown length. If remainder is nil, first is the complete body.
func (x *exchange) readFirstPart(message *http.Response) (first []byte, remainder *Remainder, err error) {
	remainder = &Remainder{Length: message.ContentLength, pool: x.pool, conn: x.conn, reader: x.reader, body: message.Body, ctx: x.ctx,
		detach: x.detach, closeAfter: message.Close}
	if message.ContentLength < 0 {
		return x.readFirstUndelimited(remainder)
	}
	x.reader.limit.remaining = int(message.ContentLength) + x.reader.Size()
	first = make([]byte, firstPartBytes)
	n, err := io.ReadAtLeast(message.Body, first, 1) // a response counts as begun only once its body has begun
	if err != nil {
		return nil, nil, err
	}
	return first[:n], remainder, nil
}

// readFirstUndelimited is readFirstPart for a body of unknown length, which it makes the body of remainder.
func (x *exchange) readFirstUndelimited(remainder *Remainder) (first []byte, _ *Remainder, err error) {
	x.reader.limit.remaining = withChunkOverhead(MaxPassThroughBytes)
	body := newPumpedBody(remainder.body)
	first, complete, err := x.readUndelimited(body)
	if err != nil || complete {
		body.end(x.conn.closeSocket)
		return first, nil, err
	}
	remainder.body, remainder.pumped = body, body
	return first, remainder, nil
}
