package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Shape is one kind of hostile traffic.
type Shape struct {
	Name    string
	Clients int // connections at once
	// session plays one connection of client until it ends, or until the traffic is over: it then returns false.
	session func(c *client) (again bool)
	visits  *visits // nil if clients stay
	usual   usualLoad
}

// usualLoad is how the usual clients send beside a shape.
type usualLoad struct {
	pause   time.Duration // between two requests of a client
	timeout time.Duration // for which a client waits for an answer
}

// lightLoad is the usual load beside a single kind of hostile traffic.
var lightLoad = usualLoad{pause: 200 * time.Millisecond, timeout: 2 * time.Second}

// Sizes and rates of the traffic.
const (
	manyClients = 400
	// slowPiece and slowPause give 64 KiB a second.
	slowPiece = 16 << 10
	slowPause = 250 * time.Millisecond
	longBody  = 1 << 20
	halfBody  = 60 << 10
	// fieldCount short fields make a head of about 8 KB.
	fieldCount = 1200
	headPause  = time.Second
	floodBatch = 64 // requests in one write of a flood
	// smallReceiveBuffer keeps the system from buffering answers that the client does not read.
	smallReceiveBuffer = 4 << 10
	retryPause         = 250 * time.Millisecond
)

// Shapes returns the shapes of one kind of traffic each. The upstreams have to answer as those of NewNode do.
func Shapes() []Shape {
	kinds := []struct {
		name    string
		clients int
		session func(c *client) bool
	}{
		{"none", 0, nil},
		{"idle connections", manyClients, stayIdle},
		{"slow bodies", manyClients, slowBody},
		{"half bodies", manyClients, func(c *client) bool { return c.stopInBody(halfBody) }},
		{"long heads", manyClients, longHeads},
		{"half heads", manyClients, func(c *client) bool { return c.stopInHead(fieldCount) }},
		{"slow readers", manyClients, func(c *client) bool { return c.readSlowly(LargeTarget) }},
		{"silent readers", manyClients, func(c *client) bool { return c.readSlowly(MediumTarget) }},
		{"flood of own pages", 1, func(c *client) bool { return c.flood(ownPage) }},
		{"flood of requests", 1, func(c *client) bool { return c.flood(search) }},
		{"flood of new names", 1, func(c *client) bool { return c.flood(searchNewNames) }},
		{"flood of unsound requests", 1, func(c *client) bool { return c.flood(unsound) }},
		{"flood of one-byte chunks", 1, func(c *client) bool { return c.flood(oneByteChunks) }},
	}
	shapes := make([]Shape, 0, len(kinds))
	for _, kind := range kinds {
		shapes = append(shapes, Shape{Name: kind.name, Clients: kind.clients, session: kind.session, usual: lightLoad})
	}
	return shapes
}

// Targets of requests for long answers.
const (
	LargeTarget  = "/search/large"
	LongTarget   = "/search/long"
	MediumTarget = "/search/medium"
)

// client is one connection of a hostile client.
type client struct {
	ctx     context.Context
	conn    net.Conn
	index   int
	counter int
	random  *rand.Rand // of visits; nil before the first one
}

// pause waits, and returns false once the traffic is over.
func (c *client) pause(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// id returns a new request ID.
func (c *client) id() string {
	c.counter++
	return fmt.Sprintf("%04x%012x", c.index, c.counter)
}

// run plays sessions until the traffic is over.
func (s Shape) run(ctx context.Context, address string, index int) {
	c := &client{ctx: ctx, index: index}
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			c.pause(retryPause)
			continue
		}
		c.conn = conn
		if s.visits != nil {
			s.visits.play(c)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		again := s.session(c)
		stop()
		conn.Close()
		if !again || !c.pause(retryPause) {
			return
		}
	}
}

// untilClosed discards what the server sends until it closes the connection.
func (c *client) untilClosed() { _, _ = io.Copy(io.Discard, c.conn) }

