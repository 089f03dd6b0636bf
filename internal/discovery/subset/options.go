package subset

import (
	"time"

	"orchiddrift/internal/units"
)

// Upper bounds of the options.
const (
	maxFleetSize = 100_000
	maxMembers   = 20_000
)

// Options are the parameters of a Subset, and the subset table in the operator's configuration file.
type Options struct {
	Enabled            bool           `toml:"on" doc:"Uses only a part of the upstreams, the subset, and holds connections to those alone. Off: uses all of them."`
	FleetSize          int            `toml:"sidecars" doc:"How many sidecars of this zone share the upstreams, the same in each of them. 0: not known; the load is then less even among the upstreams."`
	Index              int            `toml:"index" default:"-1" doc:"Index of this sidecar among those, from 0 on. -1: not known."`
	MinSize            int            `toml:"least" default:"12" doc:"Minimum size of the subset, as far as there are enough upstreams."`
	MaxSize            int            `toml:"most" default:"128" doc:"Maximum size of the subset, upstreams in other zones included. A fifth of the upstream connections that descriptors allow is a bound too."`
	SampleInterval     units.Duration `toml:"heard" default:"2s" doc:"The size follows the request rate: each upstream of the subset is to get a request about this often, so that what is known of it is recent."`
	RemoteZoneFraction float64        `toml:"away" default:"0.25" doc:"The fraction of the subset that is in other zones, for the time when this zone is cut off."`
	ShrinkDelay        units.Duration `toml:"settle" default:"30s" doc:"How long the request rate has to call for a smaller size before the subset shrinks."`
	GrowDelay          units.Duration `toml:"grow" default:"3s" doc:"How long the request rate has to call for a larger size before the subset grows. Until then all requests go to the fewer upstreams."`
	SlowStartWindow    units.Duration `toml:"warm" default:"10s" doc:"An upstream that started less than this ago is warming up. Where more than half of the subset is warming up, warm upstreams are borrowed."`
}

// Default returns the options that apply where the operator's file sets none.
func Default() Options {
	return Options{Index: -1, MinSize: 12, MaxSize: 128, SampleInterval: units.Duration(2 * time.Second), RemoteZoneFraction: 0.25,
		ShrinkDelay: units.Duration(30 * time.Second), GrowDelay: units.Duration(3 * time.Second), SlowStartWindow: units.Duration(10 * time.Second)}
}

// Check reports options that can't be used; it implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.MinSize < 1 || o.MaxSize < o.MinSize || o.MaxSize > maxMembers {
		report("most", "least (%d) and most (%d) must be from 1 to %d, and least must not exceed most", o.MinSize, o.MaxSize, maxMembers)
	}
	if o.FleetSize < 0 || o.FleetSize > maxFleetSize {
		report("sidecars", "%d is not in the range from 0 to %d", o.FleetSize, maxFleetSize)
	}
	if o.Index < -1 || o.Index >= 0 && o.Index >= o.FleetSize {
		report("index", "%d must be -1, or from 0 on and below sidecars (%d)", o.Index, o.FleetSize)
	}
	if !(o.RemoteZoneFraction >= 0 && o.RemoteZoneFraction < 1) {
		report("away", "%v is not a fraction from 0 on and below 1", o.RemoteZoneFraction)
	}
	if o.SampleInterval <= 0 {
		report("heard", "must be above 0s, since the size of the subset is calculated from it")
	}
}
