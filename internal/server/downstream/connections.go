package downstream

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// requestGap is how long a client may take between two requests on a connection before the connection counts as unused.
	requestGap = 2 * time.Second
	// firstRequestTime is how long a new connection may take to bring its first request before others are preferred.
	firstRequestTime = 500 * time.Millisecond
)

// Connections is the listener for clients. It bounds the number of their connections: one that comes beyond the limit evicts the one
// that is needed least. Where all are in use it is accepted, but no further one until there is capacity. A connection counts from its
// accept until its socket is closed. It is safe for concurrent use.
type Connections struct {
	net.Listener
	tls *TLS // nil: connections are not encrypted

	mu         sync.Mutex
	changed    *sync.Cond // some of the following fields
	limit      int        // of connections
	paused     bool       // new connections are left to another process that has the listener too
	shared     bool       // another process has the listener too
	closed     bool
	stopped    bool      // nothing more is accepted
	drainUntil time.Time // closed: until when connections in the queue wait for capacity
	conns      map[*conn]*connInfo
	closing    int   // connections whose sockets are closed and which the server has not ended yet
	newest     *conn // accepted last: it is not evicted before its first request has had its time
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
	hasCapacity := c.awaitCapacity()
	accepted, err := net.Conn(nil), net.ErrClosed
	if hasCapacity {
		accepted, err = c.Listener.Accept()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return nil, c.acceptFailedLocked(err)
	}
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

// awaitCapacity waits until another connection may be accepted. It returns false if the listener was closed, and there is no capacity for
// what waits in its queue.
func (c *Connections) awaitCapacity() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.paused && !c.closed || c.openLocked() > c.limit {
		if c.closed && !time.Now().Before(c.drainUntil) {
			return false
		}
		if !c.paused && c.evictLocked(c.newest) {
			continue
		}
		c.changed.Wait()
	}
	return true
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

// Count returns the number of connections that have not ended.
func (c *Connections) Count() int {
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
