package engine

import (
	"log/slog"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// Options are an engine's parameters.
type Options struct {
	Settings balancer.Settings
	Seed     uint64 // of the balancer's random draws
	Clock    clock.Clock

	// CachedEndpoints is the endpoint list as last known; it may be stale.
	CachedEndpoints []balancer.Endpoint

	// Subscribe is called when the balancer needs the endpoint list. It is called with the engine's lock held: it must
	// not block or call the engine. Nil: requests for the list are ignored.
	Subscribe func()

	// WaitForUpdates waits for endpoint updates that are on their way. It is called without the lock after an attempt
	// that ended as balancer.NotSent, so that the next decision knows what prevented the attempt. Nil: no wait.
	WaitForUpdates func()

	// Log receives the balancer's log lines and the panics of Transports. It is written to without the engine's lock.
	// Nil: lines are dropped.
	Log *slog.Logger

	// CancelWithCaller cancels a call's attempts when its caller's context ends. Without it attempts run on until they
	// time out, so that the balancer learns from their outcomes, and Do returns when the attempt that it carries out has
	// ended.
	CancelWithCaller bool
}
