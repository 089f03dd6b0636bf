package processes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// bookingTables are the tables of a service with a class of requests that must not run twice, and that have an ID.
const bookingTables = `[[service.class]]
name = "book"
effect = "unsafe"
deadline = "5s"
[[service.class]]
name = "look"
effect = "safe"
deadline = "5s"
[[route]]
match = "POST /book"
class = "book"
id = "header:X-Request-ID"
[[route]]
match = "GET /a"
class = "look"
`

// startBookings starts a process before an upstream, with bookingTables.
func startBookings(t *testing.T, upstream string) (p *Process, address string) {
	t.Helper()
	reserved, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	file := shutdownFile(reserved.Address, []string{upstream}, "") + bookingTables
	p = New(t, 1).Process(Spec{Name: "s", Args: []string{"--config", "web.toml"}, Ready: Listening, Files: map[string]string{"web.toml": file}})
	if err := p.Start(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	return p, reserved.Address
}

// A request that must not run twice ran twice when it came again, with its ID, at the other process of a replacement: the successor does not
// know the IDs of its predecessor.
func TestUnsafeIDAtTheOtherProcess(t *testing.T) {
	var mu sync.Mutex
	runs := map[string]int{}
	arrived := make(chan struct{}, 10)
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get("X-Request-Id")]++
		mu.Unlock()
		arrived <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	p, address := startBookings(t, upstream)
	send := func() net.Conn {
		conn := base.Dial(t, address)
		_, _ = fmt.Fprint(conn, "POST /book HTTP/1.1\r\nHost: s\r\nX-Request-ID: booking\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")
		return conn
	}
	first := send()
	<-arrived
	first.Close()
	if err := p.Replace(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(send()); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if runs["booking"] != 1 {
		t.Errorf("the booking ran %d times, want once", runs["booking"])
	}
}

// While both processes of a replacement run, a request that must not run twice is known at either by its ID, whichever has it.
func TestUnsafeIDAtEither(t *testing.T) {
	for _, firstAtPredecessor := range []bool{true, false} {
		t.Run(fmt.Sprint(firstAtPredecessor), func(t *testing.T) {
			arrived, done := make(chan string, 10), make(chan struct{})
			upstream := base.HTTP(t, nil, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					arrived <- r.Header.Get("X-Request-Id")
					<-done
				}
				_, _ = io.WriteString(w, "done")
			})
			defer close(done)
			p, address := startBookings(t, upstream)
			atPredecessor := base.Dial(t, address)
			get(t, atPredecessor)
			p.mu.Lock()
			err := p.launchLocked(nil)
			p.mu.Unlock()
			if err == nil {
				err = p.AwaitReady(within(t, Patience))
			}
			if err != nil {
				t.Fatal(err)
			}
			base.Eventually(t, "new connections go to the successor", func() bool {
				return slices.ContainsFunc(p.rig.History.Events(0), func(e Event) bool { return e.What == "hand-over: the successor serves" })
			})
			atSuccessor := base.Dial(t, address)
			get(t, atSuccessor)
			first, again := atSuccessor, atPredecessor
			if firstAtPredecessor {
				first, again = atPredecessor, atSuccessor
			}
			const booking = "POST /book HTTP/1.1\r\nHost: s\r\nX-Request-ID: booking\r\nContent-Length: 1\r\n\r\nx"
			_, _ = io.WriteString(first, booking)
			<-arrived
			first.Close()
			_, _ = io.WriteString(again, booking)
			response, err := http.ReadResponse(bufio.NewReader(again), nil)
			if err != nil || response.StatusCode != http.StatusConflict || len(arrived) > 0 {
				t.Errorf("the booking that came again got %v, error %v, and ran %d more times; want 409, and not once", response, err, len(arrived))
			}
		})
	}
}

// get sends a request and reads its answer, so that the connection is known to have been accepted.
func get(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(Patience))
	_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: s\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}
