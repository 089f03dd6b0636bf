// Package experiment plays experiments: a fleet, a load, faults by time, and the policies to compare, from a file, in virtual time. The
// module is the real one; internal/simulation/fleetsim is the fleet.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/simulation/fleetsim"
	"orchiddrift/internal/tomlfile"
	"orchiddrift/internal/units"
)

// BalancerPolicy is the module, among the policies, and with a part of it switched off by its settings.
const (
	BalancerPolicy  = "ours"
	NoHedgingPolicy = "ours, no second copies"
)

// isBalancer tells whether a name is the module's.
func isBalancer(name string) bool { return name == BalancerPolicy || name == NoHedgingPolicy }

// Experiment is a file.
type Experiment struct {
	Name     string         `toml:"name" sample:"\"slow fifth\"" doc:"What it is called."`
	Question string         `toml:"question" doc:"What it is to answer, for the report."`
	Length   units.Duration `toml:"length" default:"60s" doc:"Virtual time."`
	Interval units.Duration `toml:"series" default:"1s" doc:"An interval of the figures over time."`
	Seeds    int            `toml:"seeds" default:"5" doc:"Runs of each policy: seeds 1 and on."`
	Policies []string       `toml:"policies" sample:"[\"ours\", \"random\"]" doc:"Absent: all."`
	Fleet    Fleet          `toml:"fleet" doc:"The nodes and their clients' sidecars."`
	Load     Load           `toml:"load" doc:"What comes."`
	Clients  Clients        `toml:"clients" doc:"What clients do on their own."`
	Classes  []Class        `toml:"class" doc:"Kinds of requests. Absent: one, safe."`
	Faults   []Fault        `toml:"fault" doc:"What befalls the nodes, or the sidecars."`

	Discovery Discovery `toml:"discovery" doc:"What sidecars ask for the list. Absent: it reaches all by itself."`

	hash string
}

// Fleet is its part of the file.
type Fleet struct {
	Nodes                int            `toml:"nodes" default:"50" doc:"Of one core each."`
	Sidecars             int            `toml:"sidecars" default:"10" doc:"That choose for themselves."`
	Zones                int            `toml:"zones" default:"1" doc:"Nodes and sidecars are dealt out to them in turn."`
	MeanServiceTime      units.Duration `toml:"work" default:"20ms" doc:"Of a request, the mean; exponential."`
	SlowStartMinCapacity float64        `toml:"cold" default:"0.3" doc:"What a node that has just started can do, as a part."`
	SlowStartWindow      units.Duration `toml:"warm_up" default:"10s" doc:"Till it can do all."`
	OverloadMultiple     float64        `toml:"fall" default:"3.0" doc:"A cold node falls over at so many times what it can do; 0: never."`
	RestartDowntime      units.Duration `toml:"down" default:"2s" doc:"A node that is deployed anew is away so long."`
	ConnectDelay         units.Duration `toml:"connect" default:"2ms" doc:"What a new connection adds."`
	CrossZonePrice       float64        `toml:"cross_zone_price" default:"0.1" doc:"Of a request that leaves its zone, in parts of one that is served: ours weighs it, the others don't know zones."`
	CostHints            bool           `toml:"hints" doc:"Requests tell their work; ours heeds it."`
	Subset               bool           `toml:"subset" doc:"Sidecars know a part of the nodes as their own."`
}

// Load is its part of the file.
type Load struct {
	Utilization float64    `toml:"busy" default:"0.5" doc:"What comes, as a part of what all warm nodes can do."`
	Steps       []LoadStep `toml:"step" doc:"Changes of it."`
}

// LoadStep is a change of the load.
type LoadStep struct {
	At          units.Duration `toml:"at" doc:"Since the begin."`
	Utilization float64        `toml:"busy" doc:"From then on."`
}

