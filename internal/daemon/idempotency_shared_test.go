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

const sharedStoreTable = "\n[repeats.shared]\nservers = [%q]\nsession = \"3s\"\ntimeout = \"300ms\"\n"

// Two daemons share their keys: what one runs the other waits for, and gives the one answer, marked; another request under the key is a
// conflict there too; while the store is away new keys are refused, or go on, and what is known here is still replayed.
func TestRepeatsShared(t *testing.T) {
	p := newPaymentUpstream(t)
	e, at := base.Etcd(t, fakes.EtcdOptions{})
	file := p.file("6s", "20s", fmt.Sprintf(sharedStoreTable, at))
	a, b := startFile(t, file), startFile(t, strings.Replace(file, "timeout =", "error = \"go on\"\ntimeout =", 1))
	ends := make(chan string, 10)
	for i, r := range []*fileRig{a, b, b, a} {
		go func() {
			status, body, head := pay(t.Context(), r, "/record/1", "k1", "5")
			ends <- fmt.Sprint(status, body, head.Get(replayedHeader))
		}()
		if i == 0 {
			testutil.Eventually(t, "it runs", func() bool { return p.received.Load() == 1 })
		}
	}
	if status, _, _ := pay(t.Context(), b, "/record/1", "k1", "6"); status != 422 {
		t.Errorf("another body at the other one: %d", status)
	}
	p.responses <- "paid"
	got := map[string]int{}
	for range 4 {
		got[<-ends]++
	}
	if got["200paid"] != 1 || got["200paidtrue"] != 3 || p.received.Load() != 1 {
		t.Errorf("%v of %d runs", got, p.received.Load())
	}
	p.responses <- "break" // the last of its attempts: clocks are not trusted, and so the other one does not send it again
	for range 4 {
		p.responses <- "break"
	}
	if status, _, _ := pay(t.Context(), a, "/record/2", "k2", "5"); status != 502 {
		t.Errorf("broken: %d", status)
	}
	before := p.received.Load()
	if status, _, _ := pay(t.Context(), b, "/record/2", "k2", "5"); status != 502 || p.received.Load() != before {
		t.Errorf("at the other one: %d", status)
	}
	for len(p.responses) > 0 {
		<-p.responses
	}
	e.Stop()
	p.responses <- "on"
	for _, c := range []struct {
		r    *fileRig
		key  string
		want string
	}{{a, "k1", "200paid"}, {b, "k1", "200paid"}, {a, "k3", "503"}, {b, "k3", "200on"}} {
		status, body, _ := pay(t.Context(), c.r, "/record/1", c.key, "5")
		if got := fmt.Sprint(status, body); !strings.HasPrefix(got, c.want) {
			t.Errorf("%s without a store: %s", c.key, got)
		}
	}
	if _, err := e.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "new keys run again", func() bool {
		p.responses <- "back"
		status, _, _ := pay(t.Context(), a, "/record/1", "k4", "5")
		return status == 200
	})
}

// A daemon that drains hands each repeat that waits one answer: the first one's, wherever that runs.
func TestRepeatsDrain(t *testing.T) {
	for _, where := range []string{"here", "elsewhere"} {
		t.Run(where, func(t *testing.T) {
			p := newPaymentUpstream(t)
			_, at := base.Etcd(t, fakes.EtcdOptions{})
			file := p.file("6s", "20s", fmt.Sprintf(sharedStoreTable, at))
			a := startFile(t, file)
			b := a
			if where == "elsewhere" {
				b = startFile(t, file)
			}
			ends := make(chan string, 10)
			try := func(r *fileRig) {
				status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5")
				ends <- fmt.Sprint(status, body)
			}
			go try(a)
			testutil.Eventually(t, "it runs", func() bool { return p.received.Load() == 1 })
			for range 5 {
				go try(b)
			}
			testutil.Eventually(t, "its repeats are in hand", func() bool { return b.d.routing.Load().services["pay"].inFlight.Load() >= 5 })
			b.stop()
			time.AfterFunc(100*time.Millisecond, func() { p.responses <- "paid" })
			for range 6 {
				if got := <-ends; got != "200paid" {
					t.Errorf("%s", got)
				}
			}
			select {
			case <-b.ended:
			case <-time.After(testutil.Timeout):
				t.Fatal("it does not end")
			}
			if b.err != nil || p.received.Load() != 1 {
				t.Errorf("%v, %d runs", b.err, p.received.Load())
			}
		})
	}
}

