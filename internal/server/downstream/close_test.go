package downstream

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"orchiddrift/internal/server/acceptor"
)

// plainListener listens on a socket that takes a filter.
func plainListener(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return acceptor.New(l, slog.New(slog.DiscardHandler))
}

// connect opens a connection and leaves it in the queue.
func connect(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// accept accepts a connection as the server does.
func accept(t *testing.T, c *Connections) *conn {
	t.Helper()
	accepted, err := c.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client := accepted.(*conn)
	t.Cleanup(client.closeNow)
	c.State(client, http.StateNew)
	return client
}

// TestCloseIdleSparesNewConnections guards against a close that a first request crosses: a connection that has just been accepted has
// time for it, whatever idle time is closed.
func TestCloseIdleSparesNewConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		served bool // it has had a request
		closed bool
	}{
		{"new", 0, false, false},
		{"new, almost over its time", firstRequestTime / 2, false, false},
		{"never used", firstRequestTime, false, true},
		{"idle", 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			connections := NewConnections(plainListener(t), 4, nil)
			connect(t, connections)
			client := accept(t, connections)
			if c.served {
				connections.State(client, http.StateActive)
				connections.State(client, http.StateIdle)
			}
			connections.conns[client].quietSince = time.Now().Add(-c.age)
			connections.CloseIdle(0)
			if closed := client.currentPhase() == phaseShut; closed != c.closed {
				t.Errorf("closed: %v", closed)
			}
		})
	}
}

// TestCloseAcceptsTheQueue guards against connections that the system has accepted and that are reset as the listener closes, also where
// they have to wait for capacity.
func TestCloseAcceptsTheQueue(t *testing.T) {
	l := plainListener(t)
	connections := NewConnections(l, 1, nil)
	for range 4 {
		connect(t, l)
	}
	open := []*conn{accept(t, connections), accept(t, connections)} // one beyond the limit
	for _, conn := range open {
		connections.State(conn, http.StateActive)
	}
	if err := connections.Close(); err != nil {
		t.Fatal(err)
	}
	for _, conn := range open {
		connections.State(conn, http.StateClosed)
		open = append(open, accept(t, connections))
	}
	for _, conn := range open[2:] {
		connections.State(conn, http.StateClosed)
	}
	if _, err := connections.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the queue: %v", err)
	}
	if !connections.Drained() {
		t.Error("not drained")
	}
}

// TestCloseWithoutCapacity guards against a process that never ends since the connections in its queue wait for capacity.
func TestCloseWithoutCapacity(t *testing.T) {
	l := plainListener(t)
	connections := NewConnections(l, 1, nil)
	for range 3 {
		connect(t, l)
	}
	for range 2 {
		connections.State(accept(t, connections), http.StateActive)
	}
	begun := time.Now()
	if err := connections.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := connections.Accept(); !errors.Is(err, net.ErrClosed) || time.Since(begun) > 2*acceptor.MaxDrain {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
}
