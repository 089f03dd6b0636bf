package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// startWithEngine starts a sidecar without waiting until it is ready, and returns it with its engine.
func startWithEngine(t *testing.T, discovery string, known ...string) (*running, *engine.Engine) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := make(chan *engine.Engine, 1)
	r := startOn(t, testutil.Config(t, discovery, known...), l, func(e *engine.Engine) { started <- e })
	return r, <-started
}

// discoveryWithDelayedList starts a fake discovery service that answers, but sends no list until sendList is closed. Its list then has
// upstream s at address.
func discoveryWithDelayedList(t *testing.T, address string) (d *fakes.ScriptedDiscovery, sendList chan struct{}) {
	t.Helper()
	sendList = make(chan struct{})
	return testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		select {
		case <-sendList:
			send(testutil.List(1, true, testutil.Entry("s", address, "Ready")))
		case <-done:
		}
		<-done
	}), sendList
}

// pendingAttempts returns the number of attempts in flight.
func pendingAttempts(e *engine.Engine) (n int) {
	for _, u := range e.View() {
		n += u.Pending
	}
	return n
}

// Guards against requests that are forwarded although their client disconnected while they waited for the first endpoint list. The client
// has pipelined further requests, behind which a reader of the connection does not notice that the connection has ended.
func TestClientGoneBehindItsNextRequest(t *testing.T) {
	for _, pipelined := range []int{1, 100} { // 1 request fits into one read of net/http, 100 requests do not
		t.Run(fmt.Sprint(pipelined), func(t *testing.T) {
			s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
			d, sendList := discoveryWithDelayedList(t, s.Address)
			r, e := startWithEngine(t, d.Address)
			c := dial(t, r.address, nil)
			c.send(t, "confirm", "")
			testutil.Eventually(t, "the request waits for the endpoint list", func() bool { return e.InFlight() == 1 })
			for range pipelined {
				c.send(t, "confirm", "")
			}
			c.Close()
			close(sendList)
			other := dial(t, r.address, nil)
			other.send(t, "search", "")
			if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
				t.Fatalf("request of another client: got %v, error %v; want status 200", resp, err)
			}
			other.Close()
			r.stop()
			<-r.ended
			for _, got := range s.Requests() {
				if got.Method == http.MethodPost {
					t.Errorf("request %s was forwarded although its client had disconnected", got.Header.Get("X-Request-Id"))
				}
			}
		})
	}
}

// awaitIdle waits until no request is in flight, but at most 500 ms. A request that does not end in this time would be forwarded. The
// operating system retries a connection that was not established only after 1 s.
func awaitIdle(e *engine.Engine) {
	for end := time.Now().Add(500 * time.Millisecond); e.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Guards against requests that are forwarded although their client disconnected while the upstream connection was being established.
func TestClientGoneWhileAConnectionComesUp(t *testing.T) {
	late := base.NewLateUpstream(t)
	r, e := startWithEngine(t, testutil.Quiet(t).Address, testutil.Entry("s", late.Address, "Ready"))
	c := dial(t, r.address, nil)
	c.send(t, "confirm", "")
	testutil.Eventually(t, "the attempt waits for its upstream connection", func() bool { return pendingAttempts(e) == 1 })
	c.Close()
	awaitIdle(e)
	late.StartAccepting()
	other := dial(t, r.address, nil)
	other.send(t, "search", "")
	if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("request of another client: got %v, error %v; want status 200", resp, err)
	}
	other.Close()
	r.stop()
	<-r.ended
	if n := late.RequestCount(); n != 1 {
		t.Errorf("%d requests reached the upstream, want only the one whose client stayed connected", n)
	}
}

// Guards against a request with an idempotency key that is forwarded although all of its clients disconnected while the upstream connection
// was being established. Several clients may wait for its answer, and the request continues as long as one of them does. Once all have
// disconnected the request counts as not executed, so that a later retry is executed.
func TestKeyedClientsGoneWhileAConnectionComesUp(t *testing.T) {
	late := base.NewLateUpstream(t)
	r := startFile(t, fmt.Sprintf(idempotencyFile, fmt.Sprintf("addresses = [%q]\nconnect_timeout = \"10s\"", late.Address), "6s", "20s"))
	e := r.d.routing.Load().services["pay"].engine
	ended := make(chan int, 2)
	var leave []context.CancelFunc
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		leave = append(leave, cancel)
		go func() {
			status, _, _ := pay(ctx, r, "/record/1", "k", "")
			ended <- status
		}()
		testutil.Eventually(t, "the attempt waits for its upstream connection", func() bool { return pendingAttempts(e) == 1 })
	}
	testutil.Eventually(t, "the second client is connected", func() bool { return r.d.lifecycle.connections.Count() == 2 })
	leave[0]()
	<-ended
	if pendingAttempts(e) != 1 {
		t.Error("the attempt ended with its first client, although a second one waits for the answer")
	}
	leave[1]()
	<-ended
	awaitIdle(e)
	late.StartAccepting()
	if status, body, header := pay(t.Context(), r, "/record/1", "k", ""); status != 200 || header.Get(replayedHeader) != "" {
		t.Errorf("retry after all clients disconnected: got %d %q, want 200 and no replayed answer", status, body)
	}
	r.client.CloseIdleConnections()
	r.stop()
	<-r.ended // the requests in flight have ended too
	if n := late.RequestCount(); n != 1 {
		t.Errorf("%d requests reached the upstream, want only the one whose client stayed connected", n)
	}
}

