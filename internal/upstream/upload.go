package upstream

import (
	"errors"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
)

// Upload is the part of a request's body that is passed on as it comes, behind Request.body. It can be read once: an attempt that
// ends before any of it was taken leaves all of it to the next one. Whoever made it ends it by End.
type Upload struct {
	Body    io.Reader
	Length  int64         // of the whole body; -1: not known, it goes on in chunks
	Timeout time.Duration // what the client waits once its last byte has come
	// Interrupt has a Read of Rest that waits return. It is called by End alone.
	Interrupt func()
	// Done, where there is one, is called as the last byte has been written.
	Done func()

	pump   *pump
	begun  atomic.Bool // something of Rest was taken: the body can't be had again
	broken atomic.Bool // the client broke off: no attempt can be whole
}

// Drain reads what is left of the body and drops it, until the body ends or Rest fails: so a client that still writes reads an early
// answer, and no reset. Nothing may be sent after it.
func (l *Upload) Drain() { l.pump.drain() }

// End ends the reading. Rest is not read any more once it returns; it may be called more than once.
func (l *Upload) End() { l.pump.end(l.Interrupt) }

// Consumed tells whether the body can't be had again.
func (l *Upload) Consumed() bool { return l.begun.Load() || l.broken.Load() }

// Broken tells whether the client broke off.
func (l *Upload) Broken() bool { return l.broken.Load() }

// uploadPiece is what is read of a body before it is written, at most, in bytes; writeIdle is how long its upstream may take none of
// it.
const (
	uploadPiece = 32 << 10
	writeIdle   = restIdle
)

// upload writes a long body beside the reader of its answer: an upstream may turn a request away before it has read it, and then
// reads no more. It is ended by stop before anything else is done with the connection.
type upload struct {
	c     *poolConn
	r     *Request
	done  chan struct{}
	whole atomic.Bool // its last byte may be out: see put
	ended atomic.Bool
	off   chan struct{} // closed as it is ended
	by    time.Time     // its last byte is to be written before; zero: at any time
}

// long tells whether the body is written beside the reader of its answer.
func (r *Request) long() bool { return r.Upload != nil || len(r.body) > keptWhole }

// start writes the head and whatever follows.
func (r *Request) start(c *poolConn, head []byte, by time.Time) *upload {
	l := &upload{c: c, r: r, by: by, done: make(chan struct{}), off: make(chan struct{})}
	go func() {
		defer close(l.done)
		err := l.put(head, endOf(head, r.Upload != nil && r.Upload.Length == 0))
		if r.Gate != nil { // its first byte is out
			r.Gate.Leave()
		}
		if err == nil {
			err = l.write()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.ended.Load() {
			l.c.end() // its upstream takes nothing, and may answer nothing either
		}
		if !l.whole.Load() {
			return
		}
		if r.Written != nil {
			r.Written()
		}
		if r.Upload != nil && r.Upload.Done != nil {
			r.Upload.Done()
		}
	}()
	return l
}

var errStopped = errors.New("the upload was stopped")

// put writes one piece. end is how much of it tells the upstream that the request is whole; 0: more follows it. Whether the request can
// have been had whole is decided as that byte is begun to be written, and taken back only where the count that came back shows that it
// did not go out: an upstream can run the request, answer and close before the write has returned here.
func (l *upload) put(b []byte, end int) error {
	for len(b) > 0 { // an upstream that takes some of it goes on
		limit := time.Now().Add(writeIdle)
		if !l.by.IsZero() && l.by.Before(limit) {
			limit = l.by
		}
		if err := l.c.SetWriteDeadline(limit); err != nil {
			return err
		}
		if l.ended.Load() { // after the deadline, which stop sets too
			return errStopped
		}
		part := b[:min(len(b), uploadPiece)]
		if end > 0 && end <= len(part) {
			l.whole.Store(true)
		}
		n, err := l.c.send(part)
		if end > n {
			l.whole.Store(false)
		}
		if err != nil {
			return err
		}
		b, end = b[n:], max(end-n, 0)
	}
	return nil
}

// write writes the body.
func (l *upload) write() error {
	more := l.r.Upload
	if more == nil {
		return l.put(l.r.body, len(l.r.body))
	}
	chunked := more.Length < 0
	left := more.Length
	piece := make([]byte, 0, uploadPiece+32)
	say := func(b []byte) error {
		if !chunked {
			left -= int64(len(b))
			return l.put(b, endOf(b, left == 0))
		}
		piece = strconv.AppendInt(piece[:0], int64(len(b)), 16)
		piece = append(append(append(piece, '\r', '\n'), b...), '\r', '\n')
		return l.put(piece, 0)
	}
	for b := l.r.body; len(b) > 0; {
		n := min(len(b), uploadPiece)
		if err := say(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	for again := false; ; again = true {
		b, err := more.pump.next(more.Body, again, l.off)
		if l.whole.Load() { // the source is asked once more for its end alone
			return nil
		}
		if err == nil {
			more.begun.Store(true)
			err = say(b)
			if err == nil {
				continue
			}
			return err
		}
		if err == io.EOF && chunked {
			return l.put([]byte(lastChunk), len("0\r\n"))
		}
		if err != errStopped && err != errOver { // the client's
			more.broken.Store(true)
			l.c.end() // the answer's reader waits for nothing more
		}
		return err
	}
}

// lastChunk ends a body in chunks: its first line tells the upstream that nothing more of the body comes.
const lastChunk = "0\r\n\r\n"

// endOf is put's end for a piece with the request's last byte, or without.
func endOf(b []byte, last bool) int {
	if last {
		return len(b)
	}
	return 0
}

// stop ends the upload, and tells whether its last byte may be out.
func (l *upload) stop() bool {
	if l.ended.CompareAndSwap(false, true) {
		close(l.off)
	}
	select {
	case <-l.done:
	default:
		_ = l.c.SetWriteDeadline(time.Unix(1, 0)) // it may be closed
		<-l.done
	}
	return l.whole.Load()
}

// wait waits until the body is written, or can't be, and tells what stop does.
func (l *upload) wait() bool {
	<-l.done
	return l.whole.Load()
}

// unsent is how an attempt ended whose last byte never went out, and of which nothing came back: its upstream has not begun it. Where the client or the module
// ended it, that says nothing of the upstream.
func (r *Request) unsent(result balancer.Result) Response {
	if r.Upload != nil {
		if r.Upload.Broken() {
			result = balancer.NotSent
		}
		return Response{Result: result, BodyConsumed: r.Upload.Consumed()}
	}
	return Response{Result: result}
}
