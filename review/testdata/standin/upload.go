package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	uploadNodes      = 20                      // one of them hangs
	uploadBytes      = 8 << 20                 // of each body
	uploadNodeBuffer = 256 << 10               // of a node's connection
	uploadEvery      = 100 * time.Millisecond  // between two requests
	uploadFor        = 20 * time.Second        // requests are sent for so long
	uploadHangsAt    = 3 * time.Second         // when the node hangs, to the end
	uploadTime       = 3000 * time.Millisecond // X-Timeout: how long the client waits for the answer
	uploadSlack      = 550 * time.Millisecond  // after its time an answer only earns nothing; on sockets 50 ms longer
	uploadWatched    = 15 * time.Second        // how long an answer is waited for, to see when it comes
)

// hangingListener is the listener of a node that can hang: its machine still accepts connections and bytes, and the node reads nothing.
type hangingListener struct {
	net.Listener
	mu    sync.Mutex
	hangs chan struct{} // closed when the node hangs
}

// Accept implements net.Listener.
func (l *hangingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(uploadNodeBuffer)
	return &hangingConn{conn, l.hangs}, nil
}

// hangingConn is a connection to a node that can hang.
type hangingConn struct {
	net.Conn
	hangs chan struct{}
}

// Read implements net.Conn.
func (c *hangingConn) Read(p []byte) (int, error) {
	select {
	case <-c.hangs:
		select {}
	default:
	}
	return c.Conn.Read(p)
}

// serveUploads starts a node that reads a whole request, works on it and answers. It returns a function that makes the node hang.
func (p *play) serveUploads(name string) (address string, hang func(), err error) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	listener := &hangingListener{Listener: plain, hangs: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != uploadBytes {
			p.note("node %s has a part of %s: %d bytes", name, id, n)
			return
		}
		p.note("node %s runs %s", name, id)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "answer to "+id)
	})}
	go func() { _ = server.Serve(listener) }()
	return plain.Addr().String(), func() {
		p.note("node %s hangs from now on", name)
		close(listener.hangs)
	}, nil
}

// lostUploads checks that each request with a long body gets a final answer in its time, while one of twenty nodes hangs.
func lostUploads(p *play) (breaks []string, err error) {
	var list []endpoint
	var hangs func()
	zones := []string{"upper-hill", "industrial-area", "athi-river", "thika-road"}
	for i := range uploadNodes {
		name := fmt.Sprintf("node-%02d", i+1)
		at, hang, err := p.serveUploads(name)
		if err != nil {
			return nil, err
		}
		hangs = hang
		list = append(list, entry(name, at, zones[i%len(zones)]))
	}
	d, err := p.startDiscovery(list)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	classes := []class{theSite().Confirm}
	limits := map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1024}
	environment, err := p.platformFile("n1", address, "", d, "thika-road", 4, classes, limits)
	if err != nil {
		return nil, err
	}
	s, err := p.startSidecar("sidecar", address, environment...)
	if err != nil {
		return nil, err
	}
	defer s.kill()
	body := bytes.Repeat([]byte("seat 12A"), uploadBytes/8)
	var sending sync.WaitGroup
	var mu sync.Mutex
	served := 0
	started := time.Now()
	for i := 0; time.Since(started) < uploadFor; i++ {
		if hangs != nil && p.trouble && time.Since(started) >= uploadHangsAt {
			hangs()
			hangs = nil
		}
		id := fmt.Sprintf("%016x", 0x62000000+i)
		sending.Go(func() {
			taken, took, status := p.upload(address, id, body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !taken:
			case status == 0:
				breaks = append(breaks, fmt.Sprintf("request %s has no answer %v after its last byte", id, took.Round(time.Millisecond)))
			case took > uploadTime+uploadSlack:
				breaks = append(breaks, fmt.Sprintf("request %s got %d %v after its last byte, its time is %v", id, status, took.Round(time.Millisecond), uploadTime))
			case status == http.StatusOK:
				served++
			}
		})
		if err := p.pause(uploadEvery); err != nil {
			return nil, err
		}
	}
	sending.Wait()
	p.note("%d requests served, %d without an answer in time", served, len(breaks))
	if served < 50 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return breaks, nil
}

// upload sends one request with a long body on a connection of its own. taken says that its last byte was written, took is the time from
// then to the whole answer, and status is the answer's, or 0 if there was none.
func (p *play) upload(address, id string, body []byte) (taken bool, took time.Duration, status int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		p.note("client can't connect for %s: %v", id, err)
		return false, 0, 0
	}
	defer conn.Close()
	name := theSite().Confirm.Name
	head := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Timeout: %dm\r\nContent-Length: %d\r\n\r\n", name, id, id, name, uploadTime.Milliseconds(), len(body))
	_ = conn.SetWriteDeadline(time.Now().Add(uploadTime))
	n, err := conn.Write(append([]byte(head), body...))
	if err != nil {
		p.note("client could not send all of %s: %d bytes (%v)", id, n, err)
		return false, 0, 0
	}
	written := time.Now()
	p.note("client has sent %s to its last byte", id)
	_ = conn.SetReadDeadline(written.Add(uploadWatched))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.note("client has no answer to %s: %v", id, err)
		return true, time.Since(written), 0
	}
	text, err := io.ReadAll(response.Body)
	took = time.Since(written)
	if err != nil {
		p.note("client has no whole answer to %s: %v", id, err)
		return true, took, 0
	}
	p.note("client got %d for %s after %v: %q", response.StatusCode, id, took.Round(time.Millisecond), strings.TrimSpace(string(text)))
	return true, took, response.StatusCode
}
