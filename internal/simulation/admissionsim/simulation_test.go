package admissionsim

import (
	"fmt"
	"testing"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

var classes = []balancer.Class{{Name: "search", LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1, LateValueFraction: 0.3}}

const (
	nodeCount       = 24
	meanServiceTime = 20 * time.Millisecond
	capacity        = 1200 // requests per second: nodeCount / meanServiceTime
)

func play(t *testing.T, seconds int, clients []Client, slowdown func(time.Duration) float64, control AdmissionControl) *Result {
	t.Helper()
	r, err := Play(Run{Nodes: nodeCount, Classes: classes, Clients: clients, Slowdown: slowdown, Length: time.Duration(seconds) * time.Second, Seed: 5,
		Settings: balancer.Settings{MaxAttempts: 3, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second,
			ConnectTimeout: time.Second, Tick: time.Millisecond}}, control)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func newAdmissionQueue(configure func(*admission.Options)) *admission.Queue {
	options := admission.Default()
	if configure != nil {
		configure(&options)
	}
	return admission.New(options, classes, 5)
}

// quietClients returns n clients that send rate requests per second each and honor Retry-After.
func quietClients(n int, rate float64) (clients []Client) {
	for i := range n {
		clients = append(clients, Client{Group: fmt.Sprint("quiet-", i), Class: "search", MeanServiceTime: meanServiceTime, Rate: rate, MaxAttempts: 3, HonorsRetryAfter: true})
	}
	return clients
}

// shareWithinObjective returns the fraction of the clients' requests that was answered within the latency objective.
func shareWithinObjective(clients []ClientResult) float64 {
	within, first := 0, 0
	for _, c := range clients {
		within, first = within+c.WithinObjective, first+c.FirstRequests
	}
	return float64(within) / float64(max(1, first))
}

// goodput returns the mean number of answers within the latency objective per second, between two seconds of the run.
func (r *Result) goodput(from, to int) (sum float64) {
	for _, c := range r.Clients {
		for _, v := range c.WithinObjectiveByInterval[from:to] {
			sum += v
		}
	}
	return sum / float64(to-from)
}

// TestQuietClientsBesideFlood guards against one client that starves the others by its rate, its flows, its retries or wrong
// cost hints. Beside this client the others have to get at least 0.98 of the answers within the latency objective that they
// get without it. With a FIFO queue they get far less, which shows that the flood is strong enough.
func TestQuietClientsBesideFlood(t *testing.T) {
	const n = 20
	flood := Client{Group: "script", Class: "search", MeanServiceTime: meanServiceTime, Rate: 50 * capacity / (n + 1), ClosedLoops: 200, MaxAttempts: 3}
	variant := func(configure func(*Client)) Client {
		client := flood
		configure(&client)
		return client
	}
	alone := shareWithinObjective(play(t, 10, quietClients(n, 20), nil, newAdmissionQueue(nil)).Clients[:n])
	if alone < 0.97 {
		t.Fatalf("quiet clients alone got a fraction of %.3f of their answers within the objective, want at least 0.97", alone)
	}
	for name, client := range map[string]Client{
		"one flow":                      flood,
		"a flow per attempt":            variant(func(client *Client) { client.FlowPerRequest = true }),
		"30 attempts per request":       variant(func(client *Client) { client.MaxAttempts = 30 }),
		"hints a hundredth of the cost": variant(func(client *Client) { client.HintFactor = 0.01 }),
		"triple service time":           variant(func(client *Client) { client.MeanServiceTime, client.Rate = 3*meanServiceTime, client.Rate/3 }),
		"honors Retry-After":            variant(func(client *Client) { client.HonorsRetryAfter, client.MaxAttempts = true, 10 }),
	} {
		t.Run(name, func(t *testing.T) {
			result := play(t, 10, append(quietClients(n, 20), client), nil, newAdmissionQueue(nil))
			if got := shareWithinObjective(result.Clients[:n]); got < 0.98*alone {
				t.Errorf("quiet clients got a fraction of %.3f of their answers within the objective beside the flood, and %.3f alone; want at least 0.98 of the latter", got, alone)
			}
		})
	}
	fifo := play(t, 10, append(quietClients(n, 20), flood), nil, NewQueue(NewFIFO(), Fixed(2*nodeCount), 256))
	if got := shareWithinObjective(fifo.Clients[:n]); got > 0.5 {
		t.Errorf("behind a FIFO queue the quiet clients got a fraction of %.3f of their answers within the objective, want at most 0.5; the flood is too weak", got)
	}
}

// TestFairShares checks that clients with equal demand above the capacity get equal shares, and that retries at their
// reserved time are served. It also checks that the shares follow a weight that changes under load.
func TestFairShares(t *testing.T) {
	const n = 10
	r := play(t, 10, quietClients(n, 240), nil, newAdmissionQueue(nil))
	var got []float64
	returns, served := 0, 0
	for _, c := range r.Clients {
		got = append(got, float64(c.WithinObjective))
		returns, served = returns+c.ReservedReturns, served+c.ReservedServed
	}
	if index := Jain(got); index < 0.98 {
		t.Errorf("Jain's fairness index is %.3f for answers by client %v, want at least 0.98", index, got)
	}
	if returns < 1000 || float64(served) < 0.9*float64(returns) {
		t.Errorf("%d of %d retries at their reserved time were served, want at least 1000 retries, of which at least 0.9 are served", served, returns)
	}
	r = play(t, 10, quietClients(n, 240), nil, &reweighedQueue{Queue: newAdmissionQueue(nil), at: origin + 5*time.Second})
	ratio := func(from, to int) float64 {
		first, others := 0.0, 0.0
		for i, c := range r.Clients {
			for _, v := range c.WithinObjectiveByInterval[from:to] {
				if i == 0 {
					first += v
				} else {
					others += v / (n - 1)
				}
			}
		}
		return first / others
	}
	if before, after := ratio(1, 5), ratio(6, 10); before < 0.9 || before > 1.1 || after < 1.7 || after > 2.3 {
		t.Errorf("the first client got %.2f times the answers of another client before its weight was doubled and %.2f times afterwards, want about 1 and 2", before, after)
	}
}

// reweighedQueue doubles the first client's weight when a request first arrives at or after the time in its field at.
type reweighedQueue struct {
	*admission.Queue
	at   time.Duration
	done bool
}

func (q *reweighedQueue) Arrive(now time.Duration, a admission.Arrival, actions []admission.Action) (admission.Ticket, []admission.Action) {
	if now >= q.at && !q.done {
		o := admission.Default()
		o.Weights = []admission.Weight{{Name: "quiet-0", Weight: 2}}
		q.Configure(now, o)
		q.done = true
	}
	return q.Queue.Arrive(now, a, actions)
}

// TestUpstreamsSlowDownEightfold guards against a concurrency limit that collapses while all nodes are eight times slower.
// The remaining capacity has to be used, and goodput has to recover within two seconds after the slowdown.
func TestUpstreamsSlowDownEightfold(t *testing.T) {
	slowdown := func(at time.Duration) float64 {
		if at >= 8*time.Second && at < 16*time.Second {
			return 8
		}
		return 1
	}
	r := play(t, 24, quietClients(10, 240), slowdown, newAdmissionQueue(nil))
	before, during, after := r.goodput(3, 8), r.goodput(11, 16), r.goodput(18, 24)
	if inFlight := r.InFlightByInterval[6]; inFlight < nodeCount || inFlight > 5*nodeCount { // the limit has found the base latency although the run started under load
		t.Errorf("%.0f requests in flight before the slowdown, want one to five per node for 24 nodes", inFlight)
	}
	t.Logf("goodput per second: %.0f before the slowdown, %.0f during it, %.0f from two seconds after it", before, during, after)
	if before < 850 || during < 0.3*capacity/8 || after < 0.9*before {
		t.Errorf("goodput per second: %.0f before the slowdown, %.0f during it, %.0f from two seconds after it; want at least 850, 45 and 0.9 of the value before", before, during, after)
	}
}

// TestRetryStorm guards against clients that keep a service overloaded by retrying at once. The clients mark their retries.
// Goodput has to recover within a second after the storm, and a retry budget has to lower the ratio of admitted retries to
// admitted first attempts.
func TestRetryStorm(t *testing.T) {
	clients := quietClients(20, 42)
	for i := range clients {
		clients[i].HonorsRetryAfter, clients[i].MarksRetries, clients[i].MaxAttempts = false, true, 8
		storm := clients[i]
		storm.Rate, storm.From, storm.To = 138, 5*time.Second, 12*time.Second
		clients = append(clients, storm)
	}
	retriesAdmitted := func(budget float64) float64 {
		r := play(t, 18, clients, nil, newAdmissionQueue(func(o *admission.Options) { o.RetryRatio = budget }))
		if before, during, after := r.goodput(1, 5), r.goodput(6, 12), r.goodput(13, 18); during < before || after < 0.95*before {
			t.Errorf("goodput per second: %.0f before the storm, %.0f during it, %.0f from one second after it; want at least the value before during the storm, and 0.95 of it afterwards", before, during, after)
		}
		first, retries := 0, 0
		for _, c := range r.Clients {
			first, retries = first+c.AdmittedFirst, retries+c.AdmittedRetries
		}
		return float64(retries) / float64(first)
	}
	if with, without := retriesAdmitted(0.05), retriesAdmitted(100); with > 0.8*without {
		t.Errorf("admitted retries per admitted first attempt: %.3f with a retry budget of 0.05, %.3f without; want at most 0.8 of the latter", with, without)
	}
}

// TestReturnsAreSpread guards against a burst of retries. A thousand clients are rejected at the same moment and honor
// Retry-After. Their retries have to be spread over time and served.
func TestReturnsAreSpread(t *testing.T) {
	clients := []Client{{Group: "quiet", Class: "search", MeanServiceTime: meanServiceTime, Rate: 500}}
	for i := range 1000 {
		clients = append(clients, Client{Group: fmt.Sprint(i), Class: "search", MeanServiceTime: meanServiceTime, Rate: 1e6, From: 3 * time.Second,
			To: 3*time.Second + 2*time.Microsecond, MaxAttempts: 3, HonorsRetryAfter: true})
	}
	r := play(t, 10, clients, nil, newAdmissionQueue(func(o *admission.Options) { o.MaxQueued, o.MaxRetryAfter = 100, 5*time.Second }))
	first, returns, served := 0, 0, 0
	for _, c := range r.Clients[1:] {
		first, returns, served = first+c.FirstRequests, returns+c.ReservedReturns, served+c.ReservedServed
	}
	if first < 1000 || returns < first/3 || float64(served) < 0.9*float64(returns) {
		t.Errorf("of %d requests at the same moment %d were retried at their reserved time, and %d of these retries were served; want at least 1000 requests, a third of them retried and 0.9 of the retries served", first, returns, served)
	}
}
