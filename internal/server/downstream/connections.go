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
	// requestGap is how long a client may take between two requests on a connection before the connection counts as unused.
	requestGap = 2 * time.Second
	// firstRequestTime is how long a new connection may take to bring its first request before others are preferred.
	firstRequestTime = 500 * time.Millisecond
	// After Close, connections that wait in the listener's queue are still accepted until none has come for queueQuiet, for queueMaxWait
	// at most.
	queueQuiet   = 20 * time.Millisecond
	queueMaxWait = time.Second
)

// deadlineSetter is implemented by listeners whose Accept can be bounded in time.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// Connections is the listener for clients. It bounds the number of their connections: one that comes beyond the limit evicts the one
// that is needed least. Where all are in use it is accepted, but no further one until there is capacity. A connection counts from its
// accept until its socket is closed. It is safe for concurrent use.
type Connections struct {
	net.Listener
	tls *TLS // nil: connections are not encrypted

	mu            sync.Mutex
	changed       *sync.Cond // some of the following fields
	limit         int        // of connections
	paused        bool       // new connections are left to another process that has the listener too
	closed        bool
	stopped       bool      // nothing more is accepted
	queueEmpty    bool      // closed: no connection waits in the queue
	queueDeadline time.Time // closed: until when the queue is emptied
	conns         map[*conn]*connInfo
	closing       int   // connections whose sockets are closed and which the server has not ended yet
	newest        *conn // accepted last: it is not evicted before its first request has had its time
}

// connInfo is what Connections knows of a connection.
type connInfo struct {
	quietSince   time.Time // the end of its latest request, or its accept
	hasRequested bool
	closing      bool
}

// NewConnections bounds the connections of l to limit. They are encrypted if secure is not nil.
func NewConnections(l net.Listener, limit int, secure *TLS) *Connections {
	c := &Connections{Listener: l, limit: limit, tls: secure, conns: map[*conn]*connInfo{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Accept implements net.Listener. It is called by the server's one accept loop.
func (c *Connections) Accept() (net.Conn, error) {
	c.awaitCapacity()
	accepted, err := c.acceptNext()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return nil, c.acceptFailedLocked(err)
	}
	c.queueEmpty = false
	client := newConn(accepted)
	c.conns[client] = &connInfo{quietSince: time.Now()}
	c.newest = client
	if c.openLocked() > c.limit { // no connection is evicted before another one needs its place
		c.evictLocked(client)
	}
	if c.tls != nil {
		return c.tls.wrap(client), nil
	}
	return client, nil
}

// openLocked is the number of connections that hold a descriptor. c.mu is held.
func (c *Connections) openLocked() int { return len(c.conns) - c.closing }

// awaitCapacity waits until another connection may be accepted, or the listener is closed.
func (c *Connections) awaitCapacity() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (c.paused || c.openLocked() > c.limit) && !c.closed {
		if !c.paused && c.evictLocked(c.newest) {
			continue
		}
		c.changed.Wait()
	}
}

// acceptFailedLocked ends a closed listener. c.mu is held.
func (c *Connections) acceptFailedLocked(err error) error {
	if !c.closed {
		return err
	}
	c.stopped = true
	_ = c.Listener.Close() // it may be closed already
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return net.ErrClosed
	}
	return err
}

// acceptNext accepts a connection; from a closed listener, one that waits in its queue. The deadline that Close sets only interrupts the
// wait for new connections: it is set again here, since it may have passed before this was called.
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

// evictionRank orders connections for eviction: the highest rank goes first, rankNeeded never.
type evictionRank int

const (
	rankNeeded         evictionRank = iota
	rankNewSilent                   // it has brought no request yet, but is new
	rankRecentlyUsed                // its latest request ended within requestGap
	rankUnused                      // its latest request ended before that
	rankNeverRequested              // it never brought a request
	rankShut                        // it has its last response
	rankClientGone                  // nobody waits for what is in flight on it
)

