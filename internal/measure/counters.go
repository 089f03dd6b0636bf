package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/simulation/admissionsim"
)

// The load of Counters: nodes that do 400 requests a second, 20 counters that ask for 0.4 of it together, and a script that
// asks for 50 times a 21st of it.
const (
	floorNodes  = 8
	floorWork   = 20 * time.Millisecond
	floorRate   = 8.0 // of a counter, a second
	floorAim    = 400 * time.Millisecond
	floorPeriod = 12 * time.Second
	floorFlood  = 50 * 400.0 / 21
	floorRetry  = 3 * time.Second // the service's retry_after
)

// tally is what one kind of client saw.
type tally struct {
	mu         sync.Mutex
	asked, in  int
	told, kept int
	byName     map[string]int
	took       []time.Duration
}

func (t *tally) note(name string, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if ok {
		t.took = append(t.took, took)
		if took <= floorAim {
			t.in++
			t.byName[name]++
		}
	}
}

func (t *tally) share() float64 { return float64(t.in) / float64(max(1, t.asked)) }

// Counters prints, on sockets through the daemon, what 20 counters get beside a script that floods: with a door, behind one
// queue (a door that takes everybody for one), and with none, in turn.
func Counters(o Options) error {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "door\tcounters in time\tof alone\tp50 ms\tp99 ms\tscript's answers in time a second\tJain, 20 x 2.5 times their share\tcame when promised\tof them served\tmost resident\tCPU of a core\t")
	var alone float64
	for _, kind := range []string{"alone", "fair, alone", "none", "one queue", "fair"} {
		var all []countersSeen
		for range min(3, o.Rounds) {
			s, err := countersRound(kind)
			if err != nil {
				return err
			}
			all = append(all, s)
		}
		pick := func(of func(countersSeen) float64) float64 { return medianBy(all, of) }
		in := pick(func(s countersSeen) float64 { return s.in })
		if kind == "alone" {
			alone = in
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.3f\t%s\t%.2f\t\n", kind, in, admissionsim.RelativeTo(in, alone),
			pick(func(s countersSeen) float64 { return s.p50 }), pick(func(s countersSeen) float64 { return s.p99 }), pick(func(s countersSeen) float64 { return s.script }),
			pick(func(s countersSeen) float64 { return s.jain }), pick(func(s countersSeen) float64 { return float64(s.told) }),
			pick(func(s countersSeen) float64 { return float64(s.kept) / float64(max(1, s.told)) }), all[len(all)-1].resident,
			pick(func(s countersSeen) float64 { return s.cpu }))
	}
	return w.Flush()
}

type countersSeen struct {
	in, p50, p99, script, jain, cpu float64
	told, kept                      int
	resident                        string
}

func countersRound(kind string) (s countersSeen, err error) {
	dir, err := os.MkdirTemp("", "orchiddrift-measure-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	var addresses []string
	nodes, err := start(role{Part: "floornodes", Nodes: floorNodes, Work: floorWork}, &addresses)
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, nodes.stop()) }()
	list := filepath.Join(dir, "list.json")
	if err := writeList(list, addresses); err != nil {
		return s, err
	}
	var address string
	d, err := start(role{Part: "floordaemon", Dir: list, Policy: kind}, &address)
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, d.stop()) }()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 600}}
	defer client.CloseIdleConnections()

	counters, script := &tally{byName: map[string]int{}}, &tally{byName: map[string]int{}}
	before, err := d.used()
	if err != nil {
		return s, err
	}
	floor := func(period time.Duration, rate float64, of *tally, obey bool) {
		ctx, cancel := context.WithTimeout(context.Background(), period)
		defer cancel()
		var g errgroup.Group
		for i := range 20 {
			g.Go(func() error {
				openLoop(ctx, client, address, fmt.Sprint("counter-", i), rate, uint64(i), 64, of, obey)
				return nil
			})
		}
		if !strings.Contains(kind, "alone") && !obey {
			g.Go(func() error { openLoop(ctx, client, address, "script", floorFlood, 99, 400, script, false); return nil })
		}
		_ = g.Wait() // nothing fails: what a client sees is counted
	}
	floor(floorPeriod, floorRate, counters, false)
	after, err := d.used()
	if err != nil {
		return s, err
	}
	equal := &tally{byName: map[string]int{}}
	floor(floorPeriod, 50, equal, true)
	var each []float64
	for i := range 20 {
		each = append(each, float64(equal.byName[fmt.Sprint("counter-", i)]))
	}
	peak, _ := d.memory()
	sorted := slices.Sorted(slices.Values(counters.took))
	ms := func(q float64) float64 { return quantile(sorted, q).Seconds() * 1e3 }
	s = countersSeen{in: counters.share(), p50: ms(0.5), p99: ms(0.99), script: float64(script.in) / floorPeriod.Seconds(),
		jain: admissionsim.Jain(each), told: equal.told, kept: equal.kept, resident: peak,
		cpu: (after.CPU - before.CPU).Seconds() / floorPeriod.Seconds()}
	return s, nil
}

