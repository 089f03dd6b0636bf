package control

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"orchiddrift/internal/server/acceptor"
)

const (
	// MaxWaiting is how many connections are held at once; the listener's queue in the kernel holds more.
	MaxWaiting    = 12
	callTimeout   = 5 * time.Second        // for the rest of a call
	lingerTimeout = 500 * time.Millisecond // for a caller to read what it is told, where it has sent more than was read
	writeTimeout  = time.Second
)

// Handler answers calls. It must not wait for anything.
type Handler func(Call) Answer

// Server answers calls on a listener. A call that has come whole by the time its connection is accepted is answered by the
// accepting goroutine, whatever others wait for; one that has not waits in a table of Most for the rest, and where that is full
// the one that has waited longest is closed.
type Server struct {
	listener net.Listener
	handler  Handler
	log      *slog.Logger

	mu      sync.Mutex
	waiting []*net.TCPConn // oldest first
	closed  bool
	running sync.WaitGroup
}

// Listen opens the address.
func Listen(address string, answer Handler, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{listener: acceptor.New(l, log), handler: answer, log: log}, nil
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves until Close.
func (s *Server) Run() {
	buffer := make([]byte, MaxHead+2*MaxBody+1)
	for {
		c, err := s.listener.Accept()
		if err != nil { // it is closed
			return
		}
		s.handle(c.(*net.TCPConn), buffer)
	}
}

// Close ends it, with all connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, c := range s.waiting {
		c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// handle answers a call that is there, or has it wait for the rest.
func (s *Server) handle(c *net.TCPConn, buffer []byte) {
	n, ended := readNow(c, buffer)
	call, progress, bad := ParseCall(buffer[:n])
	if progress == Complete && n < len(buffer) {
		s.respond(c, call.Method, s.handler(call))
		c.Close() // all that came was read
		return
	}
	if progress == Incomplete && ended {
		progress, bad = Invalid, malformed("the call ends before it is whole")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	if len(s.waiting) >= MaxWaiting {
		s.waiting[0].Close() // its goroutine ends with it
		s.waiting = s.waiting[1:]
	}
	s.waiting = append(s.waiting, c)
	begun := append(make([]byte, 0, n+512), buffer[:n]...)
	s.running.Go(func() {
		defer s.forget(c)
		if progress == Invalid {
			s.respond(c, "", bad)
			s.linger(c)
			return
		}
		s.readRest(c, begun)
	})
}

// readNow reads what has come, without waiting.
func readNow(c *net.TCPConn, buffer []byte) (n int, ended bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, true
	}
	for n < len(buffer) {
		got := 0
		if failed := raw.Read(func(fd uintptr) bool {
			got, err = syscall.Read(int(fd), buffer[n:])
			return true
		}); failed != nil {
			return n, true
		}
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return n, false
		case err != nil || got == 0:
			return n, true
		}
		n += got
	}
	return n, false
}

// readRest waits for the rest of a call.
func (s *Server) readRest(c *net.TCPConn, b []byte) {
	if c.SetReadDeadline(time.Now().Add(callTimeout)) != nil {
		return
	}
	for {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := c.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		call, progress, bad := ParseCall(b)
		switch {
		case progress == Complete:
			s.respond(c, call.Method, s.handler(call))
			return
		case progress == Invalid:
			s.respond(c, "", bad)
			s.linger(c)
			return
		case errors.Is(err, net.ErrClosed): // gave way
			return
		case err != nil:
			status := http.StatusBadRequest
			if nerr, ok := errors.AsType[net.Error](err); ok && nerr.Timeout() {
				status = http.StatusRequestTimeout
			}
			s.respond(c, "", Answer{Status: status, Body: "the call ends before it is whole"})
			return
		}
	}
}

func (s *Server) respond(c *net.TCPConn, method string, a Answer) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write shows it
	_, _ = c.Write(a.appendTo(nil, method))              // a caller that has left is told nothing
}

// linger has the caller read its answer: closing what still holds unread bytes would reset it.
func (s *Server) linger(c *net.TCPConn) {
	_ = c.CloseWrite() // it may have gone
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buffer := make([]byte, 2048)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

func (s *Server) forget(c *net.TCPConn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == c {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return
		}
	}
}
