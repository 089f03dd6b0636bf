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
	keptAlways = 64 << 10 // taken whole, whatever else is in hand
	spoolPart  = 8        // longer ones as long as all of them take no more than this fraction of the memory
	spoolMost  = 4        // and each no more than this fraction of that
	leastRate  = 32 << 10 // a second: half of what the slowest client that is served sends
	// slowUpstreams is what upstreams may add to the time that a body takes.
	slowUpstreams = time.Minute
)

var errBodyLarge = errors.New("the body is too large")

// paced reads a client's body. The client may be waited for as long as patience and leastRate give; what is spent between reads is
// not its time.
type paced struct {
	body  io.Reader
	conn  *http.ResponseController
	left  time.Duration // that the client may be waited for
	room  int64         // bytes that it may still send
	broke error         // why the body can't be had whole
	asked bool          // something was read: the library has said 100 Continue where that was due
	rest  func(n int)   // so many bytes have been passed on
	until atomic.Pointer[time.Time]
}

func (p *paced) Read(b []byte) (int, error) {
	if p.room < 0 {
		return 0, errBodyLarge
	}
	begun := time.Now()
	end := begun.Add(p.left)
	_ = p.conn.SetReadDeadline(end) // can't fail on a server's own connections; should it, the read shows it
	if !p.asked {
		p.asked = true
		_ = p.conn.SetWriteDeadline(end)
	}
	if by := p.until.Load(); by != nil && by.Before(end) { // after the deadline, which hurry sets too
		_ = p.conn.SetReadDeadline(*by)
	}
	n, err := p.body.Read(b)
	p.left += time.Duration(n)*time.Second/leastRate - time.Since(begun)
	if p.room -= int64(n); p.room < 0 {
		err = errBodyLarge
	}
	if err != nil && err != io.EOF && p.until.Load() == nil {
		p.broke = err
	}
	p.rest(n)
	return n, err
}

// hurry has reads end by then, also one that waits.
func (p *paced) hurry(by time.Time) {
	p.until.Store(&by)
	_ = p.conn.SetReadDeadline(by) // see Read
}

// interrupt has a Read that waits return.
func (p *paced) interrupt() { p.hurry(time.Unix(1, 0)) }

// rejected says how a client is told that its body could not be taken.
func rejected(err error) *downstream.Rejection {
	switch {
	case errors.Is(err, errBodyLarge):
		return &downstream.Rejection{Status: http.StatusRequestEntityTooLarge, Text: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &downstream.Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &downstream.Rejection{Status: http.StatusBadRequest, Text: fmt.Sprintf("reading the body: %v", err)}
}

// takeBody takes in the request's body: whole, or where that takes too much memory and hold does not ask for it, its beginning.
func (v *visit) takeBody(req *downstream.Request, patience time.Duration, hold bool) *downstream.Rejection {
	length := v.r.ContentLength
	if length == 0 {
		return nil
	}
	v.paced = &paced{body: v.r.Body, conn: http.NewResponseController(v.w), left: patience, room: req.Route.MaxBody,
		rest: v.d.shared.rest}
	most := v.d.shared.spoolSize / spoolMost
	if hold {
		most = req.Route.MaxBody
	}
	// It takes memory as it comes: the head may be all that does.
	v.body = make([]byte, 0, min(max(length, 512), 4<<10))
	for {
		if len(v.body) == cap(v.body) {
			have := int64(len(v.body))
			if !hold && have >= keptAlways && (have >= most || length > most) || !v.grow(length) {
				if hold {
					return &downstream.Rejection{Status: http.StatusInternalServerError, Text: "not done: too much is in hand to keep the body"}
				}
				v.rest = true
				return nil
			}
		}
		n, err := v.paced.Read(v.body[len(v.body):cap(v.body)])
		v.body = v.body[:len(v.body)+n]
		switch {
		case err == io.EOF, err == nil && length > 0 && int64(len(v.body)) == length:
			_ = v.paced.conn.SetReadDeadline(time.Time{})
			return nil
		case err != nil:
			return rejected(err)
		}
	}
}

// grow makes room for more of the body, whose length is told or -1; false: there is none to be had.
func (v *visit) grow(length int64) bool {
	now := int64(cap(v.body))
	to := 2 * now
	if now < keptAlways {
		to = min(to, keptAlways)
	}
	if length > now {
		to = min(to, length)
	}
	if more := to - keptAlways - v.spooled; more > 0 {
		if !v.d.shared.spool.TryAcquire(more) {
			return false
		}
		v.spooled += more
	}
	v.body = append(make([]byte, 0, to), v.body...)
	return true
}

// letGo gives back what the body holds.
func (v *visit) letGo() {
	if v.spooled > 0 {
		v.d.shared.spool.Release(v.spooled)
		v.spooled = 0
	}
}

// upload makes the request that passes on the rest of the body as it comes, and its call.
func (v *visit) upload(req *downstream.Request, call *engine.Call) *upstream.Request {
	length := v.r.ContentLength
	most := length
	if length < 0 {
		most = req.Route.MaxBody
	}
	call.StreamedBody = true
	call.Deadline += time.Duration(most)*time.Second/leastRate + slowUpstreams
	return upstream.NewUpload(req.Method, req.Target, req.Host, req.Header, v.body,
		&upstream.Upload{Body: v.paced, Length: length, Timeout: req.Timeout, Interrupt: v.paced.interrupt})
}
