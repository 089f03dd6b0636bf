package experiment

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/tomlfile"
	"orchiddrift/internal/units"
)

// The policy names that stand for the real balancer: with all features, and without hedged requests.
const (
	BalancerPolicy  = "ours"
	NoHedgingPolicy = "ours, no second copies"
)

// isBalancer reports whether a policy is the real balancer.
func isBalancer(name string) bool { return name == BalancerPolicy || name == NoHedgingPolicy }

// Experiment holds the contents of an experiment file.
type Experiment struct {
	Name     string         `toml:"name" sample:"\"slow fifth\"" doc:"Name of the experiment."`
	Question string         `toml:"question" doc:"Question that the experiment answers; the report prints it."`
	Length   units.Duration `toml:"length" default:"60s" doc:"Length of a run in virtual time."`
	Interval units.Duration `toml:"series" default:"1s" doc:"Length of one interval of the time series in the results."`
	Seeds    int            `toml:"seeds" default:"5" doc:"Number of runs of each policy; their seeds count from 1."`
	Policies []string       `toml:"policies" sample:"[\"ours\", \"random\"]" doc:"Policies to compare. Absent: all."`
	Fleet    Fleet          `toml:"fleet" doc:"The nodes and the sidecars in front of them."`
	Load     Load           `toml:"load" doc:"The traffic."`
	Clients  Clients        `toml:"clients" doc:"How clients retry."`
	Classes  []Class        `toml:"class" doc:"Classes of requests. Absent: one class of idempotent requests."`
	Faults   []Fault        `toml:"fault" doc:"Faults of nodes or sidecars."`

	Discovery Discovery `toml:"discovery" doc:"The discovery service that sidecars call for the endpoint list. Absent: list changes reach all sidecars by themselves."`

	hash string
}

// Fleet is the [fleet] table: the nodes and the sidecars in front of them.
type Fleet struct {
	Nodes                int            `toml:"nodes" default:"50" doc:"Number of nodes, each with one core."`
	Sidecars             int            `toml:"sidecars" default:"10" doc:"Number of sidecars; each balances independently."`
	Zones                int            `toml:"zones" default:"1" doc:"Number of zones; nodes and sidecars are assigned to them in turn."`
	MeanServiceTime      units.Duration `toml:"work" default:"20ms" doc:"Mean service time of a request; it is exponentially distributed."`
	SlowStartMinCapacity float64        `toml:"cold" default:"0.3" doc:"Capacity of a node that has just started, as a fraction of the capacity of a warm node."`
	SlowStartWindow      units.Duration `toml:"warm_up" default:"10s" doc:"Time from the start of a node until it has its full capacity."`
	OverloadMultiple     float64        `toml:"fall" default:"3.0" doc:"A node in slow start stops for good when its load stays above this multiple of its capacity; 0: never."`
	RestartDowntime      units.Duration `toml:"down" default:"2s" doc:"Time from the stop to the start of a node that is deployed."`
	ConnectDelay         units.Duration `toml:"connect" default:"2ms" doc:"Time that opening a connection adds."`
	CrossZonePrice       float64        `toml:"cross_zone_price" default:"0.1" doc:"Price of a request that leaves its zone, as a fraction of the value of a served one. Only the policy ours takes zones into account."`
	CostHints            bool           `toml:"hints" doc:"Requests carry their service time as a hint, which only the policy ours uses."`
	Subset               bool           `toml:"subset" doc:"Each sidecar uses a subset of the nodes."`
}

// Load is the [load] table: the traffic of all clients.
type Load struct {
	Utilization float64    `toml:"busy" default:"0.5" doc:"Load as a fraction of the capacity of all warm nodes."`
	Steps       []LoadStep `toml:"step" doc:"Changes of the load."`
}

// LoadStep is a [[load.step]] table: a change of the load.
type LoadStep struct {
	At          units.Duration `toml:"at" doc:"Time since the start of the run."`
	Utilization float64        `toml:"busy" doc:"Load from then on, as a fraction of the capacity of all warm nodes."`
}

// Clients is the [clients] table: how clients retry.
type Clients struct {
	MaxRetries      int            `toml:"tries" doc:"Retries of a request that was rejected, or that failed and is idempotent."`
	InitialBackoff  units.Duration `toml:"wait" default:"500ms" doc:"Backoff before the first retry; it doubles with each further one."`
	HonorRetryAfter bool           `toml:"heed" doc:"Clients wait at least as long as Retry-After says."`
}

// Class is a [[class]] table: a class of requests.
type Class struct {
	Name             string         `toml:"name" doc:"Name of the class."`
	Weight           float64        `toml:"share" default:"1.0" doc:"Weight of the class in the traffic, relative to the other classes."`
	Effect           string         `toml:"effect" default:"safe" oneof:"safe|unsafe" doc:"Whether a second execution is harmless: safe means idempotent."`
	LatencyObjective units.Duration `toml:"aim" default:"400ms" doc:"Latency objective, within which an answer has its full value."`
	Deadline         units.Duration `toml:"deadline" default:"2s" doc:"Deadline, after which an answer has no value."`
}

// Discovery is the [discovery] table: the capacity and the outage of the discovery service, as in fleetsim.Discovery.
type Discovery struct {
	TimeForAllCalls units.Duration `toml:"all_calls" doc:"Time in which the service can answer one call from each sidecar; 0s: there is no discovery service."`
	LinesPerCall    int            `toml:"call_lines" default:"30" doc:"Cost of a call in lines, in addition to one line for each node."`
	Timeout         units.Duration `toml:"timeout" default:"1s" doc:"A call that would wait longer is rejected."`
	DownAt          units.Duration `toml:"down_at" doc:"Start of an outage, since the start of the run."`
	DownFor         units.Duration `toml:"down_for" doc:"Length of the outage; 0s: there is none."`
}

// Fault is a [[fault]] table: a fault of nodes or sidecars, as in fleetsim.Fault.
type Fault struct {
	Kind     string         `toml:"kind" oneof:"slow|freeze|errors|turn away|crash|deploy|cut|lost|kill" doc:"Kind of the fault."`
	At       units.Duration `toml:"at" doc:"Time since the start of the run."`
	Duration units.Duration `toml:"for" default:"10s" doc:"Duration of the fault; for deploy, the time over which the restarts are spread."`
	Fraction float64        `toml:"part" default:"0.2" doc:"Fraction of the nodes, or for kill of the sidecars, that the fault affects; the seed selects them."`
	Zone     int            `toml:"zone" doc:"Index of the zone that cut or lost affects."`
	Factor   float64        `toml:"factor" default:"5.0" doc:"Factor on the service times, for slow."`
}

// LoadFile reads and validates an experiment file. It returns a *Problems error if the file is invalid.
func LoadFile(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and validates the text of an experiment file. Errors name the file as name.
func Parse(name string, text []byte) (*Experiment, error) {
	e := &Experiment{}
	doc := tomlfile.Decode(text, e)
	e.validate(doc)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, &Problems{name, problems}
	}
	e.hash = fmt.Sprintf("%016x", xxhash.Sum64(text))
	return e, nil
}
