package membership

import (
	"time"

	"orchiddrift/internal/units"
)

// Options are the parameters of a Merge, and its table in the operator's file.
type Options struct {
	SilentSourceHold    units.Duration `toml:"hold" default:"15m" doc:"How long a silent source's last list counts in full. Then what others say goes before it, and what only it lists is withdrawn a tenth at a time, as long as another source stands."`
	RemovalHold         units.Duration `toml:"gone_holds" default:"30s" doc:"How long a source that no longer lists an upstream outweighs another that says it is up."`
	MassRemovalFraction float64        `toml:"doubt_part" default:"0.5" doc:"A source that lacks more than this part of its upstreams at once is not believed for a while. A drain always is."`
	MassRemovalWindow   units.Duration `toml:"doubt_within" default:"5s" doc:"What counts as at once."`
	MassRemovalHold     units.Duration `toml:"doubt_for" default:"60s" doc:"For how long it is not believed. 0s: everything is believed."`
	MaxFlaps            int            `toml:"flaps" default:"4" doc:"An upstream that has come back this often within flap_within is held back. 0: never."`
	FlapWindow          units.Duration `toml:"flap_within" default:"60s" doc:"See flaps."`
	FlapHold            units.Duration `toml:"flap_hold" default:"10s" doc:"How long it is held back after it was last taken out. No more than a quarter of the upstreams are."`
	StartTimeTolerance  units.Duration `toml:"same_start" default:"60s" doc:"Start times that sources give for one process differ by no more than this."`
}

// Default returns the options that hold where the operator's file gives none.
func Default() Options {
	return Options{SilentSourceHold: units.Duration(15 * time.Minute), RemovalHold: units.Duration(30 * time.Second), MassRemovalFraction: 0.5,
		MassRemovalWindow: units.Duration(5 * time.Second), MassRemovalHold: units.Duration(time.Minute), MaxFlaps: 4,
		FlapWindow: units.Duration(time.Minute), FlapHold: units.Duration(10 * time.Second), StartTimeTolerance: units.Duration(time.Minute)}
}

// Check reports options that can't be used; it implements tomlfile.Checker.
func (o *Options) Check(report func(key, format string, args ...any)) {
	if o.SilentSourceHold < units.Duration(time.Second) {
		report("hold", "%v is under a second", o.SilentSourceHold)
	}
	if !(o.MassRemovalFraction > 0 && o.MassRemovalFraction <= 1) {
		report("doubt_part", "%v is not a part, above 0 and up to 1", o.MassRemovalFraction)
	}
	if o.MaxFlaps < 0 || o.MaxFlaps > maxFlapsCounted {
		report("flaps", "%d is not from 0 to %d", o.MaxFlaps, maxFlapsCounted)
	}
}
