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

// watched is a fleet of daemons that follow one discovery, before upstreams that note when requests come, all on one clock.
type watched struct {
	disco   *fakes.Discovery
	daemons []*Process
	names   []string // of the upstreams
	mu      sync.Mutex
	came    map[string][]time.Time // by upstream that drains: when requests came
	served  atomic.Int64
	failed  atomic.Int64
	stop    chan struct{}
	driving sync.WaitGroup
}

// configuration is a daemon's file, with one service that follows a discovery at address.
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

// watch starts daemons and upstreams, and a load of so many requests a second on each daemon.
func watch(t *testing.T, r *Rig, sidecars, upstreams int, pushed bool, disco *fakes.Discovery, rate float64) *watched {
	t.Helper()
	f := &watched{disco: disco, came: map[string][]time.Time{}, stop: make(chan struct{})}
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
			f.came[name] = append(f.came[name], now)
			f.mu.Unlock()
			_, _ = io.WriteString(w, name)
		})}
		go s.Serve(l)
		t.Cleanup(func() { s.Close() })
		f.names = append(f.names, name)
		entries = append(entries, endpoints.Endpoint{Name: name, Address: l.Addr().String(), Zone: "a", MachineType: "m", Status: endpoints.StatusReady})
	}
	disco.Heartbeat = 2 * time.Second // the protocol's
	address, err := disco.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disco.Close)
	disco.Set(entries...)
	for i := range sidecars {
		name := fmt.Sprintf("n%d", i)
		f.daemons = append(f.daemons, r.Process(Spec{Name: name, Args: []string{"--config", "web.toml"}, Ready: Listening,
			Files: map[string]string{"web.toml": configuration(name, i+1, sidecars, address, pushed)}}))
	}
	if err := r.StartAll(within(t, Patience), f.daemons...); err != nil {
		t.Fatal(err)
	}
	f.current(t, Patience)
	for i, p := range f.daemons {
		address := p.Address()
		f.driving.Go(func() { f.drive(address, time.Duration(float64(time.Second)/rate), i, sidecars) })
	}
	t.Cleanup(func() {
		close(f.stop)
		f.driving.Wait()
	})
	return f
}

