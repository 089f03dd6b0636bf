package processes

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

var (
	shutdowns       = flag.Int("shutdowns", 1, "number of shutdowns of each kind, while clients keep connecting")
	shutdownClients = flag.Int("shutdown-clients", 60, "number of clients that keep connecting during a shutdown")
)

const (
	// redialInterval is the time for which a client waits after a refused connection.
	redialInterval = time.Millisecond
	// loadBeforeSignal is the number of answered requests after which the first signal is sent.
	loadBeforeSignal = 400
	// maxShutdownTime is the longest allowed time from SIGTERM to the exit. The upstreams answer within 50 ms.
	maxShutdownTime = 1900 * time.Millisecond
)

// lostRequest is a request that was written completely, but whose connection ended without a response.
type lostRequest struct {
	first bool // the request was the first one on its connection
	dial  time.Time
	sent  time.Time
	err   error
}

// clientPool is a set of clients. Each client sends one request at a time over a persistent connection, and opens another connection when that
// one ends.
type clientPool struct {
	address   string
	tlsConfig *tls.Config // if nil, the connections are not encrypted
	class     string
	seed      uint64
	stop      chan struct{}
	running   sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
	lost     []lostRequest
	refused  int // number of refused connections
	unsent   int // number of requests whose connection ended before they were written
}

func newClientPool(address, class string, tlsConfig *tls.Config, seed uint64) *clientPool {
	return &clientPool{address: address, class: class, tlsConfig: tlsConfig, seed: seed, stop: make(chan struct{}), statuses: map[int]int{}}
}

func (c *clientPool) start(clients int) {
	for i := range clients {
		rng := rand.New(rand.NewPCG(c.seed, uint64(i)))
		c.running.Go(func() {
			for !c.stopped() {
				c.connect(i, rng)
			}
		})
	}
}

func (c *clientPool) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

func (c *clientPool) count(add func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add()
}

func (c *clientPool) answered() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.statuses {
		n += count
	}
	return n
}

// connect opens a connection and sends requests over it until the connection ends.
func (c *clientPool) connect(client int, rng *rand.Rand) {
	dialed := time.Now()
	socket, err := net.DialTimeout("tcp", c.address, Patience)
	if err != nil {
		c.count(func() { c.refused++ })
		time.Sleep(redialInterval)
		return
	}
	defer socket.Close()
	conn := socket
	_ = conn.SetDeadline(time.Now().Add(Patience)) // if this fails, later reads fail too
	if c.tlsConfig != nil {
		conn = tls.Client(conn, c.tlsConfig)
	}
	in := bufio.NewReader(conn)
	for n := 0; !c.stopped() && (n == 0 || !ConnectionEnded(socket)); n++ {
		request := fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: %x-%x\r\nX-Priority-Class: %s\r\nContent-Length: 1\r\n\r\nx",
			c.class, client, rng.Uint64(), c.class)
		sent := time.Now()
		if _, err := io.WriteString(conn, request); err != nil {
			c.countUnwritten(n, dialed, sent, err)
			return
		}
		response, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			c.count(func() { c.lost = append(c.lost, lostRequest{n == 0, dialed, sent, err}) })
			return
		}
		c.count(func() { c.statuses[response.StatusCode]++ })
		if response.Close {
			return
		}
	}
}

// countUnwritten counts a request that could not be written. If it was the first request of its connection, it also counts as lost, because on
// an encrypted connection the first write includes the TLS handshake.
func (c *clientPool) countUnwritten(n int, dialed, sent time.Time, err error) {
	c.count(func() {
		c.unsent++
		if n == 0 {
			c.lost = append(c.lost, lostRequest{true, dialed, sent, err})
		}
	})
}

// stopAndReport stops the clients. It returns a line for each request without a response, with times relative to a signal.
func (c *clientPool) stopAndReport(signaled time.Time) (lost []string) {
	close(c.stop)
	c.running.Wait()
	for _, l := range c.lost {
		lost = append(lost, fmt.Sprintf("first request of its connection: %v, connected %v and sent %v after the signal: %v", l.first,
			l.dial.Sub(signaled).Round(time.Millisecond), l.sent.Sub(signaled).Round(time.Millisecond), l.err))
	}
	return lost
}

// slowUpstreams starts three upstreams that answer in 5 to 50 ms.
func slowUpstreams(t *testing.T) (addresses []string) {
	t.Helper()
	for i := range 3 {
		rng := rand.New(rand.NewPCG(7, uint64(i)))
		var mu sync.Mutex
		addresses = append(addresses, base.HTTP(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			work := 5*time.Millisecond + time.Duration(rng.Int64N(int64(45*time.Millisecond)))
			mu.Unlock()
			time.Sleep(work)
			_, _ = io.WriteString(w, "x")
		}))
	}
	return addresses
}