// Guards against requests that are forwarded although their clients disconnected in a burst: many clients wait for the first endpoint list,
// and all of them have disconnected when the list arrives.
func TestManyClientsGoneAtOnce(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	d, sendList := discoveryWithDelayedList(t, s.Address)
	r, e := startWithEngine(t, d.Address)
	var all []*clientConn
	for n := range 60 {
		c := dial(t, r.address, nil)
		c.send(t, []string{"search", "confirm", "record"}[n%3], strings.Repeat("x", n%3*100))
		all = append(all, c)
	}
	testutil.Eventually(t, "all requests wait for the endpoint list", func() bool { return e.InFlight() == len(all) })
	for n, c := range all {
		if n%2 == 0 { // half of the connections are reset, the others closed
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	testutil.Eventually(t, "the sidecar has noticed that all clients disconnected", func() bool { return e.InFlight() == 0 })
	close(sendList)
	other := dial(t, r.address, nil)
	other.send(t, "search", "")
	if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("request of another client: got %v, error %v; want status 200", resp, err)
	}
	other.Close()
	r.stop()
	<-r.ended
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d requests were forwarded for clients that had disconnected, want 0", n-1)
	}
}

// Guards against GraphQL operations that are forwarded although their clients disconnected while the upstream connection was being
// established. A mutation, a query and a batch of two queries wait for that connection.
func TestGraphQLClientsGoneWhileAConnectionComesUp(t *testing.T) {
	late := base.NewLateUpstream(t)
	r := startFile(t, fmt.Sprintf(strings.Replace(graphqlFile, "name = \"seats\"", "name = \"seats\"\nconnect_timeout = \"10s\"", 1), strconv.Quote(late.Address), "20s"))
	e := r.d.routing.Load().services["seats"].engine
	ctx, leave := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	rig := &graphqlRig{fileRig: r}
	for _, body := range []string{operationJSON(`mutation{confirm(id:"a")}`), operationJSON("{seats}"),
		"[" + operationJSON("{seats}") + "," + operationJSON(`{coach}`) + "]"} {
		clients.Go(func() { rig.post(ctx, body) })
	}
	testutil.Eventually(t, "all operations wait for their upstream connections", func() bool { return e.InFlight() >= 3 })
	leave()
	clients.Wait()
	awaitIdle(e)
	late.StartAccepting()
	if status, _, _ := rig.post(t.Context(), operationJSON(`mutation{confirm(id:"b")}`)); status == 0 {
		t.Error("a mutation sent after the clients disconnected got no answer")
	}
	r.client.CloseIdleConnections()
	r.stop()
	<-r.ended // the requests in flight have ended too
	if n := late.RequestCount(); n != 1 {
		t.Errorf("%d requests reached the upstream, want only the one whose client stayed connected", n)
	}
}

// Guards against requests that are not served because disconnected clients use up the limits. In each round, several clients send requests
// to an upstream that hangs, and disconnect. A client that sends a request afterwards must be served.
func TestGoneClientsGiveWay(t *testing.T) {
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if strings.HasPrefix(g.Target, "/confirm") {
			return fakes.Silent(c, g)
		}
		return fakes.Says(fakes.OK200("complete"))(c, g)
	})
	c := testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", s.Address, "Ready"))
	c.Limits.Sockets = reservedDescriptors + 2*4
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := startOn(t, c, l, nil)
	r.ready(t)
	r.client.CloseIdleConnections()
	begun := time.Now()
	for round := range 3 {
		var all []*clientConn
		for range 4 {
			c := dial(t, r.address, nil)
			c.send(t, "confirm", "")
			all = append(all, c)
		}
		testutil.Eventually(t, "all requests of the round reach the upstream", func() bool {
			n := 0
			for _, g := range s.Requests() {
				if strings.HasPrefix(g.Target, "/confirm") {
					n++
				}
			}
			return n == 4*(round+1)
		})
		for _, c := range all {
			c.Close()
		}
		waiting := dial(t, r.address, nil)
		waiting.send(t, "search", "")
		if resp, body, err := waiting.answer(); err != nil || resp.StatusCode != 200 || body != "complete" {
			t.Errorf("request of a client that stays connected: got %v %q, error %v; want 200 and body complete", resp, body, err)
		}
		waiting.Close()
	}
	if took := time.Since(begun); took > 8*time.Second { // the disconnected clients' requests would time out after 9 s
		t.Errorf("all rounds took %v, want at most 8s", took)
	}
}
