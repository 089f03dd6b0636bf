package downstream

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// requestGap is how long a client may take between two requests on a connection before the connection counts as unused.
	requestGap = 2 * time.Second
	// firstRequestTime is how long the client of a new connection may take to send its first request before the connection is evicted in
	// preference to others.
	firstRequestTime = 500 * time.Millisecond
	// silentTime is how long a connection has to be silent since it was accepted, and restTime how long one that was used has to be idle, before
	// it may be evicted: its next request may be on its way.
	silentTime = 100 * time.Millisecond
	restTime   = 500 * time.Millisecond
	// receiveTime is how long a request may arrive before its connection may be evicted: one that has not come completely has not been taken.
	receiveTime = 2 * time.Second
	// goneCheckInterval is how often the system is asked which clients have left, while no better connection can be evicted.
	goneCheckInterval = 100 * time.Millisecond
	// evictionRetry is how long a connection waits for another one to become evictable, before all are looked at again.
	evictionRetry = 20 * time.Millisecond
)

// Connections is the listener for clients. It bounds the number of their connections: a connection beyond the limit evicts the connection
// that is needed least. If all connections are in use, one beyond the limit is accepted, and no further one until there is capacity. A
// connection counts from the time it is accepted until its socket is closed. Connections is safe for concurrent use.
type Connections struct {
	net.Listener
	tls       *TLS                // nil if connections are not encrypted
	readAhead *semaphore.Weighted // bytes that are read ahead; nil if they are not bounded

	mu           sync.Mutex
	changed      *sync.Cond // signals changes of the following fields, and the end of a connection
	limit        int        // maximum number of connections
	paused       bool       // new connections are left to another process that has the listener's socket too
	shared       bool       // another process has the listener's socket too
	closed       bool
	stopped      bool      // nothing more is accepted
	drainUntil   time.Time // time until which connections in the queue of a closed listener wait for capacity
	conns        map[*conn]*connInfo
	evicted      [ranksEnd]int
	candidates   []evictionCandidate // buffer of candidatesLocked
	goneSoughtAt time.Time           // when findGoneLocked was called last
	looked       func()              // called by candidatesLocked; set by tests only
	closing      int                 // connections whose sockets are closed and that the server has not ended yet
	newest       *conn               // the connection accepted last, which is not evicted until it is older than firstRequestTime or has had a request
}

// connInfo is the state that Connections keeps for a connection.
type connInfo struct {
	idleSince    time.Time // the end of its latest request, or the time when it was accepted
	hasRequested bool
	closing      bool
}

// NewConnections returns a Connections that accepts from l and bounds the connections to limit. They are encrypted if secure is not nil.
func NewConnections(l net.Listener, limit int, secure *TLS) *Connections {
	c := &Connections{Listener: l, limit: limit, tls: secure, conns: map[*conn]*connInfo{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// BoundReadAhead bounds the memory in which all connections together keep bytes that are read ahead, beside a small part of each. It must be
// called before Accept.
func (c *Connections) BoundReadAhead(bytes int64) { c.readAhead = semaphore.NewWeighted(bytes) }

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
	client.readAheadSpace.shared = c.readAhead
	client.recordArrival()
	c.conns[client] = &connInfo{idleSince: time.Now()}
	c.newest = client
	if c.openLocked() > c.limit { // a connection is evicted only once another one needs its place
		c.evictLocked(client)
	}
	if c.tls != nil {
		return c.tls.wrap(client), nil
	}
	return client, nil
}

// openLocked returns the number of connections that hold a file descriptor. c.mu is held.
func (c *Connections) openLocked() int { return len(c.conns) - c.closing }

// awaitCapacity waits until another connection may be accepted. It returns false if the listener was closed, and until drainUntil there
// was no capacity for the connections in its queue.
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
		c.waitLocked()
	}
	return true
}

// waitLocked waits until a connection has ended or the limit has changed, or until another connection may have become evictable. c.mu is
// held.
func (c *Connections) waitLocked() {
	wake := time.AfterFunc(evictionRetry, c.changed.Broadcast)
	defer wake.Stop()
	c.changed.Wait()
}

// Resize changes the limit of connections. Connections that are open stay, even beyond the new limit.
func (c *Connections) Resize(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = limit
	c.changed.Broadcast()
}

// Pause with true leaves new connections to another process that has the listener's socket too. Pause with false accepts them here again.
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

// State tracks the states of the server's connections. It is used as http.Server.ConnState.
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
		info.idleSince, info.hasRequested = time.Now(), true
		client.requestEnded()
	case http.StateActive:
		info.hasRequested = true
		client.tryActivate()
	case http.StateClosed, http.StateHijacked:
		if info.closing {
			c.closing--
		}
		delete(c.conns, client)
		c.changed.Broadcast()
	}
}
