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

// slowStartScenario describes a fleet of sidecars without shared state. Some of its upstreams start at the same time, and
// all sidecars learn of the start at once.
type slowStartScenario struct {
	processes, upstreams int                               // processes is the number of sidecars
	starting             int                               // number of upstreams that start
	capacity             float64                           // mean requests that an upstream can serve in a second
	load                 float64                           // offered load, as a share of the capacity of all upstreams
	traffic              func(since time.Duration) float64 // factor on the mean traffic since the start; 1 if nil
	restarts             bool                              // whether some sidecars restart during the slow start
	errorRatio           float64                           // share of attempts that end with an error and are retried
	hasCostHints         bool                              // whether requests have cost hints, from a quarter to four times the mean

	// Slow start settings; if absent, those of testSettings apply.
	overloadMultiple, minCapacity   float64
	overloadWindow, slowStartWindow time.Duration
}

// slowStartResult describes the load that the starting upstreams got.
type slowStartResult struct {
	highestLoad  float64 // largest number of requests in a window, as a multiple of the allowed number
	overloaded   int     // number of upstreams that got more requests than allowed in some window
	usedCapacity float64 // share of the upstreams' capacity that was used during the slow start
}

type pendingOutcome struct {
	at      time.Duration
	sidecar int
	outcome Outcome
}

type outcomeHeap []pendingOutcome

