package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"orchiddrift/internal/framing"
)

const (
	usualGap  = 2 * time.Second        // clients may take this long between two requests on a connection
	firstSoon = 500 * time.Millisecond // and bring the first within this
)

// Conns is the listener for clients. It bounds their connections: at the limit it closes the one that
// is needed least, and accepts no more until there is room.
type Conns struct {
	net.Listener
	most   int
	secure *Secure // nil: connections are not encrypted

	paused bool // under mu: what waits is left to another process
	mu     sync.Mutex
	room   *sync.Cond
	closed bool
	conns  map[net.Conn]clientConn
}

type clientConn struct {
	quiet time.Time // without a request since then; zero: busy
	asked bool      // it has brought a request
}

// NewConns bounds l's connections to most; they are encrypted where secure is not nil.
func NewConns(l net.Listener, most int, secure *Secure) *Conns {
	c := &Conns{Listener: l, most: most, secure: secure, conns: map[net.Conn]clientConn{}}
	c.room = sync.NewCond(&c.mu)
	return c
}

func (c *Conns) Accept() (net.Conn, error) {
	c.mu.Lock()
	for (c.paused || len(c.conns) >= c.most) && !c.closed {
		if !c.paused {
			c.closeOne()
		}
		c.room.Wait()
	}
	c.mu.Unlock()
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if c.secure != nil {
		return c.secure.over(conn), nil
	}
	return &watched{Conn: conn}, nil
}

// watched is a connection whose requests' framing is followed.
type watched struct {
	net.Conn
	watch framing.Watch // of who reads; the library has one reader at a time
	twice atomic.Bool
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if w.watch.Feed(p[:n]); w.watch.Twice() {
		w.twice.Store(true)
	}
	return n, err
}

// CloseWrite is for the library, which so has a client read its last answer.
func (w *watched) CloseWrite() error {
	if c, ok := w.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

type watchedKey struct{}

// Context keeps the connection for FramedOnce.
func (c *Conns) Context(ctx context.Context, conn net.Conn) context.Context {
	w, ok := conn.(*watched)
	if s, is := conn.(*secured); is {
		w, ok = s.watched, true
	}
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, watchedKey{}, w)
}

// FramedOnce tells whether the requests of ctx's connection are known to frame their bodies in one way each.
func FramedOnce(ctx context.Context) bool {
	w, ok := ctx.Value(watchedKey{}).(*watched)
	return ok && !w.twice.Load()
}

// closeOne makes room. Guards against clients that connect by hundreds and say nothing, at the cost of those that
// ask: a connection that never brought a request goes before one that did, unless it is about to.
func (c *Conns) closeOne() {
	now := time.Now()
	var worst net.Conn
	rank := func(of clientConn) int {
		switch quiet := now.Sub(of.quiet); {
		case !of.asked && quiet < firstSoon:
			return 0
		case of.asked && quiet < usualGap:
			return 1
		case of.asked:
			return 2
		}
		return 3
	}
	for conn, is := range c.conns {
		if is.quiet.IsZero() {
			continue
		}
		than := c.conns[worst]
		if worst == nil || rank(is) > rank(than) || rank(is) == rank(than) && is.quiet.Before(than.quiet) {
			worst = conn
		}
	}
	if worst != nil {
		worst.Close()
		c.conns[worst] = clientConn{} // gone once the server has seen it
	}
}

func (c *Conns) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return nil
	}
	c.room.Broadcast()
	return c.Listener.Close()
}

// Resize changes how many connections there may be. Those that there are stay, also beyond it.
func (c *Conns) Resize(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
	c.room.Broadcast()
}

// Pause leaves new connections to another process that has the listener too, or takes them again.
func (c *Conns) Pause(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = on
	c.room.Broadcast()
}

// Open is how many connections there are.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// CloseQuiet closes all connections that have carried no request for that long.
func (c *Conns) CloseQuiet(least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, is := range c.conns {
		if !is.quiet.IsZero() && time.Since(is.quiet) >= least {
			conn.Close()
		}
	}
}

// State follows the server's connections.
func (c *Conns) State(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.conns[conn] = clientConn{quiet: time.Now()}
	case http.StateIdle:
		c.conns[conn] = clientConn{quiet: time.Now(), asked: true}
	case http.StateActive:
		c.conns[conn] = clientConn{asked: true}
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
	c.room.Broadcast()
}
