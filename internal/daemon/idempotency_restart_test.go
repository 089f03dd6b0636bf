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

// Keys outlast the process where a file keeps them: an answer is replayed, what may have run is not sent again, whatever clocks say; a
// file that is cut or broken ends the start with one line, and one that can't be written refuses what is keyed.
func TestRepeatsOutlastTheProcess(t *testing.T) {
	p := newPaymentUpstream(t)
	path := filepath.Join(t.TempDir(), "keys.db")
	file := strings.Replace(p.file("6s", "20s", fmt.Sprintf("file = %q\n", path)), "zone =", "attempts = 1\nzone =", 1)
	t.Run("first", func(t *testing.T) {
		r := startFile(t, file)
		p.responses <- "paid"
		p.responses <- "break"
		if status, _, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 {
			t.Errorf("%d", status)
		}
		if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 502 {
			t.Errorf("%d", status)
		}
	})
	t.Run("second", func(t *testing.T) {
		before := p.received.Load()
		r := startFile(t, file)
		if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
			t.Errorf("%d %s", status, body)
		}
		if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 502 || p.received.Load() != before {
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

// startPaymentNodes are six in two zones, whose memories are short and which fail in every way. It returns their part of the file. They remember
// for twice the window that they promise: from the write on, what a node takes to come to a request is not the sidecar's.
func startPaymentNodes(t *testing.T, window time.Duration) (*fakes.Ledger, string) {
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
	ledger, list := startPaymentNodes(t, window)
	r := startFile(t, fmt.Sprintf(idempotencyFile, list, window, "250ms")+"running = 4096\n")
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

// TestRepeatsChild is a process of TestRepeatsKilled's, and else nothing.
func TestRepeatsChild(t *testing.T) {
	path := os.Getenv(childFileEnv)
	if path == "" {
		t.Skip("it is run by TestRepeatsKilled")
	}
	executorStep = func(step string) {
		if step == os.Getenv(childStepEnv) {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // nothing comes after it
			select {}
		}
	}
	if size := os.Getenv(childSizeEnv); size != "" {
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
	c.Env = append(append(os.Environ(), childFileEnv+"="+file, childStepEnv+"="+step), env...)
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
			file := base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(idempotencyFile, "\n")+"file = %q\n", address,
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
