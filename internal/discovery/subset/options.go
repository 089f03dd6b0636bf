package subset

import (
	"time"

	"orchiddrift/internal/units"
)

// Bounds of the options.
const (
	maxFleetSize = 100_000
	maxMembers   = 20_000
)

// Options are the parameters of a Subset, and its table in the operator's file.
type Options struct {
	Enabled            bool           `toml:"on" doc:"Knows a part of the upstreams as its own, and holds connections to those alone. Off: all of them."`
	FleetSize          int            `toml:"sidecars" doc:"How many sidecars of this zone share the upstreams, the same in each of them. 0: not known; the load a node is spread wider then."`
	Index              int            `toml:"index" default:"-1" doc:"Which of them this is, from 0 on. -1: not known."`
	MinSize            int            `toml:"least" default:"12" doc:"Upstreams of its own at least, as far as there are any."`
	MaxSize            int            `toml:"most" default:"128" doc:"And at most, those of other zones included. Descriptors bound it too: a fifth of them."`
	SampleInterval     units.Duration `toml:"heard" default:"2s" doc:"Its size follows its traffic: each of them is to be asked about this often, so that what is known of it is not old."`
	RemoteZoneFraction float64        `toml:"away" default:"0.25" doc:"The part of them that stands in other zones, for the time when the own one is cut off."`
	ShrinkDelay        units.Duration `toml:"settle" default:"30s" doc:"For how long its traffic has to call for a smaller size before that is taken."`
	GrowDelay          units.Duration `toml:"grow" default:"3s" doc:"And for a larger one: until then all its traffic goes to the fewer."`
	SlowStartWindow    units.Duration `toml:"warm" default:"10s" doc:"An upstream that started less than this ago is cold; where more than half of its own are, warm ones are borrowed."`
}

// Default returns the options that hold where the operator's file gives none.
func Default() Options {
	return Options{Index: -1, MinSize: 12, MaxSize: 128, SampleInterval: units.Duration(2 * time.Second), RemoteZoneFraction: 0.25,
		ShrinkDelay: units.Duration(30 * time.Second), GrowDelay: units.Duration(3 * time.Second), SlowStartWindow: units.Duration(10 * time.Second)}
}

// Check reports options that can't be used; it implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.MinSize < 1 || o.MaxSize < o.MinSize || o.MaxSize > maxMembers {
		report("most", "least (%d) and most (%d) are to be from 1 to %d, in that order", o.MinSize, o.MaxSize, maxMembers)
	}
	if o.FleetSize < 0 || o.FleetSize > maxFleetSize {
		report("sidecars", "%d is not from 0 to %d", o.FleetSize, maxFleetSize)
	}
	if o.Index < -1 || o.Index >= 0 && o.Index >= o.FleetSize {
		report("index", "%d is not below sidecars, %d", o.Index, o.FleetSize)
	}
	if !(o.RemoteZoneFraction >= 0 && o.RemoteZoneFraction < 1) {
		report("away", "%v is not a part, below 1", o.RemoteZoneFraction)
	}
	if o.SampleInterval <= 0 {
		report("heard", "0s would want no upstream at all")
	}
}
