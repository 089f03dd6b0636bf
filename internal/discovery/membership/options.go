package membership

import (
	"time"

	"orchiddrift/internal/units"
)

// Options are the parameters of a Merge. They are the table [membership] of the operator's configuration file.
type Options struct {
	SilentSourceHold    units.Duration `toml:"hold" default:"15m" doc:"How long the last list of a silent source counts in full. After that the other sources take precedence over it, and the upstreams that only it lists are withdrawn a tenth at a time, as long as another source is healthy."`
	RemovalHold         units.Duration `toml:"gone_holds" default:"30s" doc:"How long a source that no longer lists an upstream outweighs another source that reports the upstream as up."`
	MassRemovalFraction float64        `toml:"doubt_part" default:"0.5" doc:"If a source removes more than this fraction of its upstreams at once, the removals are ignored for doubt_for. A drain always takes effect immediately."`
	MassRemovalWindow   units.Duration `toml:"doubt_within" default:"5s" doc:"Removals within this time count as removed at once."`
	MassRemovalHold     units.Duration `toml:"doubt_for" default:"60s" doc:"How long such removals are ignored. 0s: every removal takes effect immediately."`
	MaxFlaps            int            `toml:"flaps" default:"4" doc:"An upstream that has stopped being ready this often within flap_within is held back when it comes back. 0: never."`
	FlapWindow          units.Duration `toml:"flap_within" default:"60s" doc:"The time within which flaps are counted."`
	FlapHold            units.Duration `toml:"flap_hold" default:"10s" doc:"How long a flapping upstream is held back after it last stopped being ready. No more than a quarter of the upstreams are held back."`
	StartTimeTolerance  units.Duration `toml:"same_start" default:"60s" doc:"Start times from different sources that differ by no more than this belong to the same process."`
}

// Default returns the default options.
func Default() Options {
	return Options{SilentSourceHold: units.Duration(15 * time.Minute), RemovalHold: units.Duration(30 * time.Second), MassRemovalFraction: 0.5,
		MassRemovalWindow: units.Duration(5 * time.Second), MassRemovalHold: units.Duration(time.Minute), MaxFlaps: 4,
		FlapWindow: units.Duration(time.Minute), FlapHold: units.Duration(10 * time.Second), StartTimeTolerance: units.Duration(time.Minute)}
}

// Check reports invalid options. It implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.SilentSourceHold < units.Duration(time.Second) {
		report("hold", "%v is less than one second", o.SilentSourceHold)
	}
	if !(o.MassRemovalFraction > 0 && o.MassRemovalFraction <= 1) {
		report("doubt_part", "%v is not a fraction greater than 0 and at most 1", o.MassRemovalFraction)
	}
	if o.MaxFlaps < 0 || o.MaxFlaps > maxFlapsCounted {
		report("flaps", "%d is not between 0 and %d", o.MaxFlaps, maxFlapsCounted)
	}
}
