package daemon

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// A non-idempotent request that came again with its ID, after its client had left, ran twice once the first one had ended.
func TestIDOfAClientThatHasLeftRunsOnce(t *testing.T) {
	arrived, answer := make(chan string, 10), make(chan struct{})
	upstream := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
		arrived <- g.Header.Get("X-Request-Id")
		<-answer
		return fakes.Says(fakes.OK200("done"))(c, g)
	})
	r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", upstream.Address, "Ready")), "127.0.0.1:0")
	request := func(class, id string) string {
		return fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nContent-Length: 1\r\n\r\nx", class, id)
	}
	left := base.Dial(t, r.address)
	_, _ = fmt.Fprint(left, request("confirm", "first"))
	<-arrived
	left.Close()
	close(answer)
	send := func(id string) int {
		again := dial(t, r.address, nil)
		defer again.Close()
		_, _ = fmt.Fprint(again, request("confirm", id))
		response, _, err := again.answer()
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	if status := send("second"); status != http.StatusOK { // behind the end of the first one, which the upstream has answered by now
		t.Errorf("another request got status %d, want 200", status)
	}
	for range 2 {
		if status := send("first"); status != http.StatusConflict {
			t.Errorf("the request that came again got status %d, want 409", status)
		}
	}
	if n := len(upstream.Requests()); n != 2 {
		t.Errorf("the upstream got %d requests, want two", n)
	}
}

// A non-idempotent request that came again with its ID behind a reload ran twice: the service was started anew, and knew no IDs.
func TestIDAcrossAReloadRunsOnce(t *testing.T) {
	arrived, answer := make(chan struct{}, 10), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-answer
	}))
	defer upstream.Close()
	defer close(answer)
	const withID = "id = \"header:X-Request-ID\"\n"
	r := startFile(t, classFile(upstream, 2000)+withID)
	const request = "POST /report HTTP/1.1\r\nHost: s\r\nX-Request-ID: once\r\nContent-Length: 1\r\n\r\nx"
	left := base.Dial(t, r.address)
	_, _ = fmt.Fprint(left, request)
	<-arrived
	left.Close()
	if err := r.reload(t, classFile(upstream, 1900)+withID); err != nil {
		t.Fatal(err)
	}
	again := dial(t, r.address, nil)
	defer again.Close()
	_, _ = fmt.Fprint(again, request)
	response, _, err := again.answer()
	if err != nil || response.StatusCode != http.StatusConflict || len(arrived) > 0 {
		t.Errorf("the request that came again got %v, error %v, and %d more came to the upstream; want 409, and none", response, err, len(arrived))
	}
}
