package processes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
)

// loadedFleet is a fleet of daemons that watch one discovery and receive requests, with upstreams that record when requests arrive.
type loadedFleet struct {
	discovery *fakes.Discovery
	daemons   []*Process
	names     []string // names of the upstreams
	mu        sync.Mutex
	arrivals  map[string][]time.Time // arrival times of requests by upstream
	served    atomic.Int64
	failed    atomic.Int64
	stop      chan struct{}
	clients   sync.WaitGroup
}

// configuration returns the configuration file of a daemon with one service. address is the address of the service's discovery, and pushed is
// its setting discovery_pushes.
func configuration(name string, seed, sidecars int, address string, pushed bool) string {
	return fmt.Sprintf(`[daemon]
name = %q
listen = "127.0.0.1:0"
control = "127.0.0.1:0"
seed = "%d"
[limits]
memory = "64MiB"
descriptors = 512
[log]
format = "json"
[[service]]
name = "web"
discovery = %q
discovery_pushes = %v
sidecars = %d
`, name, seed, address, pushed, sidecars)
}

// startFleet starts daemons and upstreams, and sends rate requests per second to each daemon.
func startFleet(t *testing.T, r *Rig, sidecars, upstreams int, pushed bool, discovery *fakes.Discovery, rate float64) *loadedFleet {
	t.Helper()
	f := &loadedFleet{discovery: discovery, arrivals: map[string][]time.Time{}, stop: make(chan struct{})}
	var entries []endpoints.Endpoint
	for i := range upstreams {
		name := fmt.Sprintf("u%d", i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			now := time.Now()
			f.mu.Lock()
			f.arrivals[name] = append(f.arrivals[name], now)
			f.mu.Unlock()
			_, _ = io.WriteString(w, name)
		})}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		f.names = append(f.names, name)
		entries = append(entries, endpoints.Endpoint{Name: name, Address: l.Addr().String(), Zone: "a", MachineType: "m", Status: endpoints.StatusReady})
	}
	discovery.Heartbeat = 2 * time.Second // as in the discovery protocol
	address, err := discovery.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.Set(entries...)
	for i := range sidecars {
		name := fmt.Sprintf("n%d", i)
		f.daemons = append(f.daemons, r.Process(Spec{Name: name, Args: []string{"--config", "web.toml"}, Ready: Listening,
			Files: map[string]string{"web.toml": configuration(name, i+1, sidecars, address, pushed)}}))
	}
	if err := r.StartAll(within(t, Patience), f.daemons...); err != nil {
		t.Fatal(err)
	}
	f.awaitCurrentList(t, Patience)
	for i, p := range f.daemons {
		address := p.Address()
		f.clients.Go(func() { f.sendRequests(address, time.Duration(float64(time.Second)/rate), i, sidecars) })
	}
	t.Cleanup(func() {
		close(f.stop)
		f.clients.Wait()
	})
	return f
}

