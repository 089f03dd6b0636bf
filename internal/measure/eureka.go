package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
)

// Eureka prints two measurements of Eureka discovery. The first one changes instances at random under load. For several poll intervals it
// prints the time from an instance's change to out of service until its last request, and the number of requests to the registry. The second
// one prints the memory and CPU time of a daemon with 5,000 instances.
func Eureka(o Options) error {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "poll\tflips\tseen\tp50\tp90\tp99\tmost\tover 250ms after told\tserved\trefused\trequests a second\tbytes a second\t")
	for _, poll := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		if err := printFlips(w, poll, max(1, o.Rounds)*400); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return printEurekaMemory(o.Out)
}

// startFlipNodes starts n upstreams and registers them. It calls onRequest with the name of the upstream for each request that an upstream
// receives.
func startFlipNodes(e *fakes.Eureka, n int, onRequest func(name string)) (names []string, stop func(), err error) {
	var servers []*http.Server
	stop = func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		name := fmt.Sprint("n", i)
		srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			onRequest(name)
			_, _ = io.WriteString(w, "ok") // an error means that the client has disconnected
		})}
		servers = append(servers, srv)
		go func() { _ = srv.Serve(l) }() // ends with Close
		names = append(names, name)
		port := l.Addr().(*net.TCPAddr).Port
		e.Put(fakes.EurekaInstance{App: "SEATS", ID: name, Host: "127.0.0.1", IP: "127.0.0.1", Port: port, Status: "UP"})
	}
	return names, stop, nil
}

// flipLoad sends requests from several clients in closed loops, and counts the answers.
type flipLoad struct {
	client                   *http.Client
	cancel                   context.CancelFunc
	clients                  sync.WaitGroup
	served, rejected, failed atomic.Int64
}

// flipClients is the number of clients of a flipLoad.
const flipClients = 4

func startFlipLoad(address string) *flipLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &flipLoad{client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, cancel: cancel}
	for range flipClients {
		l.clients.Go(func() {
			for ctx.Err() == nil {
				l.request(address)
			}
		})
	}
	return l
}

func (l *flipLoad) request(address string) {
	resp, err := l.client.Get("http://" + address + "/")
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the body is a few bytes from loopback
	switch resp.StatusCode {
	case http.StatusOK:
		l.served.Add(1)
	case http.StatusServiceUnavailable:
		l.rejected.Add(1)
	default:
		l.failed.Add(1)
	}
}

// stop ends the load and waits for the requests in flight.
func (l *flipLoad) stop() {
	l.cancel()
	l.clients.Wait()
	l.client.CloseIdleConnections()
}

// printFlips prints the row of one poll interval: the times from a flip out of service to the last request, and the requests to the registry.
func printFlips(w io.Writer, poll time.Duration, flips int) error {
	e, err := fakes.NewEureka(fakes.EurekaOptions{})
	if err != nil {
		return err
	}
	defer e.Close()
	var f *fakes.Flipper
	names, stopNodes, err := startFlipNodes(e, 12, func(name string) { f.RecordArrival(name) })
	if err != nil {
		return err
	}
	defer stopNodes()
	f = fakes.NewFlipper(e, "SEATS", endpoints.DrainGrace, names...)
	address, stop, err := startEurekaDaemon(e, poll, "192MiB")
	if err != nil {
		return err
	}
	load := startFlipLoad(address)
	rng := rand.New(rand.NewPCG(5, uint64(poll)))
	started, bytes := time.Now(), e.Bytes()
	pollsBefore := e.Calls("GET /apps/SEATS")
	tick := time.NewTicker(poll / 20)
	defer tick.Stop()
	for range flips {
		<-tick.C
		f.Flip(rng)
	}
	seconds := time.Since(started).Seconds()
	perSecond, bytesPerSecond := float64(e.Calls("GET /apps/SEATS")-pollsBefore)/seconds, float64(e.Bytes()-bytes)/seconds
	load.stop()
	flipCount, delays, violations := f.Result()
	if load.failed.Load() > 0 || len(delays) == 0 {
		err = fmt.Errorf("%d requests failed, and %d flips out of service were followed by requests; want no failed requests and at least one such flip", load.failed.Load(), len(delays))
	} else {
		quantile := func(p float64) time.Duration { return delays[int(p*float64(len(delays)-1))].Round(time.Millisecond) }
		fmt.Fprintf(w, "%v\t%d\t%d\t%v\t%v\t%v\t%v\t%d\t%d\t%d\t%.1f\t%.0f\t\n", poll, flipCount, len(delays), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1), len(violations),
			load.served.Load(), load.rejected.Load(), perSecond, bytesPerSecond)
	}
	return errors.Join(err, stop())
}

