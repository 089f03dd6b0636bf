package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// Guards against attempts that are sent although nobody waits for their response: the caller leaves while a connection is being established
// or while another request uses the only connection, or the attempt is cancelled before its first byte. Such attempts end at once with a
// result that proves that they did not run.
func TestNothingBeginsForACallerThatLeft(t *testing.T) {
	late := base.NewLateUpstream(t)
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		<-release
		return fakes.Says(fakes.OK200(""))(c, g)
	})
	caller, leave := context.WithCancel(t.Context())
	defer leave()
	ended := make(chan balancer.Result, 3)
	attempt := func(pool *Pool) {
		ended <- pool.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{Caller: caller}).Result
	}
	connecting := testPool(t, 4, testutil.Entry("s", late.Address, "Ready"))
	go attempt(connecting)
	busy := testPool(t, 1, testutil.Entry("s", s.Address, "Ready"))
	first := make(chan balancer.Result, 1)
	go func() { first <- busy.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result }()
	testutil.Eventually(t, "another request uses the connection", func() bool { return len(s.Requests()) == 1 })
	go attempt(busy)
	testutil.Eventually(t, "both attempts wait", func() bool { return busy.connectionSlots.Waiting("") == 1 && connecting.connectionSlots.Total() == 1 })
	left := time.Now()
	leave()
	for range 2 {
		if got := <-ended; got != balancer.NotSent {
			t.Errorf("attempt that waited when its caller left: result %v, want not sent", got)
		}
	}
	if took := time.Since(left); took > testutil.Timeout/2 {
		t.Errorf("the attempts ended only %v after their caller had left", took)
	}
	late.StartAccepting()
	close(release)
	if got := <-first; got != balancer.OK {
		t.Errorf("request that had begun before the caller left: result %v, want OK", got)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if got := busy.AttemptWithOptions(cancelled, "s", testRequest("GET", ""), AttemptOptions{}).Result; got != balancer.NotSent {
		t.Errorf("attempt that was cancelled before it began: result %v, want not sent", got)
	}
	if got := busy.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{Caller: caller}).Result; got != balancer.NotSent {
		t.Errorf("attempt whose caller had left before it began: result %v, want not sent", got)
	}
	if got := connecting.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result; got != balancer.OK {
		t.Errorf("request after the cancelled ones: result %v, want OK", got)
	}
	if n, m := len(s.Requests()), late.RequestCount(); n != 1 || m != 1 {
		t.Errorf("upstreams received %d and %d requests, want 1 and 1", n, m)
	}
}
