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

// Guards against bytes that are lost, doubled or mixed up where requests come behind the one in hand, which is read ahead of the server:
// many at once, in pieces of any size, also more than is read ahead, each is answered once and in order, and bodies arrive as sent.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	var mu sync.Mutex
	got := map[string]string{}
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		mu.Lock()
		got[g.Header.Get("X-Request-Id")] = g.Body
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
				t.Fatalf("seed %d: the answer to %d: %v %q, %v", seed, i, resp, body, err)
			}
			mu.Lock()
			if got[id] != bodies[i] {
				t.Errorf("seed %d: the body of %d arrived otherwise", seed, i)
			}
			mu.Unlock()
		}
		c.Close()
	}
}

// The same behind TLS, and a client there that goes behind its next request.
func TestPipelinedBehindTLS(t *testing.T) {
	e := startEncrypted(t, "node7.example")
	e.slow.Store(int64(5 * time.Millisecond))
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	over := func() (*tls.Conn, *bufio.Reader) {
		c := tls.Client(base.Dial(t, e.address), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
		return c, bufio.NewReader(c)
	}
	c, in := over()
	const many = 100
	for n := range many {
		if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: s\r\n\r\n", n); err != nil {
			t.Fatal(err)
		}
	}
	for n := range many {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("the answer to %d: %v, %v", n, resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "encrypted" {
			t.Fatalf("the answer to %d: %q, %v", n, body, err)
		}
	}
	c.Close()
	asked := e.asked.Load()
	e.slow.Store(int64(300 * time.Millisecond))
	c, _ = over()
	for range 40 {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: s\r\n\r\n")
	}
	testutil.Eventually(t, "the first is at the upstream", func() bool { return e.asked.Load() > asked })
	c.Close()
	e.client.CloseIdleConnections()
	e.stop()
	<-e.ended
	if n := e.asked.Load() - asked; n > 2 { // the first, and a second copy of it
		t.Errorf("%d were sent, for a client that had gone as the first was", n)
	}
}