// shutdownFile returns the configuration file of a daemon that forwards to the given upstreams. tables holds additional TOML tables.
func shutdownFile(listen string, upstreams []string, tables string) string {
	return fmt.Sprintf("[daemon]\nname = \"s\"\nlisten = %q\ncontrol = \"127.0.0.1:0\"\nseed = \"5\"\n[limits]\nmemory = \"192MiB\"\ndescriptors = 8192\n"+
		"[log]\nformat = \"json\"\n%s[[service]]\nname = \"web\"\naddresses = [\"%s\"]\n", listen, tables, strings.Join(upstreams, `", "`))
}

// shutdownKind describes one way in which a test ends a process.
type shutdownKind struct {
	name        string
	signals     []syscall.Signal // signals to send at intervals of signalInterval; the shutdown time counts from the first SIGTERM
	invalidFile bool             // the configuration file is invalid when the signals are sent
	platform    bool             // the process uses the platform's configuration format
	tls         bool
}

var shutdownKinds = []shutdownKind{
	{name: "TERM", signals: []syscall.Signal{syscall.SIGTERM}},
	{name: "TERM, platform's form", signals: []syscall.Signal{syscall.SIGTERM}, platform: true},
	{name: "TERM, TLS", signals: []syscall.Signal{syscall.SIGTERM}, tls: true},
	{name: "HUP and TERM in series", signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP}},
	{name: "a bad file and a second TERM", signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}, invalidFile: true},
}

// signalInterval is the time between two signals of a shutdownKind.
const signalInterval = 20 * time.Millisecond

// TestShutdownAnswersNewConnections guards against a process that accepts connections during its shutdown and closes them without a response to
// their first request. Flags for a long run are -shutdowns 30 -shutdown-clients 1000.
func TestShutdownAnswersNewConnections(t *testing.T) {
	for _, kind := range shutdownKinds {
		t.Run(kind.name, func(t *testing.T) {
			upstreams := slowUpstreams(t)
			for round := range *shutdowns {
				testShutdown(t, kind, upstreams, uint64(round+1))
			}
		})
	}
}

// testShutdown ends one process under the load of a clientPool, and checks that no request is lost.
func testShutdown(t *testing.T, kind shutdownKind, upstreams []string, seed uint64) {
	r := New(t, seed)
	reserved, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Release()
	p, tlsConfig := shutdownProcess(t, r, kind, reserved.Address, upstreams)
	if err := p.Start(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	clients := newClientPool(reserved.Address, "confirm", tlsConfig, seed)
	clients.start(*shutdownClients)
	base.Eventually(t, "requests are answered", func() bool { return clients.answered() > loadBeforeSignal })
	if kind.invalidFile {
		for name := range p.spec.Files {
			base.Replace(t, filepath.Join(p.Dir, name), []byte("{"))
		}
	}
	var signaled time.Time
	for _, signal := range kind.signals {
		if signaled.IsZero() && signal == syscall.SIGTERM {
			signaled = time.Now()
		}
		if err := p.Signal(signal); err != nil {
			t.Fatal(err)
		}
		time.Sleep(signalInterval)
	}
	if err := p.Await(within(t, Patience)); err != nil {
		t.Fatal(err)
	}
	took := time.Since(signaled)
	lost := clients.stopAndReport(signaled)
	t.Logf("seed %d: %d clients, process ended after %v, responses by status %v, %d connections refused, %d requests not written, %d without a response", seed,
		*shutdownClients, took.Round(time.Millisecond), clients.statuses, clients.refused, clients.unsent, len(lost))
	for _, line := range lost[:min(len(lost), 8)] {
		t.Errorf("request without a response: %s", line)
	}
	if code := p.currentRun().cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the process ended with exit code %d, want 0", code)
	}
	if took > maxShutdownTime {
		t.Errorf("the process ended %v after SIGTERM, later than maxShutdownTime allows", took)
	}
}

// replacementKind describes one way in which a test replaces a process.
type replacementKind struct {
	name   string
	early  bool // the old process gets SIGTERM as soon as its successor has the listening socket
	beside bool // the successor cannot obtain the listening socket, and opens its own at the same address
}

// TestReplacementUnderCrowd guards against connections that are lost while a successor takes over. The two processes either share one listening
// socket, so that a change by one of them affects the other, or have one socket each.
func TestReplacementUnderCrowd(t *testing.T) {
	for _, kind := range []replacementKind{{name: "late"}, {name: "early", early: true}, {name: "beside", beside: true}} {
		t.Run(kind.name, func(t *testing.T) {
			upstreams := slowUpstreams(t)
			for round := range *shutdowns {
				testReplacement(t, kind, upstreams, uint64(round+1))
			}
		})
	}
}

