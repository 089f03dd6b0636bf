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

// The load of TenantFairness. The nodes have a capacity of 400 requests per second. The 20 tenants together send 0.4 of the capacity. A flooding
// client sends 50 times its equal share, which is a 21st of the capacity.
const (
	fairnessNodes       = 8
	fairnessServiceTime = 20 * time.Millisecond
	tenantRate          = 8.0 // requests per second of each tenant
	fairnessObjective   = 400 * time.Millisecond
	fairnessPeriod      = 12 * time.Second
	floodRate           = 50 * 400.0 / 21
	fairnessRetryAfter  = 3 * time.Second // value of the service's setting retry_after
)

// clientCounts counts the requests of the clients of one kind, and the answers to these requests.
type clientCounts struct {
	mu            sync.Mutex
	requests      int
	inTime        int // number of requests answered within fairnessObjective
	returned      int // number of retries at the reserved time
	returnsServed int
	inTimeByName  map[string]int
	latencies     []time.Duration // latencies of the requests that were answered with status 200
}

// record counts a request. took is its latency, and ok reports whether it was answered with status 200.
func (t *clientCounts) record(name string, took time.Duration, ok bool) {
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

// recordReturn counts a client that retried at its reserved time.
func (t *clientCounts) recordReturn(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returned++
	if served {
		t.returnsServed++
	}
}

// fractionInTime returns the fraction of the requests that were answered within fairnessObjective.
func (t *clientCounts) fractionInTime() float64 {
	return float64(t.inTime) / float64(max(1, t.requests))
}

// TenantFairness prints the answers that 20 tenants get through a daemon process while a client floods the daemon. It compares three variants,
// which take turns: a fair admission queue, one queue for all clients, and no admission control.
func TenantFairness(o Options) error {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "door\tcounters in time\tof alone\tp50 ms\tp99 ms\tscript's answers in time a second\tJain, 20 x 2.5 times their share\tcame when promised\tof them served\tmost resident\tCPU of a core\t")
	var alone float64
	for _, kind := range []string{"alone", "fair, alone", "none", "one queue", "fair"} {
		var rounds []fairnessFigures
		for range min(3, o.Rounds) {
			s, err := fairnessRound(kind)
			if err != nil {
				return err
			}
			rounds = append(rounds, s)
		}
		pick := func(of func(fairnessFigures) float64) float64 { return medianBy(rounds, of) }
		tenantsInTime := pick(func(s fairnessFigures) float64 { return s.tenantsInTime })
		if kind == "alone" {
			alone = tenantsInTime
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%.3f\t%.0f\t%.3f\t%s\t%.2f\t\n", kind, tenantsInTime, admissionsim.RelativeTo(tenantsInTime, alone),
			pick(func(s fairnessFigures) float64 { return s.p50 }), pick(func(s fairnessFigures) float64 { return s.p99 }), pick(func(s fairnessFigures) float64 { return s.floodAnswers }),
			pick(func(s fairnessFigures) float64 { return s.jain }), pick(func(s fairnessFigures) float64 { return float64(s.returned) }),
			pick(func(s fairnessFigures) float64 { return float64(s.returnsServed) / float64(max(1, s.returned)) }), rounds[len(rounds)-1].resident,
			pick(func(s fairnessFigures) float64 { return s.cpu }))
	}
	return w.Flush()
}

// fairnessFigures are the figures of a round. The latencies are in milliseconds. floodAnswers is the number of the flooding client's answers in
// time per second. cpu is the fraction of a core that the daemon used.
type fairnessFigures struct {
	tenantsInTime, p50, p99, floodAnswers, jain, cpu float64
	returned, returnsServed                          int
	resident                                         string
}

