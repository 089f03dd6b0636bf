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

// Tests that keys in a file outlive the process. After a restart, a stored answer is replayed. A payment that may have been executed is not
// sent again: the sidecar cannot measure how much time has passed while no process ran. A start with a truncated or corrupt file fails with
// an error of one line.
func TestRepeatsOutlastTheProcess(t *testing.T) {
	p := newPaymentUpstream(t)
	path := filepath.Join(t.TempDir(), "keys.db")
	file := strings.Replace(p.file("6s", "20s", fmt.Sprintf("file = %q\n", path)), "zone =", "attempts = 1\nzone =", 1)
	t.Run("first", func(t *testing.T) {
		r := startFile(t, file)
		p.responses <- "paid"
		p.responses <- "break"
		if status, _, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 {
			t.Errorf("the first payment got %d, want 200", status)
		}
		if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 502 {
			t.Errorf("a payment whose connection broke got %d, want 502", status)
		}
	})
	t.Run("second", func(t *testing.T) {
		before := p.received.Load()
		r := startFile(t, file)
		if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
			t.Errorf("repeat of a payment with a stored answer after the restart: got %d %s, want 200 paid", status, body)
		}
		if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 502 || p.received.Load() != before {
			t.Errorf("a payment that may have been executed got %d after the restart, want 502 without another attempt", status)
		}
	})
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"half a file": complete[:len(complete)/2], "one byte": complete[:1], "text": []byte(strings.Repeat("noise", 10000)),
		"zeros after 8 KiB": append(append([]byte{}, complete[:8192]...), make([]byte, len(complete)-8192)...)} {
		corrupt := base.File(t, "keys.db", text)
		if err := startError(t, p.file("6s", "20s", fmt.Sprintf("file = %q\n", corrupt))); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("start with a corrupt key file (%s): got %v, want an error of one line", name, err)
		}
	}
}

// startError starts a daemon and returns the error with which it ends.
func startError(t *testing.T, text string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testutil.Timeout)
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServePlan(ctx, plan(t, text), l, config.Sources{}, nil, nil)
}

// startPaymentNodes starts six nodes in two zones, which inject faults of many kinds and forget keys soon. It returns their ledger and
// their part of the configuration file. A node remembers a key for twice the promised window: the sidecar counts the window from the write
// of a request, and cannot know how long the node then takes to get to it.
func startPaymentNodes(t *testing.T, window time.Duration) (*fakes.Ledger, string) {
	ledger := fakes.NewLedger()
	keysOfZone := map[string]*fakes.IdempotencyKeys{"a": fakes.NewIdempotencyKeys(2 * window), "b": fakes.NewIdempotencyKeys(2 * window)}
	endpoints := ""
	for i := range 6 {
		zone := []string{"a", "b"}[i%2]
		o := fakes.NodeOptions{Name: fmt.Sprint("n", i), Zone: zone, Keys: keysOfZone[zone], Ledger: ledger, Cores: 16, Seed: uint64(i + 1)}
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
		endpoints += fmt.Sprintf("[[service.endpoint]]\nname = \"n%d\"\naddress = %q\nzone = %q\n", i, at, zone)
	}
	return ledger, endpoints
}

// Guards against a payment that is recorded twice. Clients retry payments after every failure, also after the deduplication window, and
// with two concurrent requests. The nodes are in two zones and forget keys soon. Each request must be answered.
func TestRepeatsNothingRecordedTwice(t *testing.T) {
	const window = 300 * time.Millisecond
	ledger, endpoints := startPaymentNodes(t, window)
	r := startFile(t, fmt.Sprintf(idempotencyFile, endpoints, window, "250ms")+"running = 4096\n")
	r.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 128
	var requests, unexpected, succeeded atomic.Int64
	var wg sync.WaitGroup
	for worker := range 64 {
		wg.Go(func() {
			for n := 0; requests.Load() < 16000; n++ {
				key := fmt.Sprintf("%d-%d", worker, n)
				for attempt := range 6 {
					concurrent := 1 + (n+attempt)%2
					var attemptRequests sync.WaitGroup
					var ok atomic.Bool
					for range concurrent {
						attemptRequests.Go(func() {
							requests.Add(1)
							switch status, _, _ := pay(context.Background(), r, "/record/"+key, key, "5"); status {
							case 200:
								ok.Store(true)
							case 502, 503:
							default:
								unexpected.Add(1)
							}
						})
					}
					attemptRequests.Wait()
					if ok.Load() {
						succeeded.Add(1)
						if n%3 > 0 {
							break
						}
					}
					if attempt == 3 && n%4 == 0 {
						time.Sleep(2 * window) // a client that retries after the window
					}
				}
			}
		})
	}
	wg.Wait()
	if twice := ledger.ExecutedTwice("record"); len(twice) > 0 {
		t.Errorf("%d payments are recorded twice: %v", len(twice), twice[:min(5, len(twice))])
	}
	if unexpected.Load() > 0 {
		t.Errorf("%d answers had an unexpected status", unexpected.Load())
	}
	keyExecutor := r.d.routing.Load().services["pay"].executor.Load()
	testutil.Eventually(t, "no execution is running", func() bool { _, _, running := keyExecutor.Stats(); return running == 0 })
	keys, bytes, _ := keyExecutor.Stats()
	t.Logf("%d requests, %d payments recorded, %d succeeded; %d keys of %d bytes", requests.Load(), ledger.Operations("record"), succeeded.Load(), keys, bytes)
}

