package engine

import (
	"sync"
	"time"

	"orchiddrift/balancer"
)

// maxRecentIDs bounds the IDs that an IDHistory remembers of calls that have ended. The oldest one is forgotten first.
const maxRecentIDs = 8192

// RecentID is the ID of a call that may have run.
type RecentID struct {
	ID   string
	Left time.Duration // time until it is forgotten
}

// IDHistory holds the IDs of non-idempotent calls that are in flight, or that may have run. A client that sends a request again after it has
// left, or has lost the answer, sends it with the same ID; it must not run twice. Engines that follow each other for the same service share
// one. It is safe for concurrent use.
type IDHistory struct {
	mu       sync.Mutex
	inFlight map[string]bool
	recent   map[string]bool
	queue    []expiringID      // of recent, in the order in which they were added
	notify   func(id RecentID) // called for each call that may have run and has ended; nil if nobody wants to know
}

// expiringID is an ID and when it is forgotten.
type expiringID struct {
	id    string
	until time.Duration // clock time
}

// NewIDHistory returns an empty history.
func NewIDHistory() *IDHistory {
	return &IDHistory{inFlight: map[string]bool{}, recent: map[string]bool{}}
}

// Knows reports whether a call with the ID is in flight or may have run.
func (h *IDHistory) Knows(now time.Duration, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.knowsLocked(now, id)
}

// Add adds the ID of a call that may have run elsewhere.
func (h *IDHistory) Add(now time.Duration, id RecentID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addLocked(now, id)
}

// Notify has notify called for each call that ends from now on and may have run, and returns those that ended before. notify must not block.
// If it is nil, nothing is called any more.
func (h *IDHistory) Notify(now time.Duration, notify func(id RecentID)) (ended []RecentID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notify = notify
	h.expireLocked(now)
	for _, expiring := range h.queue {
		ended = append(ended, RecentID{expiring.id, expiring.until - now})
	}
	return ended
}

// begin records that a call is in flight. It returns false if its ID is known.
func (h *IDHistory) begin(now time.Duration, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.knowsLocked(now, id) {
		return false
	}
	h.inFlight[id] = true
	return true
}

// end records that a call has ended. retention is how long its ID is remembered, and 0 if it has not run.
func (h *IDHistory) end(now time.Duration, id string, retention time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, id)
	if retention <= 0 {
		return
	}
	recent := RecentID{id, retention}
	h.addLocked(now, recent)
	if h.notify != nil {
		h.notify(recent)
	}
}

func (h *IDHistory) knowsLocked(now time.Duration, id string) bool {
	h.expireLocked(now)
	return h.inFlight[id] || h.recent[id]
}

func (h *IDHistory) addLocked(now time.Duration, id RecentID) {
	h.expireLocked(now)
	if h.recent[id.ID] || id.Left <= 0 {
		return
	}
	if len(h.queue) == maxRecentIDs {
		h.removeOldestLocked()
	}
	h.recent[id.ID] = true
	h.queue = append(h.queue, expiringID{id.ID, now + id.Left})
}

// expireLocked forgets the IDs at the head of the queue whose time is over. An ID with a shorter time than those before it is forgotten with
// them.
func (h *IDHistory) expireLocked(now time.Duration) {
	for len(h.queue) > 0 && h.queue[0].until <= now {
		h.removeOldestLocked()
	}
}

func (h *IDHistory) removeOldestLocked() {
	delete(h.recent, h.queue[0].id)
	h.queue = h.queue[1:]
}

// nonIdempotentClasses are the classes whose calls must not run twice.
type nonIdempotentClasses struct {
	names     map[string]bool
	retention time.Duration // the longest time for which a client waits
}

func newNonIdempotentClasses(classes []balancer.Class) nonIdempotentClasses {
	n := nonIdempotentClasses{names: map[string]bool{}}
	for _, class := range classes {
		if class.Idempotency == balancer.NonIdempotent {
			n.names[class.Name] = true
			n.retention = max(n.retention, class.Deadline)
		}
	}
	return n
}

// beginCall records a call in the history. It returns false if the call must not run. e.mu must be held.
func (e *Engine) beginCall(request *Call) bool {
	return !e.remembers(request) || e.history.begin(e.clock.Now(), request.ID)
}

// remembers reports whether the history has a call: a generated ID does not come again, and another process may generate the same one.
func (e *Engine) remembers(request *Call) bool {
	return !request.GeneratedID && e.nonIdempotent.names[request.Class]
}

// endCall records the end of a call in the history. e.mu must be held.
func (e *Engine) endCall(call *callState) {
	if !e.remembers(&call.request) {
		return
	}
	retention := time.Duration(0)
	if call.mayHaveRun {
		retention = e.nonIdempotent.retention
	}
	e.history.end(e.clock.Now(), call.request.ID, retention)
}

// mayHaveRun reports whether an upstream may have executed a request whose attempt ended with result.
func mayHaveRun(result balancer.Result) bool {
	return result != balancer.Rejected && result != balancer.ConnectFailed && result != balancer.NotSent
}
