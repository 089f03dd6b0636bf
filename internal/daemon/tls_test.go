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

// tlsRig is a daemon that uses TLS to clients and to its one upstream. The test may replace the certificate files.
type tlsRig struct {
	*fileRig
	ca          *fakes.CA
	dir         string
	upstreamTLS atomic.Pointer[tls.Config]
	handshakes  atomic.Int64 // number of handshakes that have begun at the upstream
	delay       atomic.Int64 // delay of the upstream's answers in nanoseconds
	requests    atomic.Int64 // number of requests that have reached the upstream
}

func (e *tlsRig) write(t testing.TB, name string, text []byte) {
	base.Replace(t, filepath.Join(e.dir, name), text)
}

// replaceCertificate replaces the files of a certificate and its key, one after the other.
func (e *tlsRig) replaceCertificate(t testing.TB, name string, of fakes.Issued) {
	e.write(t, name+".crt", of.Certificate)
	e.write(t, name+".key", of.Key)
}

// startTLSRig starts a tlsRig. The upstream's certificate must be valid for the name identity, or for the host of the upstream's
// address if identity is empty.
func startTLSRig(t *testing.T, identity string) *tlsRig {
	t.Helper()
	e := &tlsRig{ca: base.CA(t, "one"), dir: t.TempDir()}
	e.write(t, "ca.crt", e.ca.PEM)
	e.replaceCertificate(t, "front", base.Issue(t, e.ca, "127.0.0.1"))
	e.replaceCertificate(t, "client", base.Issue(t, e.ca, "sidecar.example"))
	node := base.ServerTLS(t, base.Issue(t, e.ca, "127.0.0.1", "node7.example"))
	node.ClientAuth, node.ClientCAs = tls.RequireAndVerifyClientCert, x509.NewCertPool()
	node.ClientCAs.AppendCertsFromPEM(e.ca.PEM)
	e.upstreamTLS.Store(node)
	address := base.HTTP(t, &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		e.handshakes.Add(1)
		return e.upstreamTLS.Load(), nil
	}}, func(w http.ResponseWriter, _ *http.Request) {
		e.requests.Add(1)
		time.Sleep(time.Duration(e.delay.Load()))
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

// get sends a GET request, and returns the status and the body, or 0 and the error.
func (e *tlsRig) get(path string) (int, string) {
	resp, err := e.client.Get("https://" + e.address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body := make([]byte, 64)
	n, _ := resp.Body.Read(body)
	return resp.StatusCode, string(body[:n])
}

// Guards against failed requests while certificates are replaced. The clients' listener and the connections to the upstream get a
// new certificate every 100 ms, first the certificate and then its key, while clients open new connections.
func TestCertificatesReplacedUnderLoad(t *testing.T) {
	e := startTLSRig(t, "node7.example")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var requests atomic.Int64
	for range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if status, body := e.get("/"); status != 200 || body != "encrypted" {
					t.Errorf("request while certificates are replaced: got %d %q, want 200 encrypted", status, body)
					return
				}
				if requests.Add(1); n%5 == 0 {
					e.client.CloseIdleConnections()
				}
			}
		})
	}
	serials := map[string]bool{}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	for range 15 {
		e.replaceCertificate(t, "front", base.Issue(t, e.ca, "127.0.0.1"))
		e.replaceCertificate(t, "client", base.Issue(t, e.ca, "sidecar.example"))
		time.Sleep(100 * time.Millisecond) // the interval of the replacements, not a wait for a condition
		conn, err := tls.Dial("tcp", e.address, &tls.Config{RootCAs: roots})
		if err != nil {
			t.Fatal(err)
		}
		serials[conn.ConnectionState().PeerCertificates[0].SerialNumber.String()] = true
		conn.Close()
	}
	close(stop)
	clients.Wait()
	if requests.Load() < 50 || len(serials) < 3 {
		t.Errorf("got %d requests and %d different certificates, want at least 50 and 3", requests.Load(), len(serials))
	}
}

