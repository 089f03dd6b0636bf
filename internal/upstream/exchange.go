package upstream

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// connectionUse says what happens to a connection after an exchange.
type connectionUse int

const (
	closeConnection connectionUse = iota
	reuseConnection               // the exchange left no unread bytes
	connectionOwned               // the Response's Remainder or drainCancelled owns the connection
)

// requestBuffers holds buffers from which the head and the body of a request are sent in one write.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

// exchange is one request on one connection. Nothing else reads or writes the connection meanwhile, so that the numbers of bytes written
// and received are known exactly.
type exchange struct {
	pool    *Pool
	ctx     context.Context
	conn    *pooledConn
	request *Request
	options AttemptOptions
	reader  *responseReader
	upload  *uploadWriter // nil if the whole request is written before the response is read
	detach  func() bool   // stops ctx from interrupting reads; returns false if the connection is closed
}

// exchange writes a request and reads its response. The result after says what happens to the connection.
func (p *Pool) exchange(ctx context.Context, conn *pooledConn, r *Request, options AttemptOptions) (response Response, after connectionUse) {
	x := &exchange{pool: p, ctx: ctx, conn: conn, request: r, options: options, detach: interruptOnDone(ctx, conn)}
	defer func() {
		if response.Remainder == nil && !x.detach() && after == reuseConnection {
			after = closeConnection // cancelled while the response arrived
		}
	}()
	buffer := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buffer)
	*buffer = r.appendTo((*buffer)[:0], options.Deadline)
	if mayWrite, unwritten := x.enter(); !mayWrite {
		return Response{Result: balancer.NotSent}, unwritten
	}
	if r.streamsBody() {
		x.upload = r.startUpload(conn, *buffer, options.SendBy)
		defer func() {
			complete := x.upload.stop()
			if conn.SetWriteDeadline(time.Time{}) != nil || !complete {
				after = closeIfUnowned(after)
			}
		}()
	} else if failure, failed := x.write(*buffer); failed {
		return failure, closeConnection
	}
	x.reader = newResponseReader(conn)
	defer func() {
		if response.Remainder == nil {
			x.reader.release()
		}
	}()
	return x.readResponse()
}

// closeIfUnowned returns closeConnection in place of reuseConnection, and any other value unchanged.
func closeIfUnowned(after connectionUse) connectionUse {
	if after == reuseConnection {
		return closeConnection
	}
	return after
}

// enter repeats the checks of an attempt right before its write, because the attempt may have waited for its connection since the
// balancer chose the upstream. If the checks pass, it enters the request's Gate. If mayWrite is false, unwritten says what happens to the
// connection.
func (x *exchange) enter() (mayWrite bool, unwritten connectionUse) {
	if !x.pool.registry.Ready(x.conn.name, x.conn.instance) { // draining or removed meanwhile
		return false, closeConnection
	}
	if x.options.callerGone() || x.ctx.Err() != nil || x.options.pastSendBy() {
		return false, reuseConnection
	}
	if x.request.Gate != nil && !x.request.Gate.Enter() {
		return false, reuseConnection
	}
	return true, reuseConnection
}

// write writes a request whose complete body is in memory. If failed is true, the attempt has ended with failure.
func (x *exchange) write(request []byte) (failure Response, failed bool) {
	bounded := !x.options.SendBy.IsZero()
	if bounded {
		_ = x.conn.SetWriteDeadline(x.options.SendBy) // if this fails, the write fails too
	}
	written, err := x.conn.send(request)
	if x.request.Gate != nil {
		x.request.Gate.Leave()
	}
	switch {
	case err != nil && written == len(request): // despite the error the upstream may have received the complete request
		return x.failure(balancer.Reset), true
	case err != nil && x.options.pastSendBy():
		return Response{Result: balancer.NotSent}, true
	case err != nil:
		return x.failure(balancer.ConnectFailed), true
	}
	if bounded {
		_ = x.conn.SetWriteDeadline(time.Time{})
	}
	if x.request.Written != nil {
		x.request.Written()
	}
	return Response{}, false
}

// readResponse reads the response's head, waits for the end of an upload, and reads the body.
func (x *exchange) readResponse() (response Response, after connectionUse) {
	message, err := x.reader.head(x.request)
	if x.upload != nil {
		if early, ended := x.endUpload(message, err); ended {
			return early, closeConnection
		}
		defer func() { response.BodyConsumed = x.bodyConsumed() }()
	}
	if err == nil {
		return x.readBody(message)
	}
	if x.conn.tlsConn != nil && x.reader.isUntouched() && errors.Is(err, os.ErrDeadlineExceeded) {
		go x.pool.drainCancelled(x.conn, x.request)
		return x.failure(balancer.Cancelled), connectionOwned
	}
	return x.failure(x.reader.failure()), closeConnection
}

// bodyConsumed reports whether the request has an upload whose body cannot be sent again.
func (x *exchange) bodyConsumed() bool {
	return x.request.Upload != nil && x.request.Upload.Consumed()
}