// Clients is its part of the file.
type Clients struct {
	MaxRetries      int            `toml:"tries" doc:"After the first: where it was refused, or failed and is safe."`
	InitialBackoff  units.Duration `toml:"wait" default:"500ms" doc:"Before each, doubled."`
	HonorRetryAfter bool           `toml:"heed" doc:"They wait at least as long as a refusal says."`
}

// Class is a kind of requests.
type Class struct {
	Name             string         `toml:"name" doc:"What it is called."`
	Weight           float64        `toml:"share" default:"1.0" doc:"Beside the others'."`
	Effect           string         `toml:"effect" default:"safe" oneof:"safe|unsafe" doc:"Whether it may run twice."`
	LatencyObjective units.Duration `toml:"aim" default:"400ms" doc:"By which it is worth all."`
	Deadline         units.Duration `toml:"deadline" default:"2s" doc:"By which it is worth anything."`
}

// Discovery is a service of fixed capacity.
type Discovery struct {
	TimeForAllCalls units.Duration `toml:"all_calls" doc:"In which it can take one call from each sidecar; 0s: there is none."`
	LinesPerCall    int            `toml:"call_lines" default:"30" doc:"Lines that a call costs beside one for each node."`
	Timeout         units.Duration `toml:"timeout" default:"1s" doc:"A call that would wait longer is turned away."`
	DownAt          units.Duration `toml:"down_at" doc:"From then on it takes none."`
	DownFor         units.Duration `toml:"down_for" doc:"So long; 0s: it is never down."`
}

// Fault befalls nodes, or sidecars.
type Fault struct {
	Kind     string         `toml:"kind" oneof:"slow|freeze|errors|turn away|crash|deploy|cut|lost|kill" doc:"What befalls them."`
	At       units.Duration `toml:"at" doc:"Since the begin."`
	Duration units.Duration `toml:"for" default:"10s" doc:"How long; deploy: in which all are."`
	Fraction float64        `toml:"part" default:"0.2" doc:"Of the nodes, or of the sidecars that are killed, drawn by the seed."`
	Zone     int            `toml:"zone" doc:"That is cut off."`
	Factor   float64        `toml:"factor" default:"5.0" doc:"By which slow ones are slower."`
}

// Problems are all that is wrong with a file.
type Problems struct {
	Name string
	List []tomlfile.Problem
}

func (p *Problems) Error() string { return tomlfile.Text(p.Name, p.List) }

