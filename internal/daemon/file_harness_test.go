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

// fileRig is a daemon by an operator's file that a test rewrites.
type fileRig struct {
	*running
	d    *daemon
	path string
}

// plan reads an operator's file.
func plan(t testing.TB, text string) *config.Plan {
	t.Helper()
	p, err := config.ParseFile([]byte(text))
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return p
}

// startFile starts a daemon, whose reloads the test itself calls.
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
	p, up := plan(t, text), make(chan *daemon, 1)
	go func() {
		r.err = serve(ctx, p, l, nil, config.Sources{Config: r.path}, nil, func(d *daemon) { up <- d })
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
	case r.d = <-up:
	case <-r.ended:
		t.Fatal(r.err)
	}
	return r
}

// startPlan starts a daemon by a plan, and ends it with the test.
func startPlan(t *testing.T, p *config.Plan) (d *daemon, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	over, up := make(chan error, 1), make(chan *daemon, 1)
	go func() { over <- serve(ctx, p, l, nil, config.Sources{}, nil, func(d *daemon) { up <- d }) }()
	t.Cleanup(func() {
		stop()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
	return <-up, l.Addr().String()
}

func (r *fileRig) reload(t testing.TB, text string) error {
	t.Helper()
	base.Replace(t, r.path, []byte(text))
	return r.d.reload(config.Sources{Config: r.path})
}

// get asks, and returns status and body.
func (r *fileRig) get(method, path string, body string) (int, string) {
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

func says(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// services is a file of services at addresses, by name, with one route a line "pattern service".
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

// looked waits until a list file has been looked at twice more.
func looked(t testing.TB, r *fileRig) {
	t.Helper()
	s := r.d.routing.Load().services["a"]
	from := s.source.(interface{ Polls() int64 }).Polls()
	testutil.Eventually(t, "the file is looked at", func() bool { return s.source.(interface{ Polls() int64 }).Polls() > from+1 })
}
