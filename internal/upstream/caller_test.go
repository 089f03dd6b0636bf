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

// Guards against attempts that begin for nobody: their caller leaves while they wait for a connection to come up, or for one that
// another request has, or they are called off before their first byte. They prove not to have run, and end at once.
func TestNothingBeginsForACallerThatLeft(t *testing.T) {
	late := base.NewLate(t)
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		<-release
		return fakes.Says(fakes.OK200(""))(c, g)
	})
	caller, leave := context.WithCancel(t.Context())
	defer leave()
	ended := make(chan balancer.Result, 3)
	attempt := func(u *Pool) {
		ended <- u.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{Caller: caller}).Result
	}
	comesUp := testPool(t, 4, testutil.Entry("s", late.Address, "Ready"))
	go attempt(comesUp)
	busy := testPool(t, 1, testutil.Entry("s", s.Address, "Ready"))
	first := make(chan balancer.Result, 1)
	go func() { first <- busy.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result }()
	testutil.Eventually(t, "another request has the connection", func() bool { return len(s.Requests()) == 1 })
	go attempt(busy)
	testutil.Eventually(t, "both wait", func() bool { return busy.connectionSlots.Waiting("") == 1 && comesUp.connectionSlots.Total() == 1 })
	left := time.Now()
	leave()
	for range 2 {
		if got := <-ended; got != balancer.NotSent {
			t.Errorf("one that waited: %v", got)
		}
	}
	if took := time.Since(left); took > testutil.Timeout/2 {
		t.Errorf("they waited on for %v", took)
	}
	late.ComeUp()
	close(release)
	if got := <-first; got != balancer.OK {
		t.Errorf("the one that had begun: %v", got)
	}
	off, end := context.WithCancel(t.Context())
	end()
	if got := busy.AttemptWithOptions(off, "s", testRequest("GET", ""), AttemptOptions{}).Result; got != balancer.NotSent {
		t.Errorf("one that was called off: %v", got)
	}
	if got := busy.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{Caller: caller}).Result; got != balancer.NotSent {
		t.Errorf("one whose caller had left: %v", got)
	}
	if got := comesUp.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result; got != balancer.OK {
		t.Errorf("a later one: %v", got)
	}
	if n, m := len(s.Requests()), late.Came(); n != 1 || m != 1 {
		t.Errorf("%d and %d requests came, 1 and 1 were wanted", n, m)
	}
}
