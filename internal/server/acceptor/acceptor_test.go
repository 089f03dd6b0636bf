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

// failing is a listener whose accepts fail for some time.
type failing struct {
	net.Listener
	until time.Time
	err   error
	tries int
}

func (f *failing) Accept() (net.Conn, error) {
	f.tries++
	if time.Now().Before(f.until) {
		return nil, f.err
	}
	here, _ := net.Pipe()
	return here, nil
}

func (f *failing) Addr() net.Addr              { return &net.TCPAddr{} }
func (f *failing) SetDeadline(time.Time) error { return nil }

// Guards against an accept loop that spins, or that rests on once the system has recovered.
func TestAcceptGoesOnSoon(t *testing.T) {
	for _, outage := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			below := &failing{until: begun.Add(outage), err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
			l := New(below, slog.New(slog.DiscardHandler))
			if _, err := l.Accept(); err != nil {
				t.Fatal(err)
			}
			late := time.Since(begun) - outage
			if late > maxBackoff {
				t.Errorf("an outage of %v: accepted %v behind it", outage, late)
			}
			if most := 8 + int(outage/maxBackoff); below.tries > most || l.Failures() != int64(below.tries-1) {
				t.Errorf("an outage of %v: %d tries, %d at most are wanted; %d failed", outage, below.tries, most, l.Failures())
			}
		})
	}
}

// Guards against a server that never ends: what is closed, or past its deadline, is not tried again.
func TestAcceptEnds(t *testing.T) {
	for _, want := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		below := &failing{until: time.Now().Add(time.Hour), err: &net.OpError{Op: "accept", Err: want}}
		if _, err := New(below, slog.New(slog.DiscardHandler)).Accept(); !errors.Is(err, want) || below.tries != 1 {
			t.Errorf("%v after %d tries, want %v", err, below.tries, want)
		}
	}
}

// Guards against a shutdown that waits for a queue which cannot be emptied: accepts that go on failing end at the deadline.
func TestFailingAcceptsEndAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		l := New(&failing{until: begun.Add(time.Hour), err: syscall.EMFILE}, slog.New(slog.DiscardHandler))
		if err := l.SetDeadline(begun.Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := l.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begun) > time.Second+maxBackoff {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
	})
}
