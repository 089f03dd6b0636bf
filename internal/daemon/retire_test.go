package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// classFile returns an operator's file with one service, whose class has a deadline in milliseconds.
func classFile(upstream *httptest.Server, deadlineMs int) string {
	return fmt.Sprintf(`[log]
level = "error"
[[service]]
name = "a"
addresses = [%q]
[[service.class]]
name = "report"
effect = "unsafe"
deadline = "%dms"
[[route]]
match = "/report"
class = "report"
`, strings.TrimPrefix(upstream.URL, "http://"), deadlineMs)
}

// A new configuration cut an answer that its upstream still gave: the service that it replaced was closed a second after the longest deadline,
// but an answer that has begun has none.
func TestLongAnswerOutlastsItsService(t *testing.T) {
	const pieces, piece, pause = 20, 16 << 10, 100 * time.Millisecond // 2 s, longer than the deadline and the second behind it
	begun := make(chan struct{}, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(pieces*piece))
		for i := range pieces {
			_, _ = w.Write(make([]byte, piece))
			_ = http.NewResponseController(w).Flush()
			if i == 0 {
				begun <- struct{}{}
			}
			time.Sleep(pause)
		}
	}))
	defer upstream.Close()
	r := startFile(t, classFile(upstream, 300))
	response, err := r.client.Get("http://" + r.address + "/report")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-begun
	if err := r.reload(t, classFile(upstream, 200)); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != pieces*piece {
		t.Errorf("got %d bytes and error %v, want all %d", n, err, pieces*piece)
	}
}

// Requests at a service that a new configuration had just replaced lost their connections with no answer when the process ended: only the
// services of the running configuration were notified that the time is over.
func TestEndBehindANewConfigurationAnswersAll(t *testing.T) {
	arrived, hangs := make(chan struct{}, 1), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-hangs
	}))
	defer upstream.Close()
	defer close(hangs)
	const grace = "[daemon]\ngrace = \"300ms\"\n"
	r := startFile(t, grace+classFile(upstream, 20_000))
	answered := make(chan int, 1)
	go func() {
		status, _ := r.request("POST", "/report", "")
		answered <- status
	}()
	<-arrived
	for _, deadline := range []int{19_000, 18_000} { // two in a row: both services before are retiring
		if err := r.reload(t, grace+classFile(upstream, deadline)); err != nil {
			t.Fatal(err)
		}
	}
	r.stop()
	if status := <-answered; status != http.StatusBadGateway {
		t.Errorf("the request got status %d, want 502: 0 stands for an end of its connection", status)
	}
}
