package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// sharedStoreTable is appended to idempotencyFile, so that daemons share their keys in an etcd server. It is a format for fmt.Sprintf with
// the server's address.
const sharedStoreTable = "\n[repeats.shared]\nservers = [%q]\nsession = \"3s\"\ntimeout = \"300ms\"\n"

// Tests two daemons that share their keys in etcd. If one daemon executes a request, the other daemon waits for the outcome and replays the
// answer with the replay header. A different request with the same key is a conflict at the other daemon. While etcd is down, a daemon
// rejects or executes new keys, depending on its configuration, and still replays answers that it knows.
func TestRepeatsShared(t *testing.T) {
	p := newPaymentUpstream(t)
	etcd, etcdAddress := base.Etcd(t, fakes.EtcdOptions{})
	file := p.file("6s", "20s", fmt.Sprintf(sharedStoreTable, etcdAddress))
	a, b := startFile(t, file), startFile(t, strings.Replace(file, "timeout =", "error = \"go on\"\ntimeout =", 1))
	results := make(chan string, 10)
	for i, r := range []*fileRig{a, b, b, a} {
		go func() {
			status, body, header := pay(t.Context(), r, "/record/1", "k1", "5")
			results <- fmt.Sprint(status, body, header.Get(replayedHeader))
		}()
		if i == 0 {
			testutil.Eventually(t, "the payment reaches the upstream", func() bool { return p.received.Load() == 1 })
		}
	}
	if status, _, _ := pay(t.Context(), b, "/record/1", "k1", "6"); status != 422 {
		t.Errorf("a different body with the same key at the other daemon got %d, want 422", status)
	}
	p.responses <- "paid"
	got := map[string]int{}
	for range 4 {
		got[<-results]++
	}
	if got["200paid"] != 1 || got["200paidtrue"] != 3 || p.received.Load() != 1 {
		t.Errorf("four requests with one key got the results %v after %d executions, want one execution and three replays", got, p.received.Load())
	}
	p.responses <- "break" // all five attempts fail; without a bound on the clock skew, the other daemon must not send the payment again
	for range 4 {
		p.responses <- "break"
	}
	if status, _, _ := pay(t.Context(), a, "/record/2", "k2", "5"); status != 502 {
		t.Errorf("a payment whose connections broke got %d, want 502", status)
	}
	before := p.received.Load()
	if status, _, _ := pay(t.Context(), b, "/record/2", "k2", "5"); status != 502 || p.received.Load() != before {
		t.Errorf("the retry at the other daemon of a payment whose connections broke got %d, want 502 without another attempt", status)
	}
	for len(p.responses) > 0 {
		<-p.responses
	}
	etcd.Stop()
	p.responses <- "executed"
	for _, c := range []struct {
		r    *fileRig
		key  string
		want string
	}{{a, "k1", "200paid"}, {b, "k1", "200paid"}, {a, "k3", "503"}, {b, "k3", "200executed"}} {
		status, body, _ := pay(t.Context(), c.r, "/record/1", c.key, "5")
		if got := fmt.Sprint(status, body); !strings.HasPrefix(got, c.want) {
			t.Errorf("payment with key %s while etcd is down: got the unexpected answer %s", c.key, got)
		}
	}
	if _, err := etcd.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "new keys are executed again", func() bool {
		p.responses <- "paid"
		status, _, _ := pay(t.Context(), a, "/record/1", "k4", "5")
		return status == 200
	})
}

// Tests that a daemon that is stopped still answers repeats of a request that wait for the request's outcome, whether this daemon or
// another daemon executes the request.
func TestRepeatsDrain(t *testing.T) {
	for _, executedBy := range []string{"draining daemon", "another daemon"} {
		t.Run(executedBy, func(t *testing.T) {
			p := newPaymentUpstream(t)
			_, etcdAddress := base.Etcd(t, fakes.EtcdOptions{})
			file := p.file("6s", "20s", fmt.Sprintf(sharedStoreTable, etcdAddress))
			executing := startFile(t, file)
			draining := executing
			if executedBy == "another daemon" {
				draining = startFile(t, file)
			}
			results := make(chan string, 10)
			sendPayment := func(r *fileRig) {
				status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5")
				results <- fmt.Sprint(status, body)
			}
			go sendPayment(executing)
			testutil.Eventually(t, "the payment reaches the upstream", func() bool { return p.received.Load() == 1 })
			for range 5 {
				go sendPayment(draining)
			}
			testutil.Eventually(t, "the repeats are in flight", func() bool { return draining.d.routing.Load().services["pay"].inFlight.Load() >= 5 })
			draining.stop()
			time.AfterFunc(100*time.Millisecond, func() { p.responses <- "paid" })
			for range 6 {
				if got := <-results; got != "200paid" {
					t.Errorf("request or waiting repeat: got %s, want 200paid", got)
				}
			}
			select {
			case <-draining.ended:
			case <-time.After(testutil.Timeout):
				t.Fatal("the draining daemon did not end after all requests were answered")
			}
			if draining.err != nil || p.received.Load() != 1 {
				t.Errorf("the drained daemon ended with error %v after %d executions, want no error and 1 execution", draining.err, p.received.Load())
			}
		})
	}
}

