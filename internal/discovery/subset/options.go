package subset

import (
	"time"

	"orchiddrift/internal/units"
)

// Options are a Subset's parameters, and its part of the operator's file.
type Options struct {
	On       bool           `toml:"on" doc:"Knows a part of the upstreams as its own, and holds connections to those alone. Off: all of them."`
	Sidecars int            `toml:"sidecars" doc:"How many sidecars of this zone share the upstreams, the same in each of them. 0: not known; the load a node is spread wider then."`
	Index    int            `toml:"index" default:"-1" doc:"Which of them this is, from 0 on. -1: not known."`
	Least    int            `toml:"least" default:"12" doc:"Upstreams of its own at least, as far as there are any."`
	Most     int            `toml:"most" default:"128" doc:"And at most, those of other zones included. Descriptors bound it too: a fifth of them."`
	Heard    units.Duration `toml:"heard" default:"2s" doc:"Its size follows its traffic: each of them is to be asked about this often, so that what is known of it is not old."`
	Away     float64        `toml:"away" default:"0.25" doc:"The part of them that stands in other zones, for the time when the own one is cut off."`
	Settle   units.Duration `toml:"settle" default:"30s" doc:"For how long its traffic has to call for a smaller size before that is taken."`
	Grow     units.Duration `toml:"grow" default:"3s" doc:"And for a larger one: until then all its traffic goes to the fewer."`
	Warm     units.Duration `toml:"warm" default:"10s" doc:"An upstream that started less than this ago is cold; where more than half of its own are, warm ones are borrowed."`
}

// Default is what holds where nothing is said.
func Default() Options {
	return Options{Index: -1, Least: 12, Most: 128, Heard: units.Duration(2 * time.Second), Away: 0.25,
		Settle: units.Duration(30 * time.Second), Grow: units.Duration(3 * time.Second), Warm: units.Duration(10 * time.Second)}
}

// Check is tomlfile.Checker's.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.Least < 1 || o.Most < o.Least || o.Most > maxMembers {
		report("most", "least (%d) and most (%d) are to be from 1 to %d, in that order", o.Least, o.Most, maxMembers)
	}
	if o.Sidecars < 0 || o.Sidecars > maxSidecars {
		report("sidecars", "%d is not from 0 to %d", o.Sidecars, maxSidecars)
	}
	if o.Index < -1 || o.Index >= 0 && o.Index >= o.Sidecars {
		report("index", "%d is not below sidecars, %d", o.Index, o.Sidecars)
	}
	if !(o.Away >= 0 && o.Away < 1) {
		report("away", "%v is not a part, below 1", o.Away)
	}
	if o.Heard <= 0 {
		report("heard", "0s would want no upstream at all")
	}
}

const (
	maxSidecars = 100_000
	maxMembers  = 20_000
)
