package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"orchiddrift/internal/boltfile"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/boltstore"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/units"
)

// Idempotency prints the cost of a request with an idempotency key for the daemon, without a store of keys and with stores in memory, on disk
// and shared. It then prints the size of a store file per key, and the time to read the file back.
func Idempotency(o Options) error {
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 12}, &addresses)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(".", "measure-repeats-") // on the disk of the working directory, because the system's temporary folder may be in memory
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var etcd string // address of a fake etcd server, which syncs nothing to disk
	shared, err := startChild(childRole{Part: "etcd"}, &etcd)
	if err != nil {
		return errors.Join(err, nodes.stop())
	}
	kinds := []struct{ name, policy string }{{"no store", ""}, {"in memory", "memory"}, {"on the disk", "disk"}, {"shared", "shared"}}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "connections\tstore\tCPU a request\tallocations\trequests a second\tp50\tp99\tCPU ratio\t")
	for _, connections := range []int{16, 256} {
		all := make([][]Figures, len(kinds))
		rates := make([][]float64, len(kinds))
		for round := range o.Rounds {
			for i, k := range kinds {
				location := filepath.Join(dir, fmt.Sprint(connections, "-", round, ".db"))
				if k.policy == "shared" {
					location = etcd
				}
				f, rate, err := idempotencyRound(addresses, k.policy, location, connections, o.Calls)
				if err != nil {
					return errors.Join(err, nodes.stop(), shared.stop())
				}
				all[i], rates[i] = append(all[i], f), append(rates[i], rate)
			}
		}
		base := median(all[0])
		for i, k := range kinds {
			f := median(all[i])
			rate := medianBy(rates[i], func(x float64) float64 { return x })
			fmt.Fprintf(w, "%d\t%s\t%v\t%.0f\t%.0f\t%v\t%v\t%.2f\t\n", connections, k.name, f.CPU.Round(100*time.Nanosecond), f.Mallocs, rate,
				f.P50.Round(10*time.Microsecond), f.P99.Round(10*time.Microsecond), float64(f.CPU)/float64(base.CPU))
		}
	}
	if err := errors.Join(w.Flush(), nodes.stop(), shared.stop()); err != nil {
		return err
	}
	return printFullStore(o.Out, filepath.Join(dir, "full.db"))
}

// idempotencyRound measures requests with idempotency keys through a daemon process. policy names the daemon's store, and file is the file or
// address of the store.
func idempotencyRound(addresses []string, policy, file string, connections, calls int) (f Figures, rate float64, err error) {
	var address string
	proxy, err := startChild(childRole{Part: "repeatsdaemon", Addresses: addresses, Policy: policy, Dir: file}, &address)
	if err != nil {
		return f, 0, err
	}
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	var before usage
	var started time.Time
	var mu sync.Mutex
	n := 0
	send := func(worker, _ int) error {
		mu.Lock()
		n++
		key := strconv.Itoa(n)
		mu.Unlock()
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/record/1", strings.NewReader(`{"amount":500,"currency":"KES"}`))
		if err != nil {
			return err
		}
		req.Header.Set("Idempotency-Key", key)
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("daemon (idempotency store: %s) answered %s", policy, resp.Status)
		}
		return nil
	}
	latencies, err := closedLoop(connections, calls/5, calls, send, func() (err error) {
		before, err = proxy.used()
		started = time.Now()
		return err
	})
	rate = float64(len(latencies)) / time.Since(started).Seconds()
	after, usedErr := proxy.used()
	return figures(before, after, latencies), rate, errors.Join(err, usedErr, proxy.stop())
}

// serveIdempotencyDaemon runs a daemon with a class whose requests have idempotency keys. Policy names the daemon's store.
func (r childRole) serveIdempotencyDaemon() error {
	text := "[log]\nlevel = \"error\"\n[limits]\nmemory = \"192MiB\"\ndescriptors = 1024\n[[service]]\nname = \"s\"\naddresses = ["
	for _, a := range r.Addresses {
		text += strconv.Quote(a) + ","
	}
	text += "]\n[[service.class]]\nname = \"record\"\neffect = \"keyed\"\nwindow = \"6s\"\ndeadline = \"10s\"\n[[route]]\nmatch = \"POST /record/{id}\"\nclass = \"record\"\n"
	switch r.Policy {
	case "memory":
		text += "[[repeats]]\nservice = \"s\"\ntenant_part = 1.0\nbytes = \"64MiB\"\n"
	case "disk":
		text += fmt.Sprintf("[[repeats]]\nservice = \"s\"\ntenant_part = 1.0\nbytes = \"64MiB\"\nfile = %q\n", r.Dir)
	case "shared":
		text += fmt.Sprintf("[[repeats]]\nservice = \"s\"\ntenant_part = 1.0\nbytes = \"64MiB\"\n[repeats.shared]\nservers = [%q]\nprefix = %q\n", r.Dir, strconv.Itoa(os.Getpid())+"/")
	}
	return serveDaemonFile([]byte(text))
}

// serveEtcd runs a fake etcd server, which daemons use as the shared store.
func serveEtcd() error {
	etcd := fakes.NewEtcd(fakes.EtcdOptions{})
	address, err := etcd.Start()
	if err != nil {
		return err
	}
	defer etcd.Close()
	return answerUsage(address)
}

// printFullStore fills a store file with a million keys and reads the file back. It prints the times and the bytes per key.
func printFullStore(out io.Writer, path string) error {
	const n = 1_000_000
	store, err := boltstore.Open(context.Background(), path, boltfile.LockWait{Timeout: time.Second})
	if err != nil {
		return err
	}
	answer := &idempotency.Answer{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: []byte(`{"data":"recorded"}`)}
	records := make([]idempotency.Record, 0, n)
	for i := range n {
		records = append(records, idempotency.Record{ID: idempotency.ID{Tenant: "shop", Class: "record", Key: fmt.Sprintf("%032x", i*7919)}, Answer: answer, UpdatedAt: time.Hour})
	}
	started := time.Now()
	err = errors.Join(store.PutAll(records, time.Hour), store.Close())
	records = nil
	if err != nil {
		return err
	}
	writeTime := time.Since(started)
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started = time.Now()
	if store, err = boltstore.Open(context.Background(), path, boltfile.LockWait{Timeout: time.Second}); err != nil {
		return err
	}
	options := idempotency.Default()
	options.MaxKeys, options.MaxBytes, options.TenantFraction = 2*n, 2*units.GiB, 1
	keyExecutor, err := executor.New(executor.Options{Limits: options, DedupWindow: func(string) time.Duration { return 6 * time.Second }, Clock: clock.New(), Records: store})
	if err != nil {
		return err
	}
	readTime := time.Since(started)
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys, bytes, _ := keyExecutor.Stats()
	keyExecutor.Close()
	fmt.Fprintf(out, "\n%d keys: written in %v, %.0f bytes of the file a key, read back in %v; %.0f bytes of memory a key, %.0f counted\n", keys, writeTime.Round(time.Millisecond),
		float64(info.Size())/n, readTime.Round(time.Millisecond), float64(after.HeapAlloc-before.HeapAlloc)/n, float64(bytes)/n)
	return nil
}