// Guards against a payment that is recorded twice when daemons are killed at any moment and restarted, while the nodes fail too. The test
// runs with one daemon that has its keys in a file, and with two daemons that share their keys in an etcd server that sometimes fails.
func TestRepeatsKilledNothingRecordedTwice(t *testing.T) {
	const window = 400 * time.Millisecond
	for name, daemons := range map[string]int{"file": 1, "shared": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger, endpoints := startPaymentNodes(t, window)
			rng := rand.New(rand.NewPCG(7, uint64(daemons)))
			var mu sync.Mutex
			etcd, etcdAddress := base.Etcd(t, fakes.EtcdOptions{Late: 20 * time.Millisecond, Fault: func() fakes.EtcdFault {
				mu.Lock()
				defer mu.Unlock()
				return []fakes.EtcdFault{fakes.EtcdFine, fakes.EtcdRefuse, fakes.EtcdLose, fakes.EtcdLate}[max(0, rng.IntN(60)-56)]
			}})
			keyStore := fmt.Sprintf("file = %q\n", filepath.Join(t.TempDir(), "keys.db"))
			if daemons > 1 {
				keyStore = fmt.Sprintf(sharedStoreTable+"clock_skew = \"1ms\"\n", etcdAddress)
			}
			rigs, files, children := make([]*fileRig, daemons), make([]string, daemons), make([]*exec.Cmd, daemons)
			for i := range daemons {
				address := base.FreeAddress(t)
				files[i] = base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(idempotencyFile, "\n")+"running = 1024\n%s",
					address, endpoints, window, "250ms", keyStore))
				rigs[i] = &fileRig{running: &running{address: address, client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}}
				t.Cleanup(rigs[i].client.CloseIdleConnections)
				children[i] = startChild(t, rigs[i], files[i], "")
			}
			const wantRequests = 5000
			var requests, succeeded, unanswered, unexpected atomic.Int64
			var wg sync.WaitGroup
			for worker := range 16 {
				wg.Go(func() {
					for k := 0; requests.Load() < wantRequests; k++ {
						key := fmt.Sprintf("%d-%d", worker/2, k) // two clients send each payment
						for attempt := range 5 {
							requests.Add(1)
							switch status, _, _ := pay(context.Background(), rigs[(worker+attempt)%daemons], "/record/"+key, key, "5"); status {
							case 200:
								succeeded.Add(1)
							case 0: // the daemon was killed, or is not ready yet
								unanswered.Add(1)
								time.Sleep(20 * time.Millisecond)
							case 502, 503:
							default:
								unexpected.Add(1)
							}
						}
					}
				})
			}
			kills := 0
			for ; requests.Load() < wantRequests; kills++ {
				i := kills % daemons
				before := requests.Load()
				testutil.Eventually(t, "enough requests for the next kill", func() bool { return requests.Load() > before+wantRequests/12 || requests.Load() >= wantRequests })
				_ = children[i].Process.Kill()
				_ = children[i].Wait() // returns an error, since the child was killed
				children[i] = startChild(t, rigs[i], files[i], "")
			}
			wg.Wait()
			if twice := ledger.ExecutedTwice("record"); len(twice) > 0 {
				t.Errorf("%d payments are recorded twice: %v", len(twice), twice[:min(5, len(twice))])
			}
			if unexpected.Load() > 0 || succeeded.Load() < wantRequests/4 {
				t.Errorf("%d answers had an unexpected status (want 0), and %d requests succeeded (want at least a quarter)", unexpected.Load(), succeeded.Load())
			}
			t.Logf("%d requests, %d payments recorded, %d succeeded, %d without an answer, %d kills; %d writes in etcd", requests.Load(), ledger.Operations("record"),
				succeeded.Load(), unanswered.Load(), kills, etcd.Writes())
		})
	}
}

// Tests a full disk: the key file cannot grow beyond 1 MiB. Depending on the configuration, new keys are rejected or executed without a
// record. Recorded keys are still replayed, also by the next process, which has disk space again.
func TestRepeatsDiskIsFull(t *testing.T) {
	for _, diskError := range []string{"refuse", "go on"} {
		t.Run(diskError, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
				runs.Add(1)
				_, _ = w.Write(make([]byte, 8000))
			})
			address := base.FreeAddress(t)
			file := base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(idempotencyFile, "\n")+"file = %q\ndisk_error = %q\n", address,
				fmt.Sprintf("addresses = [%q]", upstream), "6s", "5s", filepath.Join(t.TempDir(), "keys.db"), diskError))
			r := &fileRig{running: &running{address: address, client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}}
			c := startChild(t, r, file, "", childSizeEnv+"=1048576")
			accepted, rejected := 0, 0
			for n := range 300 {
				switch status, _, _ := pay(t.Context(), r, "/record/1", fmt.Sprint(n), "5"); status {
				case 200:
					accepted++
				case 503:
					rejected++
				default:
					t.Fatalf("payment %d got %d, want 200 or 503", n, status)
				}
			}
			if diskError == "refuse" && (rejected < 100 || accepted < 30) || diskError != "refuse" && rejected > 0 {
				t.Errorf("%d payments were accepted and %d rejected; with disk_error refuse want at least 30 and 100, else 0 rejected", accepted, rejected)
			}
			if runs.Load() != int64(accepted) {
				t.Errorf("%d executions of %d accepted payments, want one each", runs.Load(), accepted)
			}
			checkReplays := func() {
				t.Helper()
				for n := range 20 {
					if status, _, head := pay(t.Context(), r, "/record/1", fmt.Sprint(n), "5"); status != 200 || head.Get(replayedHeader) == "" {
						t.Errorf("the repeat of payment %d got %d, want a replay with 200", n, status)
					}
				}
			}
			checkReplays()
			_ = c.Process.Kill()
			_ = c.Wait() // returns an error, since the child was killed
			startChild(t, r, file, "")
			checkReplays()
			if status, _, _ := pay(t.Context(), r, "/record/1", "new", "5"); status != 200 {
				t.Errorf("a new key after disk space is free again got %d, want 200", status)
			}
		})
	}
}
