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

// replaced is one sidecar whose process is replaced: real processes that share an address and a folder.
type replaced struct {
	t              *testing.T
	discovery      *fakes.Discovery
	config, folder string
	listen         string
	client         *http.Client
}

// process is one of them.
type process struct {
	*exec.Cmd
	control string
	over    chan struct{}
}

func newReplaced(t *testing.T) *replaced {
	r, _ := newReplacedWorld(t, fakes.NodeOptions{Cores: 8, DefaultServiceTime: 5 * time.Millisecond})
	return r
}

// newReplacedWorld is newReplaced before nodes of that kind.
func newReplacedWorld(t *testing.T, node fakes.NodeOptions) (*replaced, *world) {
	w := newWorld(t, node, node, node)
	listen := base.FreeAddress(t)
	return &replaced{t: t, discovery: w.discovery[overHTTP], config: configFile(t, w, overHTTP, listen), folder: t.TempDir(), listen: listen,
		client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}, w
}

// start starts a process, and waits until it can serve.
func (r *replaced) start() *process {
	r.t.Helper()
	p := r.begin()
	testutil.Eventually(r.t, "it can serve, or has ended", func() bool {
		select {
		case <-p.over:
			return true
		default:
			return r.call("GET", "http://"+p.control+"/ready") == 200
		}
	})
	select {
	case <-p.over:
		r.t.Fatal("it ends as it starts")
	default:
	}
	return p
}

func (r *replaced) wait(p *process) {
	r.t.Helper()
	testutil.Eventually(r.t, "it can serve", func() bool { return r.call("GET", "http://"+p.control+"/ready") == 200 })
}

// figure is one of a process's figures; -1: it can't be had.
func (r *replaced) figure(p *process, name string) (n int) {
	resp, err := r.client.Get("http://" + p.control + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // cut, it lacks the line
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, name+"=%d", &n); err == nil {
			return n
		}
	}
	return -1
}

// begin starts a process.
func (r *replaced) begin() *process {
	r.t.Helper()
	p := &process{control: base.FreeAddress(r.t), over: make(chan struct{})}
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "SUITE_CONFIG="+r.config, "SUITE_FRONT="+string(overHTTP), "SUITE_CONTROL="+p.control, "TMPDIR="+r.folder)
	if err := p.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		_ = p.Wait() // its state tells
		close(p.over)
	}()
	r.t.Cleanup(func() {
		_ = p.Process.Kill() // it may have ended
		<-p.over
	})
	return p
}

func (r *replaced) call(method, url string) int {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (r *replaced) end(p *process) {
	r.t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		r.t.Fatal(err)
	}
	<-p.over
	if code := p.ProcessState.ExitCode(); code != 0 {
		r.t.Errorf("it ended with %d", code)
	}
}

// load sends requests until stopped, some clients on kept connections and some on new ones, and counts what was not served.
func (r *replaced) load() (stop func() (served int64)) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var served, unheard atomic.Int64
	for n := range 6 {
		client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		clients.Go(func() {
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				resp, err := client.Do(testutil.Request(r.t, r.listen, "search", ""))
				if err != nil {
					unheard.Add(1)
					r.t.Error(err)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 {
					r.t.Errorf("%s %q %v", resp.Status, body, err)
				}
				served.Add(1)
			}
		})
	}
	r.t.Cleanup(func() { // also where the test is given up
		cancel()
		clients.Wait()
	})
	return func() int64 {
		cancel()
		clients.Wait()
		return served.Load()
	}
}

// Guards against requests that a replacement costs: under load, twice in a row, none is turned back unheard, none fails, and each old
// process ends with 0.
func TestReplacedUnderLoad(t *testing.T) {
	r := newReplaced(t)
	first := r.start()
	stop := r.load()
	second := r.start()
	r.end(first)
	third := r.start()
	r.end(second)
	if n := stop(); n == 0 {
		t.Error("nothing was served meanwhile")
	}
	if r.call("GET", "http://"+third.control+"/ready") != 200 {
		t.Error("the last one does not serve")
	}
}

