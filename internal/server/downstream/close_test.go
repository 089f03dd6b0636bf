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

// plainListener returns a listener whose socket supports filters, which Multipath TCP does not.
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

// connect opens a connection and leaves it in the accept queue.
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

// TestCloseIdleSparesNewConnections guards against closing a connection whose first request is on its way: a connection that has just been
// accepted has firstRequestTime for it, whatever the argument of CloseIdle.
func TestCloseIdleSparesNewConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    time.Duration
		served bool // the connection has had a request
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
			connections.conns[client].idleSince = time.Now().Add(-c.age)
			connections.CloseIdle(0)
			if closed := client.currentPhase() == phaseShut; closed != c.closed {
				t.Errorf("the connection was closed: %v, want the opposite", closed)
			}
		})
	}
}

// TestCloseAcceptsTheQueue guards against a reset of connections in the accept queue when the listener closes, even if they have to wait
// for capacity.
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
		t.Errorf("Accept with an empty queue returned %v, want net.ErrClosed", err)
	}
	if !connections.Drained() {
		t.Error("Drained returns false although all connections have ended")
	}
}

// TestCloseWithoutCapacity guards against a process that never ends because the connections in its accept queue wait for capacity.
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
		t.Errorf("Accept returned %v after %v, want net.ErrClosed within twice MaxDrain", err, time.Since(begun))
	}
}
