package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

const repeatsFile = `
[log]
level = "error"
[limits]
memory = "192MiB"
descriptors = 1024
[[service]]
name = "pay"
zone = "a"
%s
[[service.class]]
name = "record"
effect = "keyed"
group = "zone"
window = "%s"
deadline = "%s"
[[service.class]]
name = "read"
effect = "safe"
[[service.class]]
name = "write"
effect = "unsafe"
[[route]]
match = "POST /record/{id}"
class = "record"
tenant = "header:X-Tenant-Id"
[[repeats]]
service = "pay"
`

// pay is a payment's try. It returns the status, and the body or a space and whether it is a replay.
func pay(ctx context.Context, r *fileRig, path, key, body string) (int, string, http.Header) {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), nil
	}
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set(fakes.OperationHeader, key) // whose runs the ledger counts, over all tries
	resp, err := r.client.Do(q)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(text), resp.Header
}

// slowPay is an upstream that answers when it is let, and counts.
type slowPay struct {
	address string
	came    atomic.Int64
	let     chan string // "break", "lose", or what it answers
}

func newSlowPay(t *testing.T) *slowPay {
	p := &slowPay{let: make(chan string, 100)}
	end := make(chan struct{})
	p.address = base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		p.came.Add(1)
		select {
		case how := <-p.let:
			switch how {
			case "break":
				panic(http.ErrAbortHandler)
			case "away":
				w.Header().Set("X-Not-Processed", "1")
				w.WriteHeader(503)
				return
			}
			_, _ = w.Write([]byte(how))
		case <-end:
		}
	})
	t.Cleanup(func() { close(end) })
	return p
}

func (p *slowPay) file(window, deadline, more string) string {
	return fmt.Sprintf(repeatsFile, fmt.Sprintf("addresses = [%q]", p.address), window, deadline) + more
}

// Two copies in one instant are one run; its first client's leaving ends nothing; who comes later gets the kept answer; another
// request under the key is a conflict; a full store refuses and knows what it knew, also after a reload that starts the service anew.
func TestRepeats(t *testing.T) {
	p := newSlowPay(t)
	file := p.file("6s", "20s", "entries = 2\ntenant_part = 1.0\nanswer = \"1KiB\"\n")
	r := startFile(t, file)
	type end struct {
		status int
		body   string
	}
	ends := make(chan end, 10)
	leaves, leave := context.WithCancel(t.Context())
	go func() {
		status, body, _ := pay(leaves, r, "/record/1", "k1", "5")
		ends <- end{status, body}
	}()
	testutil.Eventually(t, "it runs", func() bool { return p.came.Load() == 1 })
	for range 3 {
		go func() {
			status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5")
			ends <- end{status, body}
		}()
	}
	leave()
	if e := <-ends; e.status != 0 {
		t.Errorf("who left got %v", e)
	}
	if status, _, _ := pay(t.Context(), r, "/record/1", "k1", "6"); status != 422 {
		t.Errorf("another body: %d", status)
	}
	p.let <- "paid"
	for range 3 {
		if e := <-ends; e != (end{200, "paid"}) {
			t.Errorf("a repeat got %v", e)
		}
	}
	status, body, head := pay(t.Context(), r, "/record/1", "k1", "5")
	if status != 200 || body != "paid" || head.Get("Idempotent-Replayed") != "true" || p.came.Load() != 1 {
		t.Errorf("%d %s %v, %d runs", status, body, head, p.came.Load())
	}
	if status, _, _ := pay(t.Context(), r, "/record/2", "k1", "5"); status != 422 {
		t.Errorf("another path: %d", status)
	}
	p.let <- strings.Repeat("x", 2000)
	if status, body, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 200 || len(body) != 2000 {
		t.Errorf("a large answer: %d", status)
	}
	if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 409 {
		t.Errorf("its repeat: %d", status)
	}
	for range 2 {
		status, _, head = pay(t.Context(), r, "/record/3", "k3", "5")
		if status != 503 || head.Get("Retry-After") == "" || p.came.Load() != 2 {
			t.Errorf("beyond the bound: %d, %d runs", status, p.came.Load())
		}
		if err := r.reload(t, strings.Replace(file, "deadline = \"20s\"", "deadline = \"19s\"", 1)); err != nil { // a new engine
			t.Fatal(err)
		}
	}
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("after the reload: %d %s", status, body)
	}
}

