package conformance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// sidecar starts the processes of one sidecar, one after another. They are real processes that share the address for clients, the
// configuration file and the folder of the hand-over socket.
type sidecar struct {
	t              *testing.T
	discovery      *fakes.Discovery
	config, folder string
	listen         string
	client         *http.Client
}

// process is one process of a sidecar.
type process struct {
	*exec.Cmd
	control string
	exited  chan struct{} // closed when the process has ended
}

func newSidecar(t *testing.T) *sidecar {
	s, _ := newSidecarWithNodes(t, fakes.NodeOptions{Cores: 8, DefaultServiceTime: 5 * time.Millisecond})
	return s
}

// newSidecarWithNodes returns a sidecar in front of three nodes with the given options.
func newSidecarWithNodes(t *testing.T, node fakes.NodeOptions) (*sidecar, *testEnvironment) {
	env := newTestEnvironment(t, node, node, node)
	listen := base.FreeAddress(t)
	return &sidecar{t: t, discovery: env.discovery[overHTTP], config: configFile(t, env, overHTTP, listen), folder: t.TempDir(), listen: listen,
		client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}, env
}

// start starts a process and waits until it is ready.
func (s *sidecar) start() *process {
	s.t.Helper()
	p := s.launch()
	testutil.Eventually(s.t, "the new process is ready or has ended", func() bool {
		select {
		case <-p.exited:
			return true
		default:
			return s.call("GET", "http://"+p.control+"/ready") == 200
		}
	})
	select {
	case <-p.exited:
		s.t.Fatal("the new process ended before it was ready")
	default:
	}
	return p
}

func (s *sidecar) waitUntilReady(p *process) {
	s.t.Helper()
	testutil.Eventually(s.t, "the process is ready", func() bool { return s.call("GET", "http://"+p.control+"/ready") == 200 })
}

// metric returns a metric of a process, or -1 if the metric cannot be read.
func (s *sidecar) metric(p *process, name string) (n int) {
	resp, err := s.client.Get("http://" + p.control + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // if the text is truncated, the metric is not found and the result is -1
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, name+"=%d", &n); err == nil {
			return n
		}
	}
	return -1
}

// launch starts a process without waiting until it is ready.
func (s *sidecar) launch() *process {
	s.t.Helper()
	p := &process{control: base.FreeAddress(s.t), exited: make(chan struct{})}
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "SUITE_CONFIG="+s.config, "SUITE_FRONT="+string(overHTTP), "SUITE_CONTROL="+p.control, "TMPDIR="+s.folder)
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_ = p.Wait() // end reads the result from ProcessState instead
		close(p.exited)
	}()
	s.t.Cleanup(func() {
		_ = p.Process.Kill() // fails if the process has ended already
		<-p.exited
	})
	return p
}

func (s *sidecar) call(method, url string) int {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (s *sidecar) end(p *process) {
	s.t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		s.t.Errorf("the process ended after SIGTERM with exit code %d, want 0", code)
	}
}

// load sends requests until stop is called. Some clients reuse their connections, and others open a new connection for each request. Each
// request that is not served fails the test. stop returns the number of responses.
func (s *sidecar) load() (stop func() (served int64)) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var served, unanswered atomic.Int64
	for n := range 6 {
		client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		clients.Go(func() {
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				resp, err := client.Do(testutil.Request(s.t, s.listen, "search", ""))
				if err != nil {
					unanswered.Add(1)
					s.t.Error(err)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 {
					s.t.Errorf("request during the replacement failed: status %s, body %q, error %v; want status 200", resp.Status, body, err)
				}
				served.Add(1)
			}
		})
	}
	s.t.Cleanup(func() { // stops the load too if the test fails before it calls stop
		cancel()
		clients.Wait()
	})
	return func() int64 {
		cancel()
		clients.Wait()
		return served.Load()
	}
}

