package staleness

import (
	"testing"
	"time"
)

// TestLongQueueAfterWatchReset guards against a fleet that spends the server's time on calls which are given up: the server resets all
// watches, lets a call queue for 3 s, and needs 8 to 12 s for a call of each sidecar. What changes once it had that time is noticed by all
// within the deadline.
func TestLongQueueAfterWatchReset(t *testing.T) {
	const (
		runs    = 100
		resetAt = 40 * ms
		end     = 60 * second
	)
	for _, load := range []struct {
		sidecars    int
		serviceTime time.Duration
	}{
		{32, 250 * ms},
		{32, 380 * ms},
		{12, 700 * ms},
	} {
		late, worst, calls := 0, time.Duration(0), 0
		for seed := range uint64(runs) {
			scenario := fleetScenario{sidecars: load.sidecars, serviceTime: load.serviceTime, queueLimit: 3 * second,
				outageBegins: resetAt, outageEnds: resetAt + ms, changedAt: 11800 * ms}
			f := playFleet(scenario, seed, end)
			latest := f.latestNotice(end)
			if latest > notificationDeadline+latestNotice {
				late++
			}
			worst = max(worst, latest)
			calls += f.opened()
		}
		t.Logf("%d sidecars, %v a call: %d of %d runs late, noticed after %v at worst, %.1f calls a sidecar", load.sidecars, load.serviceTime,
			late, runs, worst, float64(calls)/runs/float64(load.sidecars))
		if late > 0 {
			t.Errorf("%d sidecars, %v a call: one misses the deadline in %d of %d runs", load.sidecars, load.serviceTime, late, runs)
		}
	}
}