// The proof with kills: daemons of their own processes, killed at any moment and started again, one whose keys are in a file and two
// that share them in a store that fails, before nodes that fail too. No payment is recorded twice.
func TestRepeatsKilledNothingRecordedTwice(t *testing.T) {
	const window = 400 * time.Millisecond
	for name, n := range map[string]int{"file": 1, "shared": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger, list := startPaymentNodes(t, window)
			rng := rand.New(rand.NewPCG(7, uint64(n)))
			var mu sync.Mutex
			e, at := base.Etcd(t, fakes.EtcdOptions{Late: 20 * time.Millisecond, Fault: func() fakes.EtcdFault {
				mu.Lock()
				defer mu.Unlock()
				return []fakes.EtcdFault{fakes.EtcdFine, fakes.EtcdRefuse, fakes.EtcdLose, fakes.EtcdLate}[max(0, rng.IntN(60)-56)]
			}})
			more := fmt.Sprintf("file = %q\n", filepath.Join(t.TempDir(), "keys.db"))
			if n > 1 {
				more = fmt.Sprintf(sharedStoreTable+"clock_skew = \"1ms\"\n", at)
			}
			rigs, files, children := make([]*fileRig, n), make([]string, n), make([]*exec.Cmd, n)
			for i := range n {
				address := base.FreeAddress(t)
				files[i] = base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(idempotencyFile, "\n")+"running = 1024\n%s",
					address, list, window, "250ms", more))
				rigs[i] = &fileRig{running: &running{address: address, client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}}
				t.Cleanup(rigs[i].client.CloseIdleConnections)
				children[i] = startChild(t, rigs[i], files[i], "")
			}
			const wanted = 5000
			var tries, served, lost, odd atomic.Int64
			var wg sync.WaitGroup
			for worker := range 16 {
				wg.Go(func() {
					for k := 0; tries.Load() < wanted; k++ {
						key := fmt.Sprintf("%d-%d", worker/2, k) // two clients send each payment
						for try := range 5 {
							tries.Add(1)
							switch status, _, _ := pay(context.Background(), rigs[(worker+try)%n], "/record/"+key, key, "5"); status {
							case 200:
								served.Add(1)
							case 0: // its daemon was killed, or is not up yet
								lost.Add(1)
								time.Sleep(20 * time.Millisecond)
							case 502, 503:
							default:
								odd.Add(1)
							}
						}
					}
				})
			}
			kills := 0
			for ; tries.Load() < wanted; kills++ {
				i := kills % n
				from := tries.Load()
				testutil.Eventually(t, "some are tried", func() bool { return tries.Load() > from+wanted/12 || tries.Load() >= wanted })
				_ = children[i].Process.Kill()
				_ = children[i].Wait() // killed
				children[i] = startChild(t, rigs[i], files[i], "")
			}
			wg.Wait()
			if twice := ledger.ExecutedTwice("record"); len(twice) > 0 {
				t.Errorf("%d payments are recorded twice: %v", len(twice), twice[:min(5, len(twice))])
			}
			if odd.Load() > 0 || served.Load() < wanted/4 {
				t.Errorf("%d answers of another kind, %d served", odd.Load(), served.Load())
			}
			t.Logf("%d tries, %d payments recorded, %d served, %d without an answer, %d kills; %d writes in the store", tries.Load(), ledger.Operations("record"),
				served.Load(), lost.Load(), kills, e.Writes())
		})
	}
}

// A disk that is full, for real: the file may not grow beyond 1 MiB. New keys are refused, or go on; those on record are known, also to
// the process that comes after and has room again.
func TestRepeatsDiskIsFull(t *testing.T) {
	for _, how := range []string{"refuse", "go on"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
				runs.Add(1)
				_, _ = w.Write(make([]byte, 8000))
			})
			address := base.FreeAddress(t)
			file := base.File(t, "o.toml", fmt.Appendf(nil, "[daemon]\nlisten = %q\n"+strings.TrimPrefix(idempotencyFile, "\n")+"file = %q\ndisk_error = %q\n", address,
				fmt.Sprintf("addresses = [%q]", upstream), "6s", "5s", filepath.Join(t.TempDir(), "keys.db"), how))
			r := &fileRig{running: &running{address: address, client: &http.Client{Timeout: testutil.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}}}
			c := startChild(t, r, file, "", childSizeEnv+"=1048576")
			taken, refused := 0, 0
			for n := range 300 {
				switch status, _, _ := pay(t.Context(), r, "/record/1", fmt.Sprint(n), "5"); status {
				case 200:
					taken++
				case 503:
					refused++
				default:
					t.Fatalf("payment %d: %d", n, status)
				}
			}
			if how == "refuse" && (refused < 100 || taken < 30) || how != "refuse" && refused > 0 {
				t.Errorf("%d taken, %d refused", taken, refused)
			}
			if runs.Load() != int64(taken) {
				t.Errorf("%d runs of %d that were taken", runs.Load(), taken)
			}
			known := func() {
				t.Helper()
				for n := range 20 {
					if status, _, head := pay(t.Context(), r, "/record/1", fmt.Sprint(n), "5"); status != 200 || head.Get(replayedHeader) == "" {
						t.Errorf("payment %d again: %d", n, status)
					}
				}
			}
			known()
			_ = c.Process.Kill()
			_ = c.Wait() // killed
			startChild(t, r, file, "")
			known()
			if status, _, _ := pay(t.Context(), r, "/record/1", "new", "5"); status != 200 {
				t.Errorf("with room again: %d", status)
			}
		})
	}
}
