package fakes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Metadata keys by which a client chooses the node's answer. Only fakes use them.
const (
	MessagesKey = "x-messages" // number of messages in a server stream
	GapKey      = "x-gap-us"   // pause between two messages of a server stream, in microseconds
	EchoKey     = "x-echo"     // if not empty, the node echoes each message of a client stream as it arrives
	CostKey     = "x-cost"     // work in microseconds
	StatusKey   = "x-status"   // if set, the node executes the call and then answers with this grpc-status, as an error of the application and not a fault
)

// ListenGRPC makes the node serve gRPC over HTTP/2 at address, and returns the address. It handles the frames itself
// instead of using a server library, so that a test can choose when a stream is refused and with which frames. Method
// paths are /service/Method; the class of a Job is the path without its first slash.
func (n *Node) ListenGRPC(address string) (string, error) { return n.listen(address, n.serveGRPC) }

// ServeGRPC is ListenGRPC with an existing listener, which need not belong to a socket.
func (n *Node) ServeGRPC(l net.Listener) { n.accept(l, n.serveGRPC) }

// h2conn is one HTTP/2 connection. Frames are written with mu locked.
type h2conn struct {
	n   *Node
	c   net.Conn
	ctx context.Context

	mu               sync.Mutex
	windowChanged    *sync.Cond // also signals that a stream or the connection has ended
	framer           *http2.Framer
	headerBlock      bytes.Buffer
	encoder          *hpack.Encoder
	window           int64 // number of bytes that the connection may send
	initialWindow    int64 // window of a new stream
	streams          map[uint32]*h2stream
	lastStream       uint32 // highest ID of the streams that were started, or the last stream ID of the GOAWAY
	highestProcessed uint32 // highest ID of the streams that were not refused; the last stream ID of a GOAWAY cannot be lower
	goingAway        bool   // a GOAWAY was sent, and streams with IDs above lastStream are ignored
	ended            bool
}

type h2stream struct {
	id          uint32
	path        string
	meta        map[string]string
	body        bytes.Buffer
	messages    chan []byte // of an echo stream, in order of arrival
	window      int64
	ctx         context.Context
	cancel      context.CancelFunc
	headersSent bool
	ended       bool // trailers were sent
}

func (n *Node) serveGRPC(c net.Conn) {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	h := &h2conn{n: n, c: c, ctx: ctx, framer: http2.NewFramer(c, c), window: 65535, initialWindow: 65535,
		streams: map[uint32]*h2stream{}}
	h.windowChanged = sync.NewCond(&h.mu)
	h.encoder = hpack.NewEncoder(&h.headerBlock)
	h.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	settings := []http2.Setting{{ID: http2.SettingInitialWindowSize, Val: 1 << 20}}
	if n.options.MaxConcurrentStreams > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(n.options.MaxConcurrentStreams)})
	}
	h.write(func() error { return h.framer.WriteSettings(settings...) })
	h.write(func() error { return h.framer.WriteWindowUpdate(0, 1<<20) })
	var serving sync.WaitGroup
	for h.read(&serving) == nil {
	}
	cancel()
	h.mu.Lock()
	h.ended = true
	h.windowChanged.Broadcast()
	h.mu.Unlock()
	serving.Wait()
}

// write writes a frame. It ignores the error, because after an error the next read fails too.
func (h *h2conn) write(frame func() error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = frame()
}

// read handles one frame.
func (h *h2conn) read(serving *sync.WaitGroup) error {
	frame, err := h.framer.ReadFrame()
	if err != nil {
		return err
	}
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		if f.IsAck() {
			return nil
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
			for _, s := range h.streams {
				s.window += int64(v) - h.initialWindow
			}
			h.initialWindow = int64(v)
		}
		h.windowChanged.Broadcast()
		return h.framer.WriteSettingsAck()
	case *http2.PingFrame:
		if !f.IsAck() {
			h.write(func() error { return h.framer.WritePing(true, f.Data) })
		}
	case *http2.WindowUpdateFrame:
		h.mu.Lock()
		defer h.mu.Unlock()
		if f.StreamID == 0 {
			h.window += int64(f.Increment)
		} else if s := h.streams[f.StreamID]; s != nil {
			s.window += int64(f.Increment)
		}
		h.windowChanged.Broadcast()
	case *http2.RSTStreamFrame:
		h.mu.Lock()
		defer h.mu.Unlock()
		if s := h.streams[f.StreamID]; s != nil {
			s.cancel()
		}
	case *http2.MetaHeadersFrame:
		h.openStream(f, serving)
	case *http2.DataFrame:
		h.handleData(f, serving)
	}
	return nil
}

