package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Got is a request that a Raw received.
type Got struct {
	Method, Target string
	Header         http.Header
	Body           string
	Conn           int // number of the connection, counted from 1
}

// Raw is an HTTP/1.1 upstream that answers each request with the bytes that a function writes. It fakes upstreams
// that violate the protocol, whereas a Node follows the protocol.
type Raw struct {
	Address string
	Opened  atomic.Int32 // connections accepted
	Closed  atomic.Int32 // connections closed

	answer   func(w net.Conn, g Got) bool
	listener net.Listener
	serving  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	got   []Got
}

// NewRaw starts an upstream on loopback. If answer returns false, the upstream resets the connection.
func NewRaw(answer func(w net.Conn, g Got) bool) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Raw{Address: l.Addr().String(), answer: answer, listener: l, conns: map[net.Conn]bool{}}
	u.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(u.Opened.Add(1))
			u.mu.Lock()
			u.conns[c] = true
			u.mu.Unlock()
			u.serving.Go(func() {
				u.serve(c, n)
				c.Close()
				u.mu.Lock()
				delete(u.conns, c)
				u.mu.Unlock()
				u.Closed.Add(1)
			})
		}
	})
	return u, nil
}

func (u *Raw) serve(c net.Conn, n int) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		g := Got{req.Method, req.RequestURI, req.Header, string(body), n}
		u.mu.Lock()
		u.got = append(u.got, g)
		u.mu.Unlock()
		if !u.answer(c, g) {
			_ = c.(*net.TCPConn).SetLinger(0) // after an error the connection closes without a reset
			return
		}
	}
}

// Requests returns the requests received so far.
func (u *Raw) Requests() []Got {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Got(nil), u.got...)
}

// Close closes the listener and all connections, and waits until no connection is served any more.
func (u *Raw) Close() {
	u.listener.Close()
	u.mu.Lock()
	for c := range u.conns {
		c.Close()
	}
	u.mu.Unlock()
	u.serving.Wait()
}

// Says returns a function for NewRaw that answers every request with text.
func Says(text string) func(net.Conn, Got) bool {
	return func(c net.Conn, _ Got) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// OK200 returns the text of a complete response with status 200.
func OK200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Silent is a function for NewRaw that answers no request: it waits until the client closes the connection.
func Silent(c net.Conn, _ Got) bool {
	_, _ = c.Read(make([]byte, 1))
	return true
}
