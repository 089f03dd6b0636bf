package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
	"orchiddrift/internal/upstream"
)

// encrypted is a daemon with TLS on both sides, one upstream, and the files that a test replaces.
type encrypted struct {
	*fileRig
	ca       *fakes.CA
	dir      string
	upstream atomic.Pointer[tls.Config]
	seen     atomic.Int64 // handshakes that the upstream has begun
	slow     atomic.Int64 // how long it takes to answer, in nanoseconds
	asked    atomic.Int64 // requests that have reached it
}

func (e *encrypted) write(t testing.TB, name string, text []byte) {
	base.Replace(t, filepath.Join(e.dir, name), text)
}

// pair replaces a certificate and its key, one after the other.
func (e *encrypted) pair(t testing.TB, name string, of fakes.Issued) {
	e.write(t, name+".crt", of.Certificate)
	e.write(t, name+".key", of.Key)
}

func startEncrypted(t *testing.T, identity string) *encrypted {
	t.Helper()
	e := &encrypted{ca: base.CA(t, "one"), dir: t.TempDir()}
	e.write(t, "ca.crt", e.ca.PEM)
	e.pair(t, "front", base.Issue(t, e.ca, "127.0.0.1"))
	e.pair(t, "client", base.Issue(t, e.ca, "sidecar.example"))
	node := base.ServerTLS(t, base.Issue(t, e.ca, "127.0.0.1", "node7.example"))
	node.ClientAuth, node.ClientCAs = tls.RequireAndVerifyClientCert, x509.NewCertPool()
	node.ClientCAs.AppendCertsFromPEM(e.ca.PEM)
	e.upstream.Store(node)
	address := base.HTTP(t, &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		e.seen.Add(1)
		return e.upstream.Load(), nil
	}}, func(w http.ResponseWriter, _ *http.Request) {
		e.asked.Add(1)
		time.Sleep(time.Duration(e.slow.Load()))
		_, _ = io.WriteString(w, "encrypted")
	})
	e.fileRig = startFile(t, fmt.Sprintf(`
[log]
level = "error"
[tls]
certificate = "%[1]s/front.crt"
key = "%[1]s/front.key"
client_ca = "%[1]s/ca.crt"
clients = "wanted"
[[service]]
name = "a"
idle = "1s"
connect_timeout = "300ms"
[service.tls]
ca = "%[1]s/ca.crt"
certificate = "%[1]s/client.crt"
key = "%[1]s/client.key"
[[service.endpoint]]
address = %[2]q
identity = %[3]q
`, e.dir, address, identity))
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	e.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, MaxIdleConnsPerHost: 8}
	return e
}

func (e *encrypted) ask(path string) (int, string) {
	resp, err := e.client.Get("https://" + e.address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body := make([]byte, 64)
	n, _ := resp.Body.Read(body)
	return resp.StatusCode, string(body[:n])
}

// Guards against certificates that are taken over at the cost of what runs: replaced every 100 ms, first the certificate,
// then the key, on both sides, beside clients that make connection after connection.
func TestCertificatesReplacedUnderLoad(t *testing.T) {
	e := startEncrypted(t, "node7.example")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var asked atomic.Int64
	for range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if status, body := e.ask("/"); status != 200 || body != "encrypted" {
					t.Errorf("%d %q", status, body)
					return
				}
				if asked.Add(1); n%5 == 0 {
					e.client.CloseIdleConnections()
				}
			}
		})
	}
	shown := map[string]bool{}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	for range 15 {
		e.pair(t, "front", base.Issue(t, e.ca, "127.0.0.1"))
		e.pair(t, "client", base.Issue(t, e.ca, "sidecar.example"))
		time.Sleep(100 * time.Millisecond) // the pace that is asked for, and not a wait
		conn, err := tls.Dial("tcp", e.address, &tls.Config{RootCAs: roots})
		if err != nil {
			t.Fatal(err)
		}
		shown[conn.ConnectionState().PeerCertificates[0].SerialNumber.String()] = true
		conn.Close()
	}
	close(stop)
	clients.Wait()
	if asked.Load() < 50 || len(shown) < 3 {
		t.Errorf("%d requests, %d certificates shown", asked.Load(), len(shown))
	}
}

