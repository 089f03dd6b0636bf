package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slowStartScenario is a fleet of sidecars that share nothing, before upstreams of which some start at one moment, of which all hear at once.
type slowStartScenario struct {
	processes, upstreams, starting int
	capacity                       float64                           // mean requests that an upstream can serve in a second
	load                           float64                           // part of that which is asked for, over all
	traffic                        func(since time.Duration) float64 // times the mean, from the start on; nil: 1
	restarts                       bool                              // some processes start anew in the ramp
	errorRatio                     float64                           // share of attempts that end with an error, and are made again
	// of other customers' settings; absent: testSettings
	overloadMultiple, minCapacity   float64
	overloadWindow, slowStartWindow time.Duration
	hasCostHints                    bool // requests tell their work, from a quarter to four times the mean
}

// played is what came of a ramp: the most that was sent in a window, in parts of what it may be, over all cold upstreams, and the
// work that they got while warming up, in parts of what they could have done.
type slowStartResult struct {
	highestLoad  float64
	overloaded   int // cold upstreams that got more in some window
	usedCapacity float64
}

type pendingOutcome struct {
	at      time.Duration
	sidecar int
	outcome Outcome
}

type outcomeHeap []pendingOutcome

func (h outcomeHeap) Len() int { return len(h) }

func (h outcomeHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h outcomeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *outcomeHeap) Push(x any) { *h = append(*h, x.(pendingOutcome)) }

