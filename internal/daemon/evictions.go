package daemon

import (
	"time"

	"orchiddrift/internal/server/downstream"
)

// evictionLogInterval is how often evicted connections are logged at most.
const evictionLogInterval = time.Second

// logEvictions logs how many connections of clients were closed because others needed their places, until the daemon ends.
func (d *daemon) logEvictions(connections *downstream.Connections) {
	ticker := time.NewTicker(evictionLogInterval)
	defer ticker.Stop()
	var logged downstream.Evictions
	for {
		select {
		case <-d.background.Done():
			return
		case <-ticker.C:
		}
		if evictions := connections.Evictions(); evictions != logged {
			logged = evictions
			d.log.Info("connections were closed for new ones", "total", evictions, "open", connections.Count(), "limit", connections.Limit())
		}
	}
}
