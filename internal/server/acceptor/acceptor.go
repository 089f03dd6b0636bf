// Package acceptor keeps a server accepting connections when accept(2) fails. net/http and grpc-go stop a server, with all its requests in
// flight, on an error that does not report itself as temporary, and wait for up to a second after a temporary one.
package acceptor

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// minBackoff and maxBackoff bound the wait after a failed accept, which doubles with each failure.
const (
	minBackoff = time.Millisecond
	maxBackoff = 32 * time.Millisecond
)

// Listener is a net.Listener whose Accept fails only if it has been closed or drained, or its deadline has passed.
type Listener struct {
	net.Listener
	log      *slog.Logger
	failures atomic.Int64
	backoff  time.Duration // wait after the latest failed accept; 0 if the latest accept succeeded
	deadline atomic.Pointer[time.Time]
	queue    drainState
}

// deadlineSetter is implemented by listeners with a deadline.
type deadlineSetter interface{ SetDeadline(time.Time) error }

// New returns a Listener that accepts from l and logs failures to log. One goroutine at a time may call its Accept.
func New(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, log: log}
}

// Accept waits for the next connection, and retries if accept(2) fails. It returns only two errors: net.ErrClosed once the listener is
// closed or drained, and os.ErrDeadlineExceeded.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.recovered()
			l.queue.accepted()
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded) || l.deadlinePassed():
			if err := l.deadlineExceeded(); err != nil {
				return nil, err
			}
		default:
			l.backOff(err)
		}
	}
}

// deadlinePassed reports whether the listener's deadline has passed. The error of an accept that fails for another reason does not show
// this.
func (l *Listener) deadlinePassed() bool {
	deadline := l.deadline.Load()
	return deadline != nil && !time.Now().Before(*deadline)
}

// Failures returns the number of accepts that have failed.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// SetDeadline sets the time until which Accept waits, if the underlying listener supports deadlines.
func (l *Listener) SetDeadline(t time.Time) error {
	underlying, ok := l.Listener.(deadlineSetter)
	if !ok {
		return errors.ErrUnsupported
	}
	l.deadline.Store(nil)
	if !t.IsZero() {
		l.deadline.Store(&t)
	}
	return underlying.SetDeadline(t)
}

func (l *Listener) backOff(err error) {
	l.failures.Add(1)
	if l.backoff == 0 {
		l.log.Warn("a connection could not be accepted: trying again", "address", l.Addr().String(), "reason", err)
	}
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	time.Sleep(l.backoff)
}

func (l *Listener) recovered() {
	if l.backoff == 0 {
		return
	}
	l.backoff = 0
	l.log.Info("connections are accepted again", "address", l.Addr().String(), "failures", l.failures.Load())
}