// LoadFile reads an experiment. Its error may be Problems.
func LoadFile(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is LoadFile of a text.
func Parse(name string, text []byte) (*Experiment, error) {
	e := &Experiment{}
	doc := tomlfile.Decode(text, e)
	e.validate(doc)
	if m := doc.Problems(); len(m) > 0 {
		return nil, &Problems{name, m}
	}
	e.hash = fmt.Sprintf("%016x", xxhash.Sum64(text))
	return e, nil
}

const (
	maxNodes    = 5000
	maxSidecars = 2000
	maxRequests = 100_000_000
	maxSeeds    = 1000
	maxPoints   = 10_000
)

func (e *Experiment) validate(doc *tomlfile.Document) {
	if doc.Broken() {
		return
	}
	bounds := func(key string, x, least, most float64) {
		if !(x >= least && x <= most) {
			doc.Report(key, "%v is not from %v to %v", x, least, most)
		}
	}
	if e.Name == "" {
		doc.Report("name", "missing")
	}
	bounds("seeds", float64(e.Seeds), 1, maxSeeds)
	bounds("fleet.nodes", float64(e.Fleet.Nodes), 1, maxNodes)
	bounds("fleet.sidecars", float64(e.Fleet.Sidecars), 1, maxSidecars)
	bounds("fleet.zones", float64(e.Fleet.Zones), 1, float64(max(1, e.Fleet.Nodes)))
	bounds("fleet.cold", e.Fleet.SlowStartMinCapacity, 0, 1)
	bounds("fleet.cross_zone_price", e.Fleet.CrossZonePrice, 0, 100)
	bounds("fleet.fall", e.Fleet.OverloadMultiple, 0, 1000)
	bounds("load.busy", e.Load.Utilization, 0, 100)
	bounds("clients.tries", float64(e.Clients.MaxRetries), 0, 100)
	if e.Fleet.MeanServiceTime.D() < time.Microsecond || e.Length.D() < time.Second || e.Interval.D() < time.Millisecond || e.Clients.InitialBackoff <= 0 {
		doc.Report("", "length (1s), series (1ms), fleet.work (1us) and clients.wait need some time")
		return
	}
	if e.Length.D()/e.Interval.D() > maxPoints {
		doc.Report("series", "%d intervals, %d at most", e.Length.D()/e.Interval.D(), maxPoints)
	}
	most := e.Load.Utilization
	for i, s := range e.Load.Steps {
		bounds(fmt.Sprintf("load.step[%d].busy", i), s.Utilization, 0, 100)
		if i > 0 && s.At < e.Load.Steps[i-1].At {
			doc.Report(fmt.Sprintf("load.step[%d].at", i), "it is before the one before it")
		}
		most = max(most, s.Utilization)
	}
	if n := most * e.warmCapacity() * e.Length.D().Seconds(); n > maxRequests {
		doc.Report("length", "%.0f requests, %d at most", n, maxRequests)
	}
	for i, name := range e.Policies {
		if !isBalancer(name) && fleetsim.Policies[name] == nil {
			doc.Report("policies", "there is no policy %q", name)
		}
		if slices.Contains(e.Policies[:i], name) {
			doc.Report("policies", "%q stands there twice", name)
		}
	}
	for i, c := range e.Classes {
		at := fmt.Sprintf("class[%d]", i)
		if c.Name == "" || slices.ContainsFunc(e.Classes[:i], func(b Class) bool { return b.Name == c.Name }) {
			doc.Report(at+".name", "%q names no class of its own", c.Name)
		}
		bounds(at+".share", c.Weight, 1e-9, 1e9)
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			doc.Report(at+".deadline", "%v is before aim, %v", c.Deadline, c.LatencyObjective)
		}
	}
	if d := e.Discovery; d.TimeForAllCalls < 0 || d.Timeout < 0 || d.DownAt < 0 || d.DownFor < 0 {
		doc.Report("discovery", "a time is negative")
	}
	bounds("discovery.call_lines", float64(e.Discovery.LinesPerCall), 0, 1e6)
	for i, f := range e.Faults {
		at := fmt.Sprintf("fault[%d]", i)
		if f.Kind == "" {
			doc.Report(at+".kind", "missing")
		}
		bounds(at+".part", f.Fraction, 0, 1)
		bounds(at+".factor", f.Factor, 1, 1e6)
		if fleetsim.FaultKind(f.Kind).Zonal() && (f.Zone < 0 || f.Zone >= e.Fleet.Zones) {
			doc.Report(at+".zone", "there is no zone %d of %d", f.Zone, e.Fleet.Zones)
		}
		if f.At < 0 || f.Duration <= 0 {
			doc.Report(at+".for", "it has no time")
		}
	}
}

// warmCapacity is requests a second that all warm nodes can do.
func (e *Experiment) warmCapacity() float64 {
	return float64(e.Fleet.Nodes) / e.Fleet.MeanServiceTime.D().Seconds()
}

// PolicyNames are the policies that it compares.
func (e *Experiment) PolicyNames() []string {
	if len(e.Policies) > 0 {
		return e.Policies
	}
	all := []string{BalancerPolicy, NoHedgingPolicy}
	for name := range fleetsim.Policies {
		all = append(all, name)
	}
	slices.Sort(all[2:])
	return all
}

// maxAttempts is how often a request may be sent in all, by every policy.
const maxAttempts = 3