// fairnessRound measures the daemon with the admission queue that kind names. If kind contains "alone", there is no flooding client.
func fairnessRound(kind string) (result fairnessFigures, err error) {
	dir, err := os.MkdirTemp("", "orchiddrift-measure-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(dir)
	var addresses []string
	nodes, err := startChild(childRole{Part: "floornodes", Nodes: fairnessNodes, Work: fairnessServiceTime}, &addresses)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, nodes.stop()) }()
	list := filepath.Join(dir, "list.json")
	if err := writeList(list, addresses); err != nil {
		return result, err
	}
	var address string
	proxy, err := startChild(childRole{Part: "floordaemon", Dir: list, Policy: kind}, &address)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, proxy.stop()) }()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 600}}
	defer client.CloseIdleConnections()

	tenants, floodAnswers := &clientCounts{inTimeByName: map[string]int{}}, &clientCounts{inTimeByName: map[string]int{}}
	before, err := proxy.used()
	if err != nil {
		return result, err
	}
	target := fairnessTarget{client, address}
	var flood *clientCounts
	if !strings.Contains(kind, "alone") {
		flood = floodAnswers
	}
	target.applyLoad(tenantRate, tenants, flood, false)
	after, err := proxy.used()
	if err != nil {
		return result, err
	}
	excess := &clientCounts{inTimeByName: map[string]int{}}
	target.applyLoad(excessTenantRate, excess, nil, true)
	var inTimeCounts []float64
	for i := range tenantCount {
		inTimeCounts = append(inTimeCounts, float64(excess.inTimeByName[fmt.Sprint("counter-", i)]))
	}
	peak, _ := proxy.memory()
	sorted := slices.Sorted(slices.Values(tenants.latencies))
	ms := func(q float64) float64 { return sortedQuantile(sorted, q).Seconds() * 1e3 }
	result = fairnessFigures{tenantsInTime: tenants.fractionInTime(), p50: ms(0.5), p99: ms(0.99), floodAnswers: float64(floodAnswers.inTime) / fairnessPeriod.Seconds(),
		jain: admissionsim.Jain(inTimeCounts), returned: excess.returned, returnsServed: excess.returnsServed, resident: peak,
		cpu: (after.CPU - before.CPU).Seconds() / fairnessPeriod.Seconds()}
	return result, nil
}

// fairnessTarget is the daemon to which the clients send requests.
type fairnessTarget struct {
	client  *http.Client
	address string
}

// excessTenantRate is the rate of each tenant, in requests per second, when each tenant requests 2.5 times its equal share.
const excessTenantRate = 50

// applyLoad runs 20 tenants for fairnessPeriod, each of them at the given rate. If flood is not nil, a flooding client runs at the same time.
func (t fairnessTarget) applyLoad(rate float64, tenants, flood *clientCounts, honorsRetryAfter bool) {
	ctx, cancel := context.WithTimeout(context.Background(), fairnessPeriod)
	defer cancel()
	var clients sync.WaitGroup
	for i := range tenantCount {
		c := openLoopClient{fairnessTarget: t, name: fmt.Sprint("counter-", i), rate: rate, seed: uint64(i), maxInFlight: 64, counts: tenants, honorsRetryAfter: honorsRetryAfter}
		clients.Go(func() { c.run(ctx) })
	}
	if flood != nil {
		c := openLoopClient{fairnessTarget: t, name: "script", rate: floodRate, seed: 99, maxInFlight: 400, counts: flood}
		clients.Go(func() { c.run(ctx) })
	}
	clients.Wait()
}

// openLoopClient sends requests at a rate that does not depend on the answers. If maxInFlight requests are in flight when a request is due, this
// request counts as sent and not answered. If honorsRetryAfter is set, the client retries a rejected request once, after the Retry-After of the
// answer.
type openLoopClient struct {
	fairnessTarget
	name             string
	rate             float64 // requests per second
	seed             uint64
	maxInFlight      int
	counts           *clientCounts
	honorsRetryAfter bool
}

func (c openLoopClient) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.seed, 4))
	inFlight := make(chan struct{}, c.maxInFlight)
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
		dueAt := next
		select {
		case inFlight <- struct{}{}:
		default:
			c.counts.record(c.name, 0, false)
			continue
		}
		path := fmt.Sprint("/", c.name, "/", n)
		wg.Go(func() {
			defer func() { <-inFlight }()
			c.request(ctx, path, dueAt)
		})
	}
}

// request sends a request that was due at dueAt. It retries the request if the client honors Retry-After.
func (c openLoopClient) request(ctx context.Context, path string, dueAt time.Time) {
	status, retryAfter := c.send(ctx, path, c.name)
	c.counts.record(c.name, time.Since(dueAt), status == http.StatusOK)
	if !c.honorsRetryAfter || status != http.StatusServiceUnavailable || retryAfter <= 0 {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(retryAfter):
	}
	if status, _ = c.send(ctx, path, c.name); ctx.Err() == nil && retryAfter <= fairnessRetryAfter*3/4 {
		c.counts.recordReturn(status == http.StatusOK)
	}
}

// send returns the status and the Retry-After of the answer. Both are 0 if there was no answer.
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
	_, _ = io.Copy(io.Discard, resp.Body) // only the status and the header are needed
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// serveFairnessNodes runs nodes that process one request at a time.
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

// serveFairnessDaemon runs a daemon with the admission queue that Policy names, or without an admission queue.
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