// TestRepeatsChild is the child process that startChild starts. It is skipped in an ordinary run of the tests.
func TestRepeatsChild(t *testing.T) {
	path := os.Getenv(childFileEnv)
	if path == "" {
		t.Skip("this test runs only as a child process of other tests")
	}
	executorStep = func(step string) {
		if step == os.Getenv(childStepEnv) {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // ends the process without any clean-up
			select {}
		}
	}
	if size := os.Getenv(childSizeEnv); size != "" {
		maxBytes, _ := strconv.ParseUint(size, 10, 64) // the test that starts the child sets a valid number
		signal.Ignore(syscall.SIGXFSZ)                 // a write beyond the limit then returns an error, as on a full disk
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: maxBytes, Max: maxBytes}); err != nil {
			t.Fatal(err)
		}
	}
	if err := Run(t.Context(), config.Sources{Config: path}, nil); err != nil {
		t.Fatal(err)
	}
}

// startChild starts a daemon in a child process, and returns once it is ready. The child kills itself at step, unless step is empty.
func startChild(t *testing.T, r *fileRig, file, step string, env ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0], "-test.run=^TestRepeatsChild$")
	c.Env = append(append(os.Environ(), childFileEnv+"="+file, childStepEnv+"="+step), env...)
	var output bytes.Buffer
	c.Stdout, c.Stderr = &output, &output
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = c.Process.Kill(), c.Wait() // an error means that the child process has already ended
		if t.Failed() {
			t.Logf("output of child process %d: %s", c.Process.Pid, output.Bytes())
		}
	})
	testutil.Eventually(t, "the child process is ready", func() bool {
		resp, err := r.client.Get("http://" + r.address + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	return c
}

// Guards against a payment that is recorded twice because the process is killed at some step of the payment's execution and another process
// takes over. A retry gets the stored answer, or status 502 if the payment may have been executed.
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
			file := base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(idempotencyFile, "\n")+"file = %q\n", address,
				fmt.Sprintf("addresses = [%q]", upstream), "6s", "5s", filepath.Join(t.TempDir(), "keys.db")))
			r := &fileRig{running: &running{address: address, client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}}
			first := startChild(t, r, file, step)
			status, firstBody, _ := pay(t.Context(), r, "/record/1", "k", "5")
			if err := first.Wait(); err == nil || first.ProcessState.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("the first process did not end by SIGKILL: %v", err)
			}
			startChild(t, r, file, "")
			for range 3 {
				retryStatus, body, _ := pay(t.Context(), r, "/record/1", "k", "5")
				if retryStatus != 200 && retryStatus != 502 || retryStatus == 200 && body != "paid 1" || status == 200 && retryStatus == 200 && body != firstBody {
					t.Errorf("the first request got %d %q, its retry got %d %q; want the retry to get 502, or 200 with the first answer", status, firstBody,
						retryStatus, body)
				}
				if step == "arrived" && retryStatus != 200 {
					t.Errorf("retry of a payment of which nothing was stored before the kill: got %d, want 200", retryStatus)
				}
			}
			if n := runs.Load(); n > 1 {
				t.Errorf("the payment was executed %d times, want at most once", n)
			}
		})
	}
}