// Guards against requests to an upstream with the wrong identity, and against failed handshakes that do not count as connections
// that were never established. Nothing was sent on such a connection, so that even an unsafe request gets 503.
func TestWrongNodeGetsNothing(t *testing.T) {
	e := startTLSRig(t, "node8.example") // node7 took over the address
	resp, err := e.client.Post("https://"+e.address+"/", "text/plain", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || e.handshakes.Load() == 0 {
		t.Errorf("request to an upstream with the wrong identity: got %s after %d handshakes, want 503 after at least one", resp.Status, e.handshakes.Load())
	}
}

// Guards against connections that stay open after the certificate authority that verified them was withdrawn. Such connections are
// closed once idle, and requests succeed under the new authority.
func TestAuthorityRotates(t *testing.T) {
	e := startTLSRig(t, "")
	get := func() string {
		status, body := e.get("/")
		return fmt.Sprint(status, " ", body)
	}
	if got := get(); got != "200 encrypted" {
		t.Fatal(got)
	}
	s := e.d.routing.Load().services["a"]
	next := base.CA(t, "two")
	e.write(t, "ca.crt", append(append([]byte{}, e.ca.PEM...), next.PEM...))
	before := s.credentials.Current().Generation
	testutil.Eventually(t, "the service trusts both authorities", func() bool { return s.credentials.Current().Generation > before })
	if got := get(); got != "200 encrypted" {
		t.Errorf("while both authorities are trusted: got %s, want 200 encrypted", got)
	}
	handshakes := e.handshakes.Load()
	e.write(t, "ca.crt", next.PEM)
	testutil.Eventually(t, "the service trusts only the new authority", func() bool { return s.credentials.Current().Generation > before+1 })
	testutil.Eventually(t, "the connection verified by the old authority is closed", func() bool { return e.d.shared.connectionSlots.Used(s.name) == 0 })
	if got := get(); got != "503 refused: not done, trying again is harmless" && got != "503 refused: not done, trying again is harmless\n" {
		t.Errorf("upstream certificate of a withdrawn authority: got %s, want 503", got)
	}
	if e.handshakes.Load() == handshakes {
		t.Error("no handshake was attempted with the upstream certificate of the withdrawn authority")
	}
	reissued := base.ServerTLS(t, base.Issue(t, next, "127.0.0.1"))
	e.upstreamTLS.Store(reissued)
	testutil.Eventually(t, "requests succeed under the new authority", func() bool { return get() == "200 encrypted" })
}

// Guards against a new handshake after each cancelled attempt. If the answer arrives shortly after the cancellation, the TLS
// connection is reused, otherwise it is closed. The attempt ends at once in both cases.
func TestCalledOffAttemptKeepsItsConnection(t *testing.T) {
	e := startTLSRig(t, "")
	s := e.d.routing.Load().services["a"]
	name := ""
	for name = range s.registry.Instances() {
	}
	for _, c := range []struct {
		delay time.Duration
		open  int64
	}{{4 * time.Millisecond, 1}, {500 * time.Millisecond, 0}} {
		e.delay.Store(int64(c.delay))
		ctx, cancel := context.WithCancel(t.Context())
		before, done := e.requests.Load(), make(chan upstream.Response, 1)
		go func() {
			done <- s.pool.Attempt(ctx, name, upstream.NewRequest("GET", "/", "a", http.Header{}, nil), time.Time{})
		}()
		testutil.Eventually(t, "the attempt reaches the upstream", func() bool { return e.requests.Load() > before })
		cancel()
		begun := time.Now()
		if response := <-done; response.Result != balancer.Cancelled && response.Result != balancer.OK || time.Since(begun) > c.delay/2+200*time.Millisecond {
			t.Errorf("upstream that answers after %v: cancelled attempt ended with result %d after %v, want cancelled or OK at once",
				c.delay, response.Result, time.Since(begun))
		}
		testutil.Eventually(t, "the connection is kept if its answer arrived shortly after the cancellation, and closed otherwise", func() bool {
			return e.d.shared.connectionSlots.Used(s.name) == c.open
		})
		if c.open == 1 {
			testutil.Eventually(t, "the next attempt succeeds", func() bool {
				response := s.pool.Attempt(t.Context(), name, upstream.NewRequest("GET", "/", "a", http.Header{}, nil), time.Time{})
				s.pool.Free(response)
				return response.Result == balancer.OK && string(response.Body) == "encrypted"
			})
		}
	}
}

// Guards against clients' handshakes that stall, to which no timeout of a request applies yet. The connection must be closed after
// head_timeout.
func TestClientHandshakeThatStalls(t *testing.T) {
	e := startTLSRig(t, "")
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testutil.Timeout))
	_, _ = conn.Write([]byte{0x16, 0x03, 0x01, 0x02, 0x00}) // the header of a TLS record, without its content
	begun := time.Now()
	_, err = conn.Read(make([]byte, 1))
	if took := time.Since(begun); err == nil || took > testutil.Timeout/2 {
		t.Errorf("read from a connection whose handshake stalls: got error %v after %v, want an error within half of the test timeout", err, took)
	}
	if status, body := e.get("/"); status != 200 || body != "encrypted" {
		t.Errorf("request beside the stalled handshake: got %d %q, want 200 encrypted", status, body)
	}
}

// Guards against chunked bodies that are rejected because they arrive over TLS, and against request smuggling over TLS by two
// conflicting framings of a body. A client that does not use TLS gets status 400.
func TestFramingBehindTLS(t *testing.T) {
	e := startTLSRig(t, "node7.example")
	resp, err := e.client.Post("https://"+e.address+"/", "", io.LimitReader(zeros{}, 300<<10)) // chunked, since its length is not known
	if err != nil {
		t.Fatal(err)
	}
	if resp.Body.Close(); resp.StatusCode != 200 || e.requests.Load() != 1 {
		t.Errorf("chunked body: got %s, and %d requests reached the upstream; want 200 and 1", resp.Status, e.requests.Load())
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(e.ca.PEM)
	for name, c := range map[string]struct {
		wrap func(net.Conn) net.Conn
		want int
	}{
		"two framings": {func(c net.Conn) net.Conn {
			return tls.Client(c, &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"})
		}, http.StatusLengthRequired},
		"no TLS": {func(c net.Conn) net.Conn { return c }, http.StatusBadRequest},
	} {
		conn := c.wrap(base.Dial(t, e.address))
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != c.want {
			t.Errorf("%s: did not get the expected status: response %+v, error %v", name, resp, err)
		}
		conn.Close()
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the upstream, want only the chunked one", n)
	}
}