func eurekaConfig(registry string, poll time.Duration, memory string, delta bool) []byte {
	return fmt.Appendf(nil, `
[daemon]
seed = "1"
[log]
level = "error"
[limits]
memory = %q
[membership]
flaps = 0
[[service]]
name = "seats"
[[eureka]]
service = "seats"
servers = [%q]
applications = ["SEATS"]
poll = %q
delta = %t
`, memory, registry, poll, delta)
}

// startEurekaDaemon starts a daemon in this process and waits until the daemon is ready. The daemon discovers its upstreams from the
// registry.
func startEurekaDaemon(e *fakes.Eureka, poll time.Duration, memory string) (address string, stop func() error, err error) {
	plan, err := config.ParseFile(eurekaConfig(e.Base, poll, memory, false))
	if err != nil {
		return "", nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.ServePlan(ctx, plan, listener, config.Sources{}, nil, nil) }()
	stop = func() error { cancel(); return <-ended }
	address = listener.Addr().String()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + address + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return address, stop, nil
			}
		}
		if time.Now().After(deadline) {
			return "", nil, errors.Join(errors.New("the daemon was not ready within 10 s"), stop())
		}
	}
}

// serveEurekaDaemon runs a daemon that discovers its upstreams from a registry. The address of the registry is the first of the Addresses.
func (r childRole) serveEurekaDaemon() error {
	return serveDaemonFile(eurekaConfig(r.Addresses[0], 200*time.Millisecond, "48MiB", r.Policy == "delta"))
}

// printEurekaMemory prints the memory and CPU time of a daemon process that polls a registry of 5,000 instances. In some of the cases one
// instance changes per poll, in the others none.
func printEurekaMemory(out io.Writer) error {
	e, err := fakes.NewEureka(fakes.EurekaOptions{KeepDelta: time.Second})
	if err != nil {
		return err
	}
	defer e.Close()
	put := func(i int) {
		e.Put(fakes.EurekaInstance{App: "SEATS", ID: fmt.Sprintf("host-%d.example:seats:8080", i), Host: fmt.Sprintf("host-%d.example", i),
			IP: fmt.Sprintf("127.%d.%d.%d", 1+i>>16, i>>8&255, i&255), Port: 8080, Status: "UP", Metadata: map[string]string{"zone": "z"}})
	}
	for i := range 5000 {
		put(i)
	}
	time.Sleep(time.Second) // after this time the delta no longer lists the registrations above (see KeepDelta)
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "5,000 instances\tpolls\tmost resident\tanonymous\tCPU a poll\t")
	for _, c := range []struct {
		name, policy, path string
		changes            int // number of changed instances per poll
	}{{"the same each time", "", "GET /apps/SEATS", 0}, {"one changed each time", "", "GET /apps/SEATS", 1},
		{"one changed each time, told as changes", "delta", "GET /apps/delta", 1}} {
		name, path, changes := c.name, c.path, c.changes
		var address string
		c, err := startChild(childRole{Part: "eurekadaemon", Addresses: []string{e.Base}, Policy: c.policy}, &address)
		if err != nil {
			return err
		}
		waitForPolls := func(n int) {
			for range n {
				for range changes {
					put(rand.IntN(5000))
				}
				for callsBefore := e.Calls(path); e.Calls(path) == callsBefore; time.Sleep(time.Millisecond) {
				}
			}
		}
		waitForPolls(5)
		before, err := c.used()
		const polls = 20
		waitForPolls(polls)
		after, usedErr := c.used()
		peak, anonymous := c.memory()
		if err := errors.Join(err, usedErr, c.stop()); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v\t\n", name, polls, peak, anonymous, ((after.CPU - before.CPU) / polls).Round(100*time.Microsecond))
	}
	return w.Flush()
}

// memory returns the peak resident memory and the current anonymous memory of the child. If the system does not report them, it returns
// question marks.
func (c *child) memory() (peak, anonymous string) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(c.cmd.Process.Pid) + "/status")
	if err != nil {
		return "?", "?"
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			peak = strings.TrimSpace(v)
		}
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			anonymous = strings.TrimSpace(v)
		}
	}
	return peak, anonymous
}