// Guards against an upstream taken for another one, and against handshakes that count as anything but a connection that
// never came up: an unsafe request may then be refused, and nothing has run.
func TestWrongNodeGetsNothing(t *testing.T) {
	e := startEncrypted(t, "node8.example") // node7 took over the address
	resp, err := e.client.Post("https://"+e.address+"/", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || e.seen.Load() == 0 {
		t.Errorf("%s after %d handshakes", resp.Status, e.seen.Load())
	}
}

// Guards against connections that outlive the authority they were made under: they are closed once idle, and what comes
// under the new one goes on.
func TestAuthorityRotates(t *testing.T) {
	e := startEncrypted(t, "")
	ask := func() string {
		status, body := e.ask("/")
		return fmt.Sprint(status, " ", body)
	}
	if got := ask(); got != "200 encrypted" {
		t.Fatal(got)
	}
	s := e.d.routing.Load().services["a"]
	next := base.CA(t, "two")
	e.write(t, "ca.crt", append(append([]byte{}, e.ca.PEM...), next.PEM...))
	before := s.credentials.Current().Generation
	testutil.Eventually(t, "both authorities", func() bool { return s.credentials.Current().Generation > before })
	if got := ask(); got != "200 encrypted" {
		t.Errorf("by overlap: %s", got)
	}
	seen := e.seen.Load()
	e.write(t, "ca.crt", next.PEM)
	testutil.Eventually(t, "the new authority", func() bool { return s.credentials.Current().Generation > before+1 })
	testutil.Eventually(t, "the old connection is closed", func() bool { return e.d.shared.connectionSlots.Used(s.name) == 0 })
	if got := ask(); got != "503 refused: not done, trying again is harmless" && got != "503 refused: not done, trying again is harmless\n" {
		t.Errorf("under a withdrawn authority: %s", got)
	}
	if e.seen.Load() == seen {
		t.Error("no handshake was tried")
	}
	moved := base.ServerTLS(t, base.Issue(t, next, "127.0.0.1"))
	e.upstream.Store(moved)
	testutil.Eventually(t, "served under the new authority", func() bool { return ask() == "200 encrypted" })
}

// Guards against a handshake for each attempt that is called off: an encrypted connection whose answer comes in a moment
// carries the next request, one whose answer does not is closed. The attempt has its end at once either way.
func TestCalledOffAttemptKeepsItsConnection(t *testing.T) {
	e := startEncrypted(t, "")
	s := e.d.routing.Load().services["a"]
	name := ""
	for name = range s.registry.Instances() {
	}
	for _, c := range []struct {
		slow time.Duration
		kept int64
	}{{4 * time.Millisecond, 1}, {500 * time.Millisecond, 0}} {
		e.slow.Store(int64(c.slow))
		ctx, cancel := context.WithCancel(t.Context())
		before, done := e.asked.Load(), make(chan upstream.Response, 1)
		go func() {
			done <- s.pool.Attempt(ctx, name, upstream.NewRequest("GET", "/", "a", http.Header{}, nil), time.Time{})
		}()
		testutil.Eventually(t, "it is out", func() bool { return e.asked.Load() > before })
		cancel()
		begun := time.Now()
		if rep := <-done; rep.Result != balancer.Cancelled && rep.Result != balancer.OK || time.Since(begun) > c.slow/2+200*time.Millisecond {
			t.Errorf("%v: result %d after %v", c.slow, rep.Result, time.Since(begun))
		}
		testutil.Eventually(t, "it is kept, or closed", func() bool { return e.d.shared.connectionSlots.Used(s.name) == c.kept })
		if c.kept == 1 {
			testutil.Eventually(t, "it carries the next", func() bool {
				rep := s.pool.Attempt(t.Context(), name, upstream.NewRequest("GET", "/", "a", http.Header{}, nil), time.Time{})
				s.pool.Free(rep)
				return rep.Result == balancer.OK && string(rep.Body) == "encrypted"
			})
		}
	}
}

// Guards against clients' handshakes that stall, with no request's time running: the connection ends by the head's time-out.
func TestClientHandshakeThatStalls(t *testing.T) {
	e := startEncrypted(t, "")
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testutil.Timeout))
	_, _ = conn.Write([]byte{0x16, 0x03, 0x01, 0x02, 0x00}) // a record's head, and no more
	begun := time.Now()
	_, err = conn.Read(make([]byte, 1))
	if took := time.Since(begun); err == nil || took > testutil.Timeout/2 {
		t.Errorf("%v after %v", err, took)
	}
	if status, body := e.ask("/"); status != 200 || body != "encrypted" {
		t.Errorf("%d %q beside it", status, body)
	}
}

// Guards against bodies in chunks that are turned down because they came encrypted, and against a request that hides behind two
// framings there; who does not encrypt is told so.
func TestFramingBehindTLS(t *testing.T) {
	e := startEncrypted(t, "node7.example")
	resp, err := e.client.Post("https://"+e.address+"/", "", io.LimitReader(zeros{}, 300<<10)) // in chunks: its length isn't known
	if err != nil {
		t.Fatal(err)
	}
	if resp.Body.Close(); resp.StatusCode != 200 || e.asked.Load() != 1 {
		t.Errorf("in chunks: %s, %d reached the upstream", resp.Status, e.asked.Load())
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	for name, c := range map[string]struct {
		over func(net.Conn) net.Conn
		want int
	}{
		"two framings": {func(c net.Conn) net.Conn {
			return tls.Client(c, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
		}, http.StatusLengthRequired},
		"plain": {func(c net.Conn) net.Conn { return c }, http.StatusBadRequest},
	} {
		conn := c.over(base.Dial(t, e.address))
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != c.want {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
		conn.Close()
	}
	if n := e.asked.Load(); n != 1 {
		t.Errorf("%d reached the upstream", n)
	}
}
