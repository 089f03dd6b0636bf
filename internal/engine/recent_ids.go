package engine

import (
	"time"

	"orchiddrift/balancer"
)

// maxRecentIDs bounds the IDs that recentIDs holds. The oldest one is forgotten first.
const maxRecentIDs = 8192

// recentIDs holds the IDs of non-idempotent calls that may have run. A client that sends a request again after it has left, or has lost the
// answer, sends it with the same ID; it must not run twice. Engine.mu guards it.
type recentIDs struct {
	nonIdempotent map[string]bool // the classes of such calls
	retention     time.Duration   // the longest time for which a client waits
	ids           map[string]bool
	queue         []recentID // oldest first
}

// recentID is an ID and when it is forgotten.
type recentID struct {
	id    string
	until time.Duration // clock time
}

func newRecentIDs(classes []balancer.Class) *recentIDs {
	r := &recentIDs{nonIdempotent: map[string]bool{}, ids: map[string]bool{}}
	for _, class := range classes {
		if class.Idempotency == balancer.NonIdempotent {
			r.nonIdempotent[class.Name] = true
			r.retention = max(r.retention, class.Deadline)
		}
	}
	return r
}

// add remembers the ID of a call that may have run.
func (r *recentIDs) add(now time.Duration, call *callState) {
	id := call.request.ID
	if !r.nonIdempotent[call.request.Class] || r.ids[id] {
		return
	}
	r.expire(now)
	if len(r.queue) == maxRecentIDs {
		r.removeOldest()
	}
	r.ids[id] = true
	r.queue = append(r.queue, recentID{id, now + r.retention})
}

// has reports whether a call with the ID may have run.
func (r *recentIDs) has(now time.Duration, id string) bool {
	r.expire(now)
	return r.ids[id]
}

func (r *recentIDs) expire(now time.Duration) {
	for len(r.queue) > 0 && r.queue[0].until <= now {
		r.removeOldest()
	}
}

func (r *recentIDs) removeOldest() {
	delete(r.ids, r.queue[0].id)
	r.queue = r.queue[1:]
}

// mayHaveRun reports whether an upstream may have executed a request whose attempt ended with result.
func mayHaveRun(result balancer.Result) bool {
	return result != balancer.Rejected && result != balancer.ConnectFailed && result != balancer.NotSent
}
