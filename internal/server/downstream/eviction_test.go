package downstream

import (
	"io"
	"net/http"
	"testing"
	"time"

	"orchiddrift/internal/testing/testutil/base"
)

// Usual clients were cut off while others came and went: connections that had a request to read, or had just been used, were evicted.
func TestConnectionsInUseAreNotEvicted(t *testing.T) {
	for _, c := range []struct {
		name    string
		sent    string        // by the client, not read by the server
		resting time.Duration // since its latest request ended, or since it was accepted
		used    bool
		evicted bool
	}{
		{"new", "", 0, false, false},
		{"new, silent for a while", "", 2 * silentTime, false, true},
		{"new, with a request to read", "GET /", 2 * silentTime, false, false},
		{"just used", "", 0, true, false},
		{"used a short time ago", "", 2 * silentTime, true, false},
		{"not used for a while", "", 2 * restTime, true, true},
		{"not used for a while, with a request to read", "GET /", 2 * restTime, true, false},
		{"not used for long, with a request to read", "GET /", 2 * requestGap, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := plainListener(t)
			connections := NewConnections(l, 1, nil)
			peer := connect(t, l)
			client := accept(t, connections)
			if c.used {
				connections.State(client, http.StateActive)
				connections.State(client, http.StateIdle)
			}
			_, _ = io.WriteString(peer, c.sent)
			if c.sent != "" {
				base.Eventually(t, "the bytes arrive", client.hasUnreadBytes)
			}
			connections.mu.Lock()
			defer connections.mu.Unlock()
			connections.conns[client].idleSince = time.Now().Add(-c.resting)
			if evicted := connections.evictLocked(nil); evicted != c.evicted {
				t.Errorf("evicted: %v, want %v", evicted, c.evicted)
			}
		})
	}
}

// While all places were in use, each request of any connection had all connections looked at again, under the lock that every connection needs.
func TestWaitingForCapacityIsCheap(t *testing.T) {
	const used, requests = 200, 20_000
	l := plainListener(t)
	connections := NewConnections(l, used-1, nil)
	var clients []*conn
	for range used {
		connect(t, l)
		client := accept(t, connections)
		connections.State(client, http.StateActive)
		clients = append(clients, client)
	}
	looks := 0
	connections.looked = func() { looks++ }
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		_, _ = connections.Accept()
	}()
	startedAt := time.Now()
	for i := range requests {
		connections.State(clients[i%used], http.StateIdle)
		connections.State(clients[i%used], http.StateActive)
	}
	took := time.Since(startedAt)
	connections.mu.Lock()
	if limit := int(took/evictionRetry) + 2; looks > limit {
		t.Errorf("connections were looked at %d times in %v, want at most %d times", looks, took, limit)
	}
	connections.mu.Unlock()
	connections.Close()
	for _, client := range clients {
		connections.State(client, http.StateClosed)
	}
	<-accepting
}

// Clients that sent slowly and without an end held all places, and usual clients that had lost theirs got none.
func TestRequestThatArrivesForLongMakesRoom(t *testing.T) {
	l := plainListener(t)
	connections := NewConnections(l, 1, nil)
	peer := connect(t, l)
	client := accept(t, connections)
	connections.State(client, http.StateActive)
	const sent = "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\nhalf"
	if _, err := io.WriteString(peer, sent); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(client, make([]byte, len(sent))); err != nil {
		t.Fatal(err)
	}
	evicted := func() bool {
		connections.mu.Lock()
		defer connections.mu.Unlock()
		return connections.evictLocked(nil)
	}
	if evicted() {
		t.Fatal("the connection was evicted before receiveTime")
	}
	client.arrival.partialSince.Add(-int64(2 * receiveTime))
	_, _ = io.WriteString(peer, "a")
	base.Eventually(t, "the client goes on", client.hasUnreadBytes)
	if evicted() {
		t.Fatal("the connection was evicted although the rest of its request may have come")
	}
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !evicted() {
		t.Error("the connection was not evicted")
	}
}

// Clients that left while an upstream blocked their uploads kept their places, and uploads of clients that stayed were evicted in their stead.
func TestClientThatLeftItsUploadMakesRoom(t *testing.T) {
	l := plainListener(t)
	connections := NewConnections(l, 1, nil)
	peer := connect(t, l)
	client := accept(t, connections)
	connections.State(client, http.StateActive)
	const head = "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\n"
	if _, err := io.WriteString(peer, head+"half"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(client, make([]byte, len(head))); err != nil {
		t.Fatal(err)
	}
	evicted := func() bool {
		connections.mu.Lock()
		defer connections.mu.Unlock()
		return connections.evictLocked(nil)
	}
	if evicted() {
		t.Fatal("the connection was evicted before its client had left")
	}
	peer.Close()
	base.Eventually(t, "the connection is evicted", evicted)
}
