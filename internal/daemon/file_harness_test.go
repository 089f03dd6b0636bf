package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"orchiddrift/internal/config"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// fileRig is a daemon with an operator's file, which a test may replace.
type fileRig struct {
	*running
	d    *daemon
	path string
}

// plan parses an operator's file.
func plan(t testing.TB, text string) *config.Plan {
	t.Helper()
	p, err := config.ParseFile([]byte(text))
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return p
}

// startFile starts a daemon whose operator's file has the given text. The daemon reads the file again only if the test calls reload.
func startFile(t testing.TB, text string) *fileRig {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &fileRig{path: base.File(t, "o.toml", []byte(text)), running: &running{address: l.Addr().String(),
		ended: make(chan struct{}), client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	p, started := plan(t, text), make(chan *daemon, 1)
	go func() {
		r.err = serve(ctx, p, l, nil, config.Sources{Config: r.path}, nil, func(d *daemon) { started <- d })
		close(r.ended)
	}()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		cancel()
		<-r.ended
		if r.err != nil {
			t.Error(r.err)
		}
	})
	select {
	case r.d = <-started:
	case <-r.ended:
		t.Fatal(r.err)
	}
	return r
}

// startPlan starts a daemon with a plan. The daemon ends at the end of the test.
func startPlan(t *testing.T, p *config.Plan) (d *daemon, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served, started := make(chan error, 1), make(chan *daemon, 1)
	go func() { served <- serve(ctx, p, l, nil, config.Sources{}, nil, func(d *daemon) { started <- d }) }()
	t.Cleanup(func() {
		stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return <-started, l.Addr().String()
}

// reload replaces the operator's file, and makes the daemon read it again.
func (r *fileRig) reload(t testing.TB, text string) error {
	t.Helper()
	base.Replace(t, r.path, []byte(text))
	return r.d.reload(config.Sources{Config: r.path})
}

// request sends a request, and returns the status and the body of the answer, or 0 and the error's text if there is no answer.
func (r *fileRig) request(method, path string, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// respondWith returns a handler that answers with text.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// services returns an operator's file with services and routes. addresses has each service's address by the service's name, and each
// route has the form "pattern -> service".
func services(addresses map[string]string, routes ...string) string {
	var b strings.Builder
	b.WriteString("[log]\nlevel = \"error\"\n")
	for name, address := range addresses {
		fmt.Fprintf(&b, "[[service]]\nname = %q\naddresses = [%q]\n", name, address)
	}
	for _, line := range routes {
		pattern, service, _ := strings.Cut(line, " -> ")
		fmt.Fprintf(&b, "[[route]]\nmatch = %q\nservice = %q\n", pattern, service)
	}
	return b.String()
}

// awaitListPolls waits until the list file of service a has been polled twice more.
func awaitListPolls(t testing.TB, r *fileRig) {
	t.Helper()
	s := r.d.routing.Load().services["a"]
	from := s.source.(interface{ Polls() int64 }).Polls()
	testutil.Eventually(t, "the list file is polled twice", func() bool { return s.source.(interface{ Polls() int64 }).Polls() > from+1 })
}
