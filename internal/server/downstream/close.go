package downstream

import (
	"net"
	"time"

	"orchiddrift/internal/server/acceptor"
)

// drainer is implemented by listeners that can be closed without resetting the connections in their accept queue: acceptor.Listener.
type drainer interface {
	Drain() error
	AllowConnects() error
}

// Close ends the listener. Connections in its accept queue are still accepted, unless another process accepts them.
func (c *Connections) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.changed.Broadcast()
	if l, ok := c.Listener.(drainer); ok && !c.paused && !c.shared && l.Drain() == nil {
		c.drainUntil = time.Now().Add(acceptor.MaxDrain)
		time.AfterFunc(acceptor.MaxDrain, c.changed.Broadcast)
		return nil // Accept closes the listener
	}
	return c.stopLocked()
}

// stopLocked closes the listener at once. c.mu is held.
func (c *Connections) stopLocked() error {
	c.stopped = true
	return c.Listener.Close()
}

// acceptFailedLocked returns the error for an Accept that failed with err. It stops the listener if Close was called. c.mu is held.
func (c *Connections) acceptFailedLocked(err error) error {
	if !c.closed {
		return err
	}
	_ = c.stopLocked() // it may be closed already
	return net.ErrClosed
}

// SetShared says whether another process has the listener's socket open too. While it has, closing the socket here resets no connections,
// and Close does not reject new connections. Once the socket is no longer shared, new connections, which the other process rejected, are
// allowed again.
func (c *Connections) SetShared(shared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasShared := c.shared
	c.shared = shared
	if l, ok := c.Listener.(drainer); ok && wasShared && !shared && !c.closed {
		_ = l.AllowConnects() // if the system does not support it, no connections are rejected
	}
}

// CloseIdle closes the connections that have been idle for at least minIdle and have no unread bytes, see conn.closeIdle. A new connection
// has at least firstRequestTime for its first request.
func (c *Connections) CloseIdle(minIdle time.Duration) {
	for _, client := range c.idleFor(minIdle) {
		client.closeIdle()
	}
}

// idleFor returns the connections that CloseIdle may close.
func (c *Connections) idleFor(minIdle time.Duration) (idle []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client, info := range c.conns {
		required := minIdle
		if !info.hasRequested {
			required = max(minIdle, firstRequestTime)
		}
		if client.currentPhase() == phaseIdle && time.Since(info.idleSince) >= required {
			idle = append(idle, client)
		}
	}
	return idle
}
