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

const (
	// uploadPieceBytes is the maximum number of bytes of a body that are read before they are written.
	uploadPieceBytes = MaxPieceBytes
	// chunkOverheadBytes is the maximum size of the size line and the line ends of a chunk.
	chunkOverheadBytes = 32
	// writeIdleTimeout is the longest time for which an upstream may accept no byte of a body.
	writeIdleTimeout = readIdleTimeout
	// clientWait is how long a piece of the body has to be waited for to show that the client has not sent all of it.
	clientWait = 20 * time.Millisecond
	// systemBufferBytes is how much of a body the system may hold between a client that has written all of it and this process.
	systemBufferBytes = 16 << 20
	// blockedTimeParts: an upstream may block the upload of a body that its client may have written completely for all of the client's time
	// but 1/blockedTimeParts.
	blockedTimeParts = 8
	// lastChunk ends a chunked body. Its first line, lastChunkSize, tells the upstream that the body is complete.
	lastChunk     = "0\r\n\r\n"
	lastChunkSize = "0\r\n"
)

// MaxPieceBytes is the largest value of Upload.PieceBytes.
const MaxPieceBytes = 32 << 10

var errUploadStopped = errors.New("the upload was stopped")

// Upload is the part of a request's body that is forwarded as it arrives, after Request.body. It can be read only once: an attempt that
// ends before it has read any byte of Body leaves all of it to the next attempt. The owner of the Upload calls End.
type Upload struct {
	Body    io.Reader
	Length  int64         // length of the complete body in bytes; if -1, the length is unknown and the body is forwarded in chunks
	Timeout time.Duration // how long the client waits for a response after the last byte of its body
	// PieceBytes is the size of the largest piece of Body that is read before it is written; 0 stands for MaxPieceBytes. A body that is
	// forwarded in chunks takes it twice.
	PieceBytes int
	// Forwarding, unless nil, is called once the first part of the body has been written and is no longer needed.
	Forwarding func()
	// Interrupt makes a pending Read of Body return. End calls it.
	Interrupt func()
	// Done, unless nil, is called once the last byte has been written.
	Done func()

	pump    *bodyPump
	blocked atomic.Int64 // see BlockedTime
	started atomic.Bool  // an attempt has taken a part of Body, which cannot be read again
	broken  atomic.Bool  // the client aborted the body: no attempt can send a complete request
}

// pieceBytes returns the size of the largest piece of Body that is read before it is written.
func (u *Upload) pieceBytes() int {
	if u.PieceBytes <= 0 {
		return MaxPieceBytes
	}
	return min(u.PieceBytes, MaxPieceBytes)
}

// Drain reads and discards the rest of the body, until the body ends or a read fails, so that a client that is still writing can read a
// response that arrives early. No attempt may be made after Drain.
func (u *Upload) Drain() { u.pump.drain() }

// End ends the reading of Body: once it returns, Body is no longer read. It may be called more than once.
func (u *Upload) End() { u.pump.end(u.Interrupt) }

// Consumed reports whether the body cannot be sent by another attempt.
func (u *Upload) Consumed() bool { return u.started.Load() || u.broken.Load() }

// Broken reports whether the client aborted the body.
func (u *Upload) Broken() bool { return u.broken.Load() }

// streamsBody reports whether the body is written while the response is read.
func (r *Request) streamsBody() bool { return r.Upload != nil || len(r.body) > maxBufferedBodyBytes }

// uploadWriter writes a long body on its own goroutine while the response is read, because an upstream may reject a request before it has
// read the whole body, and then read no more. Its owner calls stop or wait before it uses the connection for anything else.
type uploadWriter struct {
	conn     *pooledConn
	request  *Request
	sendBy   time.Time     // time before which the last byte is written; no limit if zero
	done     chan struct{} // closed once the goroutine has ended
	written  int64         // bytes of the body that were written; used by the goroutine alone
	complete atomic.Bool   // the last byte may have left this process: see writePiece
	stopped  atomic.Bool
	stopping chan struct{} // closed by stop
}

