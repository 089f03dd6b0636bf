package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	halfClients  = 600                    // clients that stop in the middle of a request and stay
	halvesAt     = 3 * time.Second        // when they come
	halvesFor    = 20 * time.Second       // how long requests are sent
	usualClients = 40                     // with one request in hand each
	usualPause   = 700 * time.Millisecond // between two requests of a client
	usualTime    = 800 * time.Millisecond // X-Timeout
	usualSlack   = 550 * time.Millisecond // after its time an answer only earns nothing; on sockets 50 ms longer
	halfPatience = 10 * time.Second       // how long a client with half a request stays
)

// unheardClients checks that each request of the usual clients gets a final answer in its time, while others send the half of a head and stay.
// A new connection that is closed unread is not counted, although no page allows it here.
func unheardClients(p *play) (breaks []string, err error) {
	var list []endpoint
	for i := range 12 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Request-ID"))
		})}
		go func() { _ = server.Serve(listener) }()
		list = append(list, entry(fmt.Sprintf("node-%02d", i+1), listener.Addr().String(), "thika-road"))
	}
	d, err := p.startDiscovery(list)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	search := theSite().Search
	environment, err := p.platformFile("n1", address, "", d, "thika-road", 4, []class{search}, smallLimits)
	if err != nil {
		return nil, err
	}
	s, err := p.startSidecar("sidecar", address, environment...)
	if err != nil {
		return nil, err
	}
	defer s.kill()
	ends := time.Now().Add(halvesFor)
	var clients sync.WaitGroup
	if p.trouble {
		for range halfClients {
			clients.Go(func() { p.stopInTheMiddle(address, ends) })
		}
	}
	var mu sync.Mutex
	served, closed := 0, 0
	for i := range usualClients {
		clients.Go(func() {
			var conn net.Conn
			for n := 0; time.Now().Before(ends); n++ {
				id := fmt.Sprintf("%016x", 0x66000000+i<<12+n)
				var status int
				var late bool
				conn, status, late = p.search(conn, address, id)
				mu.Lock()
				switch {
				case late:
					breaks = append(breaks, "request "+id+" has no answer, and its connection is open")
				case status == http.StatusOK:
					served++
				default:
					closed++
				}
				mu.Unlock()
				if p.pause(usualPause) != nil {
					return
				}
			}
		})
	}
	clients.Wait()
	p.note("%d requests served, %d on connections that were closed, %d never answered", served, closed, len(breaks))
	return breaks, nil
}

// stopInTheMiddle sends the half of a head, stays, and does so again once its connection has ended.
func (p *play) stopInTheMiddle(address string, ends time.Time) {
	if p.pause(halvesAt) != nil {
		return
	}
	for time.Now().Before(ends) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			_ = p.pause(10 * time.Millisecond)
			continue
		}
		_, _ = io.WriteString(conn, "GET /"+theSite().Search.Name+"/1 HTTP/1.1\r\nHost: service.internal\r\nX-Req")
		_ = conn.SetReadDeadline(time.Now().Add(halfPatience))
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// search sends one request on a client's connection, or on a new one if that is nil or ends unread. It returns the connection if it can be used
// again. late says that no answer came in time on a connection that is open.
func (p *play) search(conn net.Conn, address, id string) (_ net.Conn, status int, late bool) {
	name := theSite().Search.Name
	for {
		isNew := conn == nil
		if isNew {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				return nil, 0, false
			}
		}
		_, err := fmt.Fprintf(conn, "GET /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %dm\r\n\r\n",
			name, id, id, name, usualTime.Milliseconds())
		_ = conn.SetReadDeadline(time.Now().Add(usualTime + usualSlack))
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(bufio.NewReader(conn), nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		switch {
		case err == nil && !response.Close:
			p.note("client got %d for %s", response.StatusCode, id)
			return conn, response.StatusCode, false
		case err == nil:
			conn.Close()
			return nil, response.StatusCode, false
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.note("client has no answer to %s; new connection: %v", id, isNew)
			conn.Close()
			return nil, 0, true
		}
		conn.Close()
		conn = nil
		if isNew {
			p.note("client's new connection was closed with no answer to %s", id)
			return nil, 0, false
		}
	}
}
