package admissionsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/simulation/virtualtime"
)

// AdmissionControl is a door, or what is held beside one. *door.Door is one.
type AdmissionControl interface {
	Arrive(now time.Duration, a admission.Arrival, acts []admission.Action) (admission.Ticket, []admission.Action)
	Done(now time.Duration, t admission.Ticket, how admission.Outcome, acts []admission.Action) []admission.Action
	Wake(now time.Duration, acts []admission.Action) []admission.Action
	Next() (time.Duration, bool)
}

// Client is one principal and its traffic.
type Client struct {
	Group, Flow      string
	Class            string
	MeanServiceTime  time.Duration // mean, drawn from an exponential distribution
	HintFactor       float64       // what it says of its work, as a factor; 0: nothing
	Rate             float64       // first requests a second, as a Poisson process; 0: none
	ClosedLoops      int           // or so many that ask again as soon as they are answered
	ThinkTime        time.Duration // of a loop after an answer
	MaxAttempts      int           // of one request in all; absent: 1
	HonorsRetryAfter bool          // comes back when it is told, and not at once
	MarksRetries     bool          // its repeats are marked
	From, To         time.Duration // when it asks; To 0: to the end
	FlowPerRequest   bool          // another flow with each request
}

// Run is a run's parameters.
type Run struct {
	Nodes        int
	Slowdown     func(t time.Duration) float64 // factor on all work; nil: 1
	MaxNodeQueue int                           // requests that wait at a node, at most; absent: 1000
	Classes      []balancer.Class
	Settings     balancer.Settings // Classes are put in
	Clients      []Client
	Length       time.Duration
	Seed         uint64
	Interval     time.Duration // of Seen.WithinObjectiveByInterval; absent: 1 s
}

const (
	networkDelay = 300 * time.Microsecond // one way and back
	origin       = virtualtime.Origin
)

// clientAttempt is one try of a client's request.
type clientAttempt struct {
	id                string
	client            int
	closedLoop        bool
	serviceTime       time.Duration
	firstSentAt       time.Duration // when the first try was made
	sentAt            time.Duration // this one
	deadline          time.Duration
	number            int
	fingerprint       uint64
	ticket            admission.Ticket
	admitted          bool
	answered          bool
	attempts          []*upstreamAttempt
	honoredRetryAfter bool // it has come when it was told
	reserved          bool // and that was a promise
}

type upstreamAttempt struct {
	request   *clientAttempt
	number    int
	node      *node
	startedAt time.Duration
	ended     bool
}

type node struct {
	name  string
	queue []*upstreamAttempt
	busy  bool
}

type simulation struct {
	run      Run
	control  AdmissionControl
	balancer *balancer.Balancer
	rng      *rand.Rand
	*virtualtime.Time
	nodes           map[string]*node
	inFlight        map[string]*clientAttempt
	byTicket        map[admission.Ticket]*clientAttempt
	lastID          int
	lastFingerprint uint64
	result          Result
	controlWakeAt   time.Duration
	balancerTimerAt time.Duration
	inFlightCount   int
	serviceTime     time.Duration
	wastedTime      time.Duration
	actionBuffer    []admission.Action
}

// Play plays a run through a gate.
func Play(r Run, gate AdmissionControl) (*Result, error) {
	if r.MaxNodeQueue == 0 {
		r.MaxNodeQueue = 1000
	}
	if r.Interval == 0 {
		r.Interval = time.Second
	}
	r.Settings.Classes = r.Classes
	b, err := balancer.New(r.Settings, r.Seed)
	if err != nil {
		return nil, err
	}
	s := &simulation{run: r, control: gate, balancer: b, rng: rand.New(rand.NewPCG(r.Seed, 7)), Time: virtualtime.New(), nodes: map[string]*node{},
		inFlight: map[string]*clientAttempt{}, byTicket: map[admission.Ticket]*clientAttempt{}}
	s.result.Clients = make([]ClientResult, len(r.Clients))
	bins := int(r.Length/r.Interval) + 2
	s.result.InFlightByInterval = make([]float64, bins)
	var list []balancer.Endpoint
	for i := range r.Nodes {
		n := &node{name: fmt.Sprintf("n%03d", i)}
		s.nodes[n.name] = n
		list = append(list, balancer.Endpoint{Name: n.name})
	}
	s.handleEvent(balancer.EndpointUpdate{Kind: balancer.FullUpdate, Endpoints: list})
	for i := range r.Clients {
		s.result.Clients[i].WithinObjectiveByInterval = make([]float64, bins)
		s.startTraffic(i)
	}
	for t := time.Duration(0); t < r.Length; t += 10 * time.Millisecond {
		s.At(origin+t, func() {
			s.result.InFlightByInterval[s.interval()] += float64(s.inFlightCount) / float64(r.Interval/(10*time.Millisecond))
		})
	}
	s.Run(r.Length)
	span := r.Length * time.Duration(r.Nodes)
	s.result.Utilization, s.result.Wasted = float64(s.serviceTime)/float64(span), float64(s.wastedTime)/float64(span)
	return &s.result, nil
}

func (s *simulation) interval() int {
	return min(len(s.result.InFlightByInterval)-1, int((s.Now()-origin)/s.run.Interval))
}

func (s *simulation) sending(c *Client) bool {
	t := s.Now() - origin
	return t >= c.From && (c.To == 0 || t < c.To)
}

func (s *simulation) class(c *Client) *balancer.Class {
	for i := range s.run.Classes {
		if s.run.Classes[i].Name == c.Class {
			return &s.run.Classes[i]
		}
	}
	return &s.run.Classes[0]
}