// endUpload ends the upload of a streamed body once the response's head has arrived or could not be read. If ended is true, the request
// was not written completely, and the attempt has ended with the Response early.
func (x *exchange) endUpload(message *http.Response, err error) (early Response, ended bool) {
	successful := err == nil && x.pool.successStatuses.Has(message.StatusCode)
	var complete bool
	if successful {
		complete = x.upload.wait() // the upstream responded before it had read the complete request: send the rest
	} else {
		complete = x.upload.stop()
	}
	if complete || rejectedUnprocessed(message, err) {
		return Response{}, false
	}
	if x.reader.isUntouched() { // the last byte was never written, and no byte of a response has arrived
		result := balancer.ConnectFailed
		if x.ctx.Err() != nil || x.options.pastSendBy() {
			result = balancer.NotSent
		}
		return x.request.notSentResponse(result), true
	}
	early = Response{Result: x.reader.failure(), BodyConsumed: x.bodyConsumed()} // an upstream that responds may have begun the request
	switch {
	case successful:
		early.Result = balancer.Reset
	case err == nil:
		early.Result = balancer.ServerError
	}
	return early, true
}

// readBody reads the body of a response, or only its first part if the rest is passed through. It does not close the body, because
// closing it would first read the rest.
func (x *exchange) readBody(message *http.Response) (response Response, after connectionUse) {
	status := message.StatusCode
	successful := x.pool.successStatuses.Has(status)
	final := status >= http.StatusOK
	delimited := message.ContentLength >= 0 || len(message.TransferEncoding) > 0
	// An answer that has to be complete may also end with its connection: an orderly end is its end, a reset is none.
	hasEnd := delimited || successful && x.request.CompleteOnly
	complete := false
	var body []byte
	var reserved int64
	switch {
	case x.request.expectsNoBody(message):
		complete = final
	case successful && final && x.passesThrough(message):
		return x.passThrough(message)
	case final && hasEnd && message.ContentLength <= int64(x.pool.maxAnswerBytes):
		var available bool
		if reserved, available = x.pool.reserveBody(message); !available { // exceeding this process's own limit is not a failure of the upstream
			return Response{Result: balancer.Cancelled}, closeConnection
		}
		defer func() {
			if response.ReservedBytes == 0 {
				x.pool.Free(Response{ReservedBytes: reserved})
			}
		}()
		var err error
		body, err = x.reader.body(message, x.pool.maxAnswerBytes)
		if err != nil && successful {
			return x.failure(x.reader.failure()), closeConnection
		}
		complete = err == nil
	}
	after = closeConnection
	if complete && !message.Close && x.reader.Buffered() == 0 {
		after = reuseConnection
	}
	switch {
	case rejectedUnprocessed(message, nil):
		return Response{Result: balancer.Rejected}, after
	case successful && !complete: // the body is too large or its end is unknown: no part of it is served
		return Response{Result: balancer.Malformed}, closeConnection
	case successful:
		return Response{Result: balancer.OK, Status: status, Header: forwardedHeader(message), Body: body, ReservedBytes: reserved}, after
	}
	return Response{Result: balancer.ServerError}, after
}

// passesThrough reports whether the body is forwarded as it arrives, since it is long or of unknown length.
func (x *exchange) passesThrough(message *http.Response) bool {
	if x.request.CompleteOnly {
		return false
	}
	length := message.ContentLength
	return length < 0 || length > maxBufferedBodyBytes && length <= MaxPassThroughBytes
}

// passThrough begins a response whose body is forwarded as it arrives.
func (x *exchange) passThrough(message *http.Response) (response Response, after connectionUse) {
	reserved, available := x.pool.reserve(maxBufferedBodyBytes)
	if !available {
		return Response{Result: balancer.Cancelled}, closeConnection
	}
	first, remainder, err := x.readFirstPart(message)
	if err != nil {
		x.pool.Free(Response{ReservedBytes: reserved})
		return x.failure(x.reader.failure()), closeConnection
	}
	response = Response{Result: balancer.OK, Status: message.StatusCode, Header: forwardedHeader(message), Body: first,
		ReservedBytes: reserved, Remainder: remainder}
	switch {
	case remainder != nil:
		return response, connectionOwned
	case !message.Close && x.reader.Buffered() == 0:
		return response, reuseConnection
	}
	return response, closeConnection
}

// failure returns the Response of an attempt that ended early. If the attempt's context has ended, the result follows from the cause; if
// not, the result is otherwise.
func (x *exchange) failure(otherwise balancer.Result) Response {
	switch {
	case errors.Is(context.Cause(x.ctx), context.DeadlineExceeded):
		return Response{Result: balancer.Timeout}
	case x.ctx.Err() != nil:
		return Response{Result: balancer.Cancelled}
	}
	return Response{Result: otherwise}
}

// forwardedHeader returns the headers that are forwarded to the client. Load reports are left out: they are for the balancer alone.
func forwardedHeader(message *http.Response) http.Header {
	header := httpheader.EndToEnd(message.Header)
	delete(header, httpheader.LoadReport)
	return header
}

// expectsNoBody reports whether a response to the request has no body by definition (RFC 9110, section 6.4.1).
func (r *Request) expectsNoBody(message *http.Response) bool {
	return r.isHead || message.StatusCode == http.StatusNoContent || message.StatusCode == http.StatusNotModified
}

// rejectedUnprocessed reports whether the upstream rejected the request and states that it has not begun it.
func rejectedUnprocessed(message *http.Response, err error) bool {
	if err != nil {
		return false
	}
	unavailable := message.StatusCode == http.StatusServiceUnavailable || message.StatusCode == http.StatusGatewayTimeout
	return unavailable && message.Header.Get(httpheader.NotProcessed) == "1"
}
