package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/testing/testutil"
)

// Times of an upstream's second answers, after the first ones: some milliseconds.
const (
	earliestSecondAnswer = 2 * time.Millisecond
	latestSecondAnswer   = 12 * time.Millisecond
	requestDelay         = 3 * time.Millisecond // of the way to the upstream: a request may cross a second answer
)

// answerTwice answers each request with its target, and once more some milliseconds later unless the next request has come by then.
func answerTwice(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	requests := make(chan *http.Request)
	go func() {
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(requestDelay)
			requests <- request
		}
	}()
	request, ok := <-requests
	for ok {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.RequestURI), request.RequestURI)
		_, _ = io.WriteString(conn, answer)
		second := time.After(delay)
		for answered := false; !answered; {
			select {
			case request, ok = <-requests:
				answered = true
			case <-second:
				_, _ = io.WriteString(conn, answer)
			}
		}
	}
}

// A second answer that came some milliseconds late was served to the next request on its connection.
func TestSecondAnswersAreNotServed(t *testing.T) {
	const requests = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for delay := earliestSecondAnswer; ; delay += time.Millisecond {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if delay > latestSecondAnswer {
				delay = earliestSecondAnswer
			}
			go answerTwice(conn, delay)
		}
	}()
	pool := testPool(t, 8, testutil.Entry("s", l.Addr().String(), "Ready"))
	pool.restTime = defaultRestTime
	for i := range requests {
		target := fmt.Sprintf("/search/%03d", i)
		response := pool.Attempt(t.Context(), "s", NewRequest("GET", target, "s", http.Header{}, nil), time.Time{})
		if response.Result != balancer.OK || string(response.Body) != target {
			t.Fatalf("request %s got result %d and the answer to %s", target, response.Result, response.Body)
		}
	}
}
