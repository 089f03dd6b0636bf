package graphql

import "net/http"

// EntryOutcome is the outcome of an entry of a batch.
type EntryOutcome int

// The outcomes of an entry.
const (
	Answered   EntryOutcome = iota // an upstream answered, with or without errors
	NotRun                         // rejected before any part of it ran
	MayHaveRun                     // no answer arrived: the entry may have run, or may still be running
)

// Batch decides which entries of a batch are sent, and when. It is a state machine without a clock: Next is called at the start and
// after each Done. A bounded number of entries is in flight at once. Mutations are sent one at a time in their order. Queries are
// sent alongside them, because each entry is a request of its own, and no specification requires that an entry sees the effects of
// another entry. Mutations have an order because the specification requires it within one operation, and clients expect it of a
// list.
//
// A mutation with an uncertain outcome may still be running, and a mutation that did not run leaves a gap in the order. The
// mutations after either are not sent, so that a client that sends them again gets the order that it asked for. A rejected entry
// leaves a gap if it is a mutation or its kind is not known.
type Batch struct {
	kinds            []OperationKind
	state            []entryState
	parallel         int
	inFlight         int  // entries that are sent and have not ended
	mutationInFlight bool // one of the entries in flight is a mutation
	unfinished       int  // entries that have not ended
}

// entryState is the state of an entry within a Batch.
type entryState int8

const (
	waiting entryState = iota
	sent
	ended
	failedMutation // ended, and no mutation after it is sent
)

// NewBatch creates a Batch with an entry for each kind. Entries with a problem are not sent. The kind of an entry is Mutation if it
// is not known.
func NewBatch(kinds []OperationKind, problems []*Problem, parallel int) *Batch {
	b := &Batch{kinds: kinds, state: make([]entryState, len(kinds)), parallel: max(1, parallel), unfinished: len(kinds)}
	for i, p := range problems {
		if p != nil {
			b.finish(i, kinds[i] != Mutation)
		}
	}
	return b
}

// finish ends an entry. A mutation that has not succeeded stops the mutations after it.
func (b *Batch) finish(i int, succeeded bool) {
	b.unfinished--
	if b.state[i] = ended; b.kinds[i] == Mutation && !succeeded {
		b.state[i] = failedMutation
	}
}

// Next appends the entries that are to be sent now to send, and the mutations that end without being sent to drop.
func (b *Batch) Next(send, drop []int) (_, _ []int) {
	mutationBlocked, mutationFailed := b.mutationInFlight, false // hold for the mutations after entry i
	for i, kind := range b.kinds {
		mutationFailed = mutationFailed || b.state[i] == failedMutation
		mutation := kind == Mutation
		switch {
		case b.state[i] != waiting || mutation && mutationBlocked:
		case mutation && mutationFailed:
			b.finish(i, false)
			drop = append(drop, i)
		case b.inFlight >= b.parallel:
			mutationBlocked = mutationBlocked || mutation
		default:
			b.state[i] = sent
			b.inFlight++
			b.mutationInFlight = b.mutationInFlight || mutation
			mutationBlocked = b.mutationInFlight
			send = append(send, i)
		}
	}
	return send, drop
}

// Done records the outcome of an entry that was sent. Later calls for the same entry have no effect.
func (b *Batch) Done(i int, outcome EntryOutcome) {
	if b.state[i] != sent {
		return
	}
	b.inFlight--
	if b.kinds[i] == Mutation {
		b.mutationInFlight = false
	}
	b.finish(i, outcome == Answered)
}

// Finished reports whether every entry has ended.
func (b *Batch) Finished() bool { return b.unfinished == 0 }

// BatchStatus returns the HTTP status of the answer to a batch: 200 if an entry has an answer or was rejected for a problem of its
// own, else 503 if no entry has run, else 502.
func BatchStatus(outcomes []EntryOutcome, problems []*Problem) int {
	uncertain := false
	for i, outcome := range outcomes {
		if problems[i] != nil || outcome == Answered {
			return http.StatusOK
		}
		uncertain = uncertain || outcome == MayHaveRun
	}
	if uncertain {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