// Guards against requests that fail because their process is replaced. Two replacements in a row under load must not reset a connection or
// fail a request, and each old process must exit with code 0.
func TestReplacedUnderLoad(t *testing.T) {
	s := newSidecar(t)
	first := s.start()
	stop := s.load()
	second := s.start()
	s.end(first)
	third := s.start()
	s.end(second)
	if n := stop(); n == 0 {
		t.Error("no request was served during the replacement")
	}
	if s.call("GET", "http://"+third.control+"/ready") != 200 {
		t.Error("the last process is not ready")
	}
}

// Guards against a successor that takes the old process down with it. After the successor was killed, the old process must continue to serve,
// and another successor must be able to replace it.
func TestASuccessorThatDies(t *testing.T) {
	s := newSidecar(t)
	old := s.start()
	second := s.start()
	_ = second.Process.Kill() // there is no load at this moment, because accepted connections of the successor end with it
	<-second.exited
	sockets, err := filepath.Glob(filepath.Join(s.folder, "orchiddrift-*.sock"))
	if err != nil || len(sockets) != 1 {
		t.Fatalf("hand-over sockets: %v, error %v, want one socket", sockets, err)
	}
	testutil.Eventually(t, "the old process accepts connections to its hand-over socket again", func() bool {
		c, err := net.Dial("unix", sockets[0])
		if err != nil {
			return false
		}
		c.Close()
		return true
	})
	stop := s.load()
	if got := s.call("GET", "http://"+old.control+"/ready"); got != 200 {
		t.Errorf("old process after the death of its successor: /ready answered %d, want 200", got)
	}
	third := s.start()
	s.end(old)
	stop()
	if got := s.call("GET", "http://"+third.control+"/ready"); got != 200 {
		t.Errorf("second successor: /ready answered %d, want 200", got)
	}
}

// Guards against a hand-over socket path that keeps the next process from serving. In the first case a killed process left its socket behind,
// and in the second a regular file has the path. The next process cannot take over state, but must serve.
func TestLeftovers(t *testing.T) {
	s := newSidecar(t)
	old := s.start()
	_ = old.Process.Kill()
	<-old.exited
	sockets, err := filepath.Glob(filepath.Join(s.folder, "orchiddrift-*.sock"))
	if err != nil || len(sockets) != 1 {
		t.Fatalf("hand-over sockets after the kill: %v, error %v, want one socket", sockets, err)
	}
	second := s.start()
	if got := s.call("GET", "http://"+s.listen+"/-/ready"); got != 200 {
		t.Errorf("process started beside the socket of a killed one: /-/ready answered %d, want 200", got)
	}
	if err := os.Remove(sockets[0]); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(sockets[0], []byte("no socket"), 0o600); err != nil {
		t.Fatal(err)
	}
	stop := s.load() // the second process continues to serve; the third cannot reach it through the path
	third := s.start()
	stop()
	for _, p := range []*process{second, third} {
		if got := s.call("GET", "http://"+p.control+"/ready"); got != 200 {
			t.Errorf("process beside a regular file at the socket path: /ready answered %d, want 200", got)
		}
	}
}

// Guards against a replacement that cancels a drain. The successor must be draining from its start, and POST /undrain to either process must
// end the drain of both.
func TestReplacedWhileItDrains(t *testing.T) {
	s := newSidecar(t)
	old := s.start()
	ready := func() int { return s.call("GET", "http://"+s.listen+"/-/ready") }
	if s.call("POST", "http://"+old.control+"/drain") != 200 || ready() == 200 {
		t.Fatal("the process is ready after POST /drain")
	}
	second := s.start()
	for range 20 { // either process may get each request
		if ready() == 200 {
			t.Fatal("a process is ready although POST /undrain has not ended the drain")
		}
	}
	if s.call("POST", "http://"+second.control+"/undrain") != 200 {
		t.Error("POST /undrain to the successor failed")
	}
	testutil.Eventually(t, "both processes are ready", func() bool {
		for range 20 {
			if ready() != 200 {
				return false
			}
		}
		return true
	})
	s.end(old)
	if ready() != 200 {
		t.Error("the remaining process is not ready after the drain ended")
	}
	if got := s.call("GET", "http://"+second.control+"/metrics"); got != 200 {
		t.Errorf("successor: /metrics answered %d, want 200", got)
	}
}

