package upstream

import (
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"orchiddrift/balancer"
)

// Upload is the part of a request's body that is passed on as it comes, behind Request.body. It can be read once.
type Upload struct {
	Rest    io.Reader
	Length  int64         // of the whole body; -1: not known, it goes on in chunks
	Timeout time.Duration // what the client waits once its last byte has come
	// Interrupt has a Read of Rest that waits return. It may be called at any time.
	Interrupt func()
	// Done, where there is one, is called as the last byte has been written.
	Done func()

	begun  atomic.Bool // something of Rest was read: the body can't be had again
	broken atomic.Bool // the client broke off: no attempt can be whole
}

// Spent tells whether the body can't be had again.
func (l *Upload) Spent() bool { return l.begun.Load() || l.broken.Load() }

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
	whole atomic.Bool // the last byte has been written
	ended atomic.Bool
}

// long tells whether the body is written beside the reader of its answer.
func (r *Request) long() bool { return r.Upload != nil || len(r.body) > keptWhole }

// start writes the head and whatever follows.
func (r *Request) start(c *poolConn, head []byte) *upload {
	l := &upload{c: c, r: r, done: make(chan struct{})}
	go func() {
		defer close(l.done)
		err := l.put(head)
		if r.Gate != nil { // its first byte is out
			r.Gate.Leave()
		}
		if err != nil || l.write() != nil {
			return
		}
		l.whole.Store(true)
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

// put writes one piece.
func (l *upload) put(b []byte) error {
	for len(b) > 0 { // an upstream that takes some of it goes on
		if err := l.c.SetWriteDeadline(time.Now().Add(writeIdle)); err != nil {
			return err
		}
		if l.ended.Load() { // after the deadline, which stop sets too
			return errStopped
		}
		n, err := l.c.Write(b[:min(len(b), uploadPiece)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// write writes the body.
func (l *upload) write() error {
	more := l.r.Upload
	if more == nil {
		return l.put(l.r.body)
	}
	chunked := more.Length < 0
	piece := make([]byte, 0, uploadPiece+32)
	say := func(b []byte) error {
		if !chunked {
			return l.put(b)
		}
		piece = strconv.AppendInt(piece[:0], int64(len(b)), 16)
		piece = append(append(append(piece, '\r', '\n'), b...), '\r', '\n')
		return l.put(piece)
	}
	for b := l.r.body; len(b) > 0; {
		n := min(len(b), uploadPiece)
		if err := say(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	buffer, came := make([]byte, uploadPiece), int64(len(l.r.body))
	for {
		n, err := more.Rest.Read(buffer)
		if n > 0 {
			more.begun.Store(true)
			came += int64(n)
			if err := say(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && (chunked || came == more.Length) {
			break
		}
		if err != nil {
			if !l.ended.Load() { // else it was interrupted
				more.broken.Store(true)
				l.c.end() // the answer's reader waits for nothing more
			}
			return err
		}
	}
	if chunked {
		return l.put([]byte("0\r\n\r\n"))
	}
	return nil
}

// stop ends the upload, and tells whether its last byte was written.
func (l *upload) stop() bool {
	l.ended.Store(true)
	select {
	case <-l.done:
	default:
		if l.r.Upload != nil && l.r.Upload.Interrupt != nil {
			l.r.Upload.Interrupt()
		}
		_ = l.c.SetWriteDeadline(time.Unix(1, 0)) // it may be closed
		<-l.done
	}
	return l.whole.Load()
}

// wait waits until the body is written, or can't be.
func (l *upload) wait() bool {
	<-l.done
	return l.whole.Load()
}

// unsent is how an attempt ended whose last byte was not written: its upstream has not begun it. Where the client or the module
// ended it, that says nothing of the upstream.
func (r *Request) unsent(result balancer.Result) Reply {
	if r.Upload != nil {
		if r.Upload.Broken() {
			result = balancer.Moot
		}
		return Reply{Result: result, Spent: r.Upload.Spent()}
	}
	return Reply{Result: result}
}
