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

// Close ends the listener. Connections that wait in its queue are still accepted, unless they are left to another process.
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
		return nil // Accept closes it
	}
	return c.stopLocked()
}

// stopLocked closes the listener at once. c.mu is held.
func (c *Connections) stopLocked() error {
	c.stopped = true
	return c.Listener.Close()
}

// acceptFailedLocked ends a closed listener. c.mu is held.
func (c *Connections) acceptFailedLocked(err error) error {
	if !c.closed {
		return err
	}
	_ = c.stopLocked() // it may be closed already
	return net.ErrClosed
}

// SetShared says whether another process has the listener's socket too. Closing it here resets nothing then, and connects are not
// rejected. Once it is no longer shared, a rejection of connects by the other process is taken back.
func (c *Connections) SetShared(shared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasShared := c.shared
	c.shared = shared
	if l, ok := c.Listener.(drainer); ok && wasShared && !shared && !c.closed {
		_ = l.AllowConnects() // where the system can't, none are rejected
	}
}

// CloseIdle closes the connections that have carried no request for at least quiet, and on which no bytes wait: see conn.closeIdle. One
// that is new has firstRequestTime for its first request.
func (c *Connections) CloseIdle(quiet time.Duration) {
	for _, client := range c.idleFor(quiet) {
		client.closeIdle()
	}
}

func (c *Connections) idleFor(quiet time.Duration) (idle []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client, info := range c.conns {
		needed := quiet
		if !info.hasRequested {
			needed = max(quiet, firstRequestTime)
		}
		if client.currentPhase() == phaseIdle && time.Since(info.quietSince) >= needed {
			idle = append(idle, client)
		}
	}
	return idle
}
