package graphql

import "net/http"

// EntryOutcome is how an entry of a batch ended.
type EntryOutcome int

// The outcomes.
const (
	Answered   EntryOutcome = iota // an upstream answered, with errors or without
	NotRun                         // rejected: nothing of it has run
	MayHaveRun                     // no answer: it may have run, or may still run
)

// Batch says which entries of a batch are to be sent, and when. It is a state machine without clock: Next after the start
// and after each Done. Queries go side by side, at most so many at once; mutations go one at a time in their order, beside
// the queries: each entry is a request of its own, and nothing says that one is to see what another did, but for the
// order of mutations, which the specification has within one operation and clients expect of a list.
//
// A mutation whose end is uncertain may still be running, and one that was not run leaves a gap: what stands behind either is
// not sent, so that a client that sends it again gets the order that it asked for. An entry that was not taken leaves a gap if it
// is a mutation or its kind could not be told.
type Batch struct {
	kinds            []OperationKind
	state            []entryState
	parallel         int
	inFlight         int  // sent and not ended
	mutationInFlight bool // one of them is a mutation
	unfinished       int  // entries that have not ended
}

type entryState int8

const (
	waiting entryState = iota
	sent
	ended
	failedMutation // ended, and no mutation behind it is sent
)

// NewBatch begins a batch of these entries. Those that have a problem are not sent; their kind is Mutation if it is not known.
func NewBatch(kinds []OperationKind, problems []*Problem, parallel int) *Batch {
	b := &Batch{kinds: kinds, state: make([]entryState, len(kinds)), parallel: max(1, parallel), unfinished: len(kinds)}
	for i, p := range problems {
		if p != nil {
			b.finish(i, kinds[i] != Mutation)
		}
	}
	return b
}

func (b *Batch) finish(i int, succeeded bool) {
	b.unfinished--
	if b.state[i] = ended; b.kinds[i] == Mutation && !succeeded {
		b.state[i] = failedMutation
	}
}

// Next appends the entries that are to be sent now to send, and those that end without being sent to drop.
func (b *Batch) Next(send, drop []int) (_, _ []int) {
	mutationBlocked, mutationFailed := b.mutationInFlight, false // for the mutations behind
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

// BatchStatus is the HTTP status of a batch's answer by its entries' ends: 200 where one of them has an answer or failed by its own
// mistake, else 503 where none has run, else 502.
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
