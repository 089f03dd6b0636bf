package staleness

import (
	"fmt"
	"time"
)

// Options are the parameters of a Machine.
type Options struct {
	Pushed     bool          // a local agent receives the list. Calls to it are cheap, and a change counts as notified when the agent has it
	MaxPollAge time.Duration // how long a polled list is valid without a watch; 0 means 10 s
	FleetSize  int           // number of sidecars that follow the same list
	DrainGrace time.Duration // how long requests may be sent after a change counts as notified; 0, or more than 250 ms, means 250 ms
}

// Describe returns the timeouts that apply to a list as text, for `orchiddrift check`.
func (o Options) Describe() string {
	if o.Pushed {
		return fmt.Sprintf("pushed: a watch that breaks is opened again within %v, one that is silent doubted after %v",
			o.gracePercent(pushedMaxBackoffPercent)*3/2, silenceTimeout)
	}
	return fmt.Sprintf("asked: a watch doubted after %v of silence, the list too old after %v of it, or %v without a watch",
		silenceTimeout, notificationDeadline, o.maxPollAge())
}

func (o *Options) maxPollAge() time.Duration {
	if o.MaxPollAge > 0 {
		return o.MaxPollAge
	}
	return defaultMaxPollAge
}

// grace returns the drain grace for a pushed list. It is DrainGrace, but at most maxPushedGrace, or maxPushedGrace if DrainGrace is 0.
func (o *Options) grace() time.Duration {
	if o.DrainGrace > 0 {
		return min(o.DrainGrace, maxPushedGrace)
	}
	return maxPushedGrace
}

func (o *Options) gracePercent(percent int) time.Duration {
	return o.grace() * time.Duration(percent) / 100
}

// perSidecar multiplies a duration by the fleet size. A fleet of more than maxCountedSidecars counts as maxCountedSidecars.
func (o *Options) perSidecar(each time.Duration) time.Duration {
	return time.Duration(min(o.FleetSize, maxCountedSidecars)) * each
}

// stalePollInterval returns the interval, before its jitter, at which a stale list is polled.
func (o *Options) stalePollInterval() time.Duration {
	return min(max(minStalePollInterval, o.perSidecar(stalePollIntervalPerSidecar)), maxBackoff)
}

// backoffLimit returns the longest backoff without its jitter. With the jitter a backoff is still shorter than MaxPollAge.
func (o *Options) backoffLimit() time.Duration {
	return min(maxBackoff, o.maxPollAge()*maxPollAgeNumerator/maxPollAgeDenominator)
}
