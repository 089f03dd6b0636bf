package endpoints

import (
	"context"
	"time"
)

// DrainGrace is how long after a Source was told that an upstream wants nothing new the last may still be sent.
const DrainGrace = 250 * time.Millisecond

// Source follows one list of upstreams, wherever that is kept.
type Source interface {
	// Run follows it until ctx ends, and tells sink. Of one Source it is called once.
	Run(ctx context.Context, sink Sink)
	// Ask wants the list again: the module has been told that it is lost. It does not block.
	Refresh()
}

// Sink takes what a Source hears. A Source calls it from one goroutine at a time. No call may block for long: news of a
// drain may wait behind it.
type Sink interface {
	// Update brings the whole list, or what changed in it. When it returns nothing new is sent against it.
	Update(*List)
	// Heard says that the source stands, and that there is nothing new since the version last held.
	Current()
	// Lost says that the source is silent or broken; what it told last may be old by now. Where again is false it waits
	// for Ask.
	Lost(err error, again bool)
}