// What may have run is sent again within the window, to the nodes of its zone, and never after it; what is proved not to have run
// is as new.
func TestRepeatsAfterFailures(t *testing.T) {
	home, away := newSlowPay(t), newSlowPay(t)
	list := fmt.Sprintf("[[service.endpoint]]\nname = \"h\"\naddress = %q\nzone = \"a\"\n[[service.endpoint]]\nname = \"w\"\naddress = %q\nzone = \"b\"\n", home.address, away.address)
	r := startFile(t, fmt.Sprintf(repeatsFile, "attempts = 1\ncross_zone_price = 50.0\n"+list, "1500ms", "20s"))
	try := func(key, how string) (int, string) {
		home.let <- how
		status, body, _ := pay(t.Context(), r, "/record/1", key, "5")
		return status, body
	}
	if status, _ := try("a", "break"); status != 502 {
		t.Errorf("broken: %d", status)
	}
	for i := range 5 { // to the zone where it may have run, whatever else is idle
		if status, body := try(fmt.Sprint("b", i), "break"); status != 502 {
			t.Errorf("broken: %d %s", status, body)
		}
		if status, body := try(fmt.Sprint("b", i), "paid"); status != 200 || body != "paid" {
			t.Errorf("within the window: %d %s", status, body)
		}
	}
	if n := away.came.Load(); n > 0 {
		t.Errorf("%d went to the other zone", n)
	}
	before := home.came.Load()
	time.Sleep(1500 * time.Millisecond) // the window itself
	for range 3 {
		if status, _, _ := pay(t.Context(), r, "/record/1", "a", "5"); status != 502 {
			t.Errorf("after the window: %d", status)
		}
	}
	if home.came.Load() != before {
		t.Error("it was sent after the window")
	}
	if status, _ := try("c", "away"); status != 503 {
		t.Errorf("turned away: %d", status)
	}
	if status, body := try("c", "paid"); status != 200 || body != "paid" {
		t.Errorf("as new: %d %s", status, body)
	}
}

// Keys outlast the process where a file keeps them: an answer is replayed, what may have run is not sent again, whatever clocks say; a
// file that is cut or broken ends the start with one line, and one that can't be written refuses what is keyed.
func TestRepeatsOutlastTheProcess(t *testing.T) {
	p := newSlowPay(t)
	path := filepath.Join(t.TempDir(), "keys.db")
	file := strings.Replace(p.file("6s", "20s", fmt.Sprintf("file = %q\n", path)), "zone =", "attempts = 1\nzone =", 1)
	t.Run("first", func(t *testing.T) {
		r := startFile(t, file)
		p.let <- "paid"
		p.let <- "break"
		if status, _, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 {
			t.Errorf("%d", status)
		}
		if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 502 {
			t.Errorf("%d", status)
		}
	})
	t.Run("second", func(t *testing.T) {
		before := p.came.Load()
		r := startFile(t, file)
		if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
			t.Errorf("%d %s", status, body)
		}
		if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 502 || p.came.Load() != before {
			t.Errorf("what may have run: %d", status)
		}
	})
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"cut": whole[:len(whole)/2], "a byte": whole[:1], "noise": []byte(strings.Repeat("noise", 10000)),
		"broken": append(append([]byte{}, whole[:8192]...), make([]byte, len(whole)-8192)...)} {
		bad := base.File(t, "keys.db", text)
		if err := startError(t, p.file("6s", "20s", fmt.Sprintf("file = %q\n", bad))); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// startError is what ends a daemon's start.
func startError(t *testing.T, text string) error {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), testutil.Timeout)
	defer stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServePlan(ctx, plan(t, text), l, config.Sources{}, nil, nil)
}

// payNodes are six in two zones, whose memories are short and which fail in every way. It returns their part of the file. They remember
// for twice the window that they promise: from the write on, what a node takes to come to a request is not the sidecar's.
func payNodes(t *testing.T, window time.Duration) (*fakes.Ledger, string) {
	ledger := fakes.NewLedger()
	memories := map[string]*fakes.IdempotencyKeys{"a": fakes.NewIdempotencyKeys(2 * window), "b": fakes.NewIdempotencyKeys(2 * window)}
	list := ""
	for i := range 6 {
		zone := []string{"a", "b"}[i%2]
		o := fakes.NodeOptions{Name: fmt.Sprint("n", i), Zone: zone, Keys: memories[zone], Ledger: ledger, Cores: 16, Seed: uint64(i + 1)}
		for _, k := range []fakes.FaultKind{fakes.Reject, fakes.Fail, fakes.FailNotExecuted, fakes.ResetBefore, fakes.ResetAfter, fakes.LoseAnswer,
			fakes.Hang, fakes.Malformed, fakes.Truncate} {
			share := 0.05
			if k == fakes.LoseAnswer || k == fakes.Hang {
				share = 0.02
			}
			o.Faults = append(o.Faults, fakes.Fault{Kind: k, Share: share})
		}
		n := fakes.NewNode(o)
		t.Cleanup(n.Close)
		at, err := n.ListenHTTP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		list += fmt.Sprintf("[[service.endpoint]]\nname = \"n%d\"\naddress = %q\nzone = %q\n", i, at, zone)
	}
	return ledger, list
}

