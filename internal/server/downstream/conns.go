package downstream

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	usualGap  = 2 * time.Second        // clients may take this long between two requests on a connection
	firstSoon = 500 * time.Millisecond // and bring the first within this
	queueFor  = 20 * time.Millisecond  // a listener that is closed goes on with what has already come, until so long nothing has
	queueMost = time.Second            // and so long at most
)

// Connections is the listener for clients. It bounds their connections: one that comes beyond the limit has the one closed that
// is needed least; where all are needed it stays, and no more are accepted until there is room. A connection counts from its accept until its socket is closed.
type Connections struct {
	net.Listener
	most   int
	secure *TLS // nil: connections are not encrypted

	paused bool // under mu: what waits is left to another process

	mu      sync.Mutex
	room    *sync.Cond
	closed  bool
	ended   bool      // nothing more is accepted
	emptied bool      // closed: nothing waits in the queue
	until   time.Time // closed: no longer
	conns   map[*conn]*record
	dying   int   // of them: their sockets are closed, and the server has not seen it
	newest  *conn // accepted last: it does not give way before its first request has had its time
}

// record is what is known of a connection beside its own state.
type record struct {
	since time.Time // its latest request ended, or it was accepted
	asked bool      // it has brought a request
	dying bool
}

// NewConnections bounds l's connections to most; they are encrypted where secure is not nil.
func NewConnections(l net.Listener, most int, secure *TLS) *Connections {
	c := &Connections{Listener: l, most: most, secure: secure, conns: map[*conn]*record{}}
	c.room = sync.NewCond(&c.mu)
	return c
}

// Accept is net.Listener's.
func (c *Connections) Accept() (net.Conn, error) {
	c.mu.Lock()
	for (c.paused || len(c.conns)-c.dying > c.most) && !c.closed {
		if !c.paused && c.closeOne(c.newest) {
			continue
		}
		c.room.Wait()
	}
	c.mu.Unlock()
	accepted, err := c.next()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.closed {
			c.ended = true
			_ = c.Listener.Close() // it may have been
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = net.ErrClosed
			}
		}
		return nil, err
	}
	c.emptied = false
	one := newConn(accepted)
	c.conns[one] = &record{since: time.Now()}
	if c.newest = one; len(c.conns)-c.dying > c.most { // none gives way before there is one that needs its place
		c.closeOne(one)
	}
	if c.secure != nil {
		return c.secure.over(one), nil
	}
	return one, nil
}

// next accepts a connection. Of a listener that is closed, one that waits in its queue; the deadline only ends the wait for others, and is
// set anew here, since it may have passed before this was run.
func (c *Connections) next() (net.Conn, error) {
	for {
		accepted, err := c.Listener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return accepted, err
		}
		c.mu.Lock()
		last := !c.closed || c.emptied || time.Now().After(c.until)
		c.emptied = true
		c.mu.Unlock()
		if last || c.Listener.(deadliner).SetDeadline(time.Now().Add(queueFor)) != nil {
			return nil, err
		}
	}
}

type deadliner interface{ SetDeadline(time.Time) error }

// closeOne makes room. Guards against clients that connect by hundreds and say nothing, at the cost of those that
// ask: a connection that never brought a request goes before one that did, unless it is about to. One whose client has gone
// goes first, then one that has its last answer.
func (c *Connections) closeOne(but *conn) bool {
	now := time.Now()
	rank := func(one *conn, of *record) int {
		switch quiet := now.Sub(of.since); {
		case of.dying || one == but && !of.asked && now.Sub(of.since) < firstSoon:
			return 0
		case one.gone.Load(): // what is in hand is nobody's
			return 6
		case one.state() == active:
			return 0
		case one.state() == shut:
			return 5
		case !of.asked && quiet < firstSoon:
			return 1
		case of.asked && quiet < usualGap:
			return 2
		case of.asked:
			return 3
		}
		return 4
	}
	for { // one may begin a request as it is chosen
		var worst *conn
		most := 0
		for one, of := range c.conns {
			if r := rank(one, of); r > most || r > 0 && r == most && of.since.Before(c.conns[worst].since) {
				worst, most = one, r
			}
		}
		if worst == nil {
			return false
		}
		if worst.drop() {
			c.conns[worst].dying = true
			c.dying++
			return true
		}
	}
}

// Close ends the listener. What waits in its queue is still taken, unless it is left to another process.
func (c *Connections) Close() error {
	c.mu.Lock()
	was, left := c.closed, c.paused || len(c.conns)-c.dying >= c.most
	if c.closed = true; !was {
		c.until = time.Now().Add(queueMost)
	}
	c.mu.Unlock()
	if was {
		return nil
	}
	c.room.Broadcast()
	if l, ok := c.Listener.(deadliner); ok && !left && l.SetDeadline(time.Now()) == nil {
		return nil // Accept closes it
	}
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	return c.Listener.Close()
}

// Resize changes how many connections there may be. Those that there are stay, also beyond it.
func (c *Connections) Resize(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
	c.room.Broadcast()
}

// Pause leaves new connections to another process that has the listener too, or takes them again.
func (c *Connections) Pause(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = on
	c.room.Broadcast()
}

// Open is how many connections there are.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// OverLimit tells whether nothing more is accepted, and all connections have ended.
func (c *Connections) OverLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && len(c.conns) == 0
}

// CloseIdle closes all connections that have carried no request for that long, and on which none has come: see conn.closeIdle.
func (c *Connections) CloseIdle(least time.Duration) {
	c.mu.Lock()
	var quiet []*conn
	for one, of := range c.conns {
		if one.state() == idle && time.Since(of.since) >= least {
			quiet = append(quiet, one)
		}
	}
	c.mu.Unlock()
	for _, one := range quiet {
		one.closeIdle()
	}
}

// CloseAll closes all connections at once.
func (c *Connections) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for one := range c.conns {
		one.kill()
	}
}

// State follows the server's connections.
func (c *Connections) State(of net.Conn, s http.ConnState) {
	one := connOf(of)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.conns[one]
	if r == nil {
		return
	}
	switch s {
	case http.StateIdle:
		r.since, r.asked = time.Now(), true
		one.answered()
	case http.StateActive:
		r.asked = true
		one.begin()
	case http.StateClosed, http.StateHijacked:
		if r.dying {
			c.dying--
		}
		delete(c.conns, one)
	}
	c.room.Broadcast()
}
