// Package measure holds the fronts beside named peers: the daemon beside net/http/httputil.ReverseProxy, the plug-in beside
// grpc-go's own balancers, on the same stand-in nodes in one run. Nodes, proxies and gRPC clients are processes of their
// own, so that each one's CPU is its own. docs/design/measurement.md tells what is measured and what came of it;
// cmd/measure prints the tables.
package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/settings"
)

// roleVariable makes the program play one of its parts.
const roleVariable = "ORCHIDDRIFT_MEASURE"

// role is what a child process is told.
type role struct {
	Part      string        // "nodes", "daemon", "reverseproxy", "client"
	Nodes     int           `json:",omitempty"`
	GRPC      bool          `json:",omitempty"`
	Work      time.Duration `json:",omitempty"`
	GC        int           `json:",omitempty"` // of a proxy, as GOGC
	Slow      float64       `json:",omitempty"` // factor of the first node in ten; 0: none
	Addresses []string      `json:",omitempty"`
	Listen    string        `json:",omitempty"`
	Policy    string        `json:",omitempty"`
	Workers   int           `json:",omitempty"`
	Calls     int           `json:",omitempty"`
	Warm      int           `json:",omitempty"`
	Dir       string        `json:",omitempty"` // of the keys, where connections are encrypted
	Answer    string        `json:",omitempty"` // of nodes
	Routes    int           `json:",omitempty"` // of a daemon by an operator's file
}

// usage is what a process has used so far.
type usage struct {
	CPU     time.Duration
	Mallocs uint64
	Bytes   uint64
}

// Role plays the part that the environment names, and tells whether there was one.
func Role() (bool, error) {
	text := os.Getenv(roleVariable)
	if text == "" {
		return false, nil
	}
	log.SetOutput(io.Discard)
	var r role
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return true, err
	}
	runtime.GOMAXPROCS(1)
	switch r.Part {
	case "nodes":
		return true, r.serveNodes()
	case "tlsnodes":
		return true, r.serveTLSNodes()
	case "daemon", "reverseproxy":
		return true, r.serveProxy()
	case "manynodes":
		return true, r.serveManyNodes()
	case "manydaemon":
		return true, r.serveManyDaemon()
	case "floornodes":
		return true, r.serveFloorNodes()
	case "floordaemon":
		return true, r.serveFloorDaemon()
	case "eurekadaemon":
		return true, r.serveEurekaDaemon()
	case "graphqldaemon":
		return true, r.serveGraphQLDaemon()
	case "repeatsdaemon":
		return true, r.serveRepeatsDaemon()
	case "instant":
		return true, serveInstant()
	case "etcd":
		return true, serveEtcd()
	case "client":
		return true, r.call()
	}
	return true, fmt.Errorf("no part %q", r.Part)
}

// attend answers each line on standard input with the usage so far, until input ends.
func attend(ready any) error {
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(ready); err != nil {
		return err
	}
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if err := out.Encode(used()); err != nil {
			return err
		}
	}
	return in.Err()
}

// attendFile is attend beside a daemon by an operator's file, within its memory limit, on a free port.
func attendFile(text []byte) error {
	p, err := config.ParseFile(text)
	if err != nil {
		return err
	}
	daemon.LimitMemory(p)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	return attendDaemon(p, l)
}

// attendDaemon is attend beside a daemon.
func attendDaemon(p *config.Plan, l net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.ServePlan(ctx, p, l, config.Sources{}, nil, nil) }()
	err := attend(l.Addr().String())
	cancel()
	return errors.Join(err, <-ended)
}

func used() usage {
	var r syscall.Rusage
	var m runtime.MemStats
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}
	}
	runtime.ReadMemStats(&m)
	return usage{time.Duration(r.Utime.Nano() + r.Stime.Nano()), m.Mallocs, m.TotalAlloc}
}

