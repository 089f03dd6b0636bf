package acceptor

import (
	"net"
	"os"
	"sync"
	"time"
)

// A draining listener accepts the connections in the system's accept queue until no connection has arrived for queueQuiet. Meanwhile the
// system rejects new connects. If it cannot reject them, clients may connect more often than once in queueQuiet, so the drain ends after
// maxOpenDrain.
const (
	queueQuiet   = 5 * time.Millisecond
	maxOpenDrain = 100 * time.Millisecond
	// MaxDrain is the maximum duration of a drain. A drain takes that long only if the caller of Accept waits before it accepts the next
	// connection.
	MaxDrain = time.Second
)

// drainState is the state of Listener.Drain.
type drainState struct {
	mu       sync.Mutex
	draining bool
	until    time.Time // time after which only one more wait may begin
	lastWait bool      // the last wait has begun
	quiet    bool      // no connection has been accepted since the latest wait began
}

func (d *drainState) accepted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quiet = false
}

// waitAgain reports whether Accept has to wait for the queue once more. The first call always returns true, even if it comes after
// d.until.
func (d *drainState) waitAgain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quiet || d.lastWait {
		return false
	}
	d.quiet, d.lastWait = true, !time.Now().Before(d.until)
	return true
}

func (d *drainState) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// Drain ends the listener without resetting the connections in its accept queue, as Close would. New connects are rejected, and Accept
// returns the connections in the queue. Then Accept closes the listener and returns net.ErrClosed. No other process may have the socket
// open.
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

// deadlineExceeded handles the deadline of Accept. It returns nil if the listener is draining and Accept has to wait for its queue. The
// deadline that Drain sets only interrupts the wait for new connections, and may have passed before Accept was called.
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

// reportResetLocked logs how many connections in the accept queue the system resets now. l.queue.mu is held.
func (l *Listener) reportResetLocked() {
	l.queue.draining = false
	if n, err := l.QueueLength(); err == nil && n > 0 {
		l.log.Warn("connections reset before they were accepted", "address", l.Addr().String(), "connections", n)
	}
}
