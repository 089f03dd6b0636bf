package acceptor

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"
)

// startListener returns a listener and a function that connects to it, with a time-out of 100 ms.
func startListener(t *testing.T) (l *Listener, connect func() error) {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	tcp, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tcp.Close() })
	return New(tcp, slog.New(slog.DiscardHandler)), func() error {
		conn, err := net.DialTimeout("tcp", tcp.Addr().String(), 100*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { conn.Close() })
		}
		return err
	}
}

// TestRejectConnects guards against a filter that admits new connections, breaks established ones, or stays after AllowConnects.
func TestRejectConnects(t *testing.T) {
	l, connect := startListener(t)
	if err := errors.Join(connect(), connect()); err != nil {
		t.Fatal(err)
	}
	if err := l.RejectConnects(); err != nil {
		t.Fatal(err)
	}
	if err := connect(); !os.IsTimeout(err) {
		t.Errorf("connecting while connects are rejected returned %v, want a time-out", err)
	}
	for want := 2; want > 0; want-- {
		if n, err := l.QueueLength(); n != want || err != nil {
			t.Errorf("%d connections in the queue, error %v; want %d", n, err, want)
		}
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		conn.Close()
	}
	if err := errors.Join(l.AllowConnects(), l.AllowConnects()); err != nil {
		t.Fatal(err)
	}
	if err := connect(); err != nil {
		t.Errorf("connecting after AllowConnects failed: %v", err)
	}
}
