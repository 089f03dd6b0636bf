package balancer

// The load balancer's decisions: what they are tuned by, the state that they share, and the way in. The
// interface (Settings, events, actions) is in api.go. Each concern has a file: members.go (the list and who
// is left out), zones.go (zones that are lost), pick.go (estimates and the choice), attempts.go (attempts and
// copies), cold.go, refusals.go.
//
// A request's way: admission may refuse it; pick chooses the lower of two random ready upstreams by peak-
// EWMA latency x (pending+1); send starts an attempt; an outcome, a timer or a hedge moves it on; giveUp
// or an outcome ends it. Latencies are in seconds and normalised: divided by the work that is expected of
// the request, relative to the mean request. Plain statistics and timers are in stats.go and timers.go.
// What they guard:
//   - one final answer for each request, in time: every request has an end timer (arrive, giveUp);
//   - no effect twice: every attempt passes mayTry, every refusal mayRefuse;
//   - drains: mayTry turns down what the list does not show active;
//   - cold upstreams: mayTry draws on the cold upstream's budget (cold.go).

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// Tunables. Times are derived from Settings (aims, deadlines, rules) or learnt; these are the rest.
const (
	decayAims    = 4.0              // mean aims over which estimates decay: long enough to hear from all
	decayHeard   = 1.25             // or this many times as long as it takes to hear from all, if longer
	penaltyAims  = 1.0              // mean aims that a failure answer counts as: as bad as a miss
	crossAims    = 3.5              // a crossing's price p weighs as p x this many aims of latency
	meanWeight   = 0.02             // weight of a new sample in plain means: about the last 50
	fewWeight    = 0.05             // where there are few: of one kind of machine, of copies
	quantStep    = 0.1              // step of the learnt quantiles, in logarithm
	lateQuant    = 0.8              // an attempt out for longer than this share of its like is late: hedge it
	retryRatio   = 0.25             // further attempts per first attempt, over time
	retryBurst   = 10.0             // and this many at once, so that a quiet sidecar can retry at all
	rateMemory   = 20 * time.Second // offered load is averaged over this
	ejectBase    = time.Second      // first ejection; doubles with each failed trial
	ejectMax     = 8 * time.Second
	lostVotes    = 3                     // upstreams of a zone that fail, and none answers: it is lost
	ejectErrors  = 3                     // error answers in a row: two happen by chance
	wrongWeight  = 0.25                  // weight of an answer in the share of errors seen
	wrongMost    = 0.35                  // the second error in about four answers ejects, where few are seen
	wrongReturn  = 0.25                  // two good answers in a row bring it back
	silentAims   = 3.0                   // no answer for this many mean aims, with failures: silent
	limitMax     = 0.65                  // requests in hand may wait this share of their aim
	limitMin     = 0.33                  // or down to this where upstreams are crowded
	limitStep    = 0.06                  // down for one that a crowded upstream made late
	lateAllowed  = 0.05                  // and up this part of a step for one in time: so many may be late
	limitAge     = 0.25                  // below a mean age of this share of their aim the limit is wider
	copyPressure = 0.7                   // no copies above: they take room, and first attempts come first
	copyPays     = 0.3                   // share of copies that must answer first and in time for them to pay
	copyTrial    = 0.02                  // part of late attempts copied all the same, to learn whether they do
	pressureMax  = 2.0                   // after a lull what is served tells too little
	servedMemory = 2 * time.Second       // what is served is averaged over this
	tryVotes     = 20                    // requests that settle what time left is usual
	rankOver     = 64                    // requests that a new one's worth is ranked among
	coldPart     = 0.8                   // share used of what pushes a cold upstream over
	coldFirst    = 0.9                   // of its kind's mean that one is thought to take before it is heard
	coldKind     = 1.6                   // most that its kind's speed counts in that, and 1/coldKind the least
	subsetEvery  = 2 * time.Second       // each upstream of the subset is heard about this often
	toldFor      = 60 * time.Millisecond // what an upstream says of its load holds for so long
	toldMost     = 16                    // of so many it is remembered
	subsetMin    = 4                     // two to compare, and spares while some are out
	fewInHand    = 12.0                  // below, what is served tells too little
	crowdWeight  = 0.04                  // weight of an attempt in the crowding seen: about the last 25
	crowdFrom    = 0.33                  // shed from this share on, early as it is late by some attempts
	crowdShed    = 0.5                   // of what is beyond it; a sidecar that sees little is not sure
	crowdMax     = 1.4                   // of pressure by crowding alone: a fifth goes on and tells of it
	crowdMost    = 1.5                   // aims: a hung upstream is not a crowd
	crowdMemory  = 10 * time.Second      // crowding unheard of fades over this: all refused must not be for ever
	askBase      = time.Second           // first wait before asking for the list again; doubles
	askMax       = 8 * time.Second
)

