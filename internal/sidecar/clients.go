package sidecar

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// clientConns is the listener for clients. It bounds their connections: at the limit it closes the one that
// has been idle for longest, and accepts no more until there is room.
type clientConns struct {
	net.Listener
	most int

	mu     sync.Mutex
	room   *sync.Cond
	closed bool
	quiet  map[net.Conn]time.Time // between requests, since when; zero: busy
}

func newClientConns(l net.Listener, most int) *clientConns {
	c := &clientConns{Listener: l, most: most, quiet: map[net.Conn]time.Time{}}
	c.room = sync.NewCond(&c.mu)
	return c
}

func (c *clientConns) Accept() (net.Conn, error) {
	c.mu.Lock()
	for len(c.quiet) >= c.most && !c.closed {
		c.closeQuietest()
		c.room.Wait()
	}
	c.mu.Unlock()
	return c.Listener.Accept()
}

func (c *clientConns) closeQuietest() {
	var oldest net.Conn
	for conn, since := range c.quiet {
		if !since.IsZero() && (oldest == nil || since.Before(c.quiet[oldest])) {
			oldest = conn
		}
	}
	if oldest != nil {
		oldest.Close()
		c.quiet[oldest] = time.Time{} // gone once the server has seen it
	}
}

func (c *clientConns) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.room.Broadcast()
	return c.Listener.Close()
}

// closeQuiet closes all connections that have carried no request for that long.
func (c *clientConns) closeQuiet(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.quiet {
		if !since.IsZero() && time.Since(since) >= least {
			conn.Close()
		}
	}
}

// state follows the server's connections.
func (c *clientConns) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.quiet[conn] = time.Now()
	case http.StateActive:
		c.quiet[conn] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(c.quiet, conn)
	}
	c.room.Broadcast()
}
