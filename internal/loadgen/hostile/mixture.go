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

// The mixture of hostile clients.
const (
	mixtureClients = 900
	crowdClients   = 200
	minVisit       = time.Second
	maxVisit       = 4 * time.Second

	mixtureChunk      = 6400
	mixtureChunkPause = 100 * time.Millisecond
	mixtureHalfBody   = 1 << 20
	mixtureFields     = 100
	mixtureHalfHead   = 60 // fields
	mixturePipelined  = 8  // requests
	mixtureRead       = 512
	mixtureReadPause  = 20 * time.Millisecond
)

// mixtureLoad is the usual load beside the mixture.
var mixtureLoad = usualLoad{pause: 20 * time.Millisecond, timeout: 1400 * time.Millisecond}

// visits makes clients leave after a drawn time and come again at once, each on a new connection.
type visits struct {
	seed     uint64
	sessions []func(c *client) bool // the kinds of clients, by turns
}

// Usual returns the shape without hostile clients, with the usual load of Mixture.
func Usual() Shape { return Shape{Name: "usual clients alone", usual: mixtureLoad} }

// Mixture returns a shape of several kinds of clients at once, more than a process has places for, which leave and come again. The lengths
// of their visits are drawn from the seed.
func Mixture(seed uint64) Shape {
	return Shape{Name: "mixture", Clients: mixtureClients, usual: mixtureLoad, visits: &visits{seed: seed, sessions: []func(c *client) bool{
		endlessChunks,
		func(c *client) bool { return c.stopInBody(mixtureHalfBody) },
		readLongAnswers,
		readPipelinedSlowly,
		func(c *client) bool { return c.stopInHead(mixtureHalfHead) },
	}}}
}

// Crowd returns Mixture with fewer clients, which leave places free and keep the process busy.
func Crowd(seed uint64) Shape {
	shape := Mixture(seed)
	shape.Name, shape.Clients = "crowd", crowdClients
	return shape
}

// play plays one visit on the client's connection.
func (v *visits) play(c *client) {
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(v.seed, uint64(c.index)))
	}
	length := minVisit + time.Duration(c.random.Int64N(int64(maxVisit-minVisit)))
	ctx, cancel := context.WithTimeout(c.ctx, length)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.conn.Close() })()
	defer c.conn.Close()
	visitor := &client{ctx: ctx, conn: c.conn, index: c.index, counter: c.counter}
	v.sessions[c.index%len(v.sessions)](visitor)
	c.counter = visitor.counter
}

// endlessChunks sends a body in chunks that does not end.
func endlessChunks(c *client) bool {
	id := c.id()
	fmt.Fprintf(c.conn, "POST /confirm/%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	go c.untilClosed()
	piece := strings.Repeat("x", mixtureChunk)
	for {
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", mixtureChunk, piece); err != nil || !c.pause(mixtureChunkPause) {
			return true
		}
	}
}

// readLongAnswers sends requests with many fields on one connection, and reads their long answers at once.
func readLongAnswers(c *client) bool {
	go c.untilClosed()
	for {
		_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 2000m\r\n%s\r\n", LongTarget, c.id(), c.fields(mixtureFields))
		if err != nil || !c.pause(headPause) {
			return true
		}
	}
}

// readPipelinedSlowly asks for several long answers at once, and reads them slowly.
func readPipelinedSlowly(c *client) bool {
	if conn, ok := c.conn.(*net.TCPConn); ok {
		_ = conn.SetReadBuffer(smallReceiveBuffer)
	}
	var requests strings.Builder
	for range mixturePipelined {
		fmt.Fprintf(&requests, "GET %s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: 2000m\r\n\r\n", LongTarget, c.id())
	}
	_, _ = io.WriteString(c.conn, requests.String())
	buffer := make([]byte, mixtureRead)
	for {
		if _, err := io.ReadFull(c.conn, buffer); err != nil || !c.pause(mixtureReadPause) {
			return true
		}
	}
}
