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

// A retry that must be written by a deadline, since its deduplication scope forgets the key then, is not sent after it, and its outcome says
// nothing of the upstream: here it waits for the pool's only connection until then.
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
	testutil.Eventually(t, "the first request has the only connection", func() bool { return len(s.Requests()) == 1 })
	sendBy := time.Now().Add(20 * time.Millisecond)
	retry := make(chan balancer.Result, 1)
	go func() {
		retry <- pool.AttemptWithOptions(t.Context(), "s", testRequest("POST", "repeat"), AttemptOptions{SendBy: sendBy}).Result
	}()
	time.Sleep(time.Until(sendBy.Add(time.Millisecond)))
	close(release)
	if got := <-first; got != balancer.OK {
		t.Errorf("the first request: %v", got)
	}
	if got := <-retry; got != balancer.NotSent {
		t.Errorf("the retry: %v", got)
	}
	inTime := AttemptOptions{SendBy: time.Now().Add(time.Minute)}
	if got := pool.AttemptWithOptions(t.Context(), "s", testRequest("POST", "in time"), inTime).Result; got != balancer.OK {
		t.Errorf("a retry in time: %v", got)
	}
	if n := len(s.Requests()); n != 2 {
		t.Errorf("%d requests came, want 2", n)
	}
}

// The same where the upstream reads nothing of a body that exceeds the socket buffers before the deadline.
func TestSendByWhileTheBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	late, drained := make(chan struct{}), make(chan error, 1)
	go func() { // it reads nothing before the retry is late
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
		t.Errorf("a body that is read too slowly: %v", got)
	}
	close(late)
	<-drained
}

// The same where the connection comes up after the deadline.
func TestSendByWhileConnecting(t *testing.T) {
	late := base.NewLate(t)
	pool := testPool(t, 1, testutil.Entry("s", late.Address, "Ready"))
	retry := make(chan balancer.Result, 1)
	sendBy := time.Now().Add(300 * time.Millisecond)
	go func() {
		retry <- pool.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{SendBy: sendBy}).Result
	}()
	testutil.Eventually(t, "it waits for its connection", func() bool { return pool.connectionSlots.Total() == 1 })
	time.Sleep(time.Until(sendBy)) // the deadline itself: connections come up later, see base.Late
	late.ComeUp()
	if got := <-retry; got != balancer.NotSent {
		t.Errorf("a retry whose connection came up too late: %v", got)
	}
	if got := pool.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result; got != balancer.OK || late.Came() != 1 {
		t.Errorf("a later request: %v, %d came", got, late.Came())
	}
}