func (h outcomeHeap) Len() int           { return len(h) }
func (h outcomeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h outcomeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *outcomeHeap) Push(x any)        { *h = append(*h, x.(pendingOutcome)) }
func (h *outcomeHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// slowStartRun is the state of a running scenario.
type slowStartRun struct {
	slowStartScenario
	t        interface{ Fatal(...any) }
	random   *rand.Rand
	settings Settings
	now      time.Duration
	startAt  time.Duration // when the upstreams start

	endpoints []Endpoint
	sidecars  []*Balancer
	timers    []time.Duration // by sidecar: when its timer is due; 0 if it has none
	weights   []float64       // by sidecar: share of the traffic
	outcomes  outcomeHeap
	attempts  [][]time.Duration // by starting upstream: the times of its attempts

	requests  int
	due       float64 // requests due by now, minus those sent
	restarted int     // number of restarted sidecars
}

func (s slowStartScenario) run(t interface{ Fatal(...any) }, seed uint64) slowStartResult {
	r := s.newRun(t, seed)
	for i := range r.sidecars {
		r.startSidecar(i)
		r.handle(i, EndpointUpdate{Kind: FullUpdate, Endpoints: r.endpoints})
	}
	for ; r.now < r.startAt+r.settings.SlowStartWindow; r.now += ms {
		if r.now == r.startAt {
			r.startUpstreams()
		}
		r.restartSidecar()
		for len(r.outcomes) > 0 && r.outcomes[0].at <= r.now {
			pending := heap.Pop(&r.outcomes).(pendingOutcome)
			r.handle(pending.sidecar, pending.outcome)
		}
		r.sendRequests()
		for i, at := range r.timers {
			if at > 0 && at <= r.now {
				r.timers[i] = 0
				r.handle(i, TimerFired{})
			}
		}
	}
	return r.result()
}

func (s slowStartScenario) newRun(t interface{ Fatal(...any) }, seed uint64) *slowStartRun {
	r := &slowStartRun{
		slowStartScenario: s,
		t:                 t,
		random:            rand.New(rand.NewPCG(seed, 99)),
		settings:          testSettings(),
		now:               time.Minute,
		startAt:           time.Minute + 20*time.Second,
		sidecars:          make([]*Balancer, s.processes),
		timers:            make([]time.Duration, s.processes),
		weights:           make([]float64, s.processes),
		attempts:          make([][]time.Duration, s.starting),
	}
	r.settings.FleetSize = s.processes
	r.settings.Classes = []Class{{Name: "c", LatencyObjective: 2 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}}
	if s.overloadMultiple > 0 {
		r.settings.OverloadMultiple, r.settings.OverloadWindow = s.overloadMultiple, s.overloadWindow
		r.settings.SlowStartMinCapacity, r.settings.SlowStartWindow = s.minCapacity, s.slowStartWindow
	}
	for i := range s.upstreams {
		r.endpoints = append(r.endpoints, Endpoint{Name: fmt.Sprint("u", i), Zone: "a", MachineType: "m"})
	}
	for i := range r.weights { // some sidecars have several times the mean traffic
		r.weights[i] = math.Exp(0.9 * r.random.NormFloat64())
	}
	return r
}

func (r *slowStartRun) startSidecar(i int) {
	b, err := New(r.settings, r.random.Uint64())
	if err != nil {
		r.t.Fatal(err)
	}
	r.sidecars[i], r.timers[i] = b, 0
}

func (r *slowStartRun) startUpstreams() {
	for i := range r.starting {
		r.endpoints[i].StartedAt = r.now
	}
	for i := range r.sidecars {
		r.handle(i, EndpointUpdate{Kind: FullUpdate, Endpoints: r.endpoints})
	}
}

// restartSidecar restarts the next sidecar if that is due. Every fourth one restarts, evenly spread over the slow start.
func (r *slowStartRun) restartSidecar() {
	pause := time.Duration(r.restarted+1) * r.settings.SlowStartWindow / time.Duration(r.processes/4+1)
	if !r.restarts || r.now <= r.startAt || r.restarted >= r.processes/4 || r.now <= r.startAt+pause {
		return
	}
	i := r.restarted * 4
	r.restarted++
	for j := len(r.outcomes) - 1; j >= 0; j-- { // the outcomes belong to the earlier process
		if r.outcomes[j].sidecar == i {
			heap.Remove(&r.outcomes, j)
		}
	}
	r.startSidecar(i)
	r.handle(i, EndpointUpdate{Kind: FullUpdate, Endpoints: r.endpoints})
}

// sendRequests sends the requests that are due by now, at random intervals and to random sidecars.
func (r *slowStartRun) sendRequests() {
	mean := r.load * r.capacity * float64(r.upstreams)
	factor := 1.0
	if r.traffic != nil && r.now >= r.startAt {
		factor = r.traffic(r.now - r.startAt)
	}
	for r.due += mean * factor / 1000; r.due > 0; r.due -= r.random.ExpFloat64() {
		r.requests++
		i := r.randomSidecar()
		e := Request{ID: fmt.Sprint(r.requests), Class: "c", Deadline: r.now + 8*time.Second}
		if r.hasCostHints {
			e.CostHint = time.Duration(float64(20*ms) * math.Exp(0.7*r.random.NormFloat64()))
		}
		r.handle(i, e)
	}
}

func (r *slowStartRun) randomSidecar() int {
	total := 0.0
	for _, weight := range r.weights {
		total += weight
	}
	x := r.random.Float64() * total
	for i, weight := range r.weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return len(r.weights) - 1
}

func (r *slowStartRun) handle(sidecar int, e Event) {
	for _, a := range r.sidecars[sidecar].Handle(r.now, e, nil) {
		switch a.Kind {
		case SetTimer:
			r.timers[sidecar] = a.FireAt
		case Send:
			r.send(sidecar, a)
		}
	}
}

// send schedules the outcome of an attempt. The upstreams that do not start are heavily loaded, so a starting upstream
// answers each request faster.
func (r *slowStartRun) send(sidecar int, a Action) {
	var u int
	_, _ = fmt.Sscanf(a.Upstream, "u%d", &u)
	if u < r.starting && r.now >= r.startAt {
		r.attempts[u] = append(r.attempts[u], r.now)
	}
	elapsed := time.Duration(20+r.random.IntN(20)) * ms
	outcome := Outcome{ID: a.ID, Attempt: a.Attempt, Result: OK, Final: true, Elapsed: elapsed}
	if u >= r.starting {
		outcome.Elapsed += 300 * ms
	}
	if r.random.Float64() < r.errorRatio {
		outcome.Result, outcome.Final = ServerError, false
	}
	heap.Push(&r.outcomes, pendingOutcome{r.now + outcome.Elapsed, sidecar, outcome})
}

// result compares the requests that each starting upstream got in every window with the number N that is allowed at the
// window's end, with a tolerance of 2 x root of N + 2.
func (r *slowStartRun) result() (result slowStartResult) {
	s := r.settings
	for _, times := range r.attempts {
		overloaded := false
		for j, from := 0, 0; j < len(times); j++ {
			for times[j]-times[from] >= s.OverloadWindow {
				from++
			}
			age := float64(times[j]-r.startAt) / float64(s.SlowStartWindow)
			capacity := min(1, s.SlowStartMinCapacity+(1-s.SlowStartMinCapacity)*age)
			allowed := s.OverloadMultiple * capacity * r.capacity * s.OverloadWindow.Seconds()
			load := float64(j-from+1) / (allowed + 2*math.Sqrt(allowed) + 2)
			result.highestLoad = max(result.highestLoad, load)
			overloaded = overloaded || load > 1
		}
		if overloaded {
			result.overloaded++
		}
		possible := r.capacity * s.SlowStartWindow.Seconds() * (1 + s.SlowStartMinCapacity) / 2
		result.usedCapacity += float64(len(times)) / possible / float64(r.starting)
	}
	return result
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
	{"20 processes, some restart", slowStartScenario{processes: 20, upstreams: 20, starting: 6, capacity: 8, load: 0.95, restarts: true}},
	{"300 processes, some restart", slowStartScenario{processes: 300, upstreams: 100, starting: 20, capacity: 4, load: 0.95, restarts: true}},
	{"30 processes, errors and retries", slowStartScenario{processes: 30, upstreams: 20, starting: 6, capacity: 8, load: 0.7, errorRatio: 0.2}},
	{"30 processes, large and small requests", slowStartScenario{processes: 30, upstreams: 20, starting: 6, capacity: 8, load: 0.95, hasCostHints: true}},
	{"30 processes, a short window", slowStartScenario{processes: 30, upstreams: 12, starting: 4, capacity: 25, load: 0.95, traffic: lullsAndBursts, overloadMultiple: 2.5,
		overloadWindow: time.Second, minCapacity: 0.31, slowStartWindow: 8500 * ms}},
	{"20 processes, most in slow start", slowStartScenario{processes: 20, upstreams: 20, starting: 14, capacity: 8, load: 0.6}},
	{"300 processes, most in slow start", slowStartScenario{processes: 300, upstreams: 60, starting: 40, capacity: 8, load: 0.6}},
}

// The check of TestSlowStartSumStaysBelowOverload holds for random sizes, traffic and settings, too.
func TestSlowStartSumInRandomScenarios(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := slowStartScenario{processes: rapid.SampledFrom([]int{4, 20, 30, 60}).Draw(t, "processes"), upstreams: rapid.IntRange(3, 40).Draw(t, "upstreams"),
			capacity: rapid.Float64Range(1, 20).Draw(t, "capacity"), load: rapid.Float64Range(0.3, 0.95).Draw(t, "load"),
			restarts: rapid.Bool().Draw(t, "restarts"), hasCostHints: rapid.Bool().Draw(t, "hasCostHints"), errorRatio: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "errorRatio"),
			overloadMultiple: rapid.Float64Range(2, 4).Draw(t, "overloadMultiple"), minCapacity: rapid.Float64Range(0.2, 0.6).Draw(t, "minCapacity"),
			overloadWindow: time.Duration(rapid.IntRange(500, 2000).Draw(t, "overloadWindow")) * ms, slowStartWindow: time.Duration(rapid.IntRange(4000, 10000).Draw(t, "slowStartWindow")) * ms}
		r.starting = max(1, r.upstreams/rapid.IntRange(2, 5).Draw(t, "starting"))
		period, lullShare := time.Duration(rapid.IntRange(200, 6000).Draw(t, "period"))*ms, rapid.Float64Range(0, 0.9).Draw(t, "lullShare")
		r.traffic = func(since time.Duration) float64 {
			if float64(since%period) < lullShare*float64(period) {
				return 0.02
			}
			return 1.5
		}
		if result := r.run(t, rapid.Uint64().Draw(t, "seed")); result.overloaded > 0 {
			t.Fatalf("%d of %d starting upstreams got too many requests in a window, up to %.2f of the allowed number", result.overloaded, r.starting, result.highestLoad)
		}
	})
}

