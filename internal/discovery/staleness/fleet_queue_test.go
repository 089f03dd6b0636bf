package staleness

import (
	"testing"
	"time"
)

// TestLongQueueAfterWatchReset guards against sidecars that close calls which are still queued, so that the server spends its time on calls
// that nobody waits for. The server resets all watches, lets a call queue for at most 3 s, and needs 8 to 12 s to answer one call of each
// sidecar. All sidecars must notice a change, made 11.8 s after the start, within the notification deadline.
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
		lateRuns, worst, calls := 0, time.Duration(0), 0
		for seed := range uint64(runs) {
			scenario := fleetScenario{sidecars: load.sidecars, serviceTime: load.serviceTime, queueLimit: 3 * second,
				outageBegins: resetAt, outageEnds: resetAt + ms, changedAt: 11800 * ms}
			f := simulateFleet(scenario, seed, end)
			latest := f.latestNotice(end)
			if latest > notificationDeadline+maxNoticeDelay {
				lateRuns++
			}
			worst = max(worst, latest)
			calls += f.opened()
		}
		t.Logf("%d sidecars, %v service time per call: %d of %d runs late, change noticed after %v at most, %.1f calls per sidecar", load.sidecars, load.serviceTime,
			lateRuns, runs, worst, float64(calls)/runs/float64(load.sidecars))
		if lateRuns > 0 {
			t.Errorf("%d sidecars, %v service time per call: a sidecar misses the notification deadline in %d of %d runs, want 0", load.sidecars, load.serviceTime, lateRuns, runs)
		}
	}
}
