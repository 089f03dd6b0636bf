package fakes

import (
	"bytes"
	"context"
	"encoding/binary"
	"maps"
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// answer sends a unary answer or a server stream, or echoes a client stream.
func (h *h2conn) answer(s *h2stream, body []byte) {
	if s.messages != nil {
		h.headers(s)
		for m := range s.messages {
			if s.ctx.Err() != nil || !h.message(s, m, 0) {
				return
			}
		}
		h.trailers(s, 0, "", nil)
		return
	}
	if code, err := strconv.Atoi(s.meta[StatusKey]); err == nil {
		h.trailers(s, code, "said by the application", nil)
		return
	}
	count := 1
	if v, err := strconv.Atoi(s.meta[MessagesKey]); err == nil {
		count = v
	}
	gap, _ := strconv.Atoi(s.meta[GapKey])
	for i := range count {
		if i > 0 && sleep(s.ctx, time.Duration(gap)*time.Microsecond) != nil {
			return
		}
		if !h.message(s, body, 0) {
			return
		}
		if _, hit := h.n.activeFault(ResetAfter, s.path+"/message"); hit && i == count/2 {
			h.flushAndReset()
			return
		}
	}
	var report map[string]string
	if h.n.options.LoadReports {
		report = map[string]string{orcaTrailer: h.n.orcaReport()}
	}
	h.trailers(s, 0, "", report)
}

// headers writes the response headers if they have not been sent yet.
func (h *h2conn) headers(s *h2stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headersLocked(s)
}

// headersLocked is headers for a caller that holds mu.
func (h *h2conn) headersLocked(s *h2stream) {
	if s.headersSent {
		return
	}
	s.headersSent = true
	h.writeHeaders(s, false, ":status", "200", "content-type", "application/grpc")
}

// writeHeaders writes a header block of name-value pairs, or trailers if end is set. The caller holds mu.
func (h *h2conn) writeHeaders(s *h2stream, end bool, pairs ...string) {
	h.headerBlock.Reset()
	for i := 0; i < len(pairs); i += 2 {
		_ = h.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]}) // writes to memory do not fail
	}
	_ = h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: h.headerBlock.Bytes(), EndHeaders: true, EndStream: end})
}

// message writes one message of a stream. The parameter missing is the number of bytes by which the length in the
// prefix exceeds the length of the data: a value above 0 makes the message incomplete. message returns false if the
// stream or the connection has ended.
func (h *h2conn) message(s *h2stream, m []byte, missing int) bool {
	out := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(m)+missing))
	out = append(out, m...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headersLocked(s)
	defer context.AfterFunc(s.ctx, func() { // wakes the writer when its stream is cancelled
		h.mu.Lock()
		h.windowChanged.Broadcast()
		h.mu.Unlock()
	})()
	for len(out) > 0 {
		for (h.window <= 0 || s.window <= 0) && !h.ended && s.ctx.Err() == nil {
			h.windowChanged.Wait()
		}
		if h.ended || s.ctx.Err() != nil {
			return false
		}
		size := min(int64(len(out)), h.window, s.window, 16<<10)
		if h.framer.WriteData(s.id, false, out[:size]) != nil {
			return false
		}
		h.window -= size
		s.window -= size
		out = out[size:]
	}
	return true
}

// trailers ends a stream with trailers. If no headers were sent before, it sends a response that consists only of
// trailers.
func (h *h2conn) trailers(s *h2stream, code int, text string, additional map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	pairs := []string{"grpc-status", strconv.Itoa(code), "grpc-message", text}
	for name, value := range additional {
		pairs = append(pairs, name, value)
	}
	if !s.headersSent {
		pairs = append([]string{":status", "200", "content-type", "application/grpc"}, pairs...)
	}
	h.writeHeaders(s, true, pairs...)
}

// refuse tells the client with RST_STREAM or GOAWAY that the stream was not processed. A GOAWAY covers all streams
// with higher IDs too. If one of these is in progress or was processed, refuse resets only this stream, and the
// GOAWAY covers only streams that do not exist yet.
func (h *h2conn) refuse(s *h2stream, goAway bool) {
	h.n.options.Ledger.count(h.n.options.Name, func(c *NodeCount) { c.StreamsRefused++ })
	h.mu.Lock()
	defer h.mu.Unlock()
	if !goAway || h.lastStream > s.id || h.highestProcessed > s.id {
		_ = h.framer.WriteRSTStream(s.id, http2.ErrCodeRefusedStream)
		if !goAway {
			return
		}
	} else {
		h.lastStream = h.highestProcessed
		for id := range maps.Keys(h.streams) {
			if id < s.id {
				h.lastStream = max(h.lastStream, id)
			}
		}
	}
	h.goingAway = true
	_ = h.framer.WriteGoAway(h.lastStream, http2.ErrCodeNo, []byte("going"))
}

func (h *h2conn) flushAndReset() {
	time.Sleep(5 * time.Millisecond) // lets the bytes already written reach the client before the reset
	reset(h.c)
}

// parseTimeout parses a grpc-timeout.
func parseTimeout(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond,
		'u': time.Microsecond, 'n': time.Nanosecond}
	v, err := strconv.ParseInt(text[:len(text)-1], 10, 64)
	unit, known := units[text[len(text)-1]]
	if err != nil || !known {
		return 0, false
	}
	return time.Duration(v) * unit, true
}

// takeMessage removes one length-prefixed message from a body. It returns false if the message is not complete yet.
func takeMessage(b *bytes.Buffer) ([]byte, bool) {
	head := b.Bytes()
	if len(head) < 5 {
		return nil, false
	}
	size := int(binary.BigEndian.Uint32(head[1:5]))
	if len(head) < 5+size {
		return nil, false
	}
	b.Next(5)
	return bytes.Clone(b.Next(size)), true
}
