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

// Sizes of answers, in bytes.
const (
	maxBufferedAnswer   = 64 << 10 // taken whole before any of it is passed on
	MaxPassThroughBytes = 64 << 20 // an answer that says it has more is spoilt
	firstPartBytes      = 16 << 10 // what is read of a longer one before it is passed on, at most
)

// readIdleTimeout is how long an upstream may give nothing of an answer that is being passed on.
const readIdleTimeout = 10 * time.Second

// Remainder is what is still to come of an answer that is passed on as it comes. It is for one goroutine, but for End.
type Remainder struct {
	pool       *Pool
	conn       *pooledConn
	reader     *responseReader
	body       io.Reader
	ctx        context.Context
	detach     func() bool // ends what calls the connection off; false: it has been
	complete   bool        // all of it has come
	closeAfter bool        // the connection ends with it
	Length     int64       // of the whole body, -1: not known

	err   error
	ended atomic.Bool
}

// ErrTruncated says that an answer ends before it is whole.
var ErrTruncated = errors.New("the answer is cut")

// Read reads on. Any error but io.EOF says that the answer can't be had whole.
func (s *Remainder) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(readIdleTimeout)); err != nil {
		s.err = fmt.Errorf("%w: %w", ErrTruncated, err)
		return 0, s.err
	}
	if s.ctx.Err() != nil { // after the deadline, which calling off sets too where the connection is encrypted
		s.err = fmt.Errorf("%w: %w", ErrTruncated, context.Cause(s.ctx))
		return 0, s.err
	}
	n, err := s.body.Read(p)
	if err != nil {
		s.err = fmt.Errorf("%w: %w", ErrTruncated, err)
		if err == io.EOF {
			s.complete, s.err = true, io.EOF
		}
	}
	if n > 0 {
		return n, nil
	}
	return 0, s.err
}

// Buffered is how much can be read without waiting.
func (s *Remainder) Buffered() int { return s.reader.Buffered() }

// Result is how the attempt ended: an answer that is not whole by the upstream's doing has broken, one that nobody took was
// called off.
func (s *Remainder) Result() balancer.Result {
	switch {
	case s.complete:
		return balancer.OK
	case s.err == nil || s.ctx.Err() != nil:
		return balancer.Cancelled
	}
	return s.reader.failure()
}

// End lets go of the connection: it goes on where the answer has come whole. Only the first call counts.
func (s *Remainder) End() {
	if s.ended.Swap(true) {
		return
	}
	calm := s.detach()
	reusable := calm && s.complete && !s.closeAfter && s.reader.Buffered() == 0 && s.conn.SetReadDeadline(time.Time{}) == nil
	s.reader.release()
	if reusable {
		s.pool.putIdle(s.conn)
	} else {
		s.pool.discard(s.conn)
	}
}

// passThrough begins an answer that is passed on as it comes: resp's body is longer than maxBufferedAnswer, or of unknown length. It reads what
// is to be there first; nil, nil: the body is whole and stands in first.
func (u *Pool) passThrough(ctx context.Context, c *pooledConn, in *responseReader, resp *http.Response, settle func() bool) (first []byte, rest *Remainder, err error) {
	in.limit.remaining = MaxPassThroughBytes + MaxPassThroughBytes/4
	if resp.ContentLength >= 0 {
		in.limit.remaining = int(resp.ContentLength) + in.Size()
		first = make([]byte, firstPartBytes)
		n, err := io.ReadAtLeast(resp.Body, first, 1) // a head alone is not yet an answer
		if err != nil {
			return nil, nil, err
		}
		first = first[:n]
	} else {
		first, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer+1))
		if err != nil || len(first) <= maxBufferedAnswer {
			return first, nil, err
		}
	}
	return first, &Remainder{pool: u, conn: c, reader: in, body: resp.Body, ctx: ctx, detach: settle, closeAfter: resp.Close, Length: resp.ContentLength}, nil
}
