package daemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// pausingAcceptListener can pause after the operating system has accepted a connection and before the server gets the connection.
type pausingAcceptListener struct {
	*net.TCPListener
	pauseNext atomic.Bool
	accepted  chan struct{}
	resume    chan struct{}
}

func (l *pausingAcceptListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil && l.pauseNext.CompareAndSwap(true, false) {
		l.accepted <- struct{}{}
		<-l.resume
	}
	return c, err
}

// Guards against a connection that is lost because the shutdown finishes after the connection was accepted and before its first read, when
// no other connection is open. Also guards against a connection that is lost because it waits in the accept queue when the listener closes.
func TestAcceptedAsTheListenerCloses(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("complete")))
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &pausingAcceptListener{TCPListener: tcp.(*net.TCPListener), accepted: make(chan struct{}), resume: make(chan struct{})}
	r := startOn(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), l, nil)
	r.ready(t)
	idle := dial(t, r.address, nil)
	idle.send(t, "search", "")
	if resp, _, err := idle.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("request before the shutdown: got %v, error %v; want status 200", resp, err)
	}
	r.client.CloseIdleConnections()
	l.pauseNext.Store(true)
	paused := dial(t, r.address, nil)
	paused.send(t, "confirm", "")
	<-l.accepted
	queued := dial(t, r.address, nil) // stays in the queue, since the only accepting goroutine is paused
	queued.send(t, "confirm", "")
	r.stop()
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) { // idle connections are being closed
		t.Fatalf("read from an idle connection during the shutdown: got %v, want EOF", err)
	}
	idle.Close()
	// The listener is closed 0.15 s later. The test cannot observe that moment, so it waits longer than that.
	select {
	case <-r.ended:
	case <-time.After(500 * time.Millisecond):
	}
	close(l.resume)
	for _, c := range []*clientConn{paused, queued} {
		if resp, body, err := c.answer(); err != nil || resp.StatusCode != 200 || body != "complete" {
			t.Errorf("connection accepted or queued before the listener closed: got %v %q, error %v; want 200 and body complete", resp, body, err)
		}
		c.Close()
	}
	<-r.ended
}

// Guards against services that are never closed because a reload starts them after the process has closed its services.
func TestReloadAsItEnds(t *testing.T) {
	address := newPaymentUpstream(t).address
	r := startFile(t, services(map[string]string{"a": address}, "/ -> a"))
	r.stop()
	<-r.ended
	before := r.d.routing.Load()
	if err := r.reload(t, services(map[string]string{"a": address, "b": address}, "/ -> b")); err == nil || !strings.Contains(err.Error(), "ending") {
		t.Errorf("reload of a process that has ended: got error %v, want an error with the text \"ending\"", err)
	}
	if r.d.routing.Load() != before {
		t.Error("the reload of a process that has ended replaced its services")
	}
}

// Guards against a request that is forwarded after the unanswered requests were aborted at the end of the grace period: SIGKILL may end the
// process before the answer arrives.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	c := testutil.Config(t, "127.0.0.1:1", testutil.Entry("s", s.Address, "Ready"))
	d := &daemon{plan: c.Plan(), log: logging.Discard(), background: t.Context()}
	if err := errors.Join(d.newSharedResources(8), d.apply(d.plan)); err != nil {
		t.Fatal(err)
	}
	defer d.endServices()
	srv := &server{daemon: d, ids: newRequestIDs(1), lifecycleDriver: newLifecycleDriver(d.shared.clock, 0, nil)}
	request := func() *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodGet, "/search/1", nil)
		req.Header.Set("X-Request-ID", "1")
		w := httptest.NewRecorder()
		srv.ServeHTTP(w, req)
		return w
	}
	if w := request(); w.Code != 200 {
		t.Fatalf("request before the abort: got status %d, want 200", w.Code)
	}
	srv.aborted.Store(true)
	if w := request(); w.Code != http.StatusInternalServerError || w.Header().Get("Connection") != "close" {
		t.Errorf("request after the abort: got status %d, headers %v; want 500 and Connection: close", w.Code, w.Header())
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests were forwarded, want only the one before the abort", n)
	}
}

