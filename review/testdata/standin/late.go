package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	secondAnswerShare  = 0.04                    // of the answers, those that come twice
	secondAnswerAfter  = 2 * time.Millisecond    // the earliest second answer
	secondAnswerWithin = 7 * time.Millisecond    // the time from then to the latest one
	sameZoneDelay      = 200 * time.Microsecond  // one way
	crossZoneDelay     = 2000 * time.Microsecond // one way
	lateRate           = 250                     // requests a second
	lateFor            = 25 * time.Second
	lateSeed           = 62
)

// bookingNodes answer each request with its id.
type bookingNodes struct {
	play    *play
	twice   bool // some answers come a second time
	mu      sync.Mutex
	random  *rand.Rand
	seconds atomic.Int64 // second answers sent
}

// draw returns how long a request's work takes, and when its answer comes a second time, or 0.
func (n *bookingNodes) draw() (work, second time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	work = 3*time.Millisecond + time.Duration(n.random.Int64N(int64(5*time.Millisecond)))
	if n.random.Float64() < secondAnswerShare && n.twice {
		second = secondAnswerAfter + time.Duration(n.random.Int64N(int64(secondAnswerWithin)))
	}
	return work, second
}

// countingReader counts the bytes that have come.
type countingReader struct {
	net.Conn
	bytes atomic.Int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (n *bookingNodes) serve(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serveConnection(name, conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (n *bookingNodes) serveConnection(name string, socket net.Conn) {
	defer socket.Close()
	conn := &countingReader{Conn: socket}
	requests := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-ID")
		n.play.note("node %s runs %s %s", name, request.Method, id)
		work, second := n.draw()
		time.Sleep(work)
		body := "answer to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writing.Lock()
		_, err = io.WriteString(socket, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if second == 0 {
			continue
		}
		come := conn.bytes.Load()
		go func() {
			time.Sleep(second)
			writing.Lock()
			defer writing.Unlock()
			if conn.bytes.Load() != come { // another request waits on the connection
				return
			}
			if _, err := io.WriteString(socket, answer); err == nil {
				n.seconds.Add(1)
				n.play.note("node %s answers %s a second time, %v after the first", name, id, second.Round(100*time.Microsecond))
			}
		}()
	}
}

// lateAnswers checks that each client gets the answer that was made for its request, while nodes send some answers a second time, some
// milliseconds late and when nothing else waits on the connection.
func lateAnswers(p *play) (breaks []string, err error) {
	nodes := &bookingNodes{play: p, twice: p.trouble, random: rand.New(rand.NewPCG(lateSeed, 1))}
	var list []endpoint
	for _, zone := range []string{"upper-hill", "industrial-area", "athi-river", "thika-road"} {
		for i := range 3 {
			name := fmt.Sprintf("%s-%d", zone, i+1)
			at, err := nodes.serve(name)
			if err != nil {
				return nil, err
			}
			delay := crossZoneDelay
			if zone == "upper-hill" {
				delay = sameZoneDelay
			}
			if at, err = startLink(at, delay); err != nil {
				return nil, err
			}
			list = append(list, entry(name, at, zone))
		}
	}
	d, err := p.startDiscovery(list)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	classes := []class{theSite().Search, theSite().Confirm}
	environment, err := p.platformFile("n1", address, "", d, "upper-hill", 4, classes, smallLimits)
	if err != nil {
		return nil, err
	}
	s, err := p.startSidecar("sidecar", address, environment...)
	if err != nil {
		return nil, err
	}
	defer s.kill()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	random := rand.New(rand.NewPCG(lateSeed, 2))
	var sending sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for ends := time.Now().Add(lateFor); time.Now().Before(ends); {
		if err := p.pause(time.Duration(random.ExpFloat64() * float64(time.Second) / lateRate)); err != nil {
			return nil, err
		}
		id, method, name := fmt.Sprintf("%016x", random.Uint64()), http.MethodGet, classes[0].Name
		if random.Float64() < 0.4 {
			method, name = http.MethodPost, classes[1].Name
		}
		sending.Go(func() {
			status, body := p.ask(client, address, method, name, id)
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK {
				return
			}
			served++
			if body != "answer to "+id {
				breaks = append(breaks, fmt.Sprintf("%s %s was served with %q", name, id, body))
			}
		})
	}
	sending.Wait()
	p.note("%d requests served, %d answers sent a second time, %d requests served with another one's answer", served, nodes.seconds.Load(), len(breaks))
	if served < lateRate*int(lateFor/time.Second)/2 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return breaks, nil
}

// ask sends one request, and returns its answer's status and body, or 0 if there was none.
func (p *play) ask(client *http.Client, address, method, class, id string) (int, string) {
	ctx, cancel := context.WithTimeout(p, 1500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("seat 12A")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+class+"/"+id, body)
	if err != nil {
		return 0, ""
	}
	request.Header.Set("X-Request-ID", id)
	request.Header.Set("X-Priority-Class", class)
	request.Header.Set("X-Timeout", "1500m")
	response, err := client.Do(request)
	if err != nil {
		p.note("client has no answer to %s: %v", id, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		p.note("client has no whole answer to %s: %v", id, err)
		return 0, ""
	}
	p.note("client got %d for %s %s: %q", response.StatusCode, class, id, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text)
}
