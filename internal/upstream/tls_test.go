package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// bare encrypts and trusts whoever answers.
type bare struct{ *tls.Config }

func (b bare) Handshake(ctx context.Context, conn net.Conn, _ endpoints.Instance) (*tls.Conn, error) {
	c := tls.Client(conn, b.Config)
	return c, c.HandshakeContext(ctx)
}

func (bare) StillTrusted(*tls.Conn, endpoints.Instance) bool { return true }

// Guards against a handshake for every request that is called off: a connection that is being made, and one whose answer
// has come by then, carry the next request. One that is made for too long gives its place back.
func TestCalledOffConnectionsCarryTheNext(t *testing.T) {
	var handshakes atomic.Int64
	hold, asked := make(chan struct{}), make(chan struct{}, 8)
	server := base.ServerTLS(t, base.Issue(t, base.CA(t, "test"), "127.0.0.1"))
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		handshakes.Add(1)
		asked <- struct{}{}
		<-hold
		return nil, nil
	}
	address := base.HTTP(t, server, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	u := testPool(t, 4, testutil.Entry("s", address, "Ready"))
	u.tlsClient = bare{&tls.Config{InsecureSkipVerify: true}} // whose certificate it is does not matter here
	at, _ := u.registry.Instance("s")
	calledOff := func() {
		ctx, cancel := context.WithCancel(t.Context())
		over := make(chan Response, 1)
		go func() { over <- u.Attempt(ctx, "s", testRequest("GET", ""), time.Time{}) }()
		<-asked
		cancel()
		if rep := <-over; rep.Result != balancer.Cancelled {
			t.Errorf("called off with result %d", rep.Result)
		}
	}
	calledOff()
	testutil.Eventually(t, "who stalls gives the place back", func() bool { return u.connectionSlots.Used("") == 0 })
	calledOff()
	close(hold)
	testutil.Eventually(t, "it is made beside the request", func() bool { return u.IdleCount() == 1 })
	c := u.takeIdle("s", at)
	if c == nil {
		t.Fatal("the connection is not to be had")
	}
	called, gaveUp := context.WithCancel(t.Context())
	gaveUp()
	ended := make(chan struct{})
	c.interruptRead(context.Canceled)
	close(ended)
	if !c.resumeRead(called, ended) {
		t.Error("an open connection is not taken back")
	}
	u.putIdle(c)
	if rep := u.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); rep.Result != balancer.OK || handshakes.Load() != 2 {
		t.Errorf("result %d, %d handshakes", rep.Result, handshakes.Load())
	}
	late, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	if c = u.takeIdle("s", at); c == nil || c.resumeRead(late, ended) {
		t.Error("a connection whose answer came after its time is taken back")
	}
	u.discard(c)
}