// startUpload begins to write the head and then the body.
func (r *Request) startUpload(conn *pooledConn, head []byte, sendBy time.Time) *uploadWriter {
	w := &uploadWriter{conn: conn, request: r, sendBy: sendBy, done: make(chan struct{}), stopping: make(chan struct{})}
	go w.run(head)
	return w
}

func (w *uploadWriter) run(head []byte) {
	defer close(w.done)
	r := w.request
	bodyIsEmpty := r.Upload != nil && r.Upload.Length == 0
	err := w.writePiece(head, lastByteIn(head, bodyIsEmpty))
	if r.Gate != nil { // the first byte has been written
		r.Gate.Leave()
	}
	if err == nil {
		err = w.writeBody()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !w.stopped.Load() {
		w.conn.closeSocket() // ends the read of the response too: an upstream that accepts no bytes may not respond either
	}
	if !w.complete.Load() {
		return
	}
	if r.Written != nil {
		r.Written()
	}
	if r.Upload != nil && r.Upload.Done != nil {
		r.Upload.Done()
	}
}

// lastByteIn returns the argument end for writePiece. The parameter last says whether piece ends with the last byte of the request.
func lastByteIn(piece []byte, last bool) int {
	if last {
		return len(piece)
	}
	return 0
}

// writePiece writes a part of the request. The parameter end is the number of bytes of piece after which the upstream knows that the request
// is complete, or 0 if more pieces follow. The request counts as complete as soon as the write of that byte begins, since an upstream can
// run the request, respond and close the connection before the write returns here. It counts as incomplete again only if the count that the
// write returns shows that the system did not accept the byte.
func (w *uploadWriter) writePiece(piece []byte, end int) error {
	for len(piece) > 0 { // progress extends the deadline
		deadline := time.Now().Add(writeIdleTimeout)
		if !w.sendBy.IsZero() && w.sendBy.Before(deadline) {
			deadline = w.sendBy
		}
		if limit, limited := w.blockedDeadline(); limited && limit.Before(deadline) {
			deadline = limit
		}
		if err := w.conn.SetWriteDeadline(deadline); err != nil {
			return err
		}
		if w.stopped.Load() { // checked after the deadline is set, since stop sets the deadline too
			return errUploadStopped
		}
		part := piece[:min(len(piece), uploadPieceBytes)]
		if end > 0 && end <= len(part) {
			w.complete.Store(true)
		}
		startedAt := time.Now()
		n, err := w.conn.send(part)
		w.countBlocked(time.Since(startedAt))
		if end > n {
			w.complete.Store(false)
		}
		if err != nil {
			return err
		}
		piece, end = piece[n:], max(end-n, 0)
	}
	return nil
}

// mayBeWritten reports whether the client may have written all of its body, by its length and the system's buffers.
func (w *uploadWriter) mayBeWritten() bool {
	upload := w.request.Upload
	return upload != nil && upload.Timeout > 0 && (upload.Length < 0 || upload.Length-w.written <= systemBufferBytes)
}

// blockedDeadline returns the time by which the upstream has to accept bytes, if there is one.
func (w *uploadWriter) blockedDeadline() (deadline time.Time, limited bool) {
	if !w.mayBeWritten() {
		return time.Time{}, false
	}
	return time.Now().Add(w.request.Upload.blockedTimeLeft()), true
}

// countBlocked counts the time that a write has taken.
func (w *uploadWriter) countBlocked(took time.Duration) {
	if w.mayBeWritten() {
		w.request.Upload.blocked.Add(int64(took))
	}
}

// writeBody writes the body: first the part in memory, then the rest as it arrives.
func (w *uploadWriter) writeBody() error {
	upload := w.request.Upload
	if upload == nil {
		return w.writePiece(w.request.body, len(w.request.body))
	}
	framer := &bodyFramer{writer: w, chunked: upload.Length < 0, remaining: upload.Length, pieceBytes: upload.pieceBytes()}
	for first := w.request.body; len(first) > 0; {
		n := min(len(first), framer.pieceBytes)
		if err := framer.write(first[:n]); err != nil {
			return err
		}
		first = first[n:]
	}
	return w.forwardUpload(upload, framer)
}

// forwardUpload writes the body as it arrives.
func (w *uploadWriter) forwardUpload(upload *Upload, framer *bodyFramer) error {
	for again := false; ; again = true {
		askedAt := time.Now()
		piece, err := upload.pump.next(upload.Body, again, w.stopping)
		if time.Since(askedAt) >= clientWait { // the client had not written this piece before
			upload.blocked.Store(0)
		}
		if w.complete.Load() { // all bytes are written: this read only awaited the end of the source
			return nil
		}
		if err == nil {
			w.startForwarding(upload)
			if err := framer.write(piece); err != nil {
				return err
			}
			continue
		}
		if err == io.EOF && framer.chunked {
			return w.writePiece([]byte(lastChunk), len(lastChunkSize))
		}
		if err != errUploadStopped && err != errBodyPumpEnded { // the client aborted the body
			upload.broken.Store(true)
			w.conn.closeSocket() // ends the read of the response: the upstream will never have a complete request
		}
		return err
	}
}

// BlockedTime returns how long the upstream has blocked the upload since the client was last known not to have written all of its body. The
// client has waited for the answer for no longer.
func (u *Upload) BlockedTime() time.Duration { return time.Duration(u.blocked.Load()) }

// blockedTimeLeft returns how long the upstream may still block the upload.
func (u *Upload) blockedTimeLeft() time.Duration {
	return u.Timeout - u.Timeout/blockedTimeParts - u.BlockedTime()
}

// startForwarding records that a part of Body was taken: no other attempt can send the request, and the first part is no longer needed.
func (w *uploadWriter) startForwarding(upload *Upload) {
	if upload.started.Swap(true) {
		return
	}
	w.request.body = nil
	if upload.Forwarding != nil {
		upload.Forwarding()
	}
}

// bodyFramer writes the pieces of a body: unchanged if the body's length is known, or else as chunks.
type bodyFramer struct {
	writer    *uploadWriter
	chunked   bool
	remaining int64  // bytes still to be written of a body with a known length
	chunk     []byte // buffer for a chunk
	// pieceBytes is the size of the largest piece.
	pieceBytes int
}

func (f *bodyFramer) write(piece []byte) error {
	defer func() { f.writer.written += int64(len(piece)) }()
	if !f.chunked {
		f.remaining -= int64(len(piece))
		return f.writer.writePiece(piece, lastByteIn(piece, f.remaining == 0))
	}
	if f.chunk == nil {
		f.chunk = make([]byte, 0, f.pieceBytes+chunkOverheadBytes)
	}
	f.chunk = strconv.AppendInt(f.chunk[:0], int64(len(piece)), 16)
	f.chunk = append(f.chunk, "\r\n"...)
	f.chunk = append(f.chunk, piece...)
	f.chunk = append(f.chunk, "\r\n"...)
	return f.writer.writePiece(f.chunk, 0)
}

// stop ends the upload and waits for its goroutine. It reports whether the last byte may have left this process.
func (w *uploadWriter) stop() bool {
	if w.stopped.CompareAndSwap(false, true) {
		close(w.stopping)
	}
	select {
	case <-w.done:
	default:
		_ = w.conn.SetWriteDeadline(expiredDeadline) // the connection may be closed already
		<-w.done
	}
	return w.complete.Load()
}

// wait waits until the body has been written or its write has failed. Like stop it reports whether the last byte may have left this process.
func (w *uploadWriter) wait() bool {
	<-w.done
	return w.complete.Load()
}

// notSentResponse returns the Response of an attempt whose last byte was never written and that received no byte of a response: the
// upstream has not begun the request. If the client aborted the body, the result does not count as a failure of the upstream.
func (r *Request) notSentResponse(result balancer.Result) Response {
	if r.Upload == nil {
		return Response{Result: result}
	}
	if r.Upload.Broken() {
		result = balancer.NotSent
	}
	return Response{Result: result, BodyConsumed: r.Upload.Consumed()}
}