func (r role) serveNodes() error {
	var addresses []string
	ledger := fakes.NewLedger()
	ledger.CountOnly = true
	for i := range r.Nodes {
		o := fakes.NodeOptions{Name: fmt.Sprint("n", i), Cores: 64, DefaultServiceTime: r.Work, Ledger: ledger, Seed: uint64(i), LoadReports: r.GRPC}
		if r.Slow > 0 && i%10 == 0 {
			o.Faults = []fakes.Fault{{Kind: fakes.Slow, Factor: r.Slow}}
		}
		if r.GRPC {
			o.Answer = func(fakes.Job) []byte { return []byte{10, 2, 'o', 'k'} } // a StringValue
		}
		if r.Answer != "" {
			o.Answer = func(fakes.Job) []byte { return []byte(r.Answer) }
		}
		n := fakes.NewNode(o)
		defer n.Close()
		listen := n.ListenHTTP
		if r.GRPC {
			listen = n.ListenGRPC
		}
		address, err := listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	return attend(addresses)
}

// moduleSettings are the same for both fronts.
func moduleSettings() balancer.Settings {
	return balancer.Settings{Zone: "a", FleetSize: 1, Tick: 5 * time.Millisecond, MaxAttempts: 5, HedgingAllowed: true,
		CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: time.Second, ConnectTimeout: time.Second,
		Classes: []balancer.Class{{Name: "search", Idempotency: balancer.Idempotent, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, LateValueFraction: 0.5}}}
}

func (r role) serveProxy() error {
	debug.SetGCPercent(r.GC) // the same for both: what the daemon does with more memory is no merit of its code
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	switch {
	case (r.Dir != "" || r.Routes > 0) && r.Part == "daemon":
		return r.serveFileDaemon(l)
	case r.Dir != "":
		return r.serveTLSProxy(l)
	}
	if r.Part == "daemon" {
		known := &endpoints.List{Index: new(int64), Snapshot: true}
		for i, address := range r.Addresses {
			known.Endpoints = append(known.Endpoints, endpoints.Endpoint{Name: fmt.Sprint("n", i), Address: address, Zone: "a",
				Status: endpoints.StatusReady})
		}
		c := &config.Config{Listen: r.Listen, Discovery: "127.0.0.1:1", Seed: 1, CachedEndpoints: known,
			Limits:   config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
			Settings: settings.Settings{Settings: moduleSettings(), ConnIdleTimeout: 30 * time.Second}}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- daemon.Serve(ctx, c, l, "", nil, nil) }()
		err = attend(l.Addr().String())
		cancel()
		return errors.Join(err, <-ended)
	}
	var targets []*url.URL
	for _, address := range r.Addresses {
		targets = append(targets, &url.URL{Scheme: "http", Host: address})
	}
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(p *httputil.ProxyRequest) { p.SetURL(targets[rand.IntN(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
	srv := &http.Server{Handler: proxy, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	err = attend(l.Addr().String())
	srv.Close()
	<-ended
	return err
}

// child is a process that plays a part.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

func start(r role, ready any) (*child, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self)}
	c.cmd.Env = append(os.Environ(), roleVariable+"="+string(text))
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = json.NewDecoder(out)
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	if err := c.out.Decode(ready); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", r.Part, err), c.stop())
	}
	return c, nil
}

// used asks for the usage so far.
func (c *child) used() (u usage, err error) {
	if _, err = io.WriteString(c.in, "\n"); err == nil {
		err = c.out.Decode(&u)
	}
	return u, err
}

func (c *child) stop() error {
	c.in.Close()
	return c.cmd.Wait()
}

// closedLoop has workers ask again and again, and returns how long each answer took after the warm ones.
func closedLoop(workers, warm, calls int, ask func(worker, n int) error, between func() error) ([]time.Duration, error) {
	run := func(calls int, keep bool) ([]time.Duration, error) {
		var mu sync.Mutex
		var took []time.Duration
		var first error
		var wg sync.WaitGroup
		for w := range workers {
			wg.Go(func() {
				mine := make([]time.Duration, 0, calls/workers+1)
				for n := range calls / workers {
					begun := time.Now()
					if err := ask(w, n); err != nil {
						mu.Lock()
						first = err
						mu.Unlock()
						return
					}
					mine = append(mine, time.Since(begun))
				}
				mu.Lock()
				defer mu.Unlock()
				if keep {
					took = append(took, mine...)
				}
			})
		}
		wg.Wait()
		return took, first
	}
	if _, err := run(warm, false); err != nil {
		return nil, err
	}
	if err := between(); err != nil {
		return nil, err
	}
	took, err := run(calls, true)
	slices.Sort(took)
	return took, err
}

func quantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Figures are what one peer did in one run.
type Figures struct {
	CPU      time.Duration // a request
	Mallocs  float64       // a request
	P50, P99 time.Duration
}

func figures(before, after usage, took []time.Duration) Figures {
	n := float64(max(1, len(took)))
	return Figures{time.Duration(float64(after.CPU-before.CPU) / n), float64(after.Mallocs-before.Mallocs) / n,
		quantile(took, 0.5), quantile(took, 0.99)}
}

// median is the median of each figure by itself.
func median(all []Figures) Figures {
	pick := func(of func(Figures) float64) float64 {
		values := make([]float64, 0, len(all))
		for _, f := range all {
			values = append(values, of(f))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return Figures{time.Duration(pick(func(f Figures) float64 { return float64(f.CPU) })),
		pick(func(f Figures) float64 { return f.Mallocs }),
		time.Duration(pick(func(f Figures) float64 { return float64(f.P50) })),
		time.Duration(pick(func(f Figures) float64 { return float64(f.P99) }))}
}
