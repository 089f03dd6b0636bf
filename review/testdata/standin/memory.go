package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB      = 48                     // the limit that the configuration tells
	memorySockets = 1024                   // the limit on descriptors
	bulkClients   = 340                    // requests at once: clients hold a third of the descriptors at most
	bulkRamp      = 4 * time.Second        // in which the clients come
	bulkPieces    = 64                     // pieces of a body
	bulkPiece     = 16 << 10               // bytes of a piece
	bulkPause     = 250 * time.Millisecond // between two pieces: 64 kB a second
	memoryChecked = 50 * time.Millisecond  // how often the platform looks at the sidecar's memory
)

// serveBulk starts a node that reads whole requests and answers them.
func (p *play) serveBulk(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != bulkPieces*bulkPiece {
			p.note("node %s has a part of %s: %d bytes", name, id, n)
			return
		}
		p.note("node %s runs %s", name, id)
		_, _ = io.WriteString(w, "answer to "+id)
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// privateMB returns the memory that a process alone has written and holds, in MiB: without its program's file and without pages that the
// system can drop. It is 0 once the process has ended.
func privateMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kB float64
		if n, _ := fmt.Sscanf(line, "RssAnon: %f kB", &kB); n == 1 {
			return kB / 1024
		}
	}
	return 0
}

// memoryOver checks that a sidecar stays under its memory limit while clients send long bodies, slowly and many at a time. The platform
// kills a sidecar that is over the limit.
func memoryOver(p *play) (breaks []string, err error) {
	var list []endpoint
	zones := []string{"upper-hill", "industrial-area", "athi-river", "thika-road"}
	for i := range 12 {
		name := fmt.Sprintf("node-%02d", i+1)
		at, err := p.serveBulk(name)
		if err != nil {
			return nil, err
		}
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
	limits := map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": memorySockets}
	environment, err := p.platformFile("n1", address, "", d, "thika-road", 4, classes, limits)
	if err != nil {
		return nil, err
	}
	s, err := p.startSidecar("sidecar", address, environment...)
	if err != nil {
		return nil, err
	}
	defer s.kill()
	if privateMB(s.command.Process.Pid) == 0 {
		return nil, fmt.Errorf("the sidecar's memory can't be read")
	}
	var served, ended atomic.Int64
	var sending sync.WaitGroup
	for i := range bulkClients {
		sending.Go(func() {
			if p.pause(time.Duration(i)*bulkRamp/bulkClients) != nil {
				return
			}
			if p.sendBulk(address, fmt.Sprintf("%016x", 0x63000000+i)) == http.StatusOK {
				served.Add(1)
			} else {
				ended.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sending.Wait()
	}()
	highest, noted := 0.0, time.Now()
	for watching := true; watching; {
		select {
		case <-done:
			watching = false
		case <-time.After(memoryChecked):
		}
		now := privateMB(s.command.Process.Pid)
		highest = max(highest, now)
		if time.Since(noted) > time.Second {
			noted = time.Now()
			p.note("the sidecar's private memory is %.1f MiB, %d requests are served", now, served.Load())
		}
		if now > memoryMB && len(breaks) == 0 {
			p.note("the platform kills the sidecar: its private memory is %.1f MiB, the limit is %d MB", now, memoryMB)
			breaks = append(breaks, fmt.Sprintf("the sidecar's private memory was %.1f MiB, its limit is %d MB, and it was killed", now, memoryMB))
			s.kill()
		}
	}
	p.note("highest private memory %.1f MiB of %d MB; %d requests served, %d without", highest, memoryMB, served.Load(), ended.Load())
	if len(breaks) == 0 && served.Load() < bulkClients/2 {
		return nil, fmt.Errorf("only %d requests were served", served.Load())
	}
	return breaks, nil
}

// sendBulk sends one request with a long body in pieces, and returns the answer's status, or 0 if there was none.
func (p *play) sendBulk(address, id string) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		p.note("client can't connect for %s: %v", id, err)
		return 0
	}
	defer conn.Close()
	name := theSite().Confirm.Name
	_, err = fmt.Fprintf(conn, "POST /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Timeout: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n", name, id, id, name)
	piece := strings.Repeat("x", bulkPiece)
	for range bulkPieces {
		if err != nil {
			break
		}
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		if p.trouble && p.pause(bulkPause) != nil {
			return 0
		}
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	if err != nil {
		p.note("client could not send all of %s: the connection ended", id)
		return 0
	}
	p.note("client has sent %s to its last byte", id)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.note("client has no answer to %s", id)
		return 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	p.note("client got %d for %s: %q", response.StatusCode, id, strings.TrimSpace(string(text)))
	return response.StatusCode
}