func (h *outcomeHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (r slowStartScenario) play(t interface{ Fatal(...any) }, seed uint64) slowStartResult {
	g := rand.New(rand.NewPCG(seed, 99))
	s := testSettings()
	s.FleetSize = r.processes
	s.Classes = []Class{{Name: "c", LatencyObjective: 2 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}
	if r.overloadMultiple > 0 {
		s.OverloadMultiple, s.OverloadWindow, s.SlowStartMinCapacity, s.SlowStartWindow = r.overloadMultiple, r.overloadWindow, r.minCapacity, r.slowStartWindow
	}
	var entries []Endpoint
	for i := range r.upstreams {
		entries = append(entries, Endpoint{Name: fmt.Sprint("u", i), Zone: "a", MachineType: "m"})
	}
	now := time.Minute
	all := make([]*Balancer, r.processes)
	wake := make([]time.Duration, r.processes)
	ends := &outcomeHeap{}
	sent := make([][]time.Duration, r.starting)
	coldFrom := time.Duration(math.MaxInt64)
	fresh := func(i int) {
		b, err := New(s, g.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		all[i], wake[i] = b, 0
	}
	do := func(i int, e Event) {
		for _, a := range all[i].Handle(now, e, nil) {
			switch a.Kind {
			case SetTimer:
				wake[i] = a.FireAt
			case Send:
				var u int
				_, _ = fmt.Sscanf(a.Upstream, "u%d", &u)
				if u < r.starting && now >= coldFrom {
					sent[u] = append(sent[u], now)
				}
				out := Outcome{ID: a.ID, Attempt: a.Attempt, Result: OK, Final: true, Elapsed: time.Duration(20+g.IntN(20)) * ms}
				if u >= r.starting { // the others are full: each request would be better off at a cold one
					out.Elapsed += 300 * ms
				}
				if g.Float64() < r.errorRatio {
					out.Result, out.Final = ServerError, false
				}
				heap.Push(ends, pendingOutcome{now + out.Elapsed, i, out})
			}
		}
	}
	weights, total := make([]float64, r.processes), 0.0
	for i := range weights {
		weights[i] = math.Exp(0.9 * g.NormFloat64()) // some have several times the mean
		total += weights[i]
	}
	pick := func() int {
		x := g.Float64() * total
		for i, w := range weights {
			if x -= w; x < 0 {
				return i
			}
		}
		return len(weights) - 1
	}
	for i := range all {
		fresh(i)
		do(i, EndpointUpdate{Kind: FullUpdate, Endpoints: entries})
	}
	mean := r.load * r.capacity * float64(r.upstreams)
	begin := now + 20*time.Second
	n, owed, restarted := 0, 0.0, 0
	for ; now < begin+s.SlowStartWindow; now += ms {
		if now == begin {
			coldFrom = now
			for i := range r.starting {
				entries[i].StartedAt = now
			}
			for i := range all {
				do(i, EndpointUpdate{Kind: FullUpdate, Endpoints: entries})
			}
		}
		if r.restarts && now > begin && restarted < r.processes/4 && now > begin+time.Duration(restarted+1)*s.SlowStartWindow/time.Duration(r.processes/4+1) {
			i := restarted * 4
			restarted++
			for j := len(*ends) - 1; j >= 0; j-- { // they are another process's
				if (*ends)[j].sidecar == i {
					heap.Remove(ends, j)
				}
			}
			fresh(i)
			do(i, EndpointUpdate{Kind: FullUpdate, Endpoints: entries})
		}
		for len(*ends) > 0 && (*ends)[0].at <= now {
			e := heap.Pop(ends).(pendingOutcome)
			do(e.sidecar, e.outcome)
		}
		times := 1.0
		if r.traffic != nil && now >= begin {
			times = r.traffic(now - begin)
		}
		for owed += mean * times / 1000; owed > 0; owed -= g.ExpFloat64() {
			n++
			i := pick()
			q := Request{ID: fmt.Sprint(n), Class: "c", Deadline: now + 8*time.Second}
			if r.hasCostHints {
				q.CostHint = time.Duration(float64(20*ms) * math.Exp(0.7*g.NormFloat64()))
			}
			do(i, q)
		}
		for i, at := range wake {
			if at > 0 && at <= now {
				wake[i] = 0
				do(i, TimerFired{})
			}
		}
	}
	var p slowStartResult
	for _, times := range sent {
		over := false
		for j, from := 0, 0; j < len(times); j++ {
			for times[j]-times[from] >= s.OverloadWindow {
				from++
			}
			warm := min(1, s.SlowStartMinCapacity+(1-s.SlowStartMinCapacity)*float64(times[j]-begin)/float64(s.SlowStartWindow))
			allowed := s.OverloadMultiple * warm * r.capacity * s.OverloadWindow.Seconds()
			x := float64(j-from+1) / (allowed + 2*math.Sqrt(allowed) + 2)
			p.highestLoad = max(p.highestLoad, x)
			over = over || x > 1
		}
		if over {
			p.overloaded++
		}
		p.usedCapacity += float64(len(times)) / (r.capacity * s.SlowStartWindow.Seconds() * (1 + s.SlowStartMinCapacity) / 2) / float64(r.starting)
	}
	return p
}

var slowStartScenarios = []struct {
	name string
	slowStartScenario
}{
	{"4 processes", slowStartScenario{processes: 4, upstreams: 12, starting: 4, capacity: 8, load: 0.95}},
	{"20 processes", slowStartScenario{processes: 20, upstreams: 20, starting: 6, capacity: 8, load: 0.95}},
	{"30 processes", slowStartScenario{processes: 30, upstreams: 20, starting: 6, capacity: 8, load: 0.95}},
	{"30 processes, little traffic", slowStartScenario{processes: 30, upstreams: 60, starting: 20, capacity: 2, load: 0.95}},
	{"300 processes", slowStartScenario{processes: 300, upstreams: 100, starting: 20, capacity: 8, load: 0.95}},
	{"300 processes, little traffic", slowStartScenario{processes: 300, upstreams: 100, starting: 20, capacity: 2, load: 0.95}},
	{"30 processes, a lull and a burst", slowStartScenario{processes: 30, upstreams: 20, starting: 6, capacity: 8, load: 0.95, traffic: lullsAndBursts}},
	{"300 processes, a lull and a burst", slowStartScenario{processes: 300, upstreams: 100, starting: 20, capacity: 8, load: 0.95, traffic: lullsAndBursts}},
	{"300 processes, two lulls, little traffic", slowStartScenario{processes: 300, upstreams: 100, starting: 20, capacity: 2, load: 0.95, traffic: lullsAndBursts}},
	{"300 processes before few, lulls and bursts", slowStartScenario{processes: 300, upstreams: 10, starting: 3, capacity: 100, load: 0.95, traffic: lullsAndBursts}},
	{"300 processes before few, little traffic", slowStartScenario{processes: 300, upstreams: 10, starting: 3, capacity: 20, load: 0.95, traffic: lullsAndBursts}},
	{"100 processes before few", slowStartScenario{processes: 100, upstreams: 6, starting: 2, capacity: 20, load: 0.95, traffic: lullsAndBursts}},
	{"20 processes, some start anew", slowStartScenario{processes: 20, upstreams: 20, starting: 6, capacity: 8, load: 0.95, restarts: true}},
	{"300 processes, some start anew", slowStartScenario{processes: 300, upstreams: 100, starting: 20, capacity: 4, load: 0.95, restarts: true}},
	{"30 processes, errors and retries", slowStartScenario{processes: 30, upstreams: 20, starting: 6, capacity: 8, load: 0.7, errorRatio: 0.2}},
	{"30 processes, large and small requests", slowStartScenario{processes: 30, upstreams: 20, starting: 6, capacity: 8, load: 0.95, hasCostHints: true}},
	{"30 processes, a short window", slowStartScenario{processes: 30, upstreams: 12, starting: 4, capacity: 25, load: 0.95, traffic: lullsAndBursts, overloadMultiple: 2.5,
		overloadWindow: time.Second, minCapacity: 0.31, slowStartWindow: 8500 * ms}},
	{"20 processes, most are cold", slowStartScenario{processes: 20, upstreams: 20, starting: 14, capacity: 8, load: 0.6}},
	{"300 processes, most are cold", slowStartScenario{processes: 300, upstreams: 60, starting: 40, capacity: 8, load: 0.6}},
}

// The same as TestSlowStartSumStaysBelowOverload over random sizes, traffic and settings.
func TestSlowStartSumInRandomScenarios(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := slowStartScenario{processes: rapid.SampledFrom([]int{4, 20, 30, 60}).Draw(t, "processes"), upstreams: rapid.IntRange(3, 40).Draw(t, "upstreams"),
			capacity: rapid.Float64Range(1, 20).Draw(t, "perSec"), load: rapid.Float64Range(0.3, 0.95).Draw(t, "load"),
			restarts: rapid.Bool().Draw(t, "restarts"), hasCostHints: rapid.Bool().Draw(t, "cost"), errorRatio: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "fails"),
			overloadMultiple: rapid.Float64Range(2, 4).Draw(t, "multiple"), minCapacity: rapid.Float64Range(0.2, 0.6).Draw(t, "coldFrom"),
			overloadWindow: time.Duration(rapid.IntRange(500, 2000).Draw(t, "window")) * ms, slowStartWindow: time.Duration(rapid.IntRange(4000, 10000).Draw(t, "warmUp")) * ms}
		r.starting = max(1, r.upstreams/rapid.IntRange(2, 5).Draw(t, "cold"))
		every, quiet := time.Duration(rapid.IntRange(200, 6000).Draw(t, "every"))*ms, rapid.Float64Range(0, 0.9).Draw(t, "quiet")
		r.traffic = func(since time.Duration) float64 {
			if float64(since%every) < quiet*float64(every) {
				return 0.02
			}
			return 1.5
		}
		if p := r.play(t, rapid.Uint64().Draw(t, "seed")); p.overloaded > 0 {
			t.Fatalf("%d of %d cold upstreams got up to %.2f of what they may", p.overloaded, r.starting, p.highestLoad)
		}
	})
}

// lullsAndBursts has hardly any traffic but in bursts.
func lullsAndBursts(since time.Duration) float64 {
	if since%(5*time.Second) < 3*time.Second {
		return 0.02
	}
	return 1.5
}

// The sum of what all sidecars send to a starting upstream stays within what the settings allow, N, by 2 x
// root of N + 2 in every window. Traffic is uneven, each sidecar's part is often well below one request, and
// all learn of the start at once.
func TestSlowStartSumStaysBelowOverload(t *testing.T) {
	for _, c := range slowStartScenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var worst, work float64
			over, plays := 0, 3
			for seed := range uint64(plays) {
				p := c.play(t, seed)
				worst, work, over = max(worst, p.highestLoad), work+p.usedCapacity/float64(plays), over+p.overloaded
			}
			t.Logf("at most %.2f of what a window may bring, %d of %d over; %.2f of the work that they could do", worst, over, plays*c.starting, work)
			if over > 0 {
				t.Errorf("%d of %d cold upstreams got up to %.2f of what they may", over, plays*c.starting, worst)
			}
		})
	}
}
