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
	meanServiceTime = 22 * time.Millisecond // at a speed of 1
	maxInFlight     = 3000                  // requests in flight; further ones count as failed
)

// result is the outcome of a request for its client.
type result int

const (
	inTime result = iota
	late
	refused
	failed
	resultCount
)

var resultNames = [resultCount]string{"in time", "late", "refused", "failed"}

// request is a request of a client.
type request struct {
	id, key     string
	class       *class
	serviceTime time.Duration
}

// Count holds the results of a load.
type Count struct {
	Requests      int
	Results       [resultCount]int
	P50, P95, P99 time.Duration // of served requests
	Nodes         map[string]fakes.NodeCount
}

// InTime returns the fraction of the requests that were served within their latency objective.
func (c Count) InTime() float64 { return float64(c.Results[inTime]) / math.Max(1, float64(c.Requests)) }

// load sends requests at a constant mean rate, independent of the answers (an open loop).
type load struct {
	front   balancedClient
	options Options

	mu        sync.Mutex
	requests  int
	latencies *hdr.Histogram
	results   [resultCount]int
	inFlight  int
}

func newLoad(f balancedClient, o Options) *load {
	return &load{front: f, options: o, latencies: loadgen.NewHistogram()}
}

// run sends requests until ctx ends, then waits for the answers. The arrivals, classes and service times depend on the seed only, so that both
// contenders get the same.
func (l *load) run(ctx context.Context, begun time.Time) {
	rng := rand.New(rand.NewPCG(l.options.Seed, 2))
	var wg sync.WaitGroup
	at := begun
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.options.Rate * float64(time.Second)))
		r := request{id: fmt.Sprintf("%016x", n+1), class: drawClass(rng), serviceTime: time.Duration(float64(meanServiceTime) * (0.4 + 0.6*rng.ExpFloat64()))}
		r.key = "key-" + r.id
		if !wait(ctx, time.Until(at)) {
			break
		}
		l.mu.Lock()
		l.requests++
		full := l.inFlight >= maxInFlight
		if full {
			l.results[failed]++
		} else {
			l.inFlight++
		}
		l.mu.Unlock()
		if full {
			continue
		}
		wg.Go(func() { l.send(r) })
	}
	wg.Wait()
}

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
	begun := time.Now()
	end := l.front.do(ctx, r)
	took := time.Since(begun)
	if end == inTime && took > r.class.latencyObjective {
		end = late
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if end == inTime || end == late {
		loadgen.Record(l.latencies, took)
	}
	l.results[end]++
	l.inFlight--
}

func (l *load) total() Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Count{Requests: l.requests, Results: l.results, P50: loadgen.Quantile(l.latencies, 50), P95: loadgen.Quantile(l.latencies, 95),
		P99: loadgen.Quantile(l.latencies, 99)}
}
