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
	o := admission.Default()
	if configure != nil {
		configure(&o)
	}
	return admission.New(o, classes, 5)
}

// quietClients are n clients that send rate requests per second each, and come back as told.
func quietClients(n int, rate float64) (c []Client) {
	for i := range n {
		c = append(c, Client{Group: fmt.Sprint("quiet-", i), Class: "search", MeanServiceTime: meanServiceTime, Rate: rate, MaxAttempts: 3, HonorsRetryAfter: true})
	}
	return c
}

// shareWithinObjective is the fraction of the first requests of some clients that was answered within the objective.
func shareWithinObjective(clients []ClientResult) float64 {
	within, first := 0, 0
	for _, c := range clients {
		within, first = within+c.WithinObjective, first+c.FirstRequests
	}
	return float64(within) / float64(max(1, first))
}

// goodput is the mean number of answers within the objective per second, from one second to another.
func (r *Result) goodput(from, to int) (sum float64) {
	for _, c := range r.Clients {
		for _, v := range c.WithinObjectiveByInterval[from:to] {
			sum += v
		}
	}
	return sum / float64(to-from)
}

// Quiet clients beside a script that floods, in each of its shapes, get at least 0.98 of the answers within the objective
// that they get alone. Behind a FIFO queue they do not, which shows that the load does harm.
func TestQuietClientsBesideFlood(t *testing.T) {
	const n = 20
	script := Client{Group: "script", Class: "search", MeanServiceTime: meanServiceTime, Rate: 50 * capacity / (n + 1), ClosedLoops: 200, MaxAttempts: 3}
	shape := func(configure func(*Client)) Client {
		c := script
		configure(&c)
		return c
	}
	alone := shareWithinObjective(play(t, 10, quietClients(n, 20), nil, newAdmissionQueue(nil)).Clients[:n])
	if alone < 0.97 {
		t.Fatalf("alone %.3f", alone)
	}
	for name, c := range map[string]Client{
		"one name":           script,
		"a flow each time":   shape(func(c *Client) { c.FlowPerRequest = true }),
		"retries on and on":  shape(func(c *Client) { c.MaxAttempts = 30 }),
		"hints a hundredth":  shape(func(c *Client) { c.HintFactor = 0.01 }),
		"costs three times":  shape(func(c *Client) { c.MeanServiceTime, c.Rate = 3*meanServiceTime, c.Rate/3 }),
		"comes back as told": shape(func(c *Client) { c.HonorsRetryAfter, c.MaxAttempts = true, 10 }),
	} {
		t.Run(name, func(t *testing.T) {
			r := play(t, 10, append(quietClients(n, 20), c), nil, newAdmissionQueue(nil))
			if got := shareWithinObjective(r.Clients[:n]); got < 0.98*alone {
				t.Errorf("quiet clients get %.3f, alone %.3f", got, alone)
			}
		})
	}
	fifo := play(t, 10, append(quietClients(n, 20), script), nil, NewQueue(NewFIFO(), Fixed(2*nodeCount), 256))
	if got := shareWithinObjective(fifo.Clients[:n]); got > 0.5 {
		t.Errorf("behind a FIFO queue the quiet clients get %.3f: no flood", got)
	}
}

// Equal demand above capacity is shared equally, and by weight once a weight changes under load. Clients that come at
// their reserved time are served.
func TestFairShares(t *testing.T) {
	const n = 10
	r := play(t, 10, quietClients(n, 240), nil, newAdmissionQueue(nil))
	var got []float64
	returns, served := 0, 0
	for _, c := range r.Clients {
		got = append(got, float64(c.WithinObjective))
		returns, served = returns+c.ReservedReturns, served+c.ReservedServed
	}
	if j := Jain(got); j < 0.98 {
		t.Errorf("Jain's index %.3f of %v", j, got)
	}
	if returns < 1000 || float64(served) < 0.9*float64(returns) {
		t.Errorf("%d of %d that came at their reserved time were served", served, returns)
	}
	r = play(t, 10, quietClients(n, 240), nil, &reweighedQueue{Queue: newAdmissionQueue(nil), at: origin + 5*time.Second})
	ratio := func(from, to int) float64 {
		mine, others := 0.0, 0.0
		for i, c := range r.Clients {
			for _, v := range c.WithinObjectiveByInterval[from:to] {
				if i == 0 {
					mine += v
				} else {
					others += v / (n - 1)
				}
			}
		}
		return mine / others
	}
	if before, after := ratio(1, 5), ratio(6, 10); before < 0.9 || before > 1.1 || after < 1.7 || after > 2.3 {
		t.Errorf("one client gets %.2f of another before its weight is doubled, %.2f after", before, after)
	}
}

// reweighedQueue doubles the first client's weight at a time.
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

// All nodes are eight times slower for a while: the limit does not collapse, the remaining capacity is used, and the
// former goodput is back within two seconds.
func TestUpstreamsSlowDownEightfold(t *testing.T) {
	slowdown := func(at time.Duration) float64 {
		if at >= 8*time.Second && at < 16*time.Second {
			return 8
		}
		return 1
	}
	r := play(t, 24, quietClients(10, 240), slowdown, newAdmissionQueue(nil))
	before, during, after := r.goodput(3, 8), r.goodput(11, 16), r.goodput(18, 24)
	if inFlight := r.InFlightByInterval[6]; inFlight < nodeCount || inFlight > 5*nodeCount { // the base time is found at a start under load
		t.Errorf("%.0f in flight before", inFlight)
	}
	t.Logf("%.0f a second before, %.0f during, %.0f after two seconds", before, during, after)
	if before < 850 || during < 0.3*capacity/8 || after < 0.9*before {
		t.Errorf("%.0f a second before, %.0f during, %.0f after two seconds", before, during, after)
	}
}

// After a storm of clients that retry at once, and mark it, the former goodput is back, and retries are a smaller part of
// the admitted attempts than without a budget.
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
			t.Errorf("%.0f a second before, %.0f in the storm, %.0f from a second after it", before, during, after)
		}
		first, retries := 0, 0
		for _, c := range r.Clients {
			first, retries = first+c.AdmittedFirst, retries+c.AdmittedRetries
		}
		return float64(retries) / float64(first)
	}
	if with, without := retriesAdmitted(0.05), retriesAdmitted(100); with > 0.8*without {
		t.Errorf("admitted retries: %.3f of first attempts with a budget of 0.05, %.3f without one", with, without)
	}
}

// A thousand clients that are rejected in one moment, and come back as told, do not come back together, and are served.
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
		t.Errorf("of %d requests in one moment %d came back at their reserved time, %d of them were served", first, returns, served)
	}
}