type class struct {
	Class
	mean     float64       // seconds an answer takes
	tryTime  time.Duration // time left to most tries when they come
	tryVotes int           // how sure that is
}

// Balancer is one sidecar's decisions. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	acts    []Action
	classes map[string]*class
	ups     map[string]*upstream
	zones   map[string]*zone
	list    []*upstream // in an order drawn by this sidecar; see subset
	reqs    map[string]*request
	timers  timerHeap
	armed   time.Duration // the earliest SetTimer out, 0: none
	meanAim float64       // seconds, over classes

	subscribed, asking bool
	askFails           int

	fleet     float64             // mean normalised latency, seconds
	means     map[string]*float64 // the same by kind of machine
	mean      float64             // mean latency, seconds
	hintMean  float64
	mid, late quantile // of normalised latency
	retries   float64  // retry budget
	copyWins  float64  // share of copies that answered first and in time

	shedding time.Duration // when work was last refused for pressure, 0: not of late
	ranks    [rankOver]float64
	ranked   int
	limit    float64       // share of their aim that requests in hand may wait
	waiting  int           // requests in hand
	crowd    float64       // mean share of their aim that recent attempts took
	crowdAt  time.Duration // when the latest of them ended
	inHand   float64       // sum of their 1/aim
	decay    time.Duration // of estimates
	arrivals time.Duration // sum of their arrival times; may wrap around
	served   rate          // answers a second
	offered  rate          // arriving work, in mean requests a second
	tenants  []rate        // arriving requests by tenant
	scratchA []*upstream
	scratchB []*upstream
	told     []*upstream // probed of late, the latest last
}

// New returns the decisions of one sidecar, or an error that names the setting that cannot be used.
func New(s Settings, seed uint64) (*Balancer, error) {
	if bad := s.check(); len(bad) > 0 {
		return nil, bad[0]
	}
	b := &Balancer{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), classes: map[string]*class{},
		ups: map[string]*upstream{}, zones: map[string]*zone{}, means: map[string]*float64{},
		reqs: map[string]*request{}, limit: limitMax,
		tenants: make([]rate, len(s.Tenants)), retries: retryBurst, offered: rate{memory: rateMemory},
		served: rate{memory: servedMemory}}
	for i := range b.tenants {
		b.tenants[i].memory = rateMemory
	}
	for _, c := range s.Classes {
		b.classes[c.Name] = &class{Class: c, mean: c.LatencyObjective.Seconds() / 4}
		b.meanAim += c.LatencyObjective.Seconds() / float64(len(s.Classes))
	}
	b.fleet, b.mean = b.meanAim/4, b.meanAim/4
	b.decay = seconds(decayAims * b.meanAim)
	b.mid, b.late = quantile{0.5, b.meanAim / 4}, quantile{lateQuant, b.meanAim / 2}
	return b, nil
}

// Handle takes what happened at now and appends the actions that answer it to acts.
func (b *Balancer) Handle(now time.Duration, e Event, acts []Action) []Action {
	b.now, b.acts = max(now, b.now), acts
	switch e := e.(type) {
	case EndpointUpdate:
		b.members(e)
	case Request:
		b.arrive(e)
	case UploadDone:
		b.uploaded(e)
	case FirstByte:
		b.firstByte(e)
	case Outcome:
		b.outcome(e)
	case ClientDisconnected:
		if r := b.reqs[e.ID]; r != nil {
			b.close(r)
		}
	case ProbeResult:
		b.probed(e)
	case TimerFired:
		b.wake()
	}
	b.arm()
	acts, b.acts = b.acts, nil
	return acts
}

func (b *Balancer) wake() {
	if b.now >= b.armed {
		b.armed = 0
	}
	for len(b.timers.t) > 0 && b.timers.t[0].at <= b.now {
		switch t := heap.Pop(&b.timers).(timer); {
		case t.kind == timerAsk:
			if !b.asking && !b.subscribed {
				b.ask()
			}
		case t.r.done || t.r.stream:
		case t.kind == timerEnd:
			if b.now >= t.r.end { // else its end is another one by now
				b.giveUp(t.r)
			}
		case t.kind == timerLate:
			b.lateAttempt(t.r)
		case t.r.out == 0:
			b.move(t.r)
		}
	}
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) log(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) logOf(u *upstream, format string, args ...any) {
	b.act(Action{Kind: Log, Upstream: u.id, Text: fmt.Sprintf(format, args...)})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