// The proof by count: payments whose clients try again after every failure, also long after the window and also by another request
// in the same moment, before nodes in two zones whose memories are short. None is recorded twice, and each client gets one end.
func TestRepeatsNothingRecordedTwice(t *testing.T) {
	const window = 300 * time.Millisecond
	ledger, list := payNodes(t, window)
	r := startFile(t, fmt.Sprintf(repeatsFile, list, window, "250ms")+"running = 4096\n")
	r.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 128
	var tries, odd, served atomic.Int64
	var wg sync.WaitGroup
	for worker := range 64 {
		wg.Go(func() {
			for n := 0; tries.Load() < 16000; n++ {
				key := fmt.Sprintf("%d-%d", worker, n)
				for try := range 6 {
					copies := 1 + (n+try)%2
					var one sync.WaitGroup
					var ok atomic.Bool
					for range copies {
						one.Go(func() {
							tries.Add(1)
							switch status, _, _ := pay(context.Background(), r, "/record/"+key, key, "5"); status {
							case 200:
								ok.Store(true)
							case 502, 503:
							default:
								odd.Add(1)
							}
						})
					}
					one.Wait()
					if ok.Load() {
						served.Add(1)
						if n%3 > 0 {
							break
						}
					}
					if try == 3 && n%4 == 0 {
						time.Sleep(2 * window) // a client that comes after it
					}
				}
			}
		})
	}
	wg.Wait()
	if twice := ledger.ExecutedTwice("record"); len(twice) > 0 {
		t.Errorf("%d payments are recorded twice: %v", len(twice), twice[:min(5, len(twice))])
	}
	if odd.Load() > 0 {
		t.Errorf("%d answers of another kind", odd.Load())
	}
	k := r.d.routing.Load().services["pay"].executor.Load()
	testutil.Eventually(t, "nothing runs", func() bool { _, _, running := k.Stats(); return running == 0 })
	keys, bytes, _ := k.Stats()
	t.Logf("%d tries, %d payments recorded, %d served; %d keys of %d bytes", tries.Load(), ledger.Operations("record"), served.Load(), keys, bytes)
}

// childFile names the operator's file of a daemon that this binary runs in place of its tests, childStep where it kills itself, and
// childSize how large its files may grow.
const childFile, childStep, childSize = "ORCHIDDRIFT_CHILD_FILE", "ORCHIDDRIFT_CHILD_STEP", "ORCHIDDRIFT_CHILD_SIZE"

// TestRepeatsChild is a process of TestRepeatsKilled's, and else nothing.
func TestRepeatsChild(t *testing.T) {
	path := os.Getenv(childFile)
	if path == "" {
		t.Skip("it is run by TestRepeatsKilled")
	}
	executorStep = func(step string) {
		if step == os.Getenv(childStep) {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // nothing comes after it
			select {}
		}
	}
	if size := os.Getenv(childSize); size != "" {
		most, _ := strconv.ParseUint(size, 10, 64) // the test's own
		signal.Ignore(syscall.SIGXFSZ)             // a write beyond is an error, as on a full disk
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
			t.Fatal(err)
		}
	}
	if err := Run(t.Context(), config.Sources{Config: path}, nil); err != nil {
		t.Fatal(err)
	}
}

// startChild starts a daemon of its own process, and returns once it is ready. It kills itself at step, if there is one.
func startChild(t *testing.T, r *fileRig, file, step string, env ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0], "-test.run=^TestRepeatsChild$")
	c.Env = append(append(os.Environ(), childFile+"="+file, childStep+"="+step), env...)
	var said bytes.Buffer
	c.Stdout, c.Stderr = &said, &said
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = c.Process.Kill(), c.Wait() // it may have ended
		if t.Failed() {
			t.Logf("process %d said: %s", c.Process.Pid, said.Bytes())
		}
	})
	testutil.Eventually(t, "ready", func() bool {
		resp, err := r.client.Get("http://" + r.address + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	return c
}

// A process that is killed at any point of a payment's way, and one that takes its place: the payment is recorded once at most, and
// who comes again gets an end that is true: the one answer, or that it may have run.
func TestRepeatsKilled(t *testing.T) {
	for _, step := range executor.Steps {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				_, _ = fmt.Fprintf(w, "paid %d", runs.Add(1))
			})
			address := base.FreeAddress(t)
			file := base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(repeatsFile, "\n")+"file = %q\n", address,
				fmt.Sprintf("addresses = [%q]", upstream), "6s", "5s", filepath.Join(t.TempDir(), "keys.db")))
			r := &fileRig{running: &running{address: address, client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}}
			first := startChild(t, r, file, step)
			status, told, _ := pay(t.Context(), r, "/record/1", "k", "5")
			if err := first.Wait(); err == nil || first.ProcessState.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("it was not killed: %v", err)
			}
			startChild(t, r, file, "")
			for range 3 {
				again, body, _ := pay(t.Context(), r, "/record/1", "k", "5")
				if again != 200 && again != 502 || again == 200 && body != "paid 1" || status == 200 && again == 200 && body != told {
					t.Errorf("first %d %q, then %d %q", status, told, again, body)
				}
				if step == "arrived" && again != 200 {
					t.Errorf("it was never on record, and gets %d", again)
				}
			}
			if n := runs.Load(); n > 1 {
				t.Errorf("recorded %d times", n)
			}
		})
	}
}