// openLoop asks at a rate whatever becomes of it, with so many at once at most: what comes while all are busy counts as
// asked, and as not answered. With obey it comes back, once, when it is told.
func openLoop(ctx context.Context, client *http.Client, address, name string, rate float64, seed uint64, most int, t *tally, obey bool) {
	rng := rand.New(rand.NewPCG(seed, 4))
	busy := make(chan struct{}, most)
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		intended := next
		select {
		case busy <- struct{}{}:
		default:
			t.note(name, 0, false)
			continue
		}
		path := fmt.Sprint("/", name, "/", n)
		wg.Go(func() {
			defer func() { <-busy }()
			status, in := askFloor(ctx, client, address, path, name)
			t.note(name, time.Since(intended), status == http.StatusOK)
			if !obey || status != http.StatusServiceUnavailable || in <= 0 {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(in):
			}
			if status, _ = askFloor(ctx, client, address, path, name); ctx.Err() == nil && in <= floorRetry*3/4 {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.told++
				if status == http.StatusOK {
					t.kept++
				}
			}
		})
	}
}

func askFloor(ctx context.Context, client *http.Client, address, path, name string) (status int, in time.Duration) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, 0
	}
	req.Header.Set("X-Tenant-Id", name)
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status is all that counts
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// serveFloorNodes are nodes that work on one request at a time.
func (r role) serveFloorNodes() error {
	var addresses []string
	ledger := fakes.NewLedger()
	ledger.CountOnly = true
	for i := range r.Nodes {
		n := fakes.NewNode(fakes.NodeOptions{Name: fmt.Sprint("n", i), Cores: 1, DefaultServiceTime: r.Work, Ledger: ledger, Seed: uint64(i)})
		defer n.Close()
		address, err := n.ListenHTTP("127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	return attend(addresses)
}

// serveFloorDaemon is a daemon with the door that Policy names.
func (r role) serveFloorDaemon() error {
	text := fmt.Appendf(nil, `
[daemon]
seed = "7"
[log]
level = "error"
[limits]
memory = "32MiB"
descriptors = 1600
[[service]]
name = "seats"
list_file = %q
retry_after = "%v"
[[service.class]]
name = "read"
effect = "safe"
aim = "%v"
deadline = "1s"
[[route]]
match = "GET /"
class = "read"
tenant = "header:X-Tenant-Id"
`, r.Dir, floorRetry, floorAim)
	switch r.Policy {
	case "fair", "fair, alone":
		text = append(text, "[[door]]\nservice = \"seats\"\nbytes = \"2MiB\"\nprincipals = 2048\n"...)
	case "one queue":
		text = append(text, "[[door]]\nservice = \"seats\"\nby = [\"header:X-Nobody\"]\n"...)
	}
	return attendFile(text)
}
