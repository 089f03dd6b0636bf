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

// Guards against a repeat that reaches its group when that has forgotten it: one that waited for its connection, or whose upstream took
// its body too slowly, is not sent, and says nothing of the upstream.
func TestWrittenByThenOrNotAtAll(t *testing.T) {
	release := make(chan struct{})
	s := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		if g.Body == "first" {
			<-release
		}
		return fakes.Says(fakes.OK200("a"))(c, g)
	})
	u := testPool(t, 1, testutil.Entry("s", s.Address, "Ready"))
	first := make(chan balancer.Result, 1)
	go func() { first <- u.Attempt(t.Context(), "s", testRequest("POST", "first"), time.Time{}).Result }()
	testutil.Eventually(t, "it has the one connection", func() bool { return len(s.Requests()) == 1 })
	by := time.Now().Add(20 * time.Millisecond)
	repeat := make(chan balancer.Result, 1)
	go func() {
		repeat <- u.AttemptWithOptions(t.Context(), "s", testRequest("POST", "repeat"), AttemptOptions{SendBy: by}).Result
	}()
	time.Sleep(time.Until(by.Add(time.Millisecond)))
	close(release)
	if got := <-first; got != balancer.OK {
		t.Errorf("the first: %v", got)
	}
	if got := <-repeat; got != balancer.NotSent {
		t.Errorf("the repeat: %v", got)
	}
	if got := u.AttemptWithOptions(t.Context(), "s", testRequest("POST", "in time"), AttemptOptions{SendBy: time.Now().Add(time.Minute)}).Result; got != balancer.OK {
		t.Errorf("one in time: %v", got)
	}
	if n := len(s.Requests()); n != 2 {
		t.Errorf("%d requests came", n)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	whole := make(chan error, 1)
	go func() { // it reads nothing before the repeat is late
		c, err := l.Accept()
		if err != nil {
			whole <- err
			return
		}
		defer c.Close()
		<-repeat
		_, err = io.Copy(io.Discard, io.LimitReader(c, 64<<20))
		whole <- err
	}()
	slow := testPool(t, 1, testutil.Entry("s", l.Addr().String(), "Ready"))
	large := NewRequest(http.MethodPost, "/record/1", "s", nil, make([]byte, 32<<20))
	if got := slow.AttemptWithOptions(t.Context(), "s", large, AttemptOptions{SendBy: time.Now().Add(50 * time.Millisecond)}).Result; got != balancer.NotSent {
		t.Errorf("a body that is taken too slowly: %v", got)
	}
	close(repeat)
	<-whole
	late := base.NewLate(t)
	comesUp := testPool(t, 1, testutil.Entry("s", late.Address, "Ready"))
	slowly := make(chan balancer.Result, 1)
	by = time.Now().Add(300 * time.Millisecond)
	go func() {
		slowly <- comesUp.AttemptWithOptions(t.Context(), "s", testRequest("GET", ""), AttemptOptions{SendBy: by}).Result
	}()
	testutil.Eventually(t, "it waits for its connection", func() bool { return comesUp.connectionSlots.Total() == 1 })
	time.Sleep(time.Until(by)) // the moment itself: connections come up later, see base.Late
	late.ComeUp()
	if got := <-slowly; got != balancer.NotSent {
		t.Errorf("one whose connection came up too late: %v", got)
	}
	if got := comesUp.Attempt(t.Context(), "s", testRequest("GET", ""), time.Time{}).Result; got != balancer.OK || late.Came() != 1 {
		t.Errorf("a later one: %v, %d came", got, late.Came())
	}
}
