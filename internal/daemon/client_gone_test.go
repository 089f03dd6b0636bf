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

// startLooking starts a daemon that need not be ready, and gives its engine.
func startLooking(t *testing.T, discovery string, known ...string) (*running, *engine.Engine) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	up := make(chan *engine.Engine, 1)
	r := startOn(t, testutil.Config(t, discovery, known...), l, func(e *engine.Engine) { up <- e })
	return r, <-up
}

// withheld is a discovery that is well and has no list before tell is closed: then it lists upstream s at an address.
func withheld(t *testing.T, address string) (d *fakes.ScriptedDiscovery, tell chan struct{}) {
	t.Helper()
	tell = make(chan struct{})
	return testutil.Discovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		select {
		case <-tell:
			send(testutil.List(1, true, testutil.Entry("s", address, "Ready")))
		case <-done:
		}
		<-done
	}), tell
}

// pending is how many attempts are out.
func pending(e *engine.Engine) (n int) {
	for _, u := range e.View() {
		n += u.Pending
	}
	return n
}

// Guards against requests that are sent for a client that has gone while they waited for the first list, with other requests behind
// them on the connection: those hide its end from whoever reads it.
func TestClientGoneBehindItsNextRequest(t *testing.T) {
	for _, behind := range []int{1, 100} { // within one read of the library, and far more
		t.Run(fmt.Sprint(behind), func(t *testing.T) {
			s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
			d, tell := withheld(t, s.Address)
			r, e := startLooking(t, d.Address)
			c := dial(t, r.address, nil)
			c.send(t, "confirm", "")
			testutil.Eventually(t, "the request waits for the list", func() bool { return e.InFlight() == 1 })
			for range behind {
				c.send(t, "confirm", "")
			}
			c.Close()
			close(tell)
			other := dial(t, r.address, nil)
			other.send(t, "search", "")
			if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
				t.Fatalf("%v, %v", resp, err)
			}
			other.Close()
			r.stop()
			<-r.ended
			for _, got := range s.Requests() {
				if got.Method == http.MethodPost {
					t.Errorf("sent for a client that had gone: %s", got.Header.Get("X-Request-Id"))
				}
			}
		})
	}
}

// seen waits until nothing is in hand, or long enough for any fault to show: a connection that has not come up is not tried again by the
// system before a second has passed.
func seen(e *engine.Engine) {
	for end := time.Now().Add(500 * time.Millisecond); e.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// Guards against the same while the connection to the upstream comes up late.
func TestClientGoneWhileAConnectionComesUp(t *testing.T) {
	late := base.NewLateUpstream(t)
	r, e := startLooking(t, testutil.Quiet(t).Address, testutil.Entry("s", late.Address, "Ready"))
	c := dial(t, r.address, nil)
	c.send(t, "confirm", "")
	testutil.Eventually(t, "the attempt waits for its connection", func() bool { return pending(e) == 1 })
	c.Close()
	seen(e)
	late.StartAccepting()
	other := dial(t, r.address, nil)
	other.send(t, "search", "")
	if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	other.Close()
	r.stop()
	<-r.ended
	if n := late.RequestCount(); n != 1 {
		t.Errorf("%d requests came, 1 was wanted", n)
	}
}

// Guards against the same for a keyed request that others may wait for: it goes on for them, and once all have gone nothing of it
// begins. It proves not to have run, so that whoever comes again has it run.
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
		testutil.Eventually(t, "the attempt waits for its connection", func() bool { return pending(e) == 1 })
	}
	testutil.Eventually(t, "the second one waits too", func() bool { return r.d.lifecycle.connections.Count() == 2 })
	leave[0]()
	<-ended
	if pending(e) != 1 {
		t.Error("it does not go on for the second one")
	}
	leave[1]()
	<-ended
	seen(e)
	late.StartAccepting()
	if status, body, header := pay(t.Context(), r, "/record/1", "k", ""); status != 200 || header.Get(replayedHeader) != "" {
		t.Errorf("who comes again: %d %q", status, body)
	}
	r.client.CloseIdleConnections()
	r.stop()
	<-r.ended // and what was in hand has ended
	if n := late.RequestCount(); n != 1 {
		t.Errorf("%d requests came, 1 was wanted", n)
	}
}

// Guards against the same in a burst: many clients wait for the first list, and all have gone when it comes.
func TestManyClientsGoneAtOnce(t *testing.T) {
	s := testutil.Raw(t, fakes.Says(fakes.OK200("")))
	d, tell := withheld(t, s.Address)
	r, e := startLooking(t, d.Address)
	var all []*clientConn
	for n := range 60 {
		c := dial(t, r.address, nil)
		c.send(t, []string{"search", "confirm", "record"}[n%3], strings.Repeat("x", n%3*100))
		all = append(all, c)
	}
	testutil.Eventually(t, "all wait for the list", func() bool { return e.InFlight() == len(all) })
	for n, c := range all {
		if n%2 == 0 { // closed, or reset
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	testutil.Eventually(t, "their ends have come", func() bool { return e.InFlight() == 0 })
	close(tell)
	other := dial(t, r.address, nil)
	other.send(t, "search", "")
	if resp, _, err := other.answer(); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	other.Close()
	r.stop()
	<-r.ended
	if n := len(s.Requests()); n != 1 {
		t.Errorf("%d were sent for clients that had gone", n-1)
	}
}

// Guards against the same behind GraphQL: a mutation, a query and a batch of both wait for a connection.
func TestGraphQLClientsGoneWhileAConnectionComesUp(t *testing.T) {
	late := base.NewLateUpstream(t)
	r := startFile(t, fmt.Sprintf(strings.Replace(graphqlFile, "name = \"seats\"", "name = \"seats\"\nconnect_timeout = \"10s\"", 1), strconv.Quote(late.Address), "20s"))
	e := r.d.routing.Load().services["seats"].engine
	ctx, leave := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	rig := &graphqlRig{fileRig: r}
	for _, body := range []string{operationJSON(`mutation{confirm(id:"a")}`), operationJSON("{seats}"), "[" + operationJSON("{seats}") + "," + operationJSON(`{coach}`) + "]"} {
		clients.Go(func() { rig.post(ctx, body) })
	}
	testutil.Eventually(t, "all wait for their connections", func() bool { return e.InFlight() >= 3 })
	leave()
	clients.Wait()
	seen(e)
	late.StartAccepting()
	if status, _, _ := rig.post(t.Context(), operationJSON(`mutation{confirm(id:"b")}`)); status == 0 {
		t.Error("no answer to a later one")
	}
	r.client.CloseIdleConnections()
	r.stop()
	<-r.ended // and what was in hand has ended
	if n := late.RequestCount(); n != 1 {
		t.Errorf("%d requests came, 1 was wanted", n)
	}
}

// Guards against clients that send and go, again and again, to an upstream that hangs: their connections and their attempts give way to
// those who wait, on both sides.
func TestGoneClientsGiveWay(t *testing.T) {
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if strings.HasPrefix(g.Target, "/confirm") {
			return fakes.Silent(c, g)
		}
		return fakes.Says(fakes.OK200("whole"))(c, g)
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
		testutil.Eventually(t, "they are at the upstream", func() bool {
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
		live := dial(t, r.address, nil)
		live.send(t, "search", "")
		if resp, body, err := live.answer(); err != nil || resp.StatusCode != 200 || body != "whole" {
			t.Errorf("%v %q, %v", resp, body, err)
		}
		live.Close()
	}
	if took := time.Since(begun); took > 8*time.Second { // those that have gone would have waited for 9 s
		t.Errorf("one that waits was served after %v", took)
	}
}