// slowBody sends a long body in chunks at 64 KiB a second.
func slowBody(c *client) bool {
	id := c.id()
	fmt.Fprintf(c.conn, "POST /confirm/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	go c.untilClosed()
	piece := strings.Repeat("x", slowPiece)
	for sent := 0; sent < longBody; sent += slowPiece {
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", slowPiece, piece); err != nil {
			return true
		}
		if !c.pause(slowPause) {
			return false
		}
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n")
	return c.pause(slowPause)
}

// stayIdle sends one small request and stays.
func stayIdle(c *client) bool {
	_, _ = io.WriteString(c.conn, search(c))
	c.untilClosed()
	return true
}

// stopInBody sends half of a body of so many bytes and stays.
func (c *client) stopInBody(bytes int) bool {
	id := c.id()
	fmt.Fprintf(c.conn, "POST /confirm/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 5000m\r\nContent-Length: %d\r\n\r\n%s", id, id,
		bytes, strings.Repeat("x", bytes/2))
	c.untilClosed()
	return true
}

// fields returns the lines of many short fields, whose names differ.
func (c *client) fields(n int) string {
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, "%s:1\r\n", fieldName(i+c.counter))
	}
	return lines.String()
}

// fieldName returns a name of three letters.
func fieldName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[i%26], letters[i/26%26], letters[i/26/26%26]})
}

// longHeads sends complete requests with very many fields.
func longHeads(c *client) bool {
	go c.untilClosed()
	for {
		id := c.id()
		_, err := fmt.Fprintf(c.conn, "GET /search/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 2000m\r\n%s\r\n", id, id, c.fields(fieldCount))
		if err != nil {
			return true
		}
		if !c.pause(headPause) {
			return false
		}
	}
}

// stopInHead sends so many fields and never ends the head.
func (c *client) stopInHead(fields int) bool {
	id := c.id()
	fmt.Fprintf(c.conn, "GET /search/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\n%s", id, id, c.fields(fields))
	c.untilClosed()
	return true
}

// readSlowly asks for an answer and reads it at 64 KiB a second.
func (c *client) readSlowly(target string) bool {
	if conn, ok := c.conn.(*net.TCPConn); ok {
		_ = conn.SetReadBuffer(smallReceiveBuffer)
	}
	id := c.id()
	fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 2000m\r\n\r\n", target, id)
	buffer := make([]byte, slowPiece)
	for {
		if _, err := io.ReadFull(c.conn, buffer); err != nil {
			return true
		}
		if !c.pause(slowPause) {
			return false
		}
	}
}

// flood sends requests without a pause, and reads the answers as they come.
func (c *client) flood(request func(c *client) string) bool {
	go c.untilClosed()
	var batch strings.Builder
	for c.ctx.Err() == nil {
		batch.Reset()
		for range floodBatch {
			batch.WriteString(request(c))
		}
		if _, err := io.WriteString(c.conn, batch.String()); err != nil {
			return true
		}
	}
	return false
}

func ownPage(*client) string { return "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n" }

func search(c *client) string {
	return "GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: " + c.id() + "\r\n\r\n"
}

// searchNewNames names a new tenant and object with each request.
func searchNewNames(c *client) string {
	id := c.id()
	return "GET /search/" + id + " HTTP/1.1\r\nHost: " + id + "\r\nX-Request-ID: " + id + "\r\nX-Tenant-Id: " + id + "\r\nX-" + id + ": 1\r\n\r\n"
}

// unsound is a request that is rejected, but whose connection may stay open.
func unsound(c *client) string {
	id := c.id()
	return "GET /no-such-class-" + id + "/1 HTTP/1.1\r\nHost: s\r\nX-Priority-Class: " + id + "\r\nX-Request-ID: " + id + "\r\n\r\n"
}

func oneByteChunks(c *client) string {
	id := c.id()
	return "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100) + "0\r\n\r\n"
}
