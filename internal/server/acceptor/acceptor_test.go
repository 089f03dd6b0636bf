package acceptor

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingListener is a listener whose accepts fail until a given time.
type failingListener struct {
	net.Listener
	until    time.Time
	err      error
	attempts int
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.attempts++
	if time.Now().Before(f.until) {
		return nil, f.err
	}
	here, _ := net.Pipe()
	return here, nil
}

func (f *failingListener) Addr() net.Addr              { return &net.TCPAddr{} }
func (f *failingListener) SetDeadline(time.Time) error { return nil }

// Guards against an accept loop that retries without a pause, or that goes on waiting once the system has recovered.
func TestAcceptGoesOnSoon(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			underlying := &failingListener{until: begun.Add(outage), err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
			l := New(underlying, slog.New(slog.DiscardHandler))
			if _, err := l.Accept(); err != nil {
				t.Fatal(err)
			}
			delay := time.Since(begun) - outage
			if delay > maxBackoff {
				t.Errorf("outage of %v: accepted a connection %v after its end, want at most maxBackoff", outage, delay)
			}
			if most := 8 + int(outage/maxBackoff); underlying.attempts > most || l.Failures() != int64(underlying.attempts-1) {
				t.Errorf("outage of %v: %d attempts, want at most %d; Failures returns %d", outage, underlying.attempts, most, l.Failures())
			}
		})
	}
}

// Guards against a server that never stops because Accept retries after the listener is closed or its deadline has passed.
func TestAcceptEnds(t *testing.T) {
	for _, want := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		underlying := &failingListener{until: time.Now().Add(time.Hour), err: &net.OpError{Op: "accept", Err: want}}
		if _, err := New(underlying, slog.New(slog.DiscardHandler)).Accept(); !errors.Is(err, want) || underlying.attempts != 1 {
			t.Errorf("Accept returned %v after %d attempts, want %v after 1 attempt", err, underlying.attempts, want)
		}
	}
}

// Guards against a shutdown that waits forever for a queue that cannot be emptied: while accepts keep failing, Accept returns at the
// deadline.
func TestFailingAcceptsEndAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		l := New(&failingListener{until: begun.Add(time.Hour), err: syscall.EMFILE}, slog.New(slog.DiscardHandler))
		if err := l.SetDeadline(begun.Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := l.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > time.Second+maxBackoff {
			t.Errorf("Accept returned %v after %v, want os.ErrDeadlineExceeded after 1 s", err, time.Since(begun))
		}
	})
}
