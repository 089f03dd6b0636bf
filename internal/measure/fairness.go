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

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/simulation/admissionsim"
)

// The load of Counters: nodes that do 400 requests a second, 20 counters that ask for 0.4 of it together, and a script that
// asks for 50 times a 21st of it.
const (
	fairnessNodes       = 8
	fairnessServiceTime = 20 * time.Millisecond
	tenantRate          = 8.0 // of a counter, a second
	fairnessObjective   = 400 * time.Millisecond
	fairnessPeriod      = 12 * time.Second
	floodRate           = 50 * 400.0 / 21
	fairnessRetryAfter  = 3 * time.Second // the service's retry_after
)

// clientCounts are the answers that one kind of client got.
type clientCounts struct {
	mu            sync.Mutex
	requests      int
	inTime        int // answered within fairnessObjective
	returned      int // retries at the reserved time
	returnsServed int
	inTimeByName  map[string]int
	latencies     []time.Duration // of all that were answered
}

func (t *clientCounts) note(name string, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if ok {
		t.latencies = append(t.latencies, took)
		if took <= fairnessObjective {
			t.inTime++
			t.inTimeByName[name]++
		}
	}
}

// noteReturn counts a client that came back at its reserved time.
func (t *clientCounts) noteReturn(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returned++
	if served {
		t.returnsServed++
	}
}

func (t *clientCounts) share() float64 { return float64(t.inTime) / float64(max(1, t.requests)) }

// TenantFairness prints the answers that 20 tenants get beside a flooding script through a daemon process: with a fair admission queue, with
// one queue for all clients, and without admission control, in turn.
func TenantFairness(o Options) error {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "door\tcounters in time\tof alone\tp50 ms\tp99 ms\tscript's answers in time a second\tJain, 20 x 2.5 times their share\tcame when promised\tof them served\tmost resident\tCPU of a core\t")
	var alone float64
	for _, kind := range []string{"alone", "fair, alone", "none", "one queue", "fair"} {
		var all []fairnessFigures
		for range min(3, o.Rounds) {
			s, err := fairnessRound(kind)
			if err != nil {
				return err
			}
			all = append(all, s)
		}
		pick := func(of func(fairnessFigures) float64) float64 { return medianBy(all, of) }
		in := pick(func(s fairnessFigures) float64 { return s.in })
		if kind == "alone" {
			alone = in
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.3f\t%s\t%.2f\t\n", kind, in, admissionsim.RelativeTo(in, alone),
			pick(func(s fairnessFigures) float64 { return s.p50 }), pick(func(s fairnessFigures) float64 { return s.p99 }), pick(func(s fairnessFigures) float64 { return s.script }),
			pick(func(s fairnessFigures) float64 { return s.jain }), pick(func(s fairnessFigures) float64 { return float64(s.returned) }),
			pick(func(s fairnessFigures) float64 { return float64(s.returnsServed) / float64(max(1, s.returned)) }), all[len(all)-1].resident,
			pick(func(s fairnessFigures) float64 { return s.cpu }))
	}
	return w.Flush()
}

type fairnessFigures struct {
	in, p50, p99, script, jain, cpu float64
	returned, returnsServed         int
	resident                        string
}

func fairnessRound(kind string) (s fairnessFigures, err error) {
	dir, err := os.MkdirTemp("", "orchiddrift-measure-")
	if err != nil {
		return s, err
	}
	defer os.RemoveAll(dir)
	var addresses []string
	nodes, err := startChild(childRole{Part: "floornodes", Nodes: fairnessNodes, Work: fairnessServiceTime}, &addresses)
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, nodes.stop()) }()
	list := filepath.Join(dir, "list.json")
	if err := writeList(list, addresses); err != nil {
		return s, err
	}
	var address string
	d, err := startChild(childRole{Part: "floordaemon", Dir: list, Policy: kind}, &address)
	if err != nil {
		return s, err
	}
	defer func() { err = errors.Join(err, d.stop()) }()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 600}}
	defer client.CloseIdleConnections()

	counters, script := &clientCounts{inTimeByName: map[string]int{}}, &clientCounts{inTimeByName: map[string]int{}}
	before, err := d.used()
	if err != nil {
		return s, err
	}
	target := fairnessTarget{client, address}
	var flood *clientCounts
	if !strings.Contains(kind, "alone") {
		flood = script
	}
	target.play(tenantRate, counters, flood, false)
	after, err := d.used()
	if err != nil {
		return s, err
	}
	equal := &clientCounts{inTimeByName: map[string]int{}}
	target.play(excessTenantRate, equal, nil, true)
	var each []float64
	for i := range tenantCount {
		each = append(each, float64(equal.inTimeByName[fmt.Sprint("counter-", i)]))
	}
	peak, _ := d.memory()
	sorted := slices.Sorted(slices.Values(counters.latencies))
	ms := func(q float64) float64 { return sortedQuantile(sorted, q).Seconds() * 1e3 }
	s = fairnessFigures{in: counters.share(), p50: ms(0.5), p99: ms(0.99), script: float64(script.inTime) / fairnessPeriod.Seconds(),
		jain: admissionsim.Jain(each), returned: equal.returned, returnsServed: equal.returnsServed, resident: peak,
		cpu: (after.CPU - before.CPU).Seconds() / fairnessPeriod.Seconds()}
	return s, nil
}