// lullsAndBursts returns a factor on the mean traffic: 0.02 for 3 s, then 1.5 for 2 s.
func lullsAndBursts(since time.Duration) float64 {
	if since%(5*time.Second) < 3*time.Second {
		return 0.02
	}
	return 1.5
}

// The requests of all sidecars to a starting upstream add up, in every window, to no more than the number N that
// the settings allow, with a tolerance of 2 x root of N + 2. Traffic is uneven, each sidecar's share is often
// well below one request, and all sidecars learn of the start at once.
func TestSlowStartSumStaysBelowOverload(t *testing.T) {
	for _, c := range slowStartScenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var worstLoad, meanUse float64
			failures, runs := 0, 3
			for seed := range uint64(runs) {
				result := c.run(t, seed)
				worstLoad, meanUse, failures = max(worstLoad, result.highestLoad), meanUse+result.usedCapacity/float64(runs), failures+result.overloaded
			}
			t.Logf("at most %.2f of the requests allowed in a window, %d of %d upstreams above it; %.2f of their capacity used", worstLoad, failures, runs*c.starting, meanUse)
			if failures > 0 {
				t.Errorf("%d of %d starting upstreams got too many requests in a window, up to %.2f of the allowed number", failures, runs*c.starting, worstLoad)
			}
		})
	}
}