// evictionRank ranks a connection. One that never brought a request goes before one that did, since clients that connect by hundreds and
// stay silent must not displace those that send requests. except is not evicted while it is new.
func (i *connInfo) evictionRank(client, except *conn, now time.Time) evictionRank {
	quiet := now.Sub(i.quietSince)
	isNew := !i.hasRequested && quiet < firstRequestTime
	switch {
	case i.closing || client == except && isNew:
		return rankNeeded
	case client.clientGone.Load():
		return rankClientGone
	case client.currentPhase() == phaseActive:
		return rankNeeded
	case client.currentPhase() == phaseShut:
		return rankShut
	case isNew:
		return rankNewSilent
	case i.hasRequested && quiet < requestGap:
		return rankRecentlyUsed
	case i.hasRequested:
		return rankUnused
	}
	return rankNeverRequested
}

// evictLocked closes the connection that is needed least, and reports whether there was one. Of one rank the longest quiet goes first.
// c.mu is held.
func (c *Connections) evictLocked(except *conn) bool {
	now := time.Now()
	for { // the candidate may begin a request as it is chosen
		var candidate *conn
		highest := rankNeeded
		for client, info := range c.conns {
			rank := info.evictionRank(client, except, now)
			if rank > highest || rank > rankNeeded && rank == highest && info.quietSince.Before(c.conns[candidate].quietSince) {
				candidate, highest = client, rank
			}
		}
		if candidate == nil {
			return false
		}
		if candidate.closeUnlessActive() {
			c.conns[candidate].closing = true
			c.closing++
			return true
		}
	}
}

// Close ends the listener. Connections that wait in its queue are still accepted, unless they are left to another process or there is no
// capacity for them.
func (c *Connections) Close() error {
	c.mu.Lock()
	wasClosed := c.closed
	leaveQueue := c.paused || c.openLocked() >= c.limit
	c.closed = true
	if !wasClosed {
		c.queueDeadline = time.Now().Add(queueMaxWait)
	}
	c.mu.Unlock()
	if wasClosed {
		return nil
	}
	c.changed.Broadcast()
	if l, ok := c.Listener.(deadlineSetter); ok && !leaveQueue && l.SetDeadline(time.Now()) == nil {
		return nil // Accept closes it
	}
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	return c.Listener.Close()
}

// Resize changes the limit of connections. Those that are open stay, even beyond it.
func (c *Connections) Resize(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
	c.changed.Broadcast()
}

// Pause leaves new connections to another process that has the listener too, or accepts them again.
func (c *Connections) Pause(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
	c.changed.Broadcast()
}

// Open is the number of connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Drained reports whether nothing more is accepted and all connections have ended.
func (c *Connections) Drained() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped && len(c.conns) == 0
}

// CloseIdle closes the connections that have carried no request for at least quiet, and on which no bytes wait: see conn.closeIdle.
func (c *Connections) CloseIdle(quiet time.Duration) {
	for _, client := range c.idleFor(quiet) {
		client.closeIdle()
	}
}

func (c *Connections) idleFor(quiet time.Duration) (idle []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client, info := range c.conns {
		if client.currentPhase() == phaseIdle && time.Since(info.quietSince) >= quiet {
			idle = append(idle, client)
		}
	}
	return idle
}

// CloseAll closes all connections at once.
func (c *Connections) CloseAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.conns {
		client.closeNow()
	}
}

// State follows the server's connections: it is http.Server.ConnState.
func (c *Connections) State(of net.Conn, s http.ConnState) {
	client := connOf(of)
	c.mu.Lock()
	defer c.mu.Unlock()
	info := c.conns[client]
	if info == nil {
		return
	}
	switch s {
	case http.StateIdle:
		info.quietSince, info.hasRequested = time.Now(), true
		client.requestEnded()
	case http.StateActive:
		info.hasRequested = true
		client.tryActivate()
	case http.StateClosed, http.StateHijacked:
		if info.closing {
			c.closing--
		}
		delete(c.conns, client)
	}
	c.changed.Broadcast()
}
