package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

const (
	maxInformational = 5 // 1xx answers ahead of the final one
)

// Request is what goes to an upstream: the same bytes with every attempt, but for the time that it still has.
type Request struct {
	head   []byte // up to the attempt's own header
	body   []byte
	isHead bool // its answer has no body
	// Upload, where there is one, brings what follows the body.
	Upload *Upload
	// Gate, where there is one, is asked before each attempt's first byte is written.
	Gate Gate
	// Written, where there is one, is called with each attempt whose last byte has been written.
	Written func()
	// Whole has each answer taken whole, as far as Options.MaxAnswerBytes; else a long one is passed on as it comes, as Reply.Remainder.
	CompleteOnly bool
}

// Gate lets attempts begin as long as it is open. Whoever shuts it may wait for those that are being written.
type Gate interface {
	Enter() bool // false: it is shut, and nothing is to be written
	Leave()      // what Enter let in has been written
}

// rewrittenHeaders headers are written from what a Request is told elsewhere.
var rewrittenHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", httpheader.Timeout}

// NewRequest keeps method, target and body byte for byte, and of the header what belongs end to end: that is for the
// caller to pick, see httphead.EndToEnd. All of them come from a request that a server has read, so that none holds a
// line end.
func NewRequest(method, target, host string, header http.Header, body []byte) *Request {
	head := make([]byte, 0, 512)
	head = append(append(append(append(head, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	head = append(append(head, host...), '\r', '\n')
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if slices.Contains(rewrittenHeaders, name) {
			continue
		}
		for _, value := range header[name] {
			head = append(append(append(append(head, name...), ": "...), value...), '\r', '\n')
		}
	}
	if method != http.MethodGet || len(body) > 0 {
		head = appendLength(head, int64(len(body)))
	}
	return &Request{head: head, body: body, isHead: method == http.MethodHead}
}

// NewUpload is NewRequest for a body that is passed on as it comes; first is what has come of it.
func NewUpload(method, target, host string, header http.Header, first []byte, rest *Upload) *Request {
	r := NewRequest(method, target, host, header, nil)
	if method != http.MethodGet { // it says that there is none
		r.head = r.head[:len(r.head)-len("Content-Length: 0\r\n")]
	}
	if rest.Length >= 0 {
		r.head = appendLength(r.head, rest.Length)
	} else {
		r.head = append(r.head, "Transfer-Encoding: chunked\r\n"...)
	}
	r.body, r.Upload, rest.pump = first, rest, newBodyPump()
	return r
}

func appendLength(head []byte, n int64) []byte {
	return append(strconv.AppendInt(append(head, "Content-Length: "...), n, 10), '\r', '\n')
}

// appendTo appends the request as an attempt sends it that ends at deadline; without the body, where that is long.
func (r *Request) appendTo(out []byte, deadline time.Time) []byte {
	out = append(out, r.head...)
	if !deadline.IsZero() {
		left := max(time.Until(deadline).Microseconds(), 1)
		if r.Upload != nil {
			left = r.Upload.Timeout.Microseconds()
		}
		out = append(strconv.AppendInt(append(out, httpheader.Timeout+": "...), left, 10), "u\r\n"...)
	}
	out = append(out, '\r', '\n')
	if r.streamsBody() {
		return out
	}
	return append(out, r.body...)
}

// Response is how an attempt ended; the rest belongs to an answer.
type Response struct {
	Result        balancer.Result
	Status        int
	Header        http.Header
	Body          []byte
	ReservedBytes int64      // of Pool.Bytes, which whoever has the Reply gives back by Free
	Remainder     *Remainder // what follows Body, to be ended by its End; nil: nothing
	BodyConsumed  bool       // the request's body can't be had again
}

// Free gives back what a Reply holds.
func (u *Pool) Free(r Response) {
	if r.ReservedBytes > 0 {
		u.answerBytes.Release(u.service, r.ReservedBytes)
	}
}

// Attempt sends a request to an upstream once, and waits for its end or that of ctx. The upstream is told to answer
// until deadline; zero: it is told nothing.
func (u *Pool) Attempt(ctx context.Context, name string, r *Request, deadline time.Time) Response {
	return u.AttemptWithOptions(ctx, name, r, AttemptOptions{Deadline: deadline})
}

// AttemptOptions bound one attempt.
type AttemptOptions struct {
	Deadline time.Time       // the upstream is told to answer until then; zero: it is told nothing
	SendBy   time.Time       // the last byte is to be written before; what is not has not been sent. Zero: at any time
	Caller   context.Context // once it has ended nobody waits for the answer, and nothing is begun; nil: it does not end
	// Cancel, where there is one, ends an attempt that has begun and whose caller has left: what it would tell of its upstream is worth
	// less than its connection to those who wait for one.
	Cancel context.CancelCauseFunc

	ended bool // the attempt has ended; under Pool.mu
}

// callerGone tells whether nobody waits for the answer any more.
func (t *AttemptOptions) callerGone() bool { return t.Caller != nil && t.Caller.Err() != nil }

// pastSendBy tells whether the last byte can't be written in time any more.
func (t *AttemptOptions) pastSendBy() bool { return !t.SendBy.IsZero() && !time.Now().Before(t.SendBy) }

// AttemptWithOptions is Attempt within terms.
func (u *Pool) AttemptWithOptions(ctx context.Context, name string, r *Request, t AttemptOptions) Response {
	at, ok := u.registry.Instance(name)
	if !ok {
		return Response{Result: balancer.NotSent}
	}
	if t.Caller != nil && t.Caller.Done() != nil && t.Cancel != nil {
		defer u.watchCaller(&t)()
	}
	for {
		c, reused, err := u.connectionWithCaller(ctx, t.Caller, name, at)
		switch {
		case err != nil && t.callerGone():
			return Response{Result: balancer.NotSent}
		case errors.Is(err, errSaturated): // says nothing of the upstream
			return Response{Result: balancer.NotSent}
		case err != nil && ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
			return Response{Result: balancer.Cancelled}
		case err != nil:
			return Response{Result: balancer.ConnectFailed}
		}
		rep, reusable, lingers := u.exchange(ctx, c, r, t)
		switch {
		case lingers: // it is put back, or closed, by itself, or by whoever ends the Reply's Rest
		case reusable:
			u.putIdle(c)
		default:
			u.discard(c)
		}
		if reused && rep.Result == balancer.ConnectFailed && !rep.BodyConsumed {
			continue // closed as the request was written: not sent whole, and says nothing of the upstream
		}
		return rep
	}
}

// exchange writes the request and reads its answer, with nothing else of the connection's running beside it: what
// was written and what came is known here to the byte. A connection is reusable only if nothing is left of it.
func (u *Pool) exchange(ctx context.Context, c *pooledConn, r *Request, t AttemptOptions) (rep Response, reusable, lingers bool) {
	var gaveUp chan struct{} // closed once interruptRead has ended
	if c.tlsConn != nil {
		gaveUp = make(chan struct{})
	}
	running := context.AfterFunc(ctx, func() {
		c.interruptRead(context.Cause(ctx))
		if gaveUp != nil {
			close(gaveUp)
		}
	})
	settle := func() bool { return running() || c.tlsConn != nil && c.resumeRead(ctx, gaveUp) }
	defer func() {
		if rep.Remainder == nil && !settle() { // called off as its answer came
			reusable = false
		}
	}()
	ended := func(otherwise balancer.Result) Response {
		switch {
		case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
			return Response{Result: balancer.Timeout}
		case ctx.Err() != nil:
			return Response{Result: balancer.Cancelled}
		}
		return Response{Result: otherwise}
	}
	buffer := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buffer)
	*buffer = r.appendTo((*buffer)[:0], t.Deadline)
	// Guards against sends to an upstream that discovery reported draining between the decision and the write,
	// while a connection was made, say.
	if !u.registry.Ready(c.name, c.instance) {
		return Response{Result: balancer.NotSent}, false, false
	}
	// It may have waited for its connection: nothing is begun that nobody waits for, that has been called off, or that its group
	// would take for a new request.
	if t.callerGone() || ctx.Err() != nil || t.pastSendBy() {
		return Response{Result: balancer.NotSent}, true, false
	}
	if r.Gate != nil && !r.Gate.Enter() {
		return Response{Result: balancer.NotSent}, true, false
	}
	var up *uploadWriter // a long body's
	if r.streamsBody() {
		up = r.startUpload(c, *buffer, t.SendBy)
		defer func() {
			whole := up.stop()
			reusable = c.SetWriteDeadline(time.Time{}) == nil && whole && reusable
		}()
	} else {
		if !t.SendBy.IsZero() {
			_ = c.SetWriteDeadline(t.SendBy) // the write shows it
		}
		out, err := c.send(*buffer)
		if r.Gate != nil {
			r.Gate.Leave()
		}
		if err != nil && out == len(*buffer) { // all of it may be out, whatever the write came to
			return ended(balancer.Reset), false, false
		}
		if err != nil {
			if t.pastSendBy() {
				return Response{Result: balancer.NotSent}, false, false
			}
			return ended(balancer.ConnectFailed), false, false
		}
		if !t.SendBy.IsZero() {
			_ = c.SetWriteDeadline(time.Time{})
		}
		if r.Written != nil {
			r.Written()
		}
	}
	in := newResponseReader(c)
	defer func() {
		if rep.Remainder == nil {
			in.release()
		}
	}()
	resp, err := in.head(r)
	if up != nil {
		whole := false
		if err == nil && u.successStatuses.Has(resp.StatusCode) {
			whole = up.wait() // it answers what it has not read to the end; the rest is owed to it
		} else {
			whole = up.stop()
		}
		switch {
		case whole || rejectedUnprocessed(resp, err):
		case in.limit.remaining == httpheader.MaxBytes: // its last byte never went out, and nothing came back
			result := balancer.ConnectFailed
			if ctx.Err() != nil || t.pastSendBy() {
				result = balancer.NotSent
			}
			return r.notSentResponse(result), false, false
		default: // whoever answers may have begun, whatever it has read
			rep = Response{Result: in.failure(), BodyConsumed: r.Upload != nil && r.Upload.Consumed()}
			if err == nil {
				rep.Result = balancer.ServerError
				if u.successStatuses.Has(resp.StatusCode) {
					rep.Result = balancer.Reset
				}
			}
			return rep, false, false
		}
		defer func() { rep.BodyConsumed = r.Upload != nil && r.Upload.Consumed() }()
	}
	if err != nil {
		if c.tlsConn != nil && in.limit.remaining == httpheader.MaxBytes && errors.Is(err, os.ErrDeadlineExceeded) {
			go u.drainCancelled(c, r)
			return ended(balancer.Cancelled), false, true
		}
		return ended(in.failure()), false, false
	}
	served := u.successStatuses.Has(resp.StatusCode)
	// The body is not closed: that would first read the rest of it.
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	var body []byte
	var held int64
	whole := delimited && resp.ContentLength <= int64(u.maxAnswerBytes) && resp.StatusCode >= 200
	switch {
	case r.isHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		whole = resp.StatusCode >= 200
	case served && !r.CompleteOnly && resp.StatusCode >= 200 && (resp.ContentLength < 0 || resp.ContentLength > maxBufferedAnswer && resp.ContentLength <= MaxPassThroughBytes):
		if held = u.reservePassThrough(); held < 0 {
			return Response{Result: balancer.Cancelled}, false, false
		}
		first, rest, err := u.passThrough(ctx, c, in, resp, settle)
		if err != nil {
			u.Free(Response{ReservedBytes: held})
			return ended(in.failure()), false, false
		}
		header := httpheader.EndToEnd(resp.Header)
		delete(header, httpheader.LoadReport)
		return Response{balancer.OK, resp.StatusCode, header, first, held, rest, false}, rest == nil && !resp.Close && in.Buffered() == 0, rest != nil
	case whole:
		if held = u.reserveAnswer(resp); held < 0 { // of ours, and says nothing of the upstream; it has run
			return Response{Result: balancer.Cancelled}, false, false
		}
		defer func() {
			if rep.ReservedBytes == 0 {
				u.Free(Response{ReservedBytes: held})
			}
		}()
		body, err = in.body(resp, u.maxAnswerBytes)
		if err != nil && served {
			return ended(in.failure()), false, false
		}
		whole = err == nil
	}
	reusable = whole && !resp.Close && in.Buffered() == 0
	switch status := resp.StatusCode; {
	case rejectedUnprocessed(resp, nil):
		return Response{Result: balancer.Rejected}, reusable, false
	case served && !whole: // of no end, or of too much: what came is not served in parts
		return Response{Result: balancer.Malformed}, false, false
	case served:
		header := httpheader.EndToEnd(resp.Header)
		delete(header, httpheader.LoadReport)
		return Response{balancer.OK, status, header, body, held, nil, false}, reusable, false
	}
	return Response{Result: balancer.ServerError}, reusable, false
}

// rejectedUnprocessed tells whether the upstream says that it has not begun the request.
func rejectedUnprocessed(resp *http.Response, err error) bool {
	return err == nil && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(httpheader.NotProcessed) == "1"
}

// cancelledAnswerTimeout is how long an encrypted connection is kept for the answer of an attempt that was called off, and maxCancelledAnswer
// what that may have: a handshake costs both sides more than a short answer that nobody waits for. Without encryption the
// connection is closed at once.
const (
	cancelledAnswerTimeout = 20 * time.Millisecond
	maxCancelledAnswer     = 64 << 10
)

// interruptRead ends what is read from the connection: it is closed, or where it is encrypted and the attempt was called off
// before any byte of its answer had come, left for linger.
func (c *pooledConn) interruptRead(cause error) {
	if c.tlsConn == nil || errors.Is(cause, context.DeadlineExceeded) || c.tlsConn.SetReadDeadline(time.Unix(1, 0)) != nil {
		c.closeSocket()
	}
}

// resumeRead undoes what interruptRead has done to an encrypted connection whose answer had come whole meanwhile; false: it is
// closed.
func (c *pooledConn) resumeRead(ctx context.Context, gaveUp <-chan struct{}) bool {
	<-gaveUp // it does not block
	return !errors.Is(context.Cause(ctx), context.DeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// drainCancelled waits a moment for an answer that nobody wants any more, so that its connection can carry another request.
func (u *Pool) drainCancelled(c *pooledConn, r *Request) {
	whole := false
	if c.SetReadDeadline(time.Now().Add(cancelledAnswerTimeout)) == nil {
		in := newResponseReader(c)
		defer in.release()
		if resp, err := in.head(r); err == nil && resp.StatusCode >= 200 && !resp.Close {
			none := r.isHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
			delimited := resp.ContentLength >= 0 && resp.ContentLength <= maxCancelledAnswer || len(resp.TransferEncoding) > 0
			if !none && delimited {
				_, err = in.body(resp, maxCancelledAnswer)
			}
			whole = err == nil && (none || delimited) && in.Buffered() == 0
		}
	}
	if whole && c.SetReadDeadline(time.Time{}) == nil {
		u.putIdle(c)
		return
	}
	u.discard(c)
}

// reserveAnswer takes the bytes of an answer's body out of what is shared: its length, or where none is told the most that it
// may have. Below 0: they are not to be had.
func (u *Pool) reserveAnswer(resp *http.Response) int64 {
	if u.answerBytes == nil {
		return 0
	}
	n := resp.ContentLength
	if n < 0 {
		n = int64(u.maxAnswerBytes)
	}
	if !u.answerBytes.TryAcquire(u.service, n) {
		return -1
	}
	return n
}

// reservePassThrough is hold for an answer that is passed on.
func (u *Pool) reservePassThrough() int64 {
	if u.answerBytes == nil {
		return 0
	}
	if !u.answerBytes.TryAcquire(u.service, maxBufferedAnswer) {
		return -1
	}
	return maxBufferedAnswer
}

// responseReader reads one answer. It never takes in more than an answer may have.
type responseReader struct {
	*bufio.Reader
	limit limitedReader
}

// limitedReader passes on no more than left from a connection.
type limitedReader struct {
	source    io.Reader
	remaining int
	broken    bool // the connection ended or broke
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.broken = l.broken || err != nil
	return n, err
}

var errTooLarge = errors.New("the answer is too large")

// requestBuffers holds buffers for what is written, each at most a request's head and body.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

var responseReaders = sync.Pool{New: func() any { return &responseReader{Reader: bufio.NewReader(nil)} }}

func newResponseReader(from io.Reader) *responseReader {
	in := responseReaders.Get().(*responseReader)
	in.limit = limitedReader{source: from, remaining: httpheader.MaxBytes}
	in.Reader.Reset(&in.limit)
	return in
}

func (in *responseReader) release() {
	in.limit.source = nil
	responseReaders.Put(in)
}

// head reads up to the final answer's body.
func (in *responseReader) head(r *Request) (*http.Response, error) {
	var to *http.Request // nil: a GET
	if r.isHead {
		to = headRequest
	}
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(in.Reader, to)
		if err != nil || resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
	return nil, errTooLarge
}

var headRequest = &http.Request{Method: http.MethodHead}

// body reads the body to its end.
func (in *responseReader) body(resp *http.Response, most int) ([]byte, error) {
	in.limit.remaining = most + most/4 + httpheader.MaxBytes // chunks have heads of their own
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err == nil && len(body) > most {
		err = errTooLarge
	}
	return body, err
}

// failure is the outcome where no whole answer could be read: it may have run. An upstream that writes what can't
// be read is alive.
func (in *responseReader) failure() balancer.Result {
	if in.limit.broken {
		return balancer.Reset
	}
	return balancer.Malformed
}
