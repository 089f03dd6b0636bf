package admission

import "time"

type entryState int8

const (
	entryFree     entryState = iota // unused, or Arrive has not decided on its request yet
	entryQueued                     // waits in its flow
	entryAdmitted                   // in flight
)

// entry is a request between its arrival and its end. Entries are reused.
type entry struct {
	index, generation uint32 // position in Queue.entries and number of its use; together they are the ticket
	state             entryState
	reserved          bool // its client came back at its reserved time
	pastObjective     bool // its latency objective passed before it arrived or while it waited
	flow              *flow
	class             *classStats

	costHint       time.Duration
	estimatedCost  float64 // in seconds
	priorityWeight float64 // its class's priority weight, lowered once the latency objective has passed
	bytes          int64
	fingerprint    uint64

	arrivedAt   time.Duration
	admittedAt  time.Duration
	objectiveAt time.Duration // when its latency objective passes
	deadline    time.Duration
	timeoutAt   time.Duration // when Queue.advance demotes or rejects it

	prev, next                 *entry // in its entryList
	prevReserved, nextReserved *entry // in Queue.reservedLane
	timeoutIndex               int    // in Queue.timeouts; -1 if the entry is not in it
}

func (e *entry) ticket() Ticket { return Ticket(e.generation)<<32 | Ticket(e.index) }

// expectedServiceTime returns the mean time in flight of requests of its class.
func (e *entry) expectedServiceTime() time.Duration { return seconds(e.class.meanCost) }

// latestStart returns when a queued request must be admitted to meet its latency objective or, once that has passed,
// its deadline. The expected service time counts for at most half of the time between arrival and objective or
// deadline.
func (e *entry) latestStart() time.Duration {
	if e.pastObjective {
		return e.deadline - min(e.expectedServiceTime(), (e.deadline-e.arrivedAt)/2)
	}
	return min(e.objectiveAt-min(e.expectedServiceTime(), (e.objectiveAt-e.arrivedAt)/2), e.deadline)
}

// newEntry returns an unused entry.
func (q *Queue) newEntry() *entry {
	if n := len(q.freeEntries); n > 0 {
		e := q.entries[q.freeEntries[n-1]]
		q.freeEntries = q.freeEntries[:n-1]
		*e = entry{index: e.index, generation: e.generation, timeoutIndex: -1}
		return e
	}
	e := &entry{index: uint32(len(q.entries)), generation: 1, timeoutIndex: -1}
	q.entries = append(q.entries, e)
	return e
}

// releaseEntry frees an entry for reuse and invalidates its ticket.
func (q *Queue) releaseEntry(e *entry) {
	f := e.flow
	if e.state == entryFree { // its request was rejected on arrival
		f.arriving, f.group.arriving = false, false
	}
	e.state, e.flow, e.class = entryFree, nil, nil
	e.generation++
	q.freeEntries = append(q.freeEntries, e.index)
	q.forgetFlow(f)
}

// lookup returns the entry of a ticket if it is in the given state, and nil otherwise.
func (q *Queue) lookup(t Ticket, state entryState) *entry {
	i := int(uint32(t))
	if i >= len(q.entries) {
		return nil
	}
	if e := q.entries[i]; e.generation == uint32(t>>32) && e.state == state {
		return e
	}
	return nil
}
