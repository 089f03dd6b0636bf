package processes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

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
	reserved, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Release()
	file := shutdownFile(reserved.Address, []string{upstream}, "")
	p := New(t, 1).Process(Spec{Name: "s", Args: []string{"--config", "web.toml"}, Ready: Listening, Files: map[string]string{"web.toml": file}})
	if err := p.Start(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	send := func() net.Conn {
		conn := base.Dial(t, reserved.Address)
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
