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

// answer sends a unary answer, a server stream, or echoes a client stream.
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

func (h *h2conn) headers(s *h2stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headersLocked(s)
}

func (h *h2conn) headersLocked(s *h2stream) {
	if s.headSent {
		return
	}
	s.headSent = true
	h.fields(s, false, ":status", "200", "content-type", "application/grpc")
}

// fields writes a header block. The caller holds mu.
func (h *h2conn) fields(s *h2stream, end bool, pairs ...string) {
	h.head.Reset()
	for i := 0; i < len(pairs); i += 2 {
		_ = h.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]}) // a buffer takes everything
	}
	_ = h.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: s.id, BlockFragment: h.head.Bytes(), EndHeaders: true, EndStream: end})
}

// message writes one message, or with missing above 0 one that is that much shorter than it says.
func (h *h2conn) message(s *h2stream, m []byte, missing int) bool {
	out := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(m)+missing))
	out = append(out, m...)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.headersLocked(s)
	defer context.AfterFunc(s.ctx, func() { // wakes a writer whose stream was called off
		h.mu.Lock()
		h.room.Broadcast()
		h.mu.Unlock()
	})()
	for len(out) > 0 {
		for (h.window <= 0 || s.window <= 0) && !h.ended && s.ctx.Err() == nil {
			h.room.Wait()
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

// trailers ends a stream; alone where nothing was sent before.
func (h *h2conn) trailers(s *h2stream, code int, text string, more map[string]string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	pairs := []string{"grpc-status", strconv.Itoa(code), "grpc-message", text}
	for name, value := range more {
		pairs = append(pairs, name, value)
	}
	if !s.headSent {
		pairs = append([]string{":status", "200", "content-type", "application/grpc"}, pairs...)
	}
	h.fields(s, true, pairs...)
}

// refuse proves on the wire that the stream was not processed. GOAWAY may be sent only below streams of which none
// was: where a later one is in work already, this one is refused by itself.
func (h *h2conn) refuse(s *h2stream, goAway bool) {
	h.n.options.Ledger.count(h.n.options.Name, func(c *NodeCount) { c.StreamsRefused++ })
	h.mu.Lock()
	defer h.mu.Unlock()
	if !goAway || h.highest > s.id || h.floor > s.id {
		_ = h.framer.WriteRSTStream(s.id, http2.ErrCodeRefusedStream)
		if !goAway {
			return
		}
	} else {
		h.highest = h.floor
		for id := range maps.Keys(h.streams) {
			if id < s.id {
				h.highest = max(h.highest, id)
			}
		}
	}
	h.going = true
	_ = h.framer.WriteGoAway(h.highest, http2.ErrCodeNo, []byte("going"))
}

func (h *h2conn) flushAndReset() {
	time.Sleep(5 * time.Millisecond) // lets the part that was written go out ahead of the reset
	reset(h.c)
}

// timeout reads a grpc-timeout.
func timeout(text string) (time.Duration, bool) {
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

// takeMessage takes one length-prefixed message off a body.
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
