package daemon

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

const (
	// writeTimeout is how long writing a complete answer to a client may take.
	writeTimeout = 5 * time.Second
	// passThroughTimeout is how long writing one chunk to a client may take, if the answer is forwarded as it arrives.
	passThroughTimeout = 10 * time.Second
	// rejectedReadTime is how long the rest of a rejected request is read: closing a connection with unread bytes resets it, and the client
	// would lose the answer.
	rejectedReadTime = 900 * time.Millisecond
	// An answer for which no upstream is awaited counts as a transfer of ownAnswerWork bytes, since a connection on which such requests are
	// pipelined never blocks.
	ownAnswerWork = 128 << 10
	// passThroughBuffer is the size in bytes of the largest chunk of an answer that is forwarded as it arrives, if the spool has space for
	// it, and smallPassThroughBuffer that if it has not.
	passThroughBuffer      = 32 << 10
	smallPassThroughBuffer = 4 << 10
)

var passThroughBuffers = sync.Pool{New: func() any { return new([passThroughBuffer]byte) }}

// transferBuffer returns a buffer in which an answer is forwarded. The owner calls release once it no longer uses the buffer. Clients that
// read slowly hold theirs for long, so that all of them together take no more than the spool.
func (sh *sharedResources) transferBuffer() (buffer []byte, release func()) {
	if !sh.bodySpool.TryAcquire(passThroughBuffer) {
		return make([]byte, smallPassThroughBuffer), func() {}
	}
	large := passThroughBuffers.Get().(*[passThroughBuffer]byte)
	return large[:], func() {
		passThroughBuffers.Put(large)
		sh.bodySpool.Release(passThroughBuffer)
	}
}

// writeAnswer writes a final answer in the form of the platform's protocol.
func (s *server) writeAnswer(w http.ResponseWriter, answer engine.Answer) {
	switch answer.Kind {
	case engine.Served:
		response := answer.Value.(*upstream.Response)
		maps.Copy(w.Header(), response.Header)
		s.write(w, response.Status, response.Body)
	case engine.Rejected:
		setRetryAfter(w.Header(), answer.RetryAfter)
		s.writeText(w, http.StatusServiceUnavailable, "refused: not done, trying again is harmless")
	case engine.Duplicate:
		s.writeText(w, http.StatusConflict, "a request of this id is in hand")
	case engine.EngineClosed:
		s.writeText(w, http.StatusInternalServerError, "stopped")
	default:
		s.writeText(w, http.StatusBadGateway, "failed")
	}
}

// setRetryAfter sets Retry-After in seconds, with a decimal fraction if needed, unless retryAfter is 0.
func setRetryAfter(header http.Header, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
}

// reject answers a request that is malformed, too slow or too large.
func (s *server) reject(w http.ResponseWriter, rejection *downstream.Rejection) {
	s.daemon.shared.yieldAfter(ownAnswerWork)
	w.Header().Set("Connection", "close")
	if rejection.Allow != "" {
		w.Header().Set("Allow", rejection.Allow)
	}
	setRetryAfter(w.Header(), rejection.RetryAfter)
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedReadTime))
	s.writeText(w, rejection.Status, rejection.Text)
}

// writeText writes an answer of the sidecar itself, which is a line of text.
func (s *server) writeText(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(line+"\n"))
}

// write writes a complete answer.
func (s *server) write(w http.ResponseWriter, status int, body []byte) {
	// Setting a deadline cannot fail on a server's connection; if it did, the write would fail too.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	s.prepareHeader(w.Header())
	switch { // an empty body, such as the answer to HEAD, keeps the upstream's Content-Length
	case status == http.StatusNoContent || status == http.StatusNotModified:
		w.Header().Del("Content-Length")
	case len(body) > 0 || w.Header().Get("Content-Length") == "":
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has disconnected or does not read
}

// prepareHeader announces the end of the connection if the process is draining or ending, and keeps net/http from guessing a content type.
func (s *server) prepareHeader(header http.Header) {
	if s.closeAfterAnswer.Load() {
		header.Set("Connection", "close")
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
}

// passThrough forwards an answer as it arrives, no faster than the client reads it. If the answer breaks off, the client's connection is
// reset, so that the client notices.
func (c *clientRequest) passThrough(answer engine.Answer, response *upstream.Response) {
	header := c.w.Header()
	maps.Copy(header, response.Header)
	header.Del("Content-Length")
	if response.Remainder.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Remainder.Length, 10))
	}
	c.prepareHeader(header)
	c.w.WriteHeader(response.Status)
	err := c.copyBody(response)
	answer.EndStream(response.Remainder.Result())
	if err != io.EOF {
		c.daemon.log.Info("a long answer is cut", "id", c.r.Header.Get(httpheader.RequestID), "path", c.r.URL.Path, "reason", err)
		c.truncated = true
		c.metric.Finish(metrics.Failed)
		return
	}
	c.metric.Finish(metrics.Completed)
}

// copyBody forwards a body until it ends (io.EOF), breaks off, or the client does not read it in time.
func (c *clientRequest) copyBody(response *upstream.Response) error {
	if err := c.writeChunk(response.Body, false); err != nil {
		return err
	}
	response.Body = nil
	buffer, release := c.daemon.shared.transferBuffer()
	defer release()
	for {
		n, readErr := response.Remainder.Read(buffer)
		if n > 0 {
			if err := c.writeChunk(buffer[:n], response.Remainder.Buffered() > 0); err != nil {
				return err
			}
			c.daemon.shared.yieldAfter(n)
		}
		if readErr != nil {
			return readErr
		}
	}
}

// writeChunk writes a chunk of a body, and flushes it unless more has arrived already.
func (c *clientRequest) writeChunk(chunk []byte, more bool) error {
	controller := http.NewResponseController(c.w)
	_ = controller.SetWriteDeadline(time.Now().Add(passThroughTimeout)) // see write
	if _, err := c.w.Write(chunk); err != nil || more {
		return err
	}
	return controller.Flush()
}