// Guards against a successor that keeps an outdated endpoint list, and against requests that fail, when a configuration is reloaded while two
// processes serve. Discovery gets a new address while the second process starts, and both processes get SIGHUP. The second process must learn
// of a drain that follows.
func TestReplacedDuringAReload(t *testing.T) {
	s := newSidecar(t)
	old := s.start()
	stop := s.load()
	second := s.launch()
	if _, err := s.discovery.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	writeConfig(t, s.config, s.discovery, overHTTP, s.listen, s.discovery.List())
	_ = old.Process.Signal(syscall.SIGHUP)
	s.waitUntilReady(second)
	_ = second.Process.Signal(syscall.SIGHUP) // sent only now because a SIGHUP before the process is ready would end it
	s.end(old)
	s.discovery.Drain("n0")
	testutil.Eventually(t, "the successor knows of the drain", func() bool { return s.metric(second, "members_unavailable") == 1 })
	stop()
	if n := s.metric(second, "members"); n != 3 {
		t.Errorf("the successor has %d members, want 3", n)
	}
}

// Guards against a successor that cannot serve without discovery. While discovery is down, the successor must serve with the endpoint list
// that its predecessor handed over, even if its own configuration lists no endpoint.
func TestReplacedWhileDiscoveryIsDown(t *testing.T) {
	s := newSidecar(t)
	old := s.start()
	s.discovery.Drain("n0")
	testutil.Eventually(t, "the old process knows of the drain", func() bool { return s.metric(old, "members_unavailable") == 1 })
	s.discovery.Down(true)
	index := int64(0)
	writeConfig(t, s.config, s.discovery, overHTTP, s.listen, &endpoints.List{Index: &index, Snapshot: true, Endpoints: []endpoints.Endpoint{}})
	stop := s.load()
	second := s.start()
	s.end(old)
	if n := stop(); n == 0 {
		t.Error("no request was served during the replacement")
	}
	if all, unavailable := s.metric(second, "members"), s.metric(second, "members_unavailable"); all != 3 || unavailable != 1 {
		t.Errorf("the successor has %d members, %d of them unavailable; want 3 and 1", all, unavailable)
	}
	s.discovery.Down(false)
	s.discovery.Drain("n1")
	testutil.Eventually(t, "the successor knows the second drain after discovery is up again", func() bool { return s.metric(second, "members_unavailable") == 2 })
}

// Guards against a replacement that makes a request run twice, or that rejects a request that was executed. Requests in flight stay with the
// old process, and the new process must not retry them. The nodes reset connections after they have executed some requests, and reject others.
func TestNothingRunsTwiceThroughReplacements(t *testing.T) {
	s, env := newSidecarWithNodes(t, fakes.NodeOptions{Cores: 8, DefaultServiceTime: 5 * time.Millisecond, Faults: []fakes.Fault{
		{Kind: fakes.ResetAfter, Class: "confirm", Share: 0.1}, {Kind: fakes.Reject, Class: "confirm", Share: 0.1}}})
	process := s.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var answered atomic.Int64
	for n := range 6 {
		client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		clients.Go(func() {
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				req := testutil.Request(t, s.listen, "confirm", "")
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				answered.Add(1)
				runs := len(env.ledger.Operation(req.Header.Get("X-Request-ID")).Executions)
				if runs > 1 || resp.StatusCode == http.StatusServiceUnavailable && runs > 0 || resp.StatusCode == http.StatusOK && runs != 1 {
					t.Errorf("response %s, but the request was executed %d times", resp.Status, runs)
				}
			}
		})
	}
	for range 3 {
		before := answered.Load()
		testutil.Eventually(t, "more than 50 further requests were answered", func() bool { return answered.Load() > before+50 })
		next := s.start()
		s.end(process)
		process = next
	}
	cancel()
	clients.Wait()
	if ids := env.ledger.ExecutedTwice("confirm"); len(ids) > 0 {
		t.Errorf("requests were executed twice during the replacements: %v", ids)
	}
}
