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

// Eureka prints, by poll interval, the time from an instance's flip out of service to the last request that reached it,
// with flips at random under load, and what the registry is asked; then what a daemon takes with 5,000 instances.
func Eureka(o Options) error {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "poll\tflips\tseen\tp50\tp90\tp99\tmost\tover 250ms after told\tserved\trefused\trequests a second\tbytes a second\t")
	for _, poll := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		if err := flips(w, poll, max(1, o.Rounds)*400); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return eurekaMemory(o.Out)
}

// flipNodes are upstreams that tell when they are asked, registered by their names.
func flipNodes(e *fakes.Eureka, n int, came func(name string)) (names []string, stop func(), err error) {
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
			came(name)
			_, _ = io.WriteString(w, "ok") // a client that left is no matter here
		})}
		servers = append(servers, srv)
		go func() { _ = srv.Serve(l) }() // ends with Close
		names = append(names, name)
		port := l.Addr().(*net.TCPAddr).Port
		e.Put(fakes.EurekaInstance{App: "SEATS", ID: name, Host: "127.0.0.1", IP: "127.0.0.1", Port: port, Status: "UP"})
	}
	return names, stop, nil
}

func flips(w io.Writer, poll time.Duration, times int) error {
	e, err := fakes.NewEureka(fakes.EurekaOptions{})
	if err != nil {
		return err
	}
	defer e.Close()
	var f *fakes.Flipper
	names, stopNodes, err := flipNodes(e, 12, func(name string) { f.RecordArrival(name) })
	if err != nil {
		return err
	}
	defer stopNodes()
	f = fakes.NewFlipper(e, "SEATS", endpoints.DrainGrace, names...)
	address, stop, err := eurekaDaemon(e, poll, "192MiB")
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	ctx, end := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var served, refused, failed atomic.Int64
	for range 4 {
		clients.Go(func() {
			for ctx.Err() == nil {
				resp, err := client.Get("http://" + address + "/")
				if err != nil {
					failed.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body) // a short answer from loopback
				resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(5, uint64(poll)))
	begun, bytes := time.Now(), e.Bytes()
	asked := e.Calls("GET /apps/SEATS")
	tick := time.NewTicker(poll / 20)
	defer tick.Stop()
	for range times {
		<-tick.C
		f.Flip(rng)
	}
	took := time.Since(begun).Seconds()
	perSecond, bytesPerSecond := float64(e.Calls("GET /apps/SEATS")-asked)/took, float64(e.Bytes()-bytes)/took
	end()
	clients.Wait()
	n, last, wrong := f.Result()
	if failed.Load() > 0 || len(last) == 0 {
		err = fmt.Errorf("%d requests failed, %d flips seen", failed.Load(), len(last))
	} else {
		at := func(p float64) time.Duration { return last[int(p*float64(len(last)-1))].Round(time.Millisecond) }
		fmt.Fprintf(w, "%v\t%d\t%d\t%v\t%v\t%v\t%v\t%d\t%d\t%d\t%.1f\t%.0f\t\n", poll, n, len(last), at(0.5), at(0.9), at(0.99), at(1), len(wrong),
			served.Load(), refused.Load(), perSecond, bytesPerSecond)
	}
	return errors.Join(err, stop())
}

func eurekaFile(e string, poll time.Duration, memory string, delta bool) []byte {
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
`, memory, e, poll, delta)
}

// eurekaDaemon starts one in this process whose upstreams are a registry's.
func eurekaDaemon(e *fakes.Eureka, poll time.Duration, memory string) (address string, stop func() error, err error) {
	p, err := config.ParseFile(eurekaFile(e.Base, poll, memory, false))
	if err != nil {
		return "", nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.ServePlan(ctx, p, l, config.Sources{}, nil, nil) }()
	stop = func() error { cancel(); return <-ended }
	address = l.Addr().String()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if resp, err := http.Get("http://" + address + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return address, stop, nil
			}
		}
		if time.Now().After(end) {
			return "", nil, errors.Join(errors.New("the daemon is not ready"), stop())
		}
	}
}

// serveEurekaDaemon is a daemon of its own process, whose registry Addresses name.
func (r role) serveEurekaDaemon() error {
	return attendFile(eurekaFile(r.Addresses[0], 200*time.Millisecond, "48MiB", r.Policy == "delta"))
}

// eurekaMemory prints the memory and CPU of a daemon process that follows 5,000 instances, whose document changes with
// every poll.
func eurekaMemory(out io.Writer) error {
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
	time.Sleep(time.Second) // until the changes are those of nodes that come and go, and not all that there is
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "5,000 instances\tpolls\tmost resident\tanonymous\tCPU a poll\t")
	for _, c := range []struct {
		name, policy, path string
		changes            int // a poll
	}{{"the same each time", "", "GET /apps/SEATS", 0}, {"one changed each time", "", "GET /apps/SEATS", 1},
		{"one changed each time, told as changes", "delta", "GET /apps/delta", 1}} {
		name, path, changes := c.name, c.path, c.changes
		var address string
		c, err := start(role{Part: "eurekadaemon", Addresses: []string{e.Base}, Policy: c.policy}, &address)
		if err != nil {
			return err
		}
		wait := func(n int) {
			for range n {
				for range changes {
					put(rand.IntN(5000))
				}
				for from := e.Calls(path); e.Calls(path) == from; time.Sleep(time.Millisecond) {
				}
			}
		}
		wait(5)
		before, err := c.used()
		const polls = 20
		wait(polls)
		after, usedErr := c.used()
		peak, anonymous := c.memory()
		if err := errors.Join(err, usedErr, c.stop()); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v\t\n", name, polls, peak, anonymous, ((after.CPU - before.CPU) / polls).Round(100*time.Microsecond))
	}
	return w.Flush()
}

// memory is the most that the child has had resident, and what is its own now, as the system says it.
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
