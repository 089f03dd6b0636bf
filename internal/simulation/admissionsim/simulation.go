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
	MeanServiceTime  time.Duration // mean of the exponentially distributed service time of the client's requests
	HintFactor       float64       // ratio of the cost hint to the service time; 0 means that the client sends no hints
	Rate             float64       // rate of a Poisson process of first requests per second; 0 means none
	ClosedLoops      int           // number of loops, in addition to Rate, that send a request once the previous one is answered
	ThinkTime        time.Duration // pause of a closed loop after an answer
	MaxAttempts      int           // maximum number of attempts of a request; 0 means 1
	HonorsRetryAfter bool          // the client retries after the Retry-After time, and not at once
	MarksRetries     bool          // the client marks its retries as retries
	From, To         time.Duration // the client sends between these times since the start; if To is 0, until the end
	FlowPerRequest   bool          // each attempt has its own flow in place of Flow
}

// Run holds the parameters of a run.
type Run struct {
	Nodes        int
	Slowdown     func(t time.Duration) float64 // returns the factor of all service times at a time since the start; nil means 1
	MaxNodeQueue int                           // maximum number of requests that wait at a node; 0 means 1000
	Classes      []balancer.Class
	Settings     balancer.Settings // settings of the balancer, in which Classes above replaces the field Classes
	Clients      []Client
	Length       time.Duration
	Seed         uint64
	Interval     time.Duration // length of an interval in the results; 0 means 1 s
}

const (
	defaultMaxNodeQueue = 1000 // requests
	defaultInterval     = time.Second
	samplingPeriod      = 10 * time.Millisecond  // period at which the number of requests in flight is sampled
	networkDelay        = 300 * time.Microsecond // delay of an answer from a node to the sidecar
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

	inFlight        map[string]*clientAttempt // admitted attempts by ID
	byTicket        map[admission.Ticket]*clientAttempt
	inFlightCount   int
	lastID          int
	lastFingerprint uint64
	controlWakeAt   time.Duration // time of the next scheduled call of Wake; 0 if none is scheduled
	balancerTimerAt time.Duration
	actionBuffer    []admission.Action

	serviceTime time.Duration // total service time of all nodes
	wastedTime  time.Duration // the part of serviceTime that was spent on late answers and on attempts that had already ended
}

// Play simulates a run with an admission control. It returns an error if a balancer setting is
// invalid.
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

// sampleInFlight schedules the samples of the number of requests in flight for the whole run.
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

// class returns a client's class. If the client names an unknown class, it returns the first class.
func (s *simulation) class(c *Client) *balancer.Class {
	for i := range s.run.Classes {
		if s.run.Classes[i].Name == c.Class {
			return &s.run.Classes[i]
		}
	}
	return &s.run.Classes[0]
}