// fleetRun is one policy's, with one seed.
func (e *Experiment) fleetRun(policy string, seed int) (fleetsim.Run, error) {
	f := e.Fleet
	base := e.Load.Utilization
	if base == 0 {
		base = 1 // Steps are multiples of it
	}
	r := fleetsim.Run{Sidecars: f.Sidecars, Nodes: f.Nodes, Zones: f.Zones, Rate: base * e.warmCapacity(), MeanServiceTime: f.MeanServiceTime.D(), Length: e.Length.D(), Seed: uint64(seed),
		ConnectDelay: f.ConnectDelay.D(), RestartDowntime: f.RestartDowntime.D(), Interval: e.Interval.D(), MaxAttempts: maxAttempts, CostHints: f.CostHints, Clients: fleetsim.Clients{MaxRetries: e.Clients.MaxRetries, InitialBackoff: e.Clients.InitialBackoff.D(), HonorRetryAfter: e.Clients.HonorRetryAfter},
		RateSteps: []fleetsim.RateStep{{At: 0, Multiple: e.Load.Utilization / base}},
		Settings: balancer.Settings{MaxAttempts: maxAttempts, HedgingAllowed: true, CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 5 * time.Second, ConnectTimeout: 500 * time.Millisecond, CrossZonePrice: f.CrossZonePrice,
			Tick: 5 * time.Millisecond, SlowStartMinCapacity: f.SlowStartMinCapacity, SlowStartWindow: f.SlowStartWindow.D(), OverloadMultiple: f.OverloadMultiple, OverloadWindow: 2 * time.Second}}
	for _, s := range e.Load.Steps {
		r.RateSteps = append(r.RateSteps, fleetsim.RateStep{At: s.At.D(), Multiple: s.Utilization / base})
	}
	classes := e.Classes
	if len(classes) == 0 {
		classes = []Class{{Name: "request", Weight: 1, Effect: "safe", LatencyObjective: units.Duration(400 * time.Millisecond), Deadline: units.Duration(2 * time.Second)}}
	}
	sum := 0.0
	for _, c := range classes {
		sum += c.Weight
	}
	for _, c := range classes {
		of := balancer.Class{Name: c.Name, LatencyObjective: c.LatencyObjective.D(), Deadline: c.Deadline.D(), PriorityWeight: 1, LateValueFraction: 0.5}
		if c.Effect == "unsafe" {
			of.Idempotency = balancer.NonIdempotent
		}
		r.Settings.Classes, r.ClassFractions = append(r.Settings.Classes, of), append(r.ClassFractions, c.Weight/sum)
	}
	if d := e.Discovery; d.TimeForAllCalls > 0 {
		r.Discovery = &fleetsim.Discovery{LinesPerSecond: float64(f.Sidecars*(f.Nodes+d.LinesPerCall)) / d.TimeForAllCalls.D().Seconds(), LinesPerCall: d.LinesPerCall,
			Timeout: d.Timeout.D(), DownAt: d.DownAt.D(), DownFor: d.DownFor.D()}
	}
	for _, x := range e.Faults {
		r.Faults = append(r.Faults, fleetsim.Fault{Kind: fleetsim.FaultKind(x.Kind), At: x.At.D(), Duration: x.Duration.D(), Fraction: x.Fraction, Zone: x.Zone, Factor: x.Factor})
	}
	if f.Subset {
		r.Subset, r.IndexKnown = subset.Default(), true
		r.Subset.Enabled = true
	}
	r.Settings.HedgingAllowed = policy != NoHedgingPolicy
	if !isBalancer(policy) {
		if r.Policy = fleetsim.Policies[policy]; r.Policy == nil {
			return r, fmt.Errorf("there is no policy %q", policy)
		}
	}
	return r, nil
}

// errPanic is a policy's own failure.
var errPanic = errors.New("it panicked")

// play plays a run. A policy that panics ends its own run only.
func play(r fleetsim.Run) (result *fleetsim.Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	return fleetsim.Play(r)
}
