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

// acceptingListener holds a connection between the system's accept and what the server makes of it.
type acceptingListener struct {
	*net.TCPListener
	holds    atomic.Bool
	accepted chan struct{}
	goOn     chan struct{}
}

func (l *acceptingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil && l.holds.CompareAndSwap(true, false) {
		l.accepted <- struct{}{}
		<-l.goOn
	}
	return c, err
}

// Guards against a connection that is lost between its accept and its first read: nothing else is open at the shutdown, which then
// would be over; and against one that waits in the queue as the listener closes.
func TestAcceptedAsTheListenerCloses(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("whole")))
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &acceptingListener{TCPListener: tcp.(*net.TCPListener), accepted: make(chan struct{}), goOn: make(chan struct{})}
	r := startOn(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready")), l, nil)
	r.ready(t)
	other := dial(t, r.address, nil)
	other.send(t, "search", "")
	if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	r.client.CloseIdleConnections()
	l.holds.Store(true)
	held := dial(t, r.address, nil)
	held.send(t, "confirm", "")
	<-l.accepted
	queued := dial(t, r.address, nil) // it stays in the queue: there is one that accepts
	queued.send(t, "confirm", "")
	r.stop()
	if _, err := other.in.ReadByte(); !errors.Is(err, io.EOF) { // idle connections are being closed
		t.Fatalf("an idle connection: %v", err)
	}
	other.Close()
	// The listener is closed 0.15 s later; whether that has come is not for this test to see.
	select {
	case <-r.ended:
	case <-time.After(500 * time.Millisecond):
	}
	close(l.goOn)
	for _, c := range []*clientConn{held, queued} {
		if resp, body, err := c.answer(); err != nil || resp.StatusCode != 200 || body != "whole" {
			t.Errorf("%v %q, %v", resp, body, err)
		}
		c.Close()
	}
	<-r.ended
}

// Guards against services that nobody ends: a reload crosses the end of the process.
func TestReloadAsItEnds(t *testing.T) {
	address := newPaymentUpstream(t).address
	r := startFile(t, services(map[string]string{"a": address}, "/ -> a"))
	r.stop()
	<-r.ended
	before := r.d.routing.Load()
	if err := r.reload(t, services(map[string]string{"a": address, "b": address}, "/ -> b")); err == nil || !strings.Contains(err.Error(), "ending") {
		t.Errorf("a reload of a process that has ended: %v", err)
	}
	if r.d.routing.Load() != before {
		t.Error("it has other services")
	}
}

// Guards against a request that is sent on when what is unanswered has been failed: SIGKILL comes next.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	c := testutil.Config(t, "127.0.0.1:1", testutil.Entry("s", s.Address, "Ready"))
	d := &daemon{plan: c.Plan(), log: logging.Discard(), background: t.Context()}
	if err := errors.Join(d.newSharedResources(8), d.apply(d.plan)); err != nil {
		t.Fatal(err)
	}
	defer d.endServices()
	srv := &server{daemon: d, ids: newRequestIDs(1), lifecycleDriver: newLifecycleDriver(d.shared.clock, 0, nil)}
	ask := func() *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodGet, "/search/1", nil)
		req.Header.Set("X-Request-ID", "1")
		w := httptest.NewRecorder()
		srv.ServeHTTP(w, req)
		return w
	}
	if w := ask(); w.Code != 200 {
		t.Fatalf("before: %d", w.Code)
	}
	srv.aborted.Store(true)
	if w := ask(); w.Code != http.StatusInternalServerError || w.Header().Get("Connection") != "close" {
		t.Errorf("answered %d, %v", w.Code, w.Header())
	}
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d were sent on", n)
	}
}

// Guards against requests that are lost as a process is ended before it has had a list: the list that comes is used, and where none
// comes they are answered before SIGKILL.
func TestStopBeforeTheFirstList(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("whole")))
	for _, comes := range []bool{true, false} {
		d, tell := withheld(t, s.Address)
		r, e := startLooking(t, d.Address)
		c := dial(t, r.address, nil)
		c.send(t, "search", "")
		testutil.Eventually(t, "the request waits for the list", func() bool { return e.InFlight() == 1 })
		r.stop()
		if comes {
			close(tell)
		}
		resp, body, err := c.answer()
		switch {
		case err != nil:
			t.Errorf("list %v: %v", comes, err)
		case comes && (resp.StatusCode != 200 || body != "whole"), !comes && resp.StatusCode < 500:
			t.Errorf("list %v: %s %q", comes, resp.Status, body)
		}
		c.Close()
		<-r.ended
		if r.err != nil {
			t.Errorf("list %v: %v", comes, r.err)
		}
	}
}

// Guards against requests that run and have no answer, while clients send on every connection for as long as it stays open: each
// client's last one is answered, or was never sent on.
func TestClientsThatSendUntilTheirConnectionEnds(t *testing.T) {
	var ran sync.Map
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		ran.Store(g.Header.Get("X-Request-Id"), true)
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
					if _, is := ran.Load(id); is {
						t.Errorf("it ran, and its client has no answer: %v", failed)
					}
					return
				}
				if resp.StatusCode != 200 || body != id {
					t.Errorf("%s %q", resp.Status, body)
				}
				served.Add(1)
				if resp.Close {
					return
				}
				// Some rest, each for another time, so that a close finds requests at each of their steps.
				time.Sleep(time.Duration(n*n) * time.Millisecond)
			}
		})
	}
	testutil.Eventually(t, "all have been served", func() bool { return served.Load() > 100 })
	r.stop()
	clients.Wait()
	<-r.ended
}

// Guards against idle clients that fill the descriptors while discovery is down: the next list, the upstreams and the operators'
// address are still reached, those that have rested for longest give way, and no more than one for each that comes.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("whole")))
	d := fakes.NewDiscovery()
	d.Down(true)
	address, err := d.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	c := testutil.Config(t, address)
	const most, clients = 20, 90
	c.Limits.Sockets, c.Control = reservedDescriptors+2*most, base.FreeAddress(t)
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
	testutil.Eventually(t, "no more are open than there may be", func() bool { return ended.Load() >= clients-most })
	d.Set(testutil.EndpointList(t, 2, true, testutil.Entry("s", s.Address, "Ready")).Endpoints...)
	d.Down(false)
	asks := dial(t, r.address, nil)
	asks.send(t, "search", "")
	if resp, body, err := asks.answer(); err != nil || resp.StatusCode != 200 || body != "whole" {
		t.Errorf("%v %q, %v", resp, body, err)
	}
	testutil.Eventually(t, "the operators' address says that it can serve", func() bool {
		resp, err := r.client.Get("http://" + c.Control + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	if n := ended.Load(); n > clients+1-most {
		t.Errorf("%d idle connections gave way to one that asked, %d were one for each", n, clients+1-most)
	}
}
