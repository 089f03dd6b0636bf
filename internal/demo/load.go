package demo

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/loadgen"
)

const (
	meanServiceTime = 22 * time.Millisecond // mean service time on a node with a speed of 1
	maxInFlight     = 3000                  // maximum number of requests in flight; further requests count as failed
)

// result is the outcome of a request as its client sees it.
type result int

const (
	inTime result = iota
	late
	refused
	failed
	resultCount
)

var resultNames = [resultCount]string{"in time", "late", "refused", "failed"}

// request is a request of the load.
type request struct {
	id, key     string
	class       *class
	serviceTime time.Duration
}

// Count holds the request counts and latencies of a load.
type Count struct {
	Requests      int
	Results       [resultCount]int
	P50, P95, P99 time.Duration // latencies of served requests
	Nodes         map[string]fakes.NodeCount
}

// InTime returns the fraction of the requests that were served within their latency objective.
func (c Count) InTime() float64 { return float64(c.Results[inTime]) / math.Max(1, float64(c.Requests)) }

// load sends requests at a constant mean rate that does not depend on the answers (an open loop).
type load struct {
	client  balancedClient
	options Options

	mu        sync.Mutex
	requests  int
	latencies *hdr.Histogram // latencies of served requests
	results   [resultCount]int
	inFlight  int
}

func newLoad(c balancedClient, o Options) *load {
	return &load{client: c, options: o, latencies: loadgen.NewHistogram()}
}

// run sends requests until ctx ends, then waits for the answers. The arrivals, classes and service times depend only on the seed, so they are
// the same for both contenders.
func (l *load) run(ctx context.Context, started time.Time) {
	rng := rand.New(rand.NewPCG(l.options.Seed, 2))
	var wg sync.WaitGroup
	at := started
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.options.Rate * float64(time.Second)))
		r := request{id: fmt.Sprintf("%016x", n+1), class: drawClass(rng), serviceTime: time.Duration(float64(meanServiceTime) * (0.4 + 0.6*rng.ExpFloat64()))}
		r.key = "key-" + r.id
		if !wait(ctx, time.Until(at)) {
			break
		}
		l.mu.Lock()
		l.requests++
		atLimit := l.inFlight >= maxInFlight
		if atLimit {
			l.results[failed]++
		} else {
			l.inFlight++
		}
		l.mu.Unlock()
		if atLimit {
			continue
		}
		wg.Go(func() { l.send(r) })
	}
	wg.Wait()
}

// drawClass returns a random class, weighted by the shares.
func drawClass(rng *rand.Rand) *class {
	x := rng.Float64()
	for i := range classes {
		if x -= classes[i].share; x < 0 {
			return &classes[i]
		}
	}
	return &classes[0]
}

func (l *load) send(r request) {
	ctx, cancel := context.WithTimeout(context.Background(), r.class.deadline)
	defer cancel()
	started := time.Now()
	outcome := l.client.do(ctx, r)
	took := time.Since(started)
	if outcome == inTime && took > r.class.latencyObjective {
		outcome = late
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome == inTime || outcome == late {
		loadgen.Record(l.latencies, took)
	}
	l.results[outcome]++
	l.inFlight--
}

func (l *load) total() Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Count{Requests: l.requests, Results: l.results, P50: loadgen.Quantile(l.latencies, 50), P95: loadgen.Quantile(l.latencies, 95),
		P99: loadgen.Quantile(l.latencies, 99)}
}
