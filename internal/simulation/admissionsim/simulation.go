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
	wire   = 300 * time.Microsecond // one way and back
	origin = virtualtime.Origin
)

// asked is one try of a client's request.
type asked struct {
	id       string
	client   int
	loop     bool
	work     time.Duration
	first    time.Duration // when the first try was made
	begun    time.Duration // this one
	expires  time.Duration
	tries    int
	print    uint64
	ticket   admission.Ticket
	passed   bool
	ended    bool
	attempts []*attempt
	waited   bool // it has come when it was told
	promised bool // and that was a promise
}

type attempt struct {
	of     *asked
	number int
	node   *node
	sent   time.Duration
	ended  bool
}

type node struct {
	name  string
	queue []*attempt
	busy  bool
}

type sim struct {
	r    Run
	gate AdmissionControl
	b    *balancer.Balancer
	rng  *rand.Rand
	*virtualtime.Time
	nodes  map[string]*node
	asked  map[string]*asked
	doors  map[admission.Ticket]*asked
	ids    int
	prints uint64
	out    Result
	wakeAt time.Duration
	timer  time.Duration
	inHand int
	busy   time.Duration
	wasted time.Duration
	doActs []admission.Action
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
	s := &sim{r: r, gate: gate, b: b, rng: rand.New(rand.NewPCG(r.Seed, 7)), Time: virtualtime.New(), nodes: map[string]*node{},
		asked: map[string]*asked{}, doors: map[admission.Ticket]*asked{}}
	s.out.Clients = make([]ClientResult, len(r.Clients))
	bins := int(r.Length/r.Interval) + 2
	s.out.InFlightByInterval = make([]float64, bins)
	var list []balancer.Endpoint
	for i := range r.Nodes {
		n := &node{name: fmt.Sprintf("n%03d", i)}
		s.nodes[n.name] = n
		list = append(list, balancer.Endpoint{Name: n.name})
	}
	s.module(balancer.EndpointUpdate{Kind: balancer.FullUpdate, Endpoints: list})
	for i := range r.Clients {
		s.out.Clients[i].WithinObjectiveByInterval = make([]float64, bins)
		s.begin(i)
	}
	for t := time.Duration(0); t < r.Length; t += 10 * time.Millisecond {
		s.At(origin+t, func() {
			s.out.InFlightByInterval[s.bin()] += float64(s.inHand) / float64(r.Interval/(10*time.Millisecond))
		})
	}
	s.Run(r.Length)
	span := r.Length * time.Duration(r.Nodes)
	s.out.Utilization, s.out.Wasted = float64(s.busy)/float64(span), float64(s.wasted)/float64(span)
	return &s.out, nil
}

func (s *sim) bin() int {
	return min(len(s.out.InFlightByInterval)-1, int((s.Now()-origin)/s.r.Interval))
}

func (s *sim) open(c *Client) bool {
	t := s.Now() - origin
	return t >= c.From && (c.To == 0 || t < c.To)
}

func (s *sim) class(c *Client) *balancer.Class {
	for i := range s.r.Classes {
		if s.r.Classes[i].Name == c.Class {
			return &s.r.Classes[i]
		}
	}
	return &s.r.Classes[0]
}
