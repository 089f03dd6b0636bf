package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/endpoints"
)

// group is the memory that the nodes of one zone share: they drop a repeat of a key for the window, and give the first answer again.
type group struct {
	window time.Duration
	mu     sync.Mutex
	keys   map[string]memory
}

type memory struct {
	at   time.Time // when the node began the request
	body string
	done chan struct{} // closed once the first request has its answer
}

func newGroup(window time.Duration) *group { return &group{window: window, keys: map[string]memory{}} }

// begin returns the memory of a key, and whether the caller is the first and has to run the request.
func (g *group) begin(key, body string) (memory, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m, ok := g.keys[key]; ok && time.Since(m.at) < g.window {
		return m, false
	}
	m := memory{time.Now(), body, make(chan struct{})}
	g.keys[key] = m
	return m, true
}

// execution is a request that a node has run.
type execution struct {
	at              time.Time
	node, id, key   string
	target, payload string
}

// behaviour says what a node does with the requests that it begins from now on.
type behaviour struct {
	full     bool          // turn requests away unprocessed
	hang     bool          // begin the request and never answer
	reset    int           // of so many requests one is run, and its connection reset in place of the answer; 0: of none
	work     time.Duration // time until the answer
	noLength bool          // the answer has no length, and ends with the connection
	size     int           // bytes of the answer's body, if above its text's length
	pace     int           // bytes a second at which the body is written; 0: at once
	second   int           // of so many answers one comes a second time, if nothing else waits on the connection; 0: of none
}

// node is a stand-in for an upstream. It speaks the protocol's HTTP/1.1 and begins a request once its last byte has come.
type node struct {
	trial      *trial
	name, zone string
	address    string
	startedMs  float64
	group      *group
	listener   net.Listener

	mu       sync.Mutex
	does     behaviour
	conns    map[net.Conn]bool
	ran      []execution
	seconds  int // answers that came a second time
	isClosed bool
}

// newNode starts a node of a zone. Nodes of one zone share the group's memory.
func (t *trial) newNode(name, zone string, g *group) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{trial: t, name: name, zone: zone, address: l.Addr().String(), group: g, listener: l, conns: map[net.Conn]bool{}}
	t.mu.Lock()
	t.nodes = append(t.nodes, n)
	t.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go n.serve(c)
		}
	}()
	return n, nil
}

// entry returns the node's entry in discovery's list.
func (n *node) entry() endpoints.Endpoint {
	return endpoints.Endpoint{Name: n.name, Address: n.address, Zone: n.zone, MachineType: "m", Status: endpoints.StatusReady, StartedMs: n.startedMs}
}

// set changes what the node does with later requests.
func (n *node) set(b behaviour) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.does = b
}

// close ends the node as a process ends: its connections are reset, and new ones are refused.
func (n *node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isClosed {
		return
	}
	n.isClosed = true
	n.listener.Close()
	for c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// runs returns the executions of a key, or all if key is empty.
func (n *node) runs(key string) (of []execution) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.ran {
		if key == "" || e.key == key {
			of = append(of, e)
		}
	}
	return of
}

// watched counts the bytes that have come, and keeps a second answer apart from another one.
type watched struct {
	net.Conn
	bytes   atomic.Int64
	writing sync.Mutex
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.bytes.Add(int64(n))
	return n, err
}

func (w *watched) Write(p []byte) (int, error) {
	w.writing.Lock()
	defer w.writing.Unlock()
	return w.Conn.Write(p)
}

// answerAgain gives an answer a second time, some milliseconds late, unless something has come on the connection since the first time.
func (n *node) answerAgain(w *watched, id, answer string) {
	come := w.bytes.Load()
	late := time.Duration(secondFirst*1000+rand.IntN((secondLast-secondFirst)*1000)) * time.Microsecond
	time.Sleep(late)
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.bytes.Load() != come {
		return
	}
	if _, err := io.WriteString(w.Conn, answer); err == nil {
		n.trial.note("node %s: answers %s a second time, %v after the first", n.name, id, late)
		n.mu.Lock()
		n.seconds++
		n.mu.Unlock()
	}
}

func (n *node) serve(socket net.Conn) {
	c := &watched{Conn: socket}
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, socket)
		n.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		payload, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e := execution{at: time.Now(), node: n.name, id: request.Header.Get("X-Request-ID"), key: request.Header.Get("Idempotency-Key"),
			target: request.RequestURI, payload: string(payload)}
		if !n.answer(c, request, e) {
			return
		}
	}
}

// answer handles one request and reports whether the connection stays open.
func (n *node) answer(c *watched, request *http.Request, e execution) bool {
	if request.URL.Path == "/-/healthy" || request.URL.Path == "/-/load" {
		return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	if e.id == "" {
		return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	n.mu.Lock()
	does := n.does
	n.mu.Unlock()
	if does.full {
		n.trial.note("node %s: turns %s away (queue full), key %q", n.name, e.id, e.key)
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	body := fmt.Sprintf("%s by %s", e.id, n.name)
	var first memory
	if e.key != "" && n.group != nil {
		isFirst := false
		if first, isFirst = n.group.begin(e.key, body); !isFirst {
			n.trial.note("node %s: drops %s, a repeat of key %s", n.name, e.id, e.key)
			<-first.done
			return n.write(c, does, first.body)
		}
		defer close(first.done)
	}
	n.mu.Lock()
	n.ran = append(n.ran, e)
	ran := len(n.ran)
	n.mu.Unlock()
	n.trial.note("node %s: runs %s %s, key %q", n.name, request.Method, e.id, e.key)
	if does.hang {
		_, _ = c.Read(make([]byte, 1)) // until the sidecar closes the connection
		return false
	}
	time.Sleep(does.work)
	if does.reset > 0 && ran%does.reset == 0 {
		n.trial.note("node %s: the connection is reset under %s, which has run", n.name, e.id)
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	if !n.write(c, does, body) {
		return false
	}
	if does.second > 0 && ran%does.second == 0 {
		go n.answerAgain(c, e.id, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	return true
}

// write writes a 200 answer.
func (n *node) write(c net.Conn, does behaviour, text string) bool {
	body := []byte(text)
	if does.size > len(body) {
		body = answerOf(text, does.size)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	if does.noLength {
		head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	}
	if !write(c, head) {
		return false
	}
	const steps = 20 // writes a second
	for len(body) > 0 {
		piece := len(body)
		if does.pace > 0 {
			piece = min(piece, does.pace/steps)
		}
		if _, err := c.Write(body[:piece]); err != nil {
			n.trial.note("node %s: the sidecar closed the connection with %d bytes of the answer left", n.name, len(body))
			return false
		}
		if body = body[piece:]; len(body) > 0 {
			time.Sleep(time.Second / steps)
		}
	}
	return !does.noLength // with no length the end of the connection is the end of the answer
}

// answerOf returns a body of a size that begins with a text.
func answerOf(text string, size int) []byte {
	body := make([]byte, size)
	for i := copy(body, text); i < size; i++ {
		body[i] = byte('a' + i%23)
	}
	return body
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
