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
	lab "orchiddrift/internal/loadgen"
)

const (
	meanWork = 22 * time.Millisecond // on a yardstick core
	mostOut  = 3000                  // requests in hand, at most; what comes beyond is counted as failed
)

// result is how a request ended for its client.
type result int

const (
	inTime result = iota
	late
	refused
	failed
	results
)

var resultNames = [results]string{"in time", "late", "refused", "failed"}

// request is one that a client makes.
type request struct {
	id, key string
	class   *class
	work    time.Duration
}

// Count is what came of a load.
type Count struct {
	Asked         int
	By            [results]int
	P50, P95, P99 time.Duration // of what was served
	Nodes         map[string]fakes.NodeCount
}

// InTime is the share that was served in time.
func (c Count) InTime() float64 { return float64(c.By[inTime]) / math.Max(1, float64(c.Asked)) }

// load makes requests at a rate, whatever becomes of them: an open loop, so that a slow answer slows no client down.
type load struct {
	front front
	o     Options

	mu    sync.Mutex
	asked int
	took  *hdr.Histogram
	by    [results]int
	out   int
}

func newLoad(f front, o Options) *load { return &load{front: f, o: o, took: lab.NewHistogram()} }

// run asks until ctx ends, then waits for the answers. Both sides draw the same arrivals, classes and work.
func (l *load) run(ctx context.Context, begun time.Time) {
	rng := rand.New(rand.NewPCG(l.o.Seed, 2))
	var wg sync.WaitGroup
	at := begun
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / l.o.Rate * float64(time.Second)))
		r := request{id: fmt.Sprintf("%016x", n+1), class: draw(rng), work: time.Duration(float64(meanWork) * (0.4 + 0.6*rng.ExpFloat64()))}
		r.key = "key-" + r.id
		if !wait(ctx, time.Until(at)) {
			break
		}
		l.mu.Lock()
		l.asked++
		full := l.out >= mostOut
		if full {
			l.by[failed]++
		} else {
			l.out++
		}
		l.mu.Unlock()
		if full {
			continue
		}
		wg.Go(func() { l.ask(r) })
	}
	wg.Wait()
}

func draw(rng *rand.Rand) *class {
	x := rng.Float64()
	for i := range classes {
		if x -= classes[i].share; x < 0 {
			return &classes[i]
		}
	}
	return &classes[0]
}

func (l *load) ask(r request) {
	ctx, cancel := context.WithTimeout(context.Background(), r.class.limit)
	defer cancel()
	begun := time.Now()
	end := l.front.ask(ctx, r)
	took := time.Since(begun)
	if end == inTime && took > r.class.aim {
		end = late
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if end == inTime || end == late {
		lab.Record(l.took, took)
	}
	l.by[end]++
	l.out--
}

func (l *load) total() Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Count{Asked: l.asked, By: l.by, P50: lab.Quantile(l.took, 50), P95: lab.Quantile(l.took, 95),
		P99: lab.Quantile(l.took, 99)}
}
