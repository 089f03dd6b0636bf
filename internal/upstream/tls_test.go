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

// insecureTLS encrypts connections and does not verify the peer.
type insecureTLS struct{ *tls.Config }

func (i insecureTLS) Handshake(ctx context.Context, conn net.Conn, _ endpoints.Instance) (*tls.Conn, error) {
	c := tls.Client(conn, i.Config)
	return c, c.HandshakeContext(ctx)
}

func (insecureTLS) StillTrusted(*tls.Conn, endpoints.Instance) bool { return true }

// Guards against a new handshake after every cancelled request. The next request has to use a connection that was being established at
// the cancellation, or whose response had arrived by then. A handshake that takes too long has to release its connection slot.
func TestCalledOffConnectionsCarryTheNext(t *testing.T) {
	var handshakes atomic.Int64
	hold, started := make(chan struct{}), make(chan struct{}, 8)
	server := base.ServerTLS(t, base.Issue(t, base.CA(t, "test"), "127.0.0.1"))
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		handshakes.Add(1)
		started <- struct{}{}
		<-hold
		return nil, nil
	}
	address := base.HTTP(t, server, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	pool := testPool(t, 4, testutil.Entry("s", address, "Ready"))
	pool.tlsClient = insecureTLS{&tls.Config{InsecureSkipVerify: true}} // the certificate does not matter here
	instance, _ := pool.registry.Instance("s")
	cancelAttempt := func() {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan Response, 1)
		go func() { ended <- pool.Attempt(ctx, "s", testRequest("GET", ""), time.Time{}) }()
		<-started
		cancel()
		if response := <-ended; response.Result != balancer.Cancelled {
			t.Errorf("the cancelled attempt ended with result %d", response.Result)
		}
	}
	cancelAttempt()
	testutil.Eventually(t, "the slot of a stalled handshake is released", func() bool { return pool.connectionSlots.Used("") == 0 })
	cancelAttempt()
	close(hold)
	testutil.Eventually(t, "the connection is established after the cancellation", func() bool { return pool.IdleCount() == 1 })
	c := pool.takeIdle("s", instance)
	if c == nil {
		t.Fatal("the pool has no idle connection to the upstream")
	}
	cancelled, cancelNow := context.WithCancel(t.Context())
	cancelNow()
	interrupted := make(chan struct{})
	c.interruptRead(context.Canceled)
	close(interrupted)
	if !c.resumeRead(cancelled, interrupted) {
		t.Error("resumeRead rejected an open connection")
	}
	pool.putIdle(c)
	if response := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}); response.Result != balancer.OK || handshakes.Load() != 2 {
		t.Errorf("result %d after %d handshakes, want OK after 2 handshakes", response.Result, handshakes.Load())
	}
	late, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	if c = pool.takeIdle("s", instance); c == nil || c.resumeRead(late, interrupted) {
		t.Error("the pool has no idle connection, or resumeRead accepted one after its deadline")
	}
	pool.discard(c)
}
