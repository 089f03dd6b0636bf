package control

import (
	"net"
	"net/http"
	"testing"

	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
)

// TestCloseAnswersWhatWasAccepted guards against calls that get no answer because the server closes: calls in the accept queue, and a call
// whose last bytes are on their way. Without an answer an operator does not know whether a drain has begun.
func TestCloseAnswersWhatWasAccepted(t *testing.T) {
	called := make(chan struct{})
	release := make(chan struct{})
	s, err := Listen("127.0.0.1:0", func(Call) Answer {
		called <- struct{}{}
		<-release
		return Answer{Status: http.StatusOK}
	}, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ran := make(chan struct{})
	go func() {
		s.Run()
		close(ran)
	}()
	address := s.Addr().String()
	calls := []net.Conn{base.Dial(t, address)}
	send(t, calls[0], get)
	<-called // the accepting goroutine is busy
	for range 3 {
		calls = append(calls, base.Dial(t, address))
	}
	for _, c := range calls[1:3] {
		send(t, c, get)
	}
	send(t, calls[3], get[:len(get)-2])
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	close(release)
	send(t, calls[3], get[len(get)-2:])
	go func() {
		for range called {
		}
	}()
	for i, c := range calls {
		if got := readStatus(t, c); got != http.StatusOK {
			t.Errorf("call %d got status %d, want 200", i, got)
		}
	}
	<-closed
	<-ran
	close(called)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}
