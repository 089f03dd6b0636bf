package engine

import (
	"log/slog"

	"orchiddrift/balancer"
	"orchiddrift/internal/clock"
)

// Options are an engine's parameters.
type Options struct {
	Settings        balancer.Settings
	Seed            uint64
	Clock           clock.Clock
	CachedEndpoints []balancer.Endpoint // the list as last held; may be stale
	Subscribe       func()              // the module asks for the list; must not block or call the engine; nil: nobody is asked
	WaitForUpdates  func()              // waits for news that is under way; asked where an attempt was not sent. nil: there is no such thing
	Log             *slog.Logger        // nil: lines are dropped. Written to without the engine's lock
	// CancelWithCaller ends a call's attempts when its caller's context ends. Without it they run on to their time-out,
	// so that what they tell of their upstreams is heard, and Do returns with them.
	CancelWithCaller bool
}
