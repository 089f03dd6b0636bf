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

// Sizes of response bodies, in bytes.
const (
	// maxBufferedAnswer is read completely before any of it is forwarded.
	maxBufferedAnswer = 64 << 10
	// MaxPassThroughBytes is the most that a response may announce; a longer one counts as malformed.
	MaxPassThroughBytes = 64 << 20
	// firstPartBytes of a longer body are read before it is forwarded, at most.
	firstPartBytes = 16 << 10
)

// readIdleTimeout is how long an upstream may send nothing of a body that is being forwarded.
const readIdleTimeout = 10 * time.Second

// ErrTruncated says that a response ended before it was complete.
var ErrTruncated = errors.New("the answer is cut")

// Remainder is the rest of a body that is forwarded as it arrives. It is used by one goroutine; End may be called from any.
type Remainder struct {
	Length int64 // of the whole body, in bytes; -1: unknown

	pool       *Pool
	conn       *pooledConn
	reader     *responseReader
	body       io.Reader
	ctx        context.Context
	detach     func() bool // see exchange
	closeAfter bool        // the connection ends with the response
	complete   bool        // all of the body has been read

	err   error // of the last Read
	ended atomic.Bool
}

// Read reads on. It returns io.EOF at the end of a complete body, and an error that wraps ErrTruncated where the rest cannot be had.
func (r *Remainder) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(readIdleTimeout)); err != nil {
		return 0, r.fail(err)
	}
	if r.ctx.Err() != nil { // checked after the deadline was set, which a cancellation sets too where the connection is encrypted
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

// fail notes why the rest cannot be had.
func (r *Remainder) fail(cause error) error {
	r.err = fmt.Errorf("%w: %w", ErrTruncated, cause)
	return r.err
}

// Buffered is how many bytes can be read without waiting.
func (r *Remainder) Buffered() int { return r.reader.Buffered() }

// Result is how the attempt ended, once reading has: reset where the upstream broke off, cancelled where nobody read to the end.
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
	detached := r.detach()
	reusable := detached && r.complete && !r.closeAfter && r.reader.Buffered() == 0 && r.conn.SetReadDeadline(time.Time{}) == nil
	r.reader.release()
	if reusable {
		r.pool.putIdle(r.conn)
	} else {
		r.pool.discard(r.conn)
	}
}

// readFirstPart reads the beginning of a body that is forwarded as it arrives: one longer than maxBufferedAnswer, or of unknown length.
// A nil Remainder says that first is the complete body.
func (x *exchange) readFirstPart(message *http.Response) (first []byte, remainder *Remainder, err error) {
	if message.ContentLength >= 0 {
		x.reader.limit.remaining = int(message.ContentLength) + x.reader.Size()
		first = make([]byte, firstPartBytes)
		n, err := io.ReadAtLeast(message.Body, first, 1) // a head alone is not yet an answer
		if err != nil {
			return nil, nil, err
		}
		first = first[:n]
	} else {
		x.reader.limit.remaining = withChunkOverhead(MaxPassThroughBytes)
		first, err = io.ReadAll(io.LimitReader(message.Body, maxBufferedAnswer+1))
		if err != nil || len(first) <= maxBufferedAnswer {
			return first, nil, err
		}
	}
	return first, &Remainder{Length: message.ContentLength, pool: x.pool, conn: x.conn, reader: x.reader, body: message.Body, ctx: x.ctx,
		detach: x.detach, closeAfter: message.Close}, nil
}
