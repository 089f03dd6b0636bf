package balancer

import (
	"math/rand/v2"
	"time"
)

// class is a Class with its learnt statistics.
type class struct {
	Class
	meanLatency        float64       // mean time of an answer, in seconds
	usualTimeLeft      time.Duration // time to the deadline that most first attempts have on arrival
	usualTimeLeftVotes int           // arrivals that matched usualTimeLeft, minus those that did not
}

// Balancer makes one sidecar's decisions. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // clock time of the latest event; never goes back
	actions  []Action      // actions emitted for the current event so far

	classes   map[string]*class
	upstreams map[string]*upstream
	shuffled  []*upstream // the active upstreams, in this sidecar's random order; see candidateSetSize
	zones     map[string]*zoneState
	requests  map[string]*request

	timers        timerHeap
	timerArmedFor time.Duration // clock time of the earliest outstanding SetTimer; 0 if none is outstanding
	subscription  subscription

	meanObjective float64 // mean latency objective over the classes, in seconds
	latency       latencyStatistics
	servedRate    rate   // answers with result OK, per second
	offeredRate   rate   // work of admitted requests, in mean requests per second
	tenantRates   []rate // arriving requests per second, by index in Settings.Tenants

	retryTokens         float64 // remaining retry budget, in attempts
	hedgingSuccessRatio float64 // moving share of hedged requests won in time by the hedge, 0 to 1

	waiting  waitingRequests
	shedding sheddingState

	reportingUpstreams []*upstream // upstreams with a load report, the latest report last
	scratchLocal       []*upstream // reused by pick
	scratchRemote      []*upstream // reused by pick
}

// subscription is the state of the subscription to the endpoint list.
type subscription struct {
	connected bool
	pending   bool // the list has been requested, and neither an update nor a failure has arrived
	failures  int  // failed subscriptions in a row
}

// latencyStatistics holds latencies over all upstreams, in seconds. A normalized latency is a latency divided
// by the cost of its request: its expected work relative to the mean request.
type latencyStatistics struct {
	mean           float64 // not normalized
	meanCostHint   float64 // mean cost hint, in seconds of work; 0 before the first hint
	normalizedMean float64
	byMachineType  map[string]*float64 // normalized means
	median         quantileEstimate    // of the normalized latency
	late           quantileEstimate    // quantile of the normalized latency beyond which an attempt is late
	decay          time.Duration       // time constant with which an upstream's estimate loses its weight
}

// waitingRequests aggregates the requests whose answer has not begun.
type waitingRequests struct {
	count        int
	requiredRate float64       // sum of 1/(latency objective in seconds): answers a second to serve them in time
	startSum     time.Duration // sum of their start times; it may overflow, as only differences are used
}

// sheddingState is the learnt state of load shedding.
type sheddingState struct {
	queueingLimit    float64                 // mean share of their latency objective that requests may wait
	objectiveUse     float64                 // moving mean, over attempts, of latency / latency objective
	objectiveUseAt   time.Duration           // clock time of the latest sample in objectiveUse
	recentPriorities [priorityWindow]float64 // ring buffer of the arrivals' priorities
	priorityCount    int                     // arrivals so far; modulo priorityWindow, the next arrival's index
	lastRejectionAt  time.Duration           // clock time of the latest rejection for load; 0 if no load is shed
}

// Before the first answers, the mean latency and the latency beyond which an attempt is late are assumed to
// be these shares of the latency objective.
const (
	initialMeanShare = 0.25
	initialLateShare = 0.5
)

// randomStream selects the sequence of random draws together with the seed.
const randomStream = 0x9e3779b97f4a7c15

// medianQuantile is the probability of the median as a quantile.
const medianQuantile = 0.5

// New returns a Balancer without endpoints, or a Problem that names the first setting that can't be used.
// Balancers of one service get different seeds, so that their random choices differ.
func New(s Settings, seed uint64) (*Balancer, error) {
	if problems := s.normalize(); len(problems) > 0 {
		return nil, problems[0]
	}
	b := &Balancer{
		settings:    s,
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		classes:     map[string]*class{},
		upstreams:   map[string]*upstream{},
		zones:       map[string]*zoneState{},
		requests:    map[string]*request{},
		latency:     latencyStatistics{byMachineType: map[string]*float64{}},
		servedRate:  rate{memory: servedRateMemory},
		offeredRate: rate{memory: offeredRateMemory},
		tenantRates: make([]rate, len(s.Tenants)),
		retryTokens: retryTokensBurst,
		shedding:    sheddingState{queueingLimit: queueingLimitMax},
	}
	for i := range b.tenantRates {
		b.tenantRates[i].memory = offeredRateMemory
	}
	for _, c := range s.Classes {
		objective := c.LatencyObjective.Seconds()
		b.classes[c.Name] = &class{Class: c, meanLatency: objective * initialMeanShare}
		b.meanObjective += objective / float64(len(s.Classes))
	}
	mean := b.meanObjective * initialMeanShare
	b.latency.normalizedMean = mean
	b.latency.mean = mean
	b.latency.median = quantileEstimate{medianQuantile, mean}
	b.latency.late = quantileEstimate{lateAttemptQuantile, b.meanObjective * initialLateShare}
	b.latency.decay = durationFromSeconds(latencyDecayObjectives * b.meanObjective)
	return b, nil
}

// Handle processes an event and appends the resulting actions to actions. The parameter now is the clock time
// of the event. A clock time before the latest one counts as the latest one.
func (b *Balancer) Handle(now time.Duration, e Event, actions []Action) []Action {
	b.now = max(now, b.now)
	b.actions = actions
	switch e := e.(type) {
	case EndpointUpdate:
		b.handleEndpointUpdate(e)
	case Request:
		b.handleRequest(e)
	case UploadDone:
		b.handleUploadDone(e)
	case FirstByte:
		b.handleFirstByte(e)
	case Outcome:
		b.handleOutcome(e)
	case ClientDisconnected:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r)
		}
	case ProbeResult:
		b.handleProbeResult(e)
	case TimerFired:
		b.handleTimers()
	}
	b.armTimer()
	actions, b.actions = b.actions, nil
	return actions
}

func durationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
