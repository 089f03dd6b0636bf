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

	pump    *bodyPump
	started atomic.Bool // something of Rest was taken: the body can't be had again
	broken  atomic.Bool // the client broke off: no attempt can be whole
}

// Drain reads what is left of the body and drops it, until the body ends or Rest fails: so a client that still writes reads an early
// answer, and no reset. Nothing may be sent after it.
func (l *Upload) Drain() { l.pump.drain() }

// End ends the reading. Rest is not read any more once it returns; it may be called more than once.
func (l *Upload) End() { l.pump.end(l.Interrupt) }

// Consumed tells whether the body can't be had again.
func (l *Upload) Consumed() bool { return l.started.Load() || l.broken.Load() }

// Broken tells whether the client broke off.
func (l *Upload) Broken() bool { return l.broken.Load() }

// uploadPieceBytes is what is read of a body before it is written, at most, in bytes; writeIdleTimeout is how long its upstream may take none of
// it.
const (
	uploadPieceBytes = 32 << 10
	writeIdleTimeout = readIdleTimeout
)

// uploadWriter writes a long body beside the reader of its answer: an upstream may turn a request away before it has read it, and then
// reads no more. It is ended by stop before anything else is done with the connection.
type uploadWriter struct {
	conn     *pooledConn
	request  *Request
	done     chan struct{}
	complete atomic.Bool // its last byte may be out: see put
	stopped  atomic.Bool
	stopping chan struct{} // closed as it is ended
	sendBy   time.Time     // its last byte is to be written before; zero: at any time
}

// streamsBody tells whether the body is written beside the reader of its answer.
func (r *Request) streamsBody() bool { return r.Upload != nil || len(r.body) > maxBufferedAnswer }

// startUpload writes the head and whatever follows.
func (r *Request) startUpload(c *pooledConn, head []byte, by time.Time) *uploadWriter {
	l := &uploadWriter{conn: c, request: r, sendBy: by, done: make(chan struct{}), stopping: make(chan struct{})}
	go func() {
		defer close(l.done)
		err := l.writePiece(head, lastByteIn(head, r.Upload != nil && r.Upload.Length == 0))
		if r.Gate != nil { // its first byte is out
			r.Gate.Leave()
		}
		if err == nil {
			err = l.writeBody()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.stopped.Load() {
			l.conn.closeSocket() // its upstream takes nothing, and may answer nothing either
		}
		if !l.complete.Load() {
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

var errUploadStopped = errors.New("the upload was stopped")

// writePiece writes one piece. end is how much of it tells the upstream that the request is whole; 0: more follows it. Whether the request can
// have been had whole is decided as that byte is begun to be written, and taken back only where the count that came back shows that it
// did not go out: an upstream can run the request, answer and close before the write has returned here.
func (l *uploadWriter) writePiece(b []byte, end int) error {
	for len(b) > 0 { // an upstream that takes some of it goes on
		limit := time.Now().Add(writeIdleTimeout)
		if !l.sendBy.IsZero() && l.sendBy.Before(limit) {
			limit = l.sendBy
		}
		if err := l.conn.SetWriteDeadline(limit); err != nil {
			return err
		}
		if l.stopped.Load() { // after the deadline, which stop sets too
			return errUploadStopped
		}
		part := b[:min(len(b), uploadPieceBytes)]
		if end > 0 && end <= len(part) {
			l.complete.Store(true)
		}
		n, err := l.conn.send(part)
		if end > n {
			l.complete.Store(false)
		}
		if err != nil {
			return err
		}
		b, end = b[n:], max(end-n, 0)
	}
	return nil
}

// writeBody writes the body.
func (l *uploadWriter) writeBody() error {
	more := l.request.Upload
	if more == nil {
		return l.writePiece(l.request.body, len(l.request.body))
	}
	chunked := more.Length < 0
	left := more.Length
	piece := make([]byte, 0, uploadPieceBytes+32)
	say := func(b []byte) error {
		if !chunked {
			left -= int64(len(b))
			return l.writePiece(b, lastByteIn(b, left == 0))
		}
		piece = strconv.AppendInt(piece[:0], int64(len(b)), 16)
		piece = append(append(append(piece, '\r', '\n'), b...), '\r', '\n')
		return l.writePiece(piece, 0)
	}
	for b := l.request.body; len(b) > 0; {
		n := min(len(b), uploadPieceBytes)
		if err := say(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	for again := false; ; again = true {
		b, err := more.pump.next(more.Body, again, l.stopping)
		if l.complete.Load() { // the source is asked once more for its end alone
			return nil
		}
		if err == nil {
			more.started.Store(true)
			err = say(b)
			if err == nil {
				continue
			}
			return err
		}
		if err == io.EOF && chunked {
			return l.writePiece([]byte(lastChunk), len("0\r\n"))
		}
		if err != errUploadStopped && err != errBodyUnwanted { // the client's
			more.broken.Store(true)
			l.conn.closeSocket() // the answer's reader waits for nothing more
		}
		return err
	}
}

// lastChunk ends a body in chunks: its first line tells the upstream that nothing more of the body comes.
const lastChunk = "0\r\n\r\n"

// lastByteIn is put's end for a piece with the request's last byte, or without.
func lastByteIn(b []byte, last bool) int {
	if last {
		return len(b)
	}
	return 0
}

// stop ends the upload, and tells whether its last byte may be out.
func (l *uploadWriter) stop() bool {
	if l.stopped.CompareAndSwap(false, true) {
		close(l.stopping)
	}
	select {
	case <-l.done:
	default:
		_ = l.conn.SetWriteDeadline(time.Unix(1, 0)) // it may be closed
		<-l.done
	}
	return l.complete.Load()
}

// wait waits until the body is written, or can't be, and tells what stop does.
func (l *uploadWriter) wait() bool {
	<-l.done
	return l.complete.Load()
}

// notSentResponse is how an attempt ended whose last byte never went out, and of which nothing came back: its upstream has not begun it. Where the client or the module
// ended it, that says nothing of the upstream.
func (r *Request) notSentResponse(result balancer.Result) Response {
	if r.Upload != nil {
		if r.Upload.Broken() {
			result = balancer.NotSent
		}
		return Response{Result: result, BodyConsumed: r.Upload.Consumed()}
	}
	return Response{Result: result}
}
