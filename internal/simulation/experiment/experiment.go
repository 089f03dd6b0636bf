package experiment

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/internal/tomlfile"
	"orchiddrift/internal/units"
)

// The names of the real balancer among the policies: with all its functions, and without hedged requests.
const (
	BalancerPolicy  = "ours"
	NoHedgingPolicy = "ours, no second copies"
)

// isBalancer reports whether a policy is the real balancer.
func isBalancer(name string) bool { return name == BalancerPolicy || name == NoHedgingPolicy }

// Experiment is an experiment file.
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

// Fleet is the table of the fleet.
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

// Load is the table of the load.
type Load struct {
	Utilization float64    `toml:"busy" default:"0.5" doc:"What comes, as a part of what all warm nodes can do."`
	Steps       []LoadStep `toml:"step" doc:"Changes of it."`
}

// LoadStep is a change of the load.
type LoadStep struct {
	At          units.Duration `toml:"at" doc:"Since the begin."`
	Utilization float64        `toml:"busy" doc:"From then on."`
}

// Clients is the table of the clients' retries.
type Clients struct {
	MaxRetries      int            `toml:"tries" doc:"After the first: where it was refused, or failed and is safe."`
	InitialBackoff  units.Duration `toml:"wait" default:"500ms" doc:"Before each, doubled."`
	HonorRetryAfter bool           `toml:"heed" doc:"They wait at least as long as a refusal says."`
}

// Class is a class of requests.
type Class struct {
	Name             string         `toml:"name" doc:"What it is called."`
	Weight           float64        `toml:"share" default:"1.0" doc:"Beside the others'."`
	Effect           string         `toml:"effect" default:"safe" oneof:"safe|unsafe" doc:"Whether it may run twice."`
	LatencyObjective units.Duration `toml:"aim" default:"400ms" doc:"By which it is worth all."`
	Deadline         units.Duration `toml:"deadline" default:"2s" doc:"By which it is worth anything."`
}

// Discovery is the table of the discovery service, as fleetsim.Discovery.
type Discovery struct {
	TimeForAllCalls units.Duration `toml:"all_calls" doc:"In which it can take one call from each sidecar; 0s: there is none."`
	LinesPerCall    int            `toml:"call_lines" default:"30" doc:"Lines that a call costs beside one for each node."`
	Timeout         units.Duration `toml:"timeout" default:"1s" doc:"A call that would wait longer is turned away."`
	DownAt          units.Duration `toml:"down_at" doc:"From then on it takes none."`
	DownFor         units.Duration `toml:"down_for" doc:"So long; 0s: it is never down."`
}

// Fault is a fault of nodes or sidecars, as fleetsim.Fault.
type Fault struct {
	Kind     string         `toml:"kind" oneof:"slow|freeze|errors|turn away|crash|deploy|cut|lost|kill" doc:"What befalls them."`
	At       units.Duration `toml:"at" doc:"Since the begin."`
	Duration units.Duration `toml:"for" default:"10s" doc:"How long; deploy: in which all are."`
	Fraction float64        `toml:"part" default:"0.2" doc:"Of the nodes, or of the sidecars that are killed, drawn by the seed."`
	Zone     int            `toml:"zone" doc:"That is cut off."`
	Factor   float64        `toml:"factor" default:"5.0" doc:"By which slow ones are slower."`
}

// LoadFile reads and validates an experiment. Its error may be *Problems.
func LoadFile(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and validates the text of an experiment. name stands in errors.
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
