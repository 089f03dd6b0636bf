package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/testing/testutil/base"
)

// Requests that had been read together with the one before them were lost when idle connections were closed: the connection counted as idle
// between two of them.
func TestConnectionWithRequestsThatWereReadIsNotIdle(t *testing.T) {
	const requests = 5
	for _, padding := range []int{0, 3000} { // what net/http reads at once, and more than that
		l := plainListener(t)
		connections := NewConnections(l, 10, nil)
		server := &http.Server{
			Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "answer") }),
			ConnContext: connections.Context,
			ConnState: func(conn net.Conn, state http.ConnState) {
				connections.State(conn, state)
				if state == http.StateIdle {
					connections.CloseIdle(0)
				}
			},
		}
		go server.Serve(connections)
		t.Cleanup(func() { server.Close() })
		peer := connect(t, l)
		_ = peer.SetDeadline(time.Now().Add(base.Timeout))
		request := "GET /a HTTP/1.1\r\nHost: s\r\nX-Padding: " + strings.Repeat("p", padding) + "\r\n\r\n"
		if _, err := io.WriteString(peer, strings.Repeat(request, requests)); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(peer)
		for i := range requests {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("%d bytes of padding: request %d of %d was not answered: %v", padding, i+1, requests, err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
		}
	}
}
