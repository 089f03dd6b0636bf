package acceptor

import (
	"net"
	"os"
	"sync"
	"time"
)

// A listener that is drained accepts what the system's accept queue holds until nothing has come for queueQuiet. Connects are rejected
// meanwhile; where the system can't do that, the drain ends after maxOpenDrain, since clients may come more often than each queueQuiet.
const (
	queueQuiet   = 5 * time.Millisecond
	maxOpenDrain = 100 * time.Millisecond
	// MaxDrain is how long a drain takes at most, where the caller of Accept waits before it takes the next connection.
	MaxDrain = time.Second
)

// drainState is the state of Listener.Drain.
type drainState struct {
	mu       sync.Mutex
	draining bool
	until    time.Time // then the last wait begins
	last     bool      // the last wait has begun
	quiet    bool      // no connection has come since the last wait began
}

func (d *drainState) accepted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quiet = false
}

// waitAgain reports whether the queue is to be waited for once more. That is so at least once, however late the caller is.
func (d *drainState) waitAgain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quiet || d.last {
		return false
	}
	d.quiet, d.last = true, !time.Now().Before(d.until)
	return true
}

func (d *drainState) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Drain ends the listener without resetting the connections that wait in its accept queue, as Close would: connects are rejected, and
// Accept returns what waits. Then it closes the listener and returns net.ErrClosed. No other process may have the socket.
func (l *Listener) Drain() error {
	wait := MaxDrain
	if l.RejectConnects() != nil {
		wait = maxOpenDrain
	}
	l.queue.mu.Lock()
	l.queue.draining, l.queue.until = true, time.Now().Add(wait)
	l.queue.mu.Unlock()
	return l.SetDeadline(time.Now()) // interrupts Accept
}

// deadlineExceeded is called by Accept at its deadline. It returns nil if the queue of a listener that is drained is to be waited for.
// The deadline that Drain sets only interrupts the wait for new connections: it may have passed before Accept was called.
func (l *Listener) deadlineExceeded() error {
	if !l.queue.isDraining() {
		return os.ErrDeadlineExceeded
	}
	if l.queue.waitAgain() && l.SetDeadline(time.Now().Add(queueQuiet)) == nil {
		return nil
	}
	_ = l.Close() // it may be closed already
	return net.ErrClosed
}

// Close closes the listener at once.
func (l *Listener) Close() error {
	l.queue.mu.Lock()
	defer l.queue.mu.Unlock()
	if l.queue.draining {
		l.reportResetLocked()
	}
	return l.Listener.Close()
}

// reportResetLocked logs how many connections the system has accepted and resets now. l.queue.mu is held.
func (l *Listener) reportResetLocked() {
	l.queue.draining = false
	if n, err := l.QueueLength(); err == nil && n > 0 {
		l.log.Warn("connections reset before they were accepted", "address", l.Addr().String(), "connections", n)
	}
}
