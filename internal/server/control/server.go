package control

import (
	"context"
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
	// MaxWaiting is how many connections may wait for the rest of their calls. The kernel's accept queue holds more.
	MaxWaiting = 12
	// callTimeout is how long the rest of a call may take to arrive.
	callTimeout = 5 * time.Second
	// lingerTimeout is how long a caller that has sent more than was read may take to read its answer.
	lingerTimeout = 500 * time.Millisecond
	writeTimeout  = time.Second
	// closeTimeout is how long calls may take to become complete while the server closes.
	closeTimeout = 100 * time.Millisecond
)

// Handler answers calls. It must not block.
type Handler func(Call) Answer

// Server answers calls on a listener. A call that has arrived completely when its connection is accepted is answered by the accepting
// goroutine, whatever other connections wait for. Otherwise the connection waits for the rest of its call. If MaxWaiting connections wait
// already, the one that has waited longest is closed.
type Server struct {
	listener *acceptor.Listener
	handler  Handler
	log      *slog.Logger

	mu      sync.Mutex
	waiting []*net.TCPConn // oldest first
	closed  bool
	running sync.WaitGroup

	accepting sync.WaitGroup // of Run
}

// Listen opens the address. Run serves it.
func Listen(address string, answer Handler, log *slog.Logger) (*Server, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Multipath TCP supports no filter, see acceptor.Listener.RejectConnects
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Server{listener: acceptor.New(l, log), handler: answer, log: log}, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves until Close. It blocks.
func (s *Server) Run() {
	s.accepting.Add(1)
	defer s.accepting.Done()
	buffer := make([]byte, MaxHead+2*MaxBody+1)
	for {
		c, err := s.listener.Accept()
		if err != nil { // the listener is closed
			return
		}
		s.handle(c.(*net.TCPConn), buffer)
	}
}

// Close answers the calls in the accept queue, closes the server and all its connections, and waits for their goroutines. Calls that are not
// complete after closeTimeout are not answered.
func (s *Server) Close() {
	if s.listener.Drain() != nil {
		s.listener.Close()
	}
	s.accepting.Wait()
	timer := time.AfterFunc(closeTimeout, s.closeWaiting)
	defer timer.Stop()
	s.running.Wait()
	s.closeWaiting()
}

// closeWaiting closes the connections that wait for the rest of their calls, and makes handle close connections that would wait from now
// on.
func (s *Server) closeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.waiting {
		c.Close()
	}
}

// handle answers a call that has arrived completely, or waits for the rest on a goroutine of its own.
func (s *Server) handle(c *net.TCPConn, buffer []byte) {
	n, ended := readNow(c, buffer)
	call, progress, bad := ParseCall(buffer[:n])
	if progress == Complete && n < len(buffer) {
		s.respond(c, call.Method, s.handler(call))
		c.Close() // nothing is left unread
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
		s.waiting[0].Close() // its goroutine ends
		s.waiting = s.waiting[1:]
	}
	s.waiting = append(s.waiting, c)
	received := append(make([]byte, 0, n+512), buffer[:n]...)
	s.running.Go(func() {
		defer s.forget(c)
		if progress == Invalid {
			s.respond(c, "", bad)
			s.linger(c)
			return
		}
		s.readRest(c, received)
	})
}

// readNow reads what has arrived, without waiting.
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

// readRest waits for the rest of a call and answers it.
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
		case errors.Is(err, net.ErrClosed): // a newer connection took its place, or the server closes
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
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write returns the error
	_, _ = c.Write(a.appendTo(nil, method))              // the caller may have disconnected
}

// linger gives the caller time to read its answer: closing a connection with unread bytes would reset it.
func (s *Server) linger(c *net.TCPConn) {
	_ = c.CloseWrite() // the caller may have disconnected
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

// forget closes a connection and removes it from the waiting connections.
func (s *Server) forget(c *net.TCPConn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == c {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return
		}
	}
}
