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

// Sizes of bodies, in bytes, and what a client may take to send one.
const (
	alwaysBufferedBytes = 64 << 10 // taken whole, whatever else is in hand
	spoolMemoryFraction = 8        // longer ones as long as all of them take no more than this fraction of the memory
	maxSpoolFraction    = 4        // and each no more than this fraction of that
	minClientRate       = 32 << 10 // a second: half of what the slowest client that is served sends
	// uploadSlack is what upstreams may add to the time that a body takes.
	uploadSlack = time.Minute
)

var errBodyTooLarge = errors.New("the body is too large")

// clientBody reads a client's body. The client may be waited for as long as patience and minClientRate give; what is spent between reads is
// not its time.
type clientBody struct {
	body        io.Reader
	conn        *http.ResponseController
	timeLeft    time.Duration // that the client may be waited for
	bytesLeft   int64         // bytes that it may still send
	failure     error         // why the body can't be had whole
	started     bool          // something was read: the library has said 100 Continue where that was due
	onRead      func(n int)   // so many bytes have been passed on
	interruptAt atomic.Pointer[time.Time]
}

func (p *clientBody) Read(b []byte) (int, error) {
	if p.bytesLeft < 0 {
		return 0, errBodyTooLarge
	}
	begun := time.Now()
	end := begun.Add(p.timeLeft)
	_ = p.conn.SetReadDeadline(end) // can't fail on a server's own connections; should it, the read shows it
	if !p.started {
		p.started = true
		_ = p.conn.SetWriteDeadline(end)
	}
	if by := p.interruptAt.Load(); by != nil && by.Before(end) { // after the deadline, which hurry sets too
		_ = p.conn.SetReadDeadline(*by)
	}
	n, err := p.body.Read(b)
	p.timeLeft += time.Duration(n)*time.Second/minClientRate - time.Since(begun)
	if p.bytesLeft -= int64(n); p.bytesLeft < 0 {
		err = errBodyTooLarge
	}
	if err != nil && err != io.EOF && p.interruptAt.Load() == nil {
		p.failure = err
	}
	p.onRead(n)
	return n, err
}

// interruptBy has reads end by then, also one that waits.
func (p *clientBody) interruptBy(by time.Time) {
	p.interruptAt.Store(&by)
	_ = p.conn.SetReadDeadline(by) // see Read
}

// interrupt has a Read that waits return.
func (p *clientBody) interrupt() { p.interruptBy(time.Unix(1, 0)) }

// bodyRejection says how a client is told that its body could not be taken.
func bodyRejection(err error) *downstream.Rejection {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &downstream.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &downstream.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &downstream.Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf("reading the body: %v", err)}
}

// readBody takes in the request's body: whole, or where that takes too much memory and hold does not ask for it, its beginning.
func (v *clientRequest) readBody(req *downstream.Request, patience time.Duration, hold bool) *downstream.Rejection {
	length := v.r.ContentLength
	if length == 0 {
		return nil
	}
	v.bodyReader = &clientBody{body: v.r.Body, conn: http.NewResponseController(v.w), timeLeft: patience, bytesLeft: req.Route.MaxBody,
		onRead: v.daemon.shared.yieldAfter}
	most := v.daemon.shared.spoolSize / maxSpoolFraction
	if hold {
		most = req.Route.MaxBody
	}
	// It takes memory as it comes: the head may be all that does.
	v.body = make([]byte, 0, min(max(length, 512), 4<<10))
	for {
		if len(v.body) == cap(v.body) {
			have := int64(len(v.body))
			if !hold && have >= alwaysBufferedBytes && (have >= most || length > most) || !v.growBody(length) {
				if hold {
					return &downstream.Rejection{Status: http.StatusInternalServerError, Text: "not done: too much is in hand to keep the body"}
				}
				v.bodyStreams = true
				return nil
			}
		}
		n, err := v.bodyReader.Read(v.body[len(v.body):cap(v.body)])
		v.body = v.body[:len(v.body)+n]
		switch {
		case err == io.EOF, err == nil && length > 0 && int64(len(v.body)) == length:
			_ = v.bodyReader.conn.SetReadDeadline(time.Time{})
			return nil
		case err != nil:
			return bodyRejection(err)
		}
	}
}

// growBody makes room for more of the body, whose length is told or -1; false: there is none to be had.
func (v *clientRequest) growBody(length int64) bool {
	now := int64(cap(v.body))
	to := 2 * now
	if now < alwaysBufferedBytes {
		to = min(to, alwaysBufferedBytes)
	}
	if length > now {
		to = min(to, length)
	}
	if more := to - alwaysBufferedBytes - v.spooled; more > 0 {
		if !v.daemon.shared.bodySpool.TryAcquire(more) {
			return false
		}
		v.spooled += more
	}
	v.body = append(make([]byte, 0, to), v.body...)
	return true
}

// releaseSpool gives back what the body holds.
func (v *clientRequest) releaseSpool() {
	if v.spooled > 0 {
		v.daemon.shared.bodySpool.Release(v.spooled)
		v.spooled = 0
	}
}

// upload makes the request that passes on the rest of the body as it comes, and its call.
func (v *clientRequest) upload(req *downstream.Request, call *engine.Call) *upstream.Request {
	length := v.r.ContentLength
	most := length
	if length < 0 {
		most = req.Route.MaxBody
	}
	call.StreamedBody = true
	call.Deadline += time.Duration(most)*time.Second/minClientRate + uploadSlack
	return upstream.NewUpload(req.Method, req.Target, req.Host, req.Header, v.body,
		&upstream.Upload{Body: v.bodyReader, Length: length, Timeout: req.Timeout, Interrupt: v.bodyReader.interrupt})
}
