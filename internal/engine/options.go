package engine

import (
	"log/slog"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// Options are an engine's parameters.
type Options struct {
	Settings balancer.Settings
	Seed     uint64 // seeds the balancer's random decisions
	Clock    clock.Clock

	// CachedEndpoints is the last known endpoint list, which may be stale.
	CachedEndpoints []balancer.Endpoint

	// Subscribe is called when the balancer needs the endpoint list. It is called with the engine's lock held: it must
	// not block or call the engine. If it is nil, the balancer's requests for the list are ignored.
	Subscribe func()

	// WaitForUpdates waits until pending endpoint updates have been passed to Update. It is called without the lock
	// after an attempt that ended as balancer.NotSent, so that the next decision is based on the update that prevented
	// the attempt. If it is nil, the engine does not wait.
	WaitForUpdates func()

	// Log receives the balancer's log lines and the panics of Transports. It is written to without the engine's lock.
	// If it is nil, lines are dropped.
	Log *slog.Logger

	// History holds the IDs of non-idempotent calls. Engines for the same upstreams share it. If it is nil, the engine has one of its own.
	History *IDHistory

	// CancelWithCaller cancels a call's attempts when its caller's context ends. Without it attempts continue until
	// they end or time out, so that the balancer learns from their outcomes, and Do returns once the attempt that it
	// carries out has ended.
	CancelWithCaller bool
}