// Guards against requests that are lost when a process is stopped before it has received an endpoint list. If a list arrives during the
// grace period, the requests are served. Otherwise they are answered with an error at the end of the grace period.
func TestStopBeforeTheFirstList(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("complete")))
	for _, listArrives := range []bool{true, false} {
		d, sendList := discoveryWithDelayedList(t, s.Address)
		r, e := startWithEngine(t, d.Address)
		c := dial(t, r.address, nil)
		c.send(t, "search", "")
		testutil.Eventually(t, "the request waits for the endpoint list", func() bool { return e.InFlight() == 1 })
		r.stop()
		if listArrives {
			close(sendList)
		}
		resp, body, err := c.answer()
		switch {
		case err != nil:
			t.Errorf("endpoint list arrives: %v; reading the answer failed: %v", listArrives, err)
		case listArrives && (resp.StatusCode != 200 || body != "complete"), !listArrives && resp.StatusCode < 500:
			t.Errorf("endpoint list arrives: %v; got %s %q, want 200 and body complete with a list, an error status without", listArrives, resp.Status, body)
		}
		c.Close()
		<-r.ended
		if r.err != nil {
			t.Errorf("endpoint list arrives: %v; the process ended with error %v", listArrives, r.err)
		}
	}
}

// Guards against requests that are executed but not answered when clients send requests on each connection until the connection is closed.
// The last request of each client must be answered, or never have been forwarded.
func TestClientsThatSendUntilTheirConnectionEnds(t *testing.T) {
	var executed sync.Map
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		executed.Store(g.Header.Get("X-Request-Id"), true)
		return fakes.Says(fakes.OK200(g.Header.Get("X-Request-Id")))(c, g)
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), "127.0.0.1:0")
	r.client.CloseIdleConnections()
	var clients sync.WaitGroup
	var served atomic.Int64
	for n := range 24 {
		c := dial(t, r.address, nil)
		clients.Go(func() {
			defer c.Close()
			for {
				req := testutil.Request(t, r.address, "confirm", "")
				id := req.Header.Get("X-Request-ID")
				err := req.Write(c)
				resp, body, failed := (*http.Response)(nil), "", err
				if err == nil {
					resp, body, failed = c.answer()
				}
				if failed != nil {
					if _, wasExecuted := executed.Load(id); wasExecuted {
						t.Errorf("a request was executed upstream, but its client got no answer: %v", failed)
					}
					return
				}
				if resp.StatusCode != 200 || body != id {
					t.Errorf("request during the shutdown: got %s, body %q; want 200 and the request's ID as body", resp.Status, body)
				}
				served.Add(1)
				if resp.Close {
					return
				}
				// Each client pauses for a different time, so that the shutdown meets connections at every stage of a request.
				time.Sleep(time.Duration(n*n) * time.Millisecond)
			}
		})
	}
	testutil.Eventually(t, "more than 100 requests have been answered", func() bool { return served.Load() > 100 })
	r.stop()
	clients.Wait()
	<-r.ended
}

// Guards against idle clients that use up the file descriptors while discovery is down. The sidecar must still receive the next list,
// connect to upstreams, and serve the operators' address. At the limit it closes at most one idle connection for each new connection.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("complete")))
	d := fakes.NewDiscovery()
	d.Down(true)
	address, err := d.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	c := testutil.Config(t, address)
	const maxClients, clients = 20, 90
	c.Limits.Sockets, c.Control = reservedDescriptors+2*maxClients, base.FreeAddress(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := startOn(t, c, l, nil)
	var ended atomic.Int64
	for range clients {
		c := dial(t, r.address, nil)
		go func() {
			_, _ = c.in.ReadByte()
			ended.Add(1)
		}()
	}
	testutil.Eventually(t, "the connections over the limit are closed", func() bool { return ended.Load() >= clients-maxClients })
	d.Set(testutil.EndpointList(t, 2, true, testutil.Entry("s", s.Address, "Ready")).Endpoints...)
	d.Down(false)
	requester := dial(t, r.address, nil)
	requester.send(t, "search", "")
	if resp, body, err := requester.answer(); err != nil || resp.StatusCode != 200 || body != "complete" {
		t.Errorf("request while idle connections are at the limit: got %v %q, error %v; want 200 and body complete", resp, body, err)
	}
	testutil.Eventually(t, "the operators' address reports that the process is ready", func() bool {
		resp, err := r.client.Get("http://" + c.Control + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	if n := ended.Load(); n > clients+1-maxClients {
		t.Errorf("%d idle connections were closed in total, want at most %d, one for each new connection", n, clients+1-maxClients)
	}
}
