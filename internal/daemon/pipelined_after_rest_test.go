package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// Guards against taking the client of a connection that has rested for one that may have left: requests that it sends at once have to be served.
func TestPipelinedRequestsAfterARestAreServed(t *testing.T) {
	const requests, rest = 300, 120 * time.Millisecond // longer than a client may be without a sign
	upstream := testutil.Raw(t, fakes.Says(fakes.OK200("served")))
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", upstream.Address, "Ready")), "127.0.0.1:0")
	c := dial(t, r.address, nil)
	defer c.Close()
	for round := range 3 {
		time.Sleep(rest)
		var text strings.Builder
		for i := range requests {
			fmt.Fprintf(&text, "GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %d-%d\r\nX-Padding: %s\r\n\r\n", round, i, strings.Repeat("p", 200))
		}
		go io.WriteString(c, text.String())
		for i := range requests {
			response, _, err := c.answer()
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("round %d: request %d got %v, error %v; want 200", round, i, response, err)
			}
		}
	}
}

// Guards against taking the rest of a long request for requests behind it: its client has not left.
func TestUploadThatWaitsForItsConnectionIsServed(t *testing.T) {
	const length, rest = 1 << 20, 120 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "served")
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	d, sendList := discoveryWithDelayedList(t, l.Addr().String())
	r, e := startWithEngine(t, d.Address)
	conn := base.Dial(t, r.address)
	fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: upload\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", length)
	go func() {
		_, _ = io.WriteString(conn, strings.Repeat("x", length)+"\r\n0\r\n\r\n")
	}()
	testutil.Eventually(t, "the request waits for the endpoint list", func() bool { return e.InFlight() == 1 })
	time.Sleep(rest)
	close(sendList)
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 200" {
		t.Errorf("the upload got %q, error %v; want 200", status, err)
	}
}
