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

// Metadata keys by which a client tells a node what its answer is to be. Only fakes use them.
const (
	MessagesKey = "x-messages" // a server stream of so many messages
	GapKey      = "x-gap-us"   // and so long between two of them, in microseconds
	EchoKey     = "x-echo"     // answers each message of a client stream with itself, as it comes
	CostKey     = "x-cost"     // work in microseconds
	StatusKey   = "x-status"   // runs, then answers this grpc-status: what the application says, not a fault
)

// ListenGRPC makes the node serve gRPC over HTTP/2 without TLS at address, and returns where. It is written on the
// frames, not with a server library: only so can a test say when a stream is refused, and what the wire proves.
// Method paths are /service/Method; the class of a Job is the path without its first slash.
func (n *Node) ListenGRPC(address string) (string, error) { return n.listen(address, n.serveGRPC) }

// ServeGRPC is ListenGRPC on a listener at hand, which need not be a socket's.
func (n *Node) ServeGRPC(l net.Listener) { n.accept(l, n.serveGRPC) }

// h2conn is one connection. Frames are written under mu.
type h2conn struct {
	n   *Node
	c   net.Conn
	ctx context.Context

	mu      sync.Mutex
	room    *sync.Cond // of the windows
	framer  *http2.Framer
	head    bytes.Buffer
	encoder *hpack.Encoder
	window  int64 // what the connection may send
	initial int64 // window of a new stream
	streams map[uint32]*h2stream
	highest uint32 // of the streams that were handed to the core, or what GOAWAY says
	floor   uint32 // of those that the core did not refuse: no GOAWAY may be below it
	going   bool   // GOAWAY was sent: nothing above highest is taken
	ended   bool
}

type h2stream struct {
	id       uint32
	path     string
	meta     map[string]string
	body     bytes.Buffer
	messages chan []byte // of an echo stream, as they come
	window   int64
	ctx      context.Context
	cancel   context.CancelFunc
	headSent bool
	ended    bool // trailers were sent
}

func (n *Node) serveGRPC(c net.Conn) {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	h := &h2conn{n: n, c: c, ctx: ctx, framer: http2.NewFramer(c, c), window: 65535, initial: 65535,
		streams: map[uint32]*h2stream{}}
	h.room = sync.NewCond(&h.mu)
	h.encoder = hpack.NewEncoder(&h.head)
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
	h.room.Broadcast()
	h.mu.Unlock()
	serving.Wait()
}

// write writes a frame; what fails shows at the next read.
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
				s.window += int64(v) - h.initial
			}
			h.initial = int64(v)
		}
		h.room.Broadcast()
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
		h.room.Broadcast()
	case *http2.RSTStreamFrame:
		h.mu.Lock()
		defer h.mu.Unlock()
		if s := h.streams[f.StreamID]; s != nil {
			s.cancel()
		}
	case *http2.MetaHeadersFrame:
		h.open(f, serving)
	case *http2.DataFrame:
		h.data(f, serving)
	}
	return nil
}

func (h *h2conn) open(f *http2.MetaHeadersFrame, serving *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.going && f.StreamID > h.highest {
		return // GOAWAY says so
	}
	s := &h2stream{id: f.StreamID, meta: map[string]string{}, window: h.initial}
	s.ctx, s.cancel = context.WithCancel(h.ctx)
	for _, field := range f.Fields {
		if field.Name == ":path" {
			s.path = strings.TrimPrefix(field.Value, "/")
		}
		s.meta[field.Name] = field.Value
	}
	if t, ok := timeout(s.meta["grpc-timeout"]); ok { // work stops when its time is up
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

// start hands a stream to the core. The caller holds mu.
func (h *h2conn) start(s *h2stream, serving *sync.WaitGroup) {
	if h.going && s.id > h.highest { // its head came before the GOAWAY was sent, the rest after
		s.cancel()
		delete(h.streams, s.id)
		return
	}
	h.highest = max(h.highest, s.id)
	serving.Go(func() {
		h.serve(s)
		s.cancel()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.streams, s.id)
		if h.going && len(h.streams) == 0 {
			h.c.Close()
		}
	})
}

func (h *h2conn) finishBody(s *h2stream, serving *sync.WaitGroup) {
	if s.messages != nil {
		close(s.messages)
		return
	}
	h.start(s, serving)
}

func (h *h2conn) data(f *http2.DataFrame, serving *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if size := uint32(f.Length); size > 0 {
		_ = h.framer.WriteWindowUpdate(0, size) // what fails shows at the next read
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
		default: // a client that does not read its echo
			_ = h.framer.WriteRSTStream(s.id, http2.ErrCodeEnhanceYourCalm) // what fails shows at the next read
			s.cancel()
		}
	}
	if f.StreamEnded() {
		h.finishBody(s, serving)
	}
}

// serve works on a stream whose body is in, or on an echo stream.
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
		h.floor = max(h.floor, s.id)
		h.mu.Unlock()
	}
	switch v.kind {
	case answer:
		h.answer(s, v.body)
		h.expire(s)
	case abandoned:
		h.expire(s)
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

// expire answers a stream whose time is up while it was worked on, as servers do.
func (h *h2conn) expire(s *h2stream) {
	if errors.Is(s.ctx.Err(), context.DeadlineExceeded) {
		h.trailers(s, 4, "time is up", nil) // DEADLINE_EXCEEDED
	}
}

// String names the node for logs.
func (n *Node) String() string { return fmt.Sprintf("node %s (%s)", n.options.Name, n.options.Zone) }
