package endpoints

import (
	"context"
	"time"
)

// DrainGrace is how long requests may still be sent to an endpoint after a Source was notified that it drains.
const DrainGrace = 250 * time.Millisecond

// Source follows one endpoint list, wherever that is kept.
type Source interface {
	// Run follows the list until ctx ends, and reports to sink. It is called once.
	Run(ctx context.Context, sink Sink)
	// Refresh requests the list again, once the balancer was notified that it is lost. It does not block.
	Refresh()
}

// Sink takes what a Source reports. A Source calls it from one goroutine at a time. The methods must not block for long, since the
// notification of a drain may wait behind them.
type Sink interface {
	// Update applies a list or a change. When it returns, no request is sent any more that contradicts it.
	Update(*List)
	// Current reports that the source is healthy, and that there is no change since the last version.
	Current()
	// Lost reports that the source is silent or broken, so that its last list may be old. Where retries is false the source waits for
	// Refresh; otherwise it retries by itself.
	Lost(err error, retries bool)
}