func (f *loadedFleet) sendRequests(address string, every time.Duration, i, sidecars int) {
	c := http.Client{Timeout: Patience, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	wait := time.NewTimer(every * time.Duration(i) / time.Duration(sidecars)) // spreads the requests of the fleet over the interval
	defer wait.Stop()
	for {
		select {
		case <-wait.C:
		case <-f.stop:
			return
		}
		wait.Reset(every)
		resp, err := c.Get("http://" + address + "/a")
		if err != nil {
			f.failed.Add(1)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.served.Add(1)
		} else {
			f.failed.Add(1)
		}
	}
}

// awaitCurrentList waits until each daemon has a watch that has received the current endpoint list, and returns the time at which this was the
// case.
func (f *loadedFleet) awaitCurrentList(t *testing.T, timeout time.Duration) time.Time {
	t.Helper()
	for end := time.Now().Add(timeout); f.discovery.Current() < len(f.daemons); {
		if time.Now().After(end) {
			t.Fatalf("only %d of %d daemons have the current endpoint list", f.discovery.Current(), len(f.daemons))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Now()
}

// lateRequests returns how long after a deadline the last request arrived at a drained upstream, and the number of requests that arrived at
// drained upstreams more than a grace period after the deadline. The parameter due is the deadline, and grace is the grace period.
func (f *loadedFleet) lateRequests(drained []string, due time.Time, grace time.Duration) (worst time.Duration, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range drained {
		for _, at := range f.arrivals[name] {
			if after := at.Sub(due); after > 0 {
				worst = max(worst, after)
				if after > grace {
					n++
				}
			}
		}
	}
	return worst, n
}

// sleepUntil sleeps until the given time.
func sleepUntil(until time.Time) { time.Sleep(time.Until(until)) }

// Limits on the time between the moment at which all daemons have to know of a drain and the last request to the draining upstream. The limit
// is the sum of both: drainGrace is the time that the rule on draining allows, and schedulingSlack allows for delays on a busy machine.
const (
	drainGrace      = 250 * time.Millisecond
	schedulingSlack = 250 * time.Millisecond
)

// drainDuringOutage drains upstreams while the daemons cannot learn of the drain at once. It returns the time of the drain, and the time by
// which all daemons must have learned of it.
func drainDuringOutage(discovery *fakes.Discovery, how string, sidecars int, drained []string) (drainedAt, due time.Time) {
	switch how {
	case "pushed":
		discovery.Down(true)
		sleepUntil(time.Now().Add(3100 * time.Millisecond))
		discovery.Drain(drained...)
		drainedAt = time.Now()
		discovery.Down(false)
		due = time.Now()
	case "down":
		discovery.Down(true)
		sleepUntil(time.Now().Add(10 * time.Second)) // by then the backoff of the daemons has reached its maximum
		discovery.Drain(drained...)
		drainedAt = time.Now()
		discovery.Down(false)
		due = time.Now().Add(6 * time.Second)
	default:
		discovery.DelayAnswers(900 * time.Millisecond)
		discovery.Break()
		sleepUntil(time.Now().Add(1600*time.Millisecond + time.Duration(sidecars)*3*time.Millisecond)) // each daemon calls again after 0.5 to 1.5 s, or after 2.6 s
		discovery.DelayAnswers(0)
		discovery.Mute()
		due = time.Now().Add(6 * time.Second)
		sleepUntil(time.Now().Add(600 * time.Millisecond))
		discovery.Drain(drained...)
		drainedAt = time.Now()
	}
	return drainedAt, due
}

// maxInOneSecond returns the highest number of calls within any second.
func maxInOneSecond(calls []time.Time) int {
	most := 0
	for i := range calls {
		j := i
		for j < len(calls) && calls[j].Sub(calls[i]) < time.Second {
			j++
		}
		most = max(most, j-i)
	}
	return most
}

// Guards against requests to draining upstreams after the time at which all daemons have to know of the drain. A quarter of the upstreams drain
// while the daemons cannot read the endpoint list.
//
// In the case "asked" all watches end, and the calls that follow stay open without an answer. The daemons have to know of the drain 6 s after
// discovery stops answering. In the case "down" all calls fail for 10 s, and the daemons have to know 6 s after discovery is up again. In the
// case "pushed" discovery is an agent that pushes changes. It ends all watches and rejects all calls for a while, and the daemons have to know
// of the drain as soon as the agent is up again.
func TestNothingGoesToUpstreamsAnnouncedAsLeaving(t *testing.T) {
	sidecars, upstreams, rate := 4, 8, 20.0
	if *fleet {
		sidecars, upstreams, rate = 350, 300, 2
	} else if testing.Short() {
		t.Skip("takes 12 s")
	}
	for _, how := range []string{"asked", "down", "pushed"} {
		t.Run(how, func(t *testing.T) {
			pushed := how == "pushed"
			r := New(t, 1)
			discovery := fakes.NewDiscovery()
			if *fleet && !pushed { // at this rate discovery needs 2 s for one call of each sidecar; it rejects calls that would wait for more than 1 s
				discovery.Rate, discovery.Timeout = float64(sidecars)/2, time.Second
			}
			f := startFleet(t, r, sidecars, upstreams, pushed, discovery, rate)
			begun := len(discovery.Calls())
			drained := f.names[:upstreams/4]
			drainedAt, due := drainDuringOutage(discovery, how, sidecars, drained)
			all := f.awaitCurrentList(t, 30*time.Second)
			sleepUntil(due.Add(time.Second))
			worst, n := f.lateRequests(drained, due, drainGrace+schedulingSlack)
			calls := discovery.Calls()[begun:]
			record := map[string]any{"sidecars": sidecars, "upstreams": upstreams, "how": how, "late": n, "worst_ms": worst.Milliseconds(),
				"all_have_the_news_ms": all.Sub(drainedAt).Milliseconds(), "due_ms": due.Sub(drainedAt).Milliseconds(), "calls": len(calls), "calls_in_a_second": maxInOneSecond(calls),
				"served": f.served.Load(), "failed": f.failed.Load()}
			line, _ := json.Marshal(record)
			t.Logf("%s", line)
			if n > 0 {
				t.Errorf("%d requests went to draining upstreams, the last one %v after all daemons had to know of the drain", n, worst)
			}
			if f.served.Load() == 0 || f.failed.Load() > f.served.Load()/100 {
				t.Errorf("%d requests succeeded and %d failed: want at least one success and at most one failure per 100 successes", f.served.Load(), f.failed.Load())
			}
		})
	}
}

// Guards against a daemon that exceeds the memory or descriptor limit of its configuration, or fails requests, when its endpoint list has up to
// 1,024 upstreams, indented or not. The test logs the daemon's resident memory, threads and descriptors.
func TestListsOfAnySize(t *testing.T) {
	for _, n := range []int{10, 100, 300, 1024} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := New(t, 1)
			discovery := fakes.NewDiscovery()
			discovery.Indent = n == 1024
			begun := time.Now()
			f := startFleet(t, r, 1, n, false, discovery, 200)
			up := time.Since(begun)
			for end := time.Now().Add(Patience); f.served.Load() < 200 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			pid := f.daemons[0].currentRun().cmd.Process.Pid
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
			if err != nil {
				t.Skip("the system has no /proc")
			}
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err != nil {
				t.Fatal(err)
			}
			procStatus := map[string]int{}
			for _, line := range strings.Split(string(status), "\n") {
				if f := strings.Fields(line); len(f) > 1 {
					procStatus[f[0]], _ = strconv.Atoi(f[1])
				}
			}
			t.Logf("%d upstreams: daemon has the complete list after %v, %d MB resident, %d threads, %d descriptors", n, up.Round(time.Millisecond), procStatus["VmRSS:"]>>10,
				procStatus["Threads:"], len(open))
			if procStatus["VmHWM:"]>>10 > 64 || len(open) > 512 {
				t.Errorf("daemon used up to %d MB and %d descriptors, its limits are 64 MB and 512", procStatus["VmHWM:"]>>10, len(open))
			}
			if f.failed.Load() > 0 {
				t.Errorf("%d requests succeeded and %d failed, want no failures", f.served.Load(), f.failed.Load())
			}
		})
	}
}
