package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// Usual bodies of any number of clients were kept in memory, whatever there was of it. One for which there is no space gets 503 and may come
// back: nothing was sent. Small ones need none.
func TestUsualBodiesWaitForTheSpool(t *testing.T) {
	upstream := testutil.Raw(t, fakes.Says(fakes.OK200("served")))
	r := start(t, smallMemoryConfig(t, testutil.Entry("s", upstream.Address, "Ready")), "127.0.0.1:0")
	const size, half, clients = 60 << 10, 33 << 10, 80 // 80 times 60 KiB are more than the spool of 4 MiB
	var closers []io.Closer
	for i := range clients {
		conn, _ := dialRaw(t, r.address)
		closers = append(closers, conn)
		_, _ = fmt.Fprintf(conn, "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: half-%d\r\nContent-Length: %d\r\n\r\n%s", i, size, strings.Repeat("x", half))
	}
	var rejected *http.Response
	testutil.Eventually(t, "a body gets no space", func() bool {
		response, _ := r.do(t, testutil.Request(t, r.address, "confirm", strings.Repeat("x", size)))
		rejected = response
		return response.StatusCode == http.StatusServiceUnavailable
	})
	if rejected.Header.Get("Retry-After") != "1" {
		t.Errorf("the rejection has Retry-After %q, want 1", rejected.Header.Get("Retry-After"))
	}
	if response, _ := r.do(t, testutil.Request(t, r.address, "confirm", "small")); response.StatusCode != http.StatusOK {
		t.Errorf("a small body got %s, want 200", response.Status)
	}
	for _, conn := range closers {
		conn.Close()
	}
	testutil.Eventually(t, "a body gets space again", func() bool {
		response, _ := r.do(t, testutil.Request(t, r.address, "confirm", strings.Repeat("x", size)))
		return response.StatusCode == http.StatusOK
	})
}
