package graphql

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// In a random batch each entry must end once, at most the configured number of entries may be in flight, and mutations must be sent one
// at a time in order. No mutation may be sent after one that was not answered.
func TestBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newBatchRun(t)
		for !r.batch.Finished() {
			r.next(t)
			if len(r.inFlight) == 0 {
				break
			}
			r.finishOne(t)
		}
		if !slices.IsSorted(r.mutations) {
			t.Fatalf("mutations were sent in the order %v, want ascending", r.mutations)
		}
		for i := range r.kinds {
			if r.ended[i] != 1 {
				t.Fatalf("entry %d ended %d times, want once", i, r.ended[i])
			}
		}
	})
}

// batchRun runs a batch of random entries and records their outcomes.
type batchRun struct {
	batch     *Batch
	kinds     []OperationKind
	parallel  int
	inFlight  []int
	mutations []int // in the order in which they were sent
	outcomes  map[int]EntryOutcome
	ended     map[int]int // number of ends, by entry
}

func newBatchRun(t *rapid.T) *batchRun {
	n, parallel := rapid.IntRange(1, 12).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "parallel")
	kinds, problems := make([]OperationKind, n), make([]*Problem, n)
	for i := range n {
		kinds[i] = OperationKind(rapid.IntRange(0, 1).Draw(t, "kind"))
		if rapid.IntRange(0, 5).Draw(t, "problem") == 0 {
			problems[i] = &Problem{}
		}
	}
	r := &batchRun{batch: NewBatch(kinds, problems, parallel), kinds: kinds, parallel: parallel, outcomes: map[int]EntryOutcome{}, ended: map[int]int{}}
	for i, p := range problems {
		if p != nil {
			r.end(i, NotRun)
		}
	}
	return r
}

func (r *batchRun) end(i int, outcome EntryOutcome) {
	r.outcomes[i] = outcome
	r.ended[i]++
}

// next sends the entries that the batch returns, and checks that they may be sent.
func (r *batchRun) next(t *rapid.T) {
	send, drop := r.batch.Next(nil, nil)
	for _, i := range drop {
		r.end(i, NotRun)
	}
	r.inFlight = append(r.inFlight, send...)
	mutations := 0
	for _, i := range r.inFlight {
		if r.kinds[i] == Mutation {
			mutations++
		}
	}
	for _, i := range send {
		if r.kinds[i] != Mutation {
			continue
		}
		r.mutations = append(r.mutations, i)
		for j := range i {
			if outcome, finished := r.outcomes[j]; r.kinds[j] == Mutation && (!finished || outcome != Answered) {
				t.Fatalf("mutation %d was sent before mutation %d was answered: ended %v, outcome %v", i, j, finished, outcome)
			}
		}
	}
	if len(r.inFlight) > r.parallel || mutations > 1 || !r.batch.Finished() && len(r.inFlight) == 0 {
		t.Fatalf("entries %v are in flight, %d of them mutations: too many, or none although the batch has not finished", r.inFlight, mutations)
	}
}

// finishOne ends one entry in flight with a random outcome.
func (r *batchRun) finishOne(t *rapid.T) {
	at := rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "ends")
	i := r.inFlight[at]
	r.inFlight = slices.Delete(r.inFlight, at, at+1)
	r.end(i, EntryOutcome(rapid.IntRange(0, 2).Draw(t, "how")))
	r.batch.Done(i, r.outcomes[i])
	r.batch.Done(i, Answered) // a second call has no effect
}

func TestBatchStatus(t *testing.T) {
	noProblems, oneProblem := []*Problem{nil, nil}, []*Problem{nil, {}}
	for _, c := range []struct {
		outcomes []EntryOutcome
		problems []*Problem
		want     int
	}{{[]EntryOutcome{Answered, MayHaveRun}, noProblems, 200}, {[]EntryOutcome{NotRun, NotRun}, noProblems, 503},
		{[]EntryOutcome{NotRun, MayHaveRun}, noProblems, 502}, {[]EntryOutcome{NotRun, NotRun}, oneProblem, 200}} {
		if got := BatchStatus(c.outcomes, c.problems); got != c.want {
			t.Errorf("BatchStatus of outcomes %v is %d, which is not the expected status", c.outcomes, got)
		}
	}
}
