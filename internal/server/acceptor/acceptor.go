// Package acceptor keeps a server accepting connections through failures of accept(2). net/http and grpc-go end a server, and with it
// all requests in hand, for errors that do not call themselves temporary, and rest for up to a second behind the others.
package acceptor

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// The wait after an accept that failed. It doubles from first to most, which is well under the shortest deadline of a request.
const (
	minBackoff = time.Millisecond
	maxBackoff = 32 * time.Millisecond
)

// Listener is a net.Listener whose Accept fails only once it has been closed, or at its deadline.
type Listener struct {
	net.Listener
	log      *slog.Logger
	failed   atomic.Int64
	backoff  time.Duration // the last wait; 0: the last accept did not fail
	deadline atomic.Pointer[time.Time]
}

// New returns a Listener that accepts from l, and logs failures to log. Its Accept is not safe for concurrent use.
func New(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, log: log}
}

// Accept waits for the next connection, through any failure of the system.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.recovered()
			return c, nil
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
		if at := l.deadline.Load(); at != nil && !time.Now().Before(*at) {
			return nil, os.ErrDeadlineExceeded
		}
		l.backOff(err)
	}
}

// Failures is how many accepts have failed.
func (l *Listener) Failures() int64 { return l.failed.Load() }

// SetDeadline sets until when Accept waits, where the listener below can.
func (l *Listener) SetDeadline(t time.Time) error {
	if below, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		l.deadline.Store(nil)
		if !t.IsZero() {
			l.deadline.Store(&t)
		}
		return below.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

func (l *Listener) backOff(err error) {
	l.failed.Add(1)
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
	l.log.Info("connections are accepted again", "address", l.Addr().String(), "failures", l.failed.Load())
}
