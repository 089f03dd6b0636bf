package daemon

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// goneSlack is how long after its client has closed an attempt may begin.
const goneSlack = 100 * time.Millisecond

// Clients that closed their connection with much still unread had their requests sent on afterwards: the end of the connection lies behind more
// bytes than are read ahead.
func TestNothingIsSentForUnreadRequestsOfGoneClients(t *testing.T) {
	const requests, work = 400, 5 * time.Millisecond
	for _, class := range []string{"search", "confirm"} {
		for _, padding := range []int{0, 3000} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes of padding, reset %v", class, padding, reset), func(t *testing.T) {
					var mu sync.Mutex
					var arrivals []time.Time
					upstream := testutil.Raw(t, func(c net.Conn, g fakes.Got) bool {
						mu.Lock()
						arrivals = append(arrivals, time.Now())
						mu.Unlock()
						time.Sleep(work)
						return fakes.Says(fakes.OK200("served"))(c, g)
					})
					r := start(t, testutil.Config(t, testutil.Quiet(t).Address, testutil.Entry("s", upstream.Address, "Ready")), "127.0.0.1:0")
					for round := range 3 {
						conn := base.Dial(t, r.address)
						var text strings.Builder
						for i := range requests {
							method, length := "GET", ""
							if class == "confirm" {
								method, length = "POST", "Content-Length: 1\r\n"
							}
							fmt.Fprintf(&text, "%s /%s/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %d-%d\r\nX-Padding: %s\r\n%s\r\n", method, class, round, i,
								strings.Repeat("p", padding), length)
							if length != "" {
								text.WriteString("x")
							}
						}
						go func() { _, _ = io.WriteString(conn, text.String()) }()
						_, _ = io.ReadFull(conn, make([]byte, 200+round*40)) // some are answered
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						conn.Close()
						closed := time.Now()
						time.Sleep(goneSlack + 10*work)
						mu.Lock()
						for _, at := range arrivals {
							if late := at.Sub(closed); late > goneSlack {
								t.Errorf("round %d: a request was sent %v after its client had closed", round, late)
							}
						}
						arrivals = nil
						mu.Unlock()
					}
				})
			}
		}
	}
}
