package downstream

import (
	"sync/atomic"
	"time"

	"orchiddrift/internal/server/framing"
)

// stallTime is how long the head of a request may take, and how long a client may send nothing of a body that is being read, before its
// connection may be evicted: a request that has not come completely has not been taken.
const stallTime = 500 * time.Millisecond

// processStart is the origin of the times of arrivals, which are spans of monotonic time.
var processStart = time.Now()

// arrival records how long a connection's client has not gone on with a request that it has begun. The connection's reader calls readBegins
// and readEnds.
type arrival struct {
	awaitedSince atomic.Int64 // since when bytes of a head or body are awaited, in nanoseconds after processStart; 0 if none are
	complete     atomic.Int64 // requests that have come completely
	ended        atomic.Int64 // requests that were answered
	partialSince atomic.Int64 // since when a part of a request has come, and not all of it, in nanoseconds after processStart; 0 if none has
}

// readBegins records that a read begins: from then on the client may be late with the bytes of a body.
func (a *arrival) readBegins(requests *framing.Detector) {
	if requests.InBody() {
		a.awaitedSince.Store(int64(time.Since(processStart)))
	}
}

// readEnds records what a read has brought. A head is awaited from its first byte on, however many bytes follow one by one.
func (a *arrival) readEnds(requests *framing.Detector) {
	a.complete.Store(requests.Complete())
	switch {
	case !requests.InHead() && !requests.InBody():
		a.partialSince.Store(0)
	case a.partialSince.Load() == 0:
		a.partialSince.Store(int64(time.Since(processStart)))
	}
	switch {
	case !requests.InHead():
		a.awaitedSince.Store(0)
	case a.awaitedSince.Load() == 0:
		a.awaitedSince.Store(int64(time.Since(processStart)))
	}
}

// requestEnded records that a request was answered.
func (a *arrival) requestEnded() { a.ended.Add(1) }

// behind reports whether bytes of a later request have been read. inFlight is the number of requests that were read completely and are not
// answered.
func (a *arrival) behind(inFlight int64) bool {
	return a.complete.Load() > a.ended.Load()+inFlight || a.partialSince.Load() != 0
}

// inFlight reports whether a request has been read completely and is not answered.
func (a *arrival) inFlight() bool { return a.complete.Load() > a.ended.Load() }

// receivingFor returns how long the client has been sending a request that has not come completely, if no other request is in flight.
func (a *arrival) receivingFor(now time.Time) time.Duration {
	since := a.partialSince.Load()
	if since == 0 || a.complete.Load() != a.ended.Load() {
		return 0
	}
	return now.Sub(processStart) - time.Duration(since)
}

// stalled reports whether the client has begun a request and not gone on with it for stallTime, and no other request is in flight.
func (a *arrival) stalled(now time.Time) bool {
	since := a.awaitedSince.Load()
	return since != 0 && a.complete.Load() == a.ended.Load() && now.Sub(processStart)-time.Duration(since) >= stallTime
}
