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

// Got is a request as a Raw read it.
type Got struct {
	Method, Target string
	Header         http.Header
	Body           string
	Conn           int // which connection brought it, from 1
}

// Raw is an HTTP/1.1 upstream that answers each request with whatever bytes a function writes: the fake of
// peers that break the protocol. A Node is the one for peers that keep it.
type Raw struct {
	Address string
	Opened  atomic.Int32 // connections
	Closed  atomic.Int32

	answer   func(w net.Conn, g Got) bool
	listener net.Listener
	serving  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	got   []Got
}

// NewRaw starts one on loopback. Where answer returns false the connection ends with a reset.
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
			_ = c.(*net.TCPConn).SetLinger(0) // only how the end looks depends on it
			return
		}
	}
}

// Requests is what came so far.
func (u *Raw) Requests() []Got {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Got(nil), u.got...)
}

// Close ends its connections and waits for what serves them.
func (u *Raw) Close() {
	u.listener.Close()
	u.mu.Lock()
	for c := range u.conns {
		c.Close()
	}
	u.mu.Unlock()
	u.serving.Wait()
}

// Says answers every request with the same text.
func Says(text string) func(net.Conn, Got) bool {
	return func(c net.Conn, _ Got) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// OK200 is the text of a complete answer.
func OK200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Silent holds every request until the client ends the connection.
func Silent(c net.Conn, _ Got) bool {
	_, _ = c.Read(make([]byte, 1))
	return true
}