// openStream handles the header block of a new stream.
func (h *h2conn) openStream(f *http2.MetaHeadersFrame, serving *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.goingAway && f.StreamID > h.lastStream {
		return // the GOAWAY tells the client that this stream is not processed
	}
	s := &h2stream{id: f.StreamID, meta: map[string]string{}, window: h.initialWindow}
	s.ctx, s.cancel = context.WithCancel(h.ctx)
	for _, field := range f.Fields {
		if field.Name == ":path" {
			s.path = strings.TrimPrefix(field.Value, "/")
		}
		s.meta[field.Name] = field.Value
	}
	if t, ok := parseTimeout(s.meta["grpc-timeout"]); ok { // the work stops when the client's timeout expires
		s.ctx, s.cancel = context.WithTimeout(s.ctx, t)
	}
	h.streams[s.id] = s
	if s.meta[EchoKey] != "" {
		s.messages = make(chan []byte, 1024)
		h.start(s, serving)
	}
	if f.StreamEnded() {
		h.finishBody(s, serving)
	}
}

// start serves a stream in a goroutine of its own. The caller holds mu.
func (h *h2conn) start(s *h2stream, serving *sync.WaitGroup) {
	if h.goingAway && s.id > h.lastStream { // the stream's headers arrived before the GOAWAY was sent, and the rest of its request afterwards
		s.cancel()
		delete(h.streams, s.id)
		return
	}
	h.lastStream = max(h.lastStream, s.id)
	serving.Go(func() {
		h.serve(s)
		s.cancel()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.streams, s.id)
		if h.goingAway && len(h.streams) == 0 {
			h.c.Close()
		}
	})
}

// finishBody handles the end of a stream's request body. The caller holds mu.
func (h *h2conn) finishBody(s *h2stream, serving *sync.WaitGroup) {
	if s.messages != nil {
		close(s.messages)
		return
	}
	h.start(s, serving)
}

// handleData handles a DATA frame, and returns the used flow-control window to the client.
func (h *h2conn) handleData(f *http2.DataFrame, serving *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if size := uint32(f.Length); size > 0 {
		_ = h.framer.WriteWindowUpdate(0, size) // after an error the next read fails
	}
	s := h.streams[f.StreamID]
	if s == nil || s.body.Len() > 8<<20 {
		return
	}
	if size := uint32(f.Length); size > 0 && !f.StreamEnded() {
		_ = h.framer.WriteWindowUpdate(s.id, size)
	}
	s.body.Write(f.Data())
	for s.messages != nil {
		message, ok := takeMessage(&s.body)
		if !ok {
			break
		}
		select {
		case s.messages <- message:
		default: // the client does not read the echoed messages
			_ = h.framer.WriteRSTStream(s.id, http2.ErrCodeEnhanceYourCalm) // after an error the next read fails
			s.cancel()
		}
	}
	if f.StreamEnded() {
		h.finishBody(s, serving)
	}
}

// serve serves a stream whose request body is complete, or an echo stream.
func (h *h2conn) serve(s *h2stream) {
	j := Job{ID: s.meta["x-request-id"], Class: s.path, Key: s.meta["idempotency-key"],
		Op: s.meta[strings.ToLower(OperationHeader)]}
	if us, err := strconv.ParseFloat(s.meta[CostKey], 64); err == nil {
		j.Work = time.Duration(us * float64(time.Microsecond))
	}
	if s.messages == nil {
		payload, ok := takeMessage(&s.body)
		if !ok {
			h.trailers(s, 13, "no message", nil) // INTERNAL
			return
		}
		j.Payload = payload
	}
	v := h.n.serve(s.ctx, j)
	if v.kind != refuseStream && v.kind != goAway {
		h.mu.Lock()
		h.highestProcessed = max(h.highestProcessed, s.id)
		h.mu.Unlock()
	}
	switch v.kind {
	case answer:
		h.answer(s, v.body)
		h.sendDeadlineExceeded(s)
	case abandoned:
		h.sendDeadlineExceeded(s)
	case rejected, errorNotExecuted:
		h.trailers(s, 14, "full", map[string]string{"x-not-processed": "1"}) // UNAVAILABLE
	case serverError, errorExecuted:
		h.trailers(s, 13, "broken", nil)
	case malformed:
		h.message(s, []byte{0xff, 0xff, 0xff}, 0)
		h.trailers(s, 0, "", nil)
	case truncated:
		h.message(s, v.body, 10)
		h.flushAndReset()
	case resetConnection:
		reset(h.c)
	case refuseStream:
		h.refuse(s, false)
	case goAway:
		h.refuse(s, true)
	}
}

// sendDeadlineExceeded ends a stream whose timeout expired while it was served, as gRPC servers do.
func (h *h2conn) sendDeadlineExceeded(s *h2stream) {
	if errors.Is(s.ctx.Err(), context.DeadlineExceeded) {
		h.trailers(s, 4, "time is up", nil) // DEADLINE_EXCEEDED
	}
}

// String returns the node's name and zone, for logs.
func (n *Node) String() string { return fmt.Sprintf("node %s (%s)", n.options.Name, n.options.Zone) }