func (f *watched) drive(address string, every time.Duration, i, of int) {
	c := http.Client{Timeout: Patience, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.CloseIdleConnections()
	wait := time.NewTimer(every * time.Duration(i) / time.Duration(of)) // spread over the fleet
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

// current waits until each daemon has a watch that has been told all, and returns when that was.
func (f *watched) current(t *testing.T, patience time.Duration) time.Time {
	t.Helper()
	for end := time.Now().Add(patience); f.disco.Current() < len(f.daemons); {
		if time.Now().After(end) {
			t.Fatalf("%d of %d daemons have the list", f.disco.Current(), len(f.daemons))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Now()
}

// late is the last request that came to one of those after a moment, counted from it, and how many came later than grace.
func (f *watched) late(drained []string, due time.Time, grace time.Duration) (worst time.Duration, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range drained {
		for _, at := range f.came[name] {
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

// settled waits until a moment, so that what comes after it is seen.
func settled(until time.Time) { time.Sleep(time.Until(until)) }

// What a request may come after a drain counts as told: the rule's grace, and what a busy machine may take to read it here.
const (
	ruleGrace = 250 * time.Millisecond
	readSlack = 250 * time.Millisecond
)

// Guards against requests to upstreams announced as leaving, with processes: a quarter of the upstreams drain where the list
// cannot be heard of at once. Asked: all watches are reset, the calls made then wait for their answer, fall silent before it comes,
// as all others do, and what they miss counts as told 6 s later. Down: all calls fail for 10 s, and what discovery has at its return counts
// as told 6 s later. Pushed: the agent breaks all watches and takes no call for a while;
// what it has at its return counts at once. With the waits before this was mended requests came 1 to 3 s too late.
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
			disco := fakes.NewDiscovery()
			if *fleet && !pushed { // it takes all calls in 2 s, and none that would wait for more than 1 s
				disco.Rate, disco.Timeout = float64(sidecars)/2, time.Second
			}
			f := watch(t, r, sidecars, upstreams, pushed, disco, rate)
			begun := len(disco.Calls())
			drained := f.names[:upstreams/4]
			var due, drainedAt time.Time
			switch how {
			case "pushed":
				disco.Down(true)
				settled(time.Now().Add(3100 * time.Millisecond))
				disco.Drain(drained...)
				drainedAt = time.Now()
				disco.Down(false)
				due = time.Now()
			case "down":
				disco.Down(true)
				settled(time.Now().Add(10 * time.Second)) // so long that waits have grown to their most
				disco.Drain(drained...)
				drainedAt = time.Now()
				disco.Down(false)
				due = time.Now().Add(6 * time.Second)
			default:
				disco.DelayAnswers(900 * time.Millisecond)
				disco.Break()
				settled(time.Now().Add(1600*time.Millisecond + time.Duration(sidecars)*3*time.Millisecond)) // each calls again after 0.5 to 1.5 s, or 2.6 s
				disco.DelayAnswers(0)
				disco.Mute()
				due = time.Now().Add(6 * time.Second)
				settled(time.Now().Add(600 * time.Millisecond))
				disco.Drain(drained...)
				drainedAt = time.Now()
			}
			all := f.current(t, 30*time.Second)
			settled(due.Add(time.Second))
			worst, n := f.late(drained, due, ruleGrace+readSlack)
			calls := disco.Calls()[begun:]
			most := 0
			for i := range calls {
				j := i
				for j < len(calls) && calls[j].Sub(calls[i]) < time.Second {
					j++
				}
				most = max(most, j-i)
			}
			record := map[string]any{"sidecars": sidecars, "upstreams": upstreams, "how": how, "late": n, "worst_ms": worst.Milliseconds(),
				"all_have_the_news_ms": all.Sub(drainedAt).Milliseconds(), "due_ms": due.Sub(drainedAt).Milliseconds(), "calls": len(calls), "calls_in_a_second": most,
				"served": f.served.Load(), "failed": f.failed.Load()}
			line, _ := json.Marshal(record)
			t.Logf("%s", line)
			if n > 0 {
				t.Errorf("%d requests went to upstreams announced as leaving, the last %v after that counted as told", n, worst)
			}
			if f.served.Load() == 0 || f.failed.Load() > f.served.Load()/100 {
				t.Errorf("%d served, %d not", f.served.Load(), f.failed.Load())
			}
		})
	}
}

// Guards against a bound on lists, and against what grows with them: a daemon follows 1,024 upstreams by a list that comes indented or
// not, within the limits of its file, and is ready in time. What it holds is logged: resident memory, threads, descriptors.
func TestListsOfAnySize(t *testing.T) {
	for _, n := range []int{10, 100, 300, 1024} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := New(t, 1)
			disco := fakes.NewDiscovery()
			disco.Indent = n == 1024
			begun := time.Now()
			f := watch(t, r, 1, n, false, disco, 200)
			up := time.Since(begun)
			for end := time.Now().Add(Patience); f.served.Load() < 200 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			pid := f.daemons[0].current().cmd.Process.Pid
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
			if err != nil {
				t.Skip("no /proc here")
			}
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err != nil {
				t.Fatal(err)
			}
			held := map[string]int{}
			for _, line := range strings.Split(string(status), "\n") {
				if f := strings.Fields(line); len(f) > 1 {
					held[f[0]], _ = strconv.Atoi(f[1])
				}
			}
			t.Logf("%d upstreams: ready and told all in %v, %d MB, %d threads, %d descriptors", n, up.Round(time.Millisecond), held["VmRSS:"]>>10,
				held["Threads:"], len(open))
			if held["VmHWM:"]>>10 > 64 || len(open) > 512 {
				t.Errorf("at most %d MB and %d descriptors: its file says 64 and 512", held["VmHWM:"]>>10, len(open))
			}
			if f.failed.Load() > 0 {
				t.Errorf("%d served, %d not", f.served.Load(), f.failed.Load())
			}
		})
	}
}
