package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// Guards against a retry that is sent after its deadline, when the upstreams that share idempotency keys have forgotten its key. The retry
// waits for the pool's only connection until the deadline. Its result must not count as a failure of the upstream.
func TestSendByWhileWaitingForAConnection(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if g.Body == "first" {
			<-release
		}
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	pool := testPool(t, 1, testutil.Entry("s", s.Address, "Ready"))
	first := make(chan balancer.Result, 1)
	go func() { first <- pool.Attempt(t.Context(), "s", testRequest("POST", "first"), time.Time{}).Result }()
	testutil.Eventually(t, "the first request uses the only connection", func() bool { return len(s.Requests()) == 1 })
	sendBy := time.Now().Add(20 * time.Millisecond)
	retry := make(chan balancer.Result, 1)
	go func() {
		retry <- pool.AttemptWithOptions(t.Context(), "s", testRequest("POST", "repeat"), AttemptOptions{SendBy: sendBy}).Result
	}()
	time.Sleep(time.Until(sendBy.Add(time.Millisecond)))
	close(release)
	if got := <-first; got != balancer.OK {
		t.Errorf("first request: result %v, want OK", got)
	}
	if got := <-retry; got != balancer.NotSent {
		t.Errorf("retry after its deadline: result %v, want not sent", got)
	}
	inTime := AttemptOptions{SendBy: time.Now().Add(time.Minute)}
	if got := pool.AttemptWithOptions(t.Context(), "s", testRequest("POST", "in time"), inTime).Result; got != balancer.OK {
		t.Errorf("retry before its deadline: result %v, want OK", got)
	}
	if n := len(s.Requests()); n != 2 {
		t.Errorf("the upstream received %d requests, want 2", n)
	}
}

// Guards against a retry that is sent completely only after its deadline, because the upstream does not read a body larger than the socket
// buffers in time.
func TestSendByWhileTheBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	late, drained := make(chan struct{}), make(chan error, 1)
	go func() { // reads nothing before the deadline has passed
		c, err := l.Accept()
		if err != nil {
			drained <- err
			return
		}
		defer c.Close()
		<-late
		_, err = io.Copy(io.Discard, io.LimitReader(c, 64<<20))
		drained <- err
	}()
	pool := testPool(t, 1, testutil.Entry("s", l.Addr().String(), "Ready"))
	large := NewRequest(http.MethodPost, "/record/1", "s", nil, make([]byte, 32<<20))
	soon := AttemptOptions{SendBy: time.Now().Add(50 * time.Millisecond)}
	if got := pool.AttemptWithOptions(t.Context(), "s", large, soon).Result; got != balancer.NotSent {
		t.Errorf("request whose body is read too slowly: result %v, want not sent", got)
	}
	close(late)
	<-drained
}

// Guards against a retry that is sent after its deadline because its connection is established only then.
func TestSendByWhileConnecting(t *testing.T) {
	late := base.NewLateUpstream(t)
	pool := testPool(t, 1, testutil.Entry("s", late.Address, "Ready"))
	retry := make(chan balancer.Result, 1)
	sendBy := time.Now().Add(300 * time.Millisecond)
	go func() {
		retry <- pool.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{SendBy: sendBy}).Result
	}()
	testutil.Eventually(t, "the retry waits for its connection", func() bool { return pool.connectionSlots.Total() == 1 })
	time.Sleep(time.Until(sendBy)) // until the deadline: connections to base.LateUpstream are established later
	late.StartAccepting()
	if got := <-retry; got != balancer.NotSent {
		t.Errorf("retry whose connection was established after its deadline: result %v, want not sent", got)
	}
	if got := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result; got != balancer.OK || late.RequestCount() != 1 {
		t.Errorf("later request: result %v, want OK; the upstream received %d requests, want 1", got, late.RequestCount())
	}
}