// A successor that dies, at whatever moment, costs the old process nothing: it serves on, and can be replaced by another one.
func TestASuccessorThatDies(t *testing.T) {
	r := newReplaced(t)
	old := r.start()
	second := r.start()
	_ = second.Process.Kill() // with what it had taken: no load beside it
	<-second.over
	paths, err := filepath.Glob(filepath.Join(r.folder, "orchiddrift-*.sock"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("%v, %v", paths, err)
	}
	testutil.Eventually(t, "the old one can be asked again", func() bool {
		c, err := net.Dial("unix", paths[0])
		if err != nil {
			return false
		}
		c.Close()
		return true
	})
	stop := r.load()
	if got := r.call("GET", "http://"+old.control+"/ready"); got != 200 {
		t.Errorf("the old one: %d", got)
	}
	third := r.start()
	r.end(old)
	stop()
	if got := r.call("GET", "http://"+third.control+"/ready"); got != 200 {
		t.Errorf("the new one: %d", got)
	}
}

// An old process that is killed leaves its path behind, and costs the next one nothing but what it knew. So does a path of something else.
func TestLeftovers(t *testing.T) {
	r := newReplaced(t)
	old := r.start()
	_ = old.Process.Kill()
	<-old.over
	left, err := filepath.Glob(filepath.Join(r.folder, "orchiddrift-*.sock"))
	if err != nil || len(left) != 1 {
		t.Fatalf("%v, %v", left, err)
	}
	second := r.start()
	if got := r.call("GET", "http://"+r.listen+"/-/ready"); got != 200 {
		t.Errorf("behind a dead one's path: %d", got)
	}
	if err := os.Remove(left[0]); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(left[0], []byte("no socket"), 0o600); err != nil {
		t.Fatal(err)
	}
	stop := r.load() // beside the one that can't be asked any more
	third := r.start()
	stop()
	for _, p := range []*process{second, third} {
		if got := r.call("GET", "http://"+p.control+"/ready"); got != 200 {
			t.Errorf("%d", got)
		}
	}
}

// A drain goes on in the process that comes, and either one's call ends it for both.
func TestReplacedWhileItDrains(t *testing.T) {
	r := newReplaced(t)
	old := r.start()
	ready := func() int { return r.call("GET", "http://"+r.listen+"/-/ready") }
	if r.call("POST", "http://"+old.control+"/drain") != 200 || ready() == 200 {
		t.Fatal("it does not drain")
	}
	second := r.start()
	for range 20 { // either one may be asked
		if ready() == 200 {
			t.Fatal("the drain is forgotten")
		}
	}
	if r.call("POST", "http://"+second.control+"/undrain") != 200 {
		t.Error("it does not take clients again")
	}
	testutil.Eventually(t, "both serve", func() bool {
		for range 20 {
			if ready() != 200 {
				return false
			}
		}
		return true
	})
	r.end(old)
	if ready() != 200 {
		t.Error("the one that is left does not serve")
	}
	if got := r.call("GET", "http://"+second.control+"/metrics"); got != 200 {
		t.Errorf("figures: %d", got)
	}
}

// Guards against a successor that begins with an old list, and against requests that a new configuration costs while two processes
// serve: discovery moves as the second one starts, both get the signal at once, and what the old address never said is heard by the new.
func TestReplacedDuringAReload(t *testing.T) {
	r := newReplaced(t)
	old := r.start()
	stop := r.load()
	second := r.begin()
	if _, err := r.discovery.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	writeConfig(t, r.config, r.discovery, overHTTP, r.listen, r.discovery.List())
	_ = old.Process.Signal(syscall.SIGHUP)
	r.wait(second)
	_ = second.Process.Signal(syscall.SIGHUP) // before it is ready it would end it, as it does any program
	r.end(old)
	r.discovery.Drain("n0")
	testutil.Eventually(t, "the drain is heard", func() bool { return r.figure(second, "members_unavailable") == 1 })
	stop()
	if n := r.figure(second, "members"); n != 3 {
		t.Errorf("%d members", n)
	}
}

// Guards against a successor that needs discovery: while that is down it serves by the list that it got, also where its own
// configuration knows none.
func TestReplacedWhileDiscoveryIsDown(t *testing.T) {
	r := newReplaced(t)
	old := r.start()
	r.discovery.Drain("n0")
	testutil.Eventually(t, "the drain is heard", func() bool { return r.figure(old, "members_unavailable") == 1 })
	r.discovery.Down(true)
	index := int64(0)
	writeConfig(t, r.config, r.discovery, overHTTP, r.listen, &endpoints.List{Index: &index, Snapshot: true, Endpoints: []endpoints.Endpoint{}})
	stop := r.load()
	second := r.start()
	r.end(old)
	if n := stop(); n == 0 {
		t.Error("nothing was served meanwhile")
	}
	if all, leaves := r.figure(second, "members"), r.figure(second, "members_unavailable"); all != 3 || leaves != 1 {
		t.Errorf("%d members, %d of them drain", all, leaves)
	}
	r.discovery.Down(false)
	r.discovery.Drain("n1")
	testutil.Eventually(t, "it is followed again", func() bool { return r.figure(second, "members_unavailable") == 2 })
}

// Guards against a claim of "not run" that a replacement turns false: requests in hand stay with the old process, none of them is decided
// by the new one, and what either says of them holds. Nodes break connections behind requests that they run, and turn others away.
func TestNothingRunsTwiceThroughReplacements(t *testing.T) {
	r, w := newReplacedWorld(t, fakes.NodeOptions{Cores: 8, DefaultServiceTime: 5 * time.Millisecond, Faults: []fakes.Fault{
		{Kind: fakes.ResetAfter, Class: "confirm", Share: 0.1}, {Kind: fakes.Reject, Class: "confirm", Share: 0.1}}})
	process := r.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var asked atomic.Int64
	for n := range 6 {
		client := &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		clients.Go(func() {
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				req := testutil.Request(t, r.listen, "confirm", "")
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				asked.Add(1)
				runs := len(w.ledger.Operation(req.Header.Get("X-Request-ID")).Executions)
				if runs > 1 || resp.StatusCode == http.StatusServiceUnavailable && runs > 0 || resp.StatusCode == http.StatusOK && runs != 1 {
					t.Errorf("%s after %d runs", resp.Status, runs)
				}
			}
		})
	}
	for range 3 {
		before := asked.Load()
		testutil.Eventually(t, "requests are in hand", func() bool { return asked.Load() > before+50 })
		next := r.start()
		r.end(process)
		process = next
	}
	cancel()
	clients.Wait()
	if ids := w.ledger.ExecutedTwice("confirm"); len(ids) > 0 {
		t.Errorf("run twice: %v", ids)
	}
}
