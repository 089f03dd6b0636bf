package endpoints

import (
	"context"
	"time"
)

// DrainGrace is the time for which requests may still be sent to an endpoint after a Source was notified that the endpoint is draining.
const DrainGrace = 250 * time.Millisecond

// Source follows one endpoint list, such as that of a discovery service or a file.
type Source interface {
	// Run follows the list until ctx is done and reports to sink. It is called at most once.
	Run(ctx context.Context, sink Sink)
	// Refresh requests the list again and does not block. It is called after the balancer was notified that the list is lost.
	Refresh()
}

// Sink receives the reports of a Source, which calls it from one goroutine at a time. The methods must not block for long, since a
// blocked call delays the notification of the next draining endpoint.
type Sink interface {
	// Update applies a snapshot or an incremental change. After Update has returned, requests are sent only
	// to instances that the list reports as ready.
	Update(*List)
	// Current reports that the source is healthy and that the list has not changed since the last version.
	Current()
	// Lost reports that the source is silent or has failed, so that its last list may be out of date. If retries is false, the source waits
	// for Refresh; otherwise it retries by itself.
	Lost(err error, retries bool)
}
