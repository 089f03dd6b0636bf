package upstream

import (
	"io"
	"time"
)

const (
	// passOnDelay is how long after its beginning an answer that is long and that the upstream is still giving begins to be forwarded.
	passOnDelay = 200 * time.Millisecond
	// passOnMargin is how long before the end of an attempt's time any answer that the upstream is still giving begins to be forwarded.
	passOnMargin = 50 * time.Millisecond
	// minAnswerRate is the lowest rate, in bytes per second, at which an upstream counts as still giving its answer. It is half of what the
	// slowest peers send.
	minAnswerRate = 32 << 10
)

// pumpedBody reads a response's body of unknown length on a goroutine of its own, so that waiting for more of it can be given up without an
// error of the reader. One goroutine uses it.
type pumpedBody struct {
	pump  *bodyPump
	from  io.Reader
	piece []byte // bytes that have not been read yet
	taken bool   // the pump waits until the latest piece has been consumed
	err   error  // error of the body; io.EOF at its end
}

func newPumpedBody(from io.Reader) *pumpedBody {
	pump := newBodyPump()
	pump.pieceBytes = firstPartBytes
	return &pumpedBody{pump: pump, from: from}
}

// next waits for bytes that have not been read, and returns errUploadStopped if stop is closed first.
func (b *pumpedBody) next(stop <-chan struct{}) error {
	if len(b.piece) > 0 || b.err != nil {
		return b.err
	}
	piece, err := b.pump.next(b.from, b.taken, stop)
	b.piece, b.taken = piece, err == nil
	if err != errUploadStopped {
		b.err = err
	}
	return err
}

// Read implements io.Reader.
func (b *pumpedBody) Read(p []byte) (int, error) {
	if err := b.next(nil); err != nil {
		return 0, err
	}
	n := copy(p, b.piece)
	b.piece = b.piece[n:]
	return n, nil
}

// end returns once the body is no longer read. It calls interrupt to make a pending read return.
func (b *pumpedBody) end(interrupt func()) { b.pump.end(interrupt) }

// readUndelimited reads the beginning of a body of unknown length: all of it, or more than maxBufferedBodyBytes, or what has come when it
// has to be forwarded because the upstream is still giving it. complete says that first is the complete body.
func (x *exchange) readUndelimited(body *pumpedBody) (first []byte, complete bool, err error) {
	startedAt := time.Now()
	waits := x.firstPartWaits(startedAt)
	for len(first) <= maxBufferedBodyBytes {
		switch err := waits.next(body); err {
		case nil:
			first = append(first, body.piece...)
			body.piece = nil
		case io.EOF:
			return first, true, nil
		case errUploadStopped:
			if waits.minBytes <= len(first) && isStillGiven(len(first), time.Since(startedAt)) {
				return first, false, nil
			}
			waits = waits.then
		default:
			return nil, false, err
		}
	}
	return first, false, nil
}

// firstPartWait is a time until which a body that has to be complete is awaited. The zero value stands for no end.
type firstPartWait struct {
	until    time.Time
	minBytes int // bytes that have to be there then to forward the body
	then     *firstPartWait
}

// firstPartWaits returns the waits for the beginning of a body.
func (x *exchange) firstPartWaits(startedAt time.Time) *firstPartWait {
	last := &firstPartWait{then: &firstPartWait{}}
	if deadline, ok := x.ctx.Deadline(); ok {
		last.until, last.minBytes = deadline.Add(-passOnMargin), 1
	}
	return &firstPartWait{until: startedAt.Add(passOnDelay), minBytes: firstPartBytes, then: last}
}

// next waits for bytes of a body, and returns errUploadStopped if the wait is over first.
func (w *firstPartWait) next(body *pumpedBody) error {
	if w.until.IsZero() {
		return body.next(nil)
	}
	stop := make(chan struct{})
	timer := time.AfterFunc(time.Until(w.until), func() { close(stop) })
	defer timer.Stop()
	return body.next(stop)
}

// isStillGiven reports whether an upstream that has sent so many bytes of a body in a time gives it at minAnswerRate or faster.
func isStillGiven(bytes int, elapsed time.Duration) bool {
	return bytes > 0 && float64(bytes) >= minAnswerRate*elapsed.Seconds()
}