// fairnessTarget is the daemon that clients send to.
type fairnessTarget struct {
	client  *http.Client
	address string
}

// excessTenantRate is the rate of each tenant, in requests per second, where all ask for 2.5 times their share.
const excessTenantRate = 50

// play runs 20 tenants for fairnessPeriod, each at rate, and beside them a flooding script if flood is not nil.
func (t fairnessTarget) play(rate float64, tenants, flood *clientCounts, obey bool) {
	ctx, cancel := context.WithTimeout(context.Background(), fairnessPeriod)
	defer cancel()
	var clients sync.WaitGroup
	for i := range tenantCount {
		c := openLoopClient{fairnessTarget: t, name: fmt.Sprint("counter-", i), rate: rate, seed: uint64(i), maxInFlight: 64, counts: tenants, obey: obey}
		clients.Go(func() { c.run(ctx) })
	}
	if flood != nil {
		c := openLoopClient{fairnessTarget: t, name: "script", rate: floodRate, seed: 99, maxInFlight: 400, counts: flood}
		clients.Go(func() { c.run(ctx) })
	}
	clients.Wait()
}

// openLoopClient sends requests at a rate, independent of the answers. A request that is due while maxInFlight are in flight counts as
// sent and not answered. With obey it retries once, after the Retry-After of the answer.
type openLoopClient struct {
	fairnessTarget
	name        string
	rate        float64 // requests per second
	seed        uint64
	maxInFlight int
	counts      *clientCounts
	obey        bool
}

func (c openLoopClient) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.seed, 4))
	busy := make(chan struct{}, c.maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		intended := next
		select {
		case busy <- struct{}{}:
		default:
			c.counts.note(c.name, 0, false)
			continue
		}
		path := fmt.Sprint("/", c.name, "/", n)
		wg.Go(func() {
			defer func() { <-busy }()
			c.request(ctx, path, intended)
		})
	}
}

// request sends a request that was due at intended, and the retry if there is one.
func (c openLoopClient) request(ctx context.Context, path string, intended time.Time) {
	status, retryAfter := c.send(ctx, path, c.name)
	c.counts.note(c.name, time.Since(intended), status == http.StatusOK)
	if !c.obey || status != http.StatusServiceUnavailable || retryAfter <= 0 {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(retryAfter):
	}
	if status, _ = c.send(ctx, path, c.name); ctx.Err() == nil && retryAfter <= fairnessRetryAfter*3/4 {
		c.counts.noteReturn(status == http.StatusOK)
	}
}

// send returns the status and the Retry-After of the answer; 0 and 0 where there was none.
func (t fairnessTarget) send(ctx context.Context, path, tenant string) (status int, retryAfter time.Duration) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+path, nil)
	if err != nil {
		return 0, 0
	}
	req.Header.Set("X-Tenant-Id", tenant)
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status is all that counts
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// serveFairnessNodes are nodes that work on one request at a time.
func (r childRole) serveFairnessNodes() error {
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
	return answerUsage(addresses)
}

// serveFairnessDaemon runs a daemon with the admission queue that Policy names.
func (r childRole) serveFairnessDaemon() error {
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
`, r.Dir, fairnessRetryAfter, fairnessObjective)
	switch r.Policy {
	case "fair", "fair, alone":
		text = append(text, "[[door]]\nservice = \"seats\"\nbytes = \"2MiB\"\nprincipals = 2048\n"...)
	case "one queue":
		text = append(text, "[[door]]\nservice = \"seats\"\nby = [\"header:X-Nobody\"]\n"...)
	}
	return serveDaemonFile(text)
}