// testReplacement replaces a process under the load of a clientPool. It checks that no connection is refused and that each request gets a
// response.
func testReplacement(t *testing.T, kind replacementKind, upstreams []string, seed uint64) {
	r := New(t, seed)
	reserved, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Release()
	p, _ := shutdownProcess(t, r, shutdownKind{}, reserved.Address, upstreams)
	if kind.beside {
		p.spec.Env = []string{"TMPDIR=" + filepath.Join(p.Dir, "missing")}
	}
	if err := p.Start(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	clients := newClientPool(reserved.Address, "confirm", nil, seed)
	clients.start(*shutdownClients)
	base.Eventually(t, "requests are answered", func() bool { return clients.answered() > loadBeforeSignal })
	if kind.early {
		replaceEarly(t, r, p)
	} else if err := p.Replace(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	before := clients.answered()
	base.Eventually(t, "the successor answers", func() bool { return clients.answered() > before+loadBeforeSignal })
	lost := clients.stopAndReport(time.Now())
	t.Logf("seed %d: %d clients, responses by status %v, %d connections refused, %d requests without a response", seed, *shutdownClients, clients.statuses,
		clients.refused, len(lost))
	for _, line := range lost[:min(len(lost), 8)] {
		t.Errorf("request without a response: %s", line)
	}
	if clients.refused > 0 {
		t.Errorf("%d connections were refused during the replacement, want 0", clients.refused)
	}
}

// replaceEarly starts a successor, and ends the old process as soon as the successor has the listening socket.
func replaceEarly(t *testing.T, r *Rig, p *Process) {
	t.Helper()
	old := p.currentRun()
	p.mu.Lock()
	err := p.launchLocked(nil)
	p.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.History.Wait(within(t, Patience), old.historyStart, func(e Event) bool {
		return e.What == "hand-over: a successor has the clients' socket"
	}); err != nil {
		t.Fatal(err)
	}
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-old.done:
	case <-within(t, Patience).Done():
		t.Fatal("the old process did not end after SIGTERM although its successor has the listening socket")
	}
}

// shutdownProcess returns a process for a kind of shutdown, and the TLS configuration that its clients use.
func shutdownProcess(t *testing.T, r *Rig, kind shutdownKind, listen string, upstreams []string) (*Process, *tls.Config) {
	t.Helper()
	spec := Spec{Name: "s", Ready: Listening, Args: []string{"--config", "web.toml"}}
	switch {
	case kind.platform:
		var known []string
		for i, address := range upstreams {
			known = append(known, testutil.Entry(fmt.Sprintf("u%d", i), address, "Ready"))
		}
		text := strings.Replace(testutil.ConfigText(testutil.Quiet(t).Address, known...), "127.0.0.1:9000", listen, 1)
		text = strings.Replace(text, `"sockets":1024`, `"sockets":8192`, 1)
		spec.Args = []string{"serve", "--config", "config.json", "--file", "operators.toml"}
		spec.Files = map[string]string{"config.json": text, "operators.toml": "[log]\nformat = \"json\"\n"}
		return r.Process(spec), nil
	case kind.tls:
		ca := base.CA(t, "one")
		issued := base.Issue(t, ca, "127.0.0.1")
		spec.Files = map[string]string{"front.crt": string(issued.Certificate), "front.key": string(issued.Key),
			"web.toml": shutdownFile(listen, upstreams, "[tls]\ncertificate = \"front.crt\"\nkey = \"front.key\"\n")}
		roots := x509.NewCertPool()
		roots.AppendCertsFromPEM(ca.PEM)
		return r.Process(spec), &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
	default:
		spec.Files = map[string]string{"web.toml": shutdownFile(listen, upstreams, "")}
		return r.Process(spec), nil
	}
}

// TestRefusedOnceNothingIsAccepted guards against connection attempts that succeed or hang after a process has stopped accepting connections.
func TestRefusedOnceNothingIsAccepted(t *testing.T) {
	r := New(t, 1)
	arrived, release := make(chan struct{}), make(chan struct{})
	upstream := base.HTTP(t, nil, func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	})
	p := newDaemons(r, 1, upstream)[0]
	if err := p.Start(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	inFlight := make(chan error, 1)
	go func() { // this request stays in flight and keeps the process alive until the end of the test
		response, err := http.Post("http://"+p.Address()+"/a", "text/plain", strings.NewReader("x"))
		if err == nil {
			response.Body.Close()
		}
		inFlight <- err
	}()
	<-arrived
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	base.Eventually(t, "a connection attempt is refused", func() bool {
		conn, err := net.DialTimeout("tcp", p.Address(), Patience)
		if err == nil {
			conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	for range 100 {
		begun := time.Now()
		conn, err := net.DialTimeout("tcp", p.Address(), Patience)
		if err == nil {
			conn.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) || time.Since(begun) > time.Second/2 {
			t.Fatalf("connection attempt after the process stopped accepting: got error %v after %v, want ECONNREFUSED within 500 ms", err, time.Since(begun))
		}
	}
	close(release)
	if err := <-inFlight; err != nil {
		t.Errorf("the request in flight failed: %v", err)
	}
	if err := p.Await(within(t, Patience)); err != nil {
		t.Error(err)
	}
}
