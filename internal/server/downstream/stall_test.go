package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"orchiddrift/internal/testing/testutil/base"
)

// Clients that sent half a request and stayed held all places: idle connections of usual clients were evicted, and new ones waited.
func TestStalledRequestsAreEvicted(t *testing.T) {
	const halfHead, head = "GET /a HTTP/1.1\r\nHo", "GET /a HTTP/1.1\r\nHost: s\r\n\r\n"
	const halfBody = "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\nhalf"
	for _, c := range []struct {
		name    string
		sent    string
		read    int // bytes that the server has read
		waits   bool
		stalled bool
	}{
		{"half a head", halfHead, len(halfHead), true, true},
		{"half a body", halfBody, len(halfBody), true, true},
		{"half a body that the server does not read", halfBody, len(halfBody), false, false},
		{"a request in flight", head, len(head), true, false},
		{"a request in flight, and half of the next one", head + halfHead, len(head + halfHead), true, false},
		{"half a head with bytes that are not read yet", halfHead + "st: s", len(halfHead), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := plainListener(t)
			connections := NewConnections(l, 1, nil)
			peer := connect(t, l)
			client := accept(t, connections)
			if _, err := io.WriteString(peer, c.sent); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(client, make([]byte, c.read)); err != nil {
				t.Fatal(err)
			}
			connections.State(client, http.StateActive)
			if c.waits {
				reading := make(chan struct{})
				go func() {
					defer close(reading)
					_, _ = client.Read(make([]byte, 1))
				}()
				defer func() { client.closeNow(); <-reading }()
			}
			evicted := func() bool {
				connections.mu.Lock()
				defer connections.mu.Unlock()
				return connections.evictLocked(nil)
			}
			if evicted() {
				t.Fatal("the connection was evicted before stallTime")
			}
			if c.stalled {
				base.Eventually(t, "the connection is evicted", evicted)
				return
			}
			if client.arrival.awaitedSince.Load() != 0 {
				client.arrival.awaitedSince.Add(-int64(2 * stallTime))
			}
			if evicted() {
				t.Error("the connection was evicted")
			}
		})
	}
}

// A connection that waits for capacity must be accepted as soon as another one has stalled for long enough, without any other change.
func TestStalledRequestMakesRoom(t *testing.T) {
	l := plainListener(t)
	connections := NewConnections(l, 0, nil)
	peer := connect(t, l)
	stalled := accept(t, connections) // one beyond the limit
	if _, err := io.WriteString(peer, "GET /a"); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, stalled) }()
	connect(t, l)
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := connections.Accept(); err == nil {
			accepted <- conn
		}
	}()
	select {
	case <-accepted:
	case <-time.After(base.Timeout):
		t.Error("the second connection was not accepted")
	}
}
