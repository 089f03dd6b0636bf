package admissionsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/simulation/virtualtime"
)

// AdmissionControl admits, queues and rejects requests. *admission.Queue implements it.
type AdmissionControl interface {
	Arrive(now time.Duration, a admission.Arrival, actions []admission.Action) (admission.Ticket, []admission.Action)
	Done(now time.Duration, t admission.Ticket, outcome admission.Outcome, actions []admission.Action) []admission.Action
	Wake(now time.Duration, actions []admission.Action) []admission.Action
	Next() (time.Duration, bool)
}

// Client is the traffic of one principal.
type Client struct {
	Group, Flow      string
	Class            string
	MeanServiceTime  time.Duration // of its requests, drawn from an exponential distribution
	HintFactor       float64       // the cost hint over the service time; 0: no hints
	Rate             float64       // first requests per second, as a Poisson process; 0: none
	ClosedLoops      int           // in addition to Rate: loops that send a request once the previous one is answered
	ThinkTime        time.Duration // of a closed loop after an answer
	MaxAttempts      int           // of one request; 0: 1
	HonorsRetryAfter bool          // it retries after the Retry-After time, and not at once
	MarksRetries     bool          // its retries are marked as retries
	From, To         time.Duration // when it sends, since the start; To 0: until the end
	FlowPerRequest   bool          // each attempt has a flow of its own, in place of Flow
}

// Run is a run's parameters.
type Run struct {
	Nodes        int
	Slowdown     func(t time.Duration) float64 // factor on all service times, by the time since the start; nil: 1
	MaxNodeQueue int                           // maximum number of requests that wait at a node; 0: 1000
	Classes      []balancer.Class
	Settings     balancer.Settings // its Classes are replaced by those above
	Clients      []Client
	Length       time.Duration
	Seed         uint64
	Interval     time.Duration // of the time series in the results; 0: 1 s
}

const (
	defaultMaxNodeQueue = 1000 // requests
	defaultInterval     = time.Second
	samplingPeriod      = 10 * time.Millisecond  // of the number in flight
	networkDelay        = 300 * time.Microsecond // from a node back to the sidecar
	origin              = virtualtime.Origin
	trafficStream       = 7 // selects the clients' stream of random numbers
)

// simulation is the state of a run.
type simulation struct {
	*virtualtime.Time
	run      Run
	control  AdmissionControl
	balancer *balancer.Balancer
	rng      *rand.Rand
	nodes    map[string]*node
	result   Result

	inFlight        map[string]*clientAttempt // admitted, by ID
	byTicket        map[admission.Ticket]*clientAttempt
	inFlightCount   int
	lastID          int
	lastFingerprint uint64
	controlWakeAt   time.Duration // when the next Wake call is scheduled; 0: none is
	balancerTimerAt time.Duration
	actionBuffer    []admission.Action

	serviceTime time.Duration // of all nodes
	wastedTime  time.Duration // the part of serviceTime that was spent on late answers and on attempts that had already ended
}

// Play simulates a run with an admission control. The error names an invalid balancer setting.
func Play(r Run, control AdmissionControl) (*Result, error) {
	if r.MaxNodeQueue == 0 {
		r.MaxNodeQueue = defaultMaxNodeQueue
	}
	if r.Interval == 0 {
		r.Interval = defaultInterval
	}
	r.Settings.Classes = r.Classes
	policy, err := balancer.New(r.Settings, r.Seed)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		Time:     virtualtime.New(),
		run:      r,
		control:  control,
		balancer: policy,
		rng:      rand.New(rand.NewPCG(r.Seed, trafficStream)),
		nodes:    map[string]*node{},
		inFlight: map[string]*clientAttempt{},
		byTicket: map[admission.Ticket]*clientAttempt{},
	}
	intervals := int(r.Length/r.Interval) + 2
	s.result.Clients = make([]ClientResult, len(r.Clients))
	s.result.InFlightByInterval = make([]float64, intervals)
	s.addNodes()
	for i := range r.Clients {
		s.result.Clients[i].WithinObjectiveByInterval = make([]float64, intervals)
		s.startTraffic(i)
	}
	s.sampleInFlight()
	s.Run(r.Length)
	capacity := float64(r.Length * time.Duration(r.Nodes))
	s.result.Utilization, s.result.Wasted = float64(s.serviceTime)/capacity, float64(s.wastedTime)/capacity
	return &s.result, nil
}

// addNodes creates the nodes and passes their list to the balancer.
func (s *simulation) addNodes() {
	var list []balancer.Endpoint
	for i := range s.run.Nodes {
		n := &node{name: fmt.Sprintf("n%03d", i)}
		s.nodes[n.name] = n
		list = append(list, balancer.Endpoint{Name: n.name})
	}
	s.handleEvent(balancer.EndpointUpdate{Kind: balancer.FullUpdate, Endpoints: list})
}

// sampleInFlight schedules samples of the number of requests in flight throughout the run.
func (s *simulation) sampleInFlight() {
	samplesPerInterval := float64(s.run.Interval / samplingPeriod)
	for t := time.Duration(0); t < s.run.Length; t += samplingPeriod {
		s.At(origin+t, func() {
			s.result.InFlightByInterval[s.interval()] += float64(s.inFlightCount) / samplesPerInterval
		})
	}
}

// interval returns the index of the current interval.
func (s *simulation) interval() int {
	return min(len(s.result.InFlightByInterval)-1, int((s.Now()-origin)/s.run.Interval))
}

// class returns a client's class, or the first class if the client's is unknown.
func (s *simulation) class(c *Client) *balancer.Class {
	for i := range s.run.Classes {
		if s.run.Classes[i].Name == c.Class {
			return &s.run.Classes[i]
		}
	}
	return &s.run.Classes[0]
}
