package daemon

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// Guards against bytes that are lost, duplicated or reordered when a client pipelines requests, which the sidecar reads ahead of net/http.
// The client sends many requests at once, in segments of any size, and more than the sidecar reads ahead. Each request must be answered
// once and in order, and its body must reach the upstream unchanged.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	var mu sync.Mutex
	bodyByID := map[string]string{}
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		mu.Lock()
		bodyByID[g.Header.Get("X-Request-Id")] = g.Body
		mu.Unlock()
		return fakes.Says(fakes.OK200(g.Header.Get("X-Request-Id")))(c, g)
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	for seed := range uint64(6) {
		g := rand.New(rand.NewPCG(seed, 5))
		c := dial(t, r.address, nil)
		var text strings.Builder
		var ids, bodies []string
		for range 150 {
			class := []string{"search", "confirm", "record"}[g.IntN(3)]
			body := ""
			if class != "search" {
				body = strings.Repeat(fmt.Sprintf("%x;", g.Uint64()), g.IntN(80))
			}
			req := testutil.Request(t, r.address, class, body)
			if err := req.Write(&text); err != nil {
				t.Fatal(err)
			}
			ids, bodies = append(ids, req.Header.Get("X-Request-ID")), append(bodies, body)
		}
		go func() {
			for all := text.String(); len(all) > 0; {
				n := min(len(all), 1+g.IntN([]int{3, 300, 30000}[seed%3]))
				if _, err := io.WriteString(c, all[:n]); err != nil {
					return
				}
				all = all[n:]
			}
		}()
		for i, id := range ids {
			resp, body, err := c.answer()
			if err != nil || resp.StatusCode != 200 || body != id {
				t.Fatalf("seed %d: response to request %d: got %v, body %q, error %v; want status 200 and the request's ID as body", seed, i, resp, body, err)
			}
			mu.Lock()
			if bodyByID[id] != bodies[i] {
				t.Errorf("seed %d: the body of request %d reached the upstream changed", seed, i)
			}
			mu.Unlock()
		}
		c.Close()
	}
}

// Guards against pipelined requests over TLS whose answers are lost or reordered, and against requests that are forwarded although the
// client that pipelined them has disconnected.
func TestPipelinedBehindTLS(t *testing.T) {
	e := startTLSRig(t, "node7.example")
	e.delay.Store(int64(5 * time.Millisecond))
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	dialTLS := func() (*tls.Conn, *bufio.Reader) {
		c := tls.Client(base.Dial(t, e.address), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
		return c, bufio.NewReader(c)
	}
	c, in := dialTLS()
	const pipelined = 100
	for n := range pipelined {
		if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: s\r\n\r\n", n); err != nil {
			t.Fatal(err)
		}
	}
	for n := range pipelined {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("response to pipelined request %d: got %v, error %v; want status 200", n, resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "encrypted" {
			t.Fatalf("response to pipelined request %d: got body %q, error %v; want encrypted", n, body, err)
		}
	}
	c.Close()
	requests := e.requests.Load()
	e.delay.Store(int64(300 * time.Millisecond))
	c, _ = dialTLS()
	for range 40 {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: s\r\n\r\n")
	}
	testutil.Eventually(t, "the first request reaches the upstream", func() bool { return e.requests.Load() > requests })
	c.Close()
	e.client.CloseIdleConnections()
	e.stop()
	<-e.ended
	if n := e.requests.Load() - requests; n > 2 { // the first request and a hedged request for it
		t.Errorf("%d requests reached the upstream for a client that disconnected during its first request, want at most 2", n)
	}
}
