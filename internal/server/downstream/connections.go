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
	requestGap       = 2 * time.Second        // clients may take this long between two requests on a connection
	firstRequestTime = 500 * time.Millisecond // and bring the first within this
	queueQuiet       = 20 * time.Millisecond  // a listener that is closed goes on with what has already come, until so long nothing has
	queueMaxWait     = time.Second            // and so long at most
)

// Connections is the listener for clients. It bounds their connections: one that comes beyond the limit has the one closed that
// is needed least; where all are needed it stays, and no more are accepted until there is room. A connection counts from its accept until its socket is closed.
type Connections struct {
	net.Listener
	limit int
	tls   *TLS // nil: connections are not encrypted

	paused bool // under mu: what waits is left to another process

	mu            sync.Mutex
	changed       *sync.Cond
	closed        bool
	stopped       bool      // nothing more is accepted
	queueEmpty    bool      // closed: nothing waits in the queue
	queueDeadline time.Time // closed: no longer
	conns         map[*conn]*connInfo
	closing       int   // of them: their sockets are closed, and the server has not seen it
	newest        *conn // accepted last: it does not give way before its first request has had its time
}

// connInfo is what is known of a connection beside its own state.
type connInfo struct {
	quietSince   time.Time // its latest request ended, or it was accepted
	hasRequested bool      // it has brought a request
	closing      bool
}

// NewConnections bounds l's connections to most; they are encrypted where secure is not nil.
func NewConnections(l net.Listener, most int, secure *TLS) *Connections {
	c := &Connections{Listener: l, limit: most, tls: secure, conns: map[*conn]*connInfo{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Accept is net.Listener's.
func (c *Connections) Accept() (net.Conn, error) {
	c.mu.Lock()
	for (c.paused || len(c.conns)-c.closing > c.limit) && !c.closed {
		if !c.paused && c.evictOne(c.newest) {
			continue
		}
		c.changed.Wait()
	}
	c.mu.Unlock()
	accepted, err := c.acceptNext()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.closed {
			c.stopped = true
			_ = c.Listener.Close() // it may have been
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = net.ErrClosed
			}
		}
		return nil, err
	}
	c.queueEmpty = false
	one := newConn(accepted)
	c.conns[one] = &connInfo{quietSince: time.Now()}
	if c.newest = one; len(c.conns)-c.closing > c.limit { // none gives way before there is one that needs its place
		c.evictOne(one)
	}
	if c.tls != nil {
		return c.tls.wrap(one), nil
	}
	return one, nil
}

// acceptNext accepts a connection. Of a listener that is closed, one that waits in its queue; the deadline only ends the wait for others, and is
// set anew here, since it may have passed before this was run.
func (c *Connections) acceptNext() (net.Conn, error) {
	for {
		accepted, err := c.Listener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return accepted, err
		}
		c.mu.Lock()
		last := !c.closed || c.queueEmpty || time.Now().After(c.queueDeadline)
		c.queueEmpty = true
		c.mu.Unlock()
		if last || c.Listener.(deadlineSetter).SetDeadline(time.Now().Add(queueQuiet)) != nil {
			return nil, err
		}
	}
}

type deadlineSetter interface{ SetDeadline(time.Time) error }

// evictOne makes room. Guards against clients that connect by hundreds and say nothing, at the cost of those that
// ask: a connection that never brought a request goes before one that did, unless it is about to. One whose client has gone
// goes first, then one that has its last answer.
func (c *Connections) evictOne(but *conn) bool {
	now := time.Now()
	rank := func(one *conn, of *connInfo) int {
		switch quiet := now.Sub(of.quietSince); {
		case of.closing || one == but && !of.hasRequested && now.Sub(of.quietSince) < firstRequestTime:
			return 0
		case one.clientGone.Load(): // what is in hand is nobody's
			return 6
		case one.currentPhase() == phaseActive:
			return 0
		case one.currentPhase() == phaseShut:
			return 5
		case !of.hasRequested && quiet < firstRequestTime:
			return 1
		case of.hasRequested && quiet < requestGap:
			return 2
		case of.hasRequested:
			return 3
		}
		return 4
	}
	for { // one may begin a request as it is chosen
		var worst *conn
		most := 0
		for one, of := range c.conns {
			if r := rank(one, of); r > most || r > 0 && r == most && of.quietSince.Before(c.conns[worst].quietSince) {
				worst, most = one, r
			}
		}
		if worst == nil {
			return false
		}
		if worst.closeUnlessActive() {
			c.conns[worst].closing = true
			c.closing++
			return true
		}
	}
}

// Close ends the listener. What waits in its queue is still taken, unless it is left to another process.
func (c *Connections) Close() error {
	c.mu.Lock()
	was, left := c.closed, c.paused || len(c.conns)-c.closing >= c.limit
	if c.closed = true; !was {
		c.queueDeadline = time.Now().Add(queueMaxWait)
	}
	c.mu.Unlock()
	if was {
		return nil
	}
	c.changed.Broadcast()
	if l, ok := c.Listener.(deadlineSetter); ok && !left && l.SetDeadline(time.Now()) == nil {
		return nil // Accept closes it
	}
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	return c.Listener.Close()
}

// Resize changes how many connections there may be. Those that there are stay, also beyond it.
func (c *Connections) Resize(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = most
	c.changed.Broadcast()
}

// Pause leaves new connections to another process that has the listener too, or takes them again.
func (c *Connections) Pause(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = on
	c.changed.Broadcast()
}

// Open is how many connections there are.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Drained tells whether nothing more is accepted, and all connections have ended.
func (c *Connections) Drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped && len(c.conns) == 0
}

// CloseIdle closes all connections that have carried no request for that long, and on which none has come: see conn.closeIdle.
func (c *Connections) CloseIdle(least time.Duration) {
	c.mu.Lock()
	var quiet []*conn
	for one, of := range c.conns {
		if one.currentPhase() == phaseIdle && time.Since(of.quietSince) >= least {
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
		one.closeNow()
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
		r.quietSince, r.hasRequested = time.Now(), true
		one.requestEnded()
	case http.StateActive:
		r.hasRequested = true
		one.tryActivate()
	case http.StateClosed, http.StateHijacked:
		if r.closing {
			c.closing--
		}
		delete(c.conns, one)
	}
	c.changed.Broadcast()
}
