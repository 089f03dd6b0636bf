package graphql

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Any batch: each entry ends once, as many queries side by side as may, one mutation at a time in order, and none behind one
// that has no good end.
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
			t.Fatalf("mutations went as %v", r.mutations)
		}
		for i := range r.kinds {
			if r.ended[i] != 1 {
				t.Fatalf("entry %d ended %d times", i, r.ended[i])
			}
		}
	})
}

// batchRun is a batch of random entries and what became of them.
type batchRun struct {
	batch     *Batch
	kinds     []OperationKind
	parallel  int
	inFlight  []int
	mutations []int // in the order in which they were sent
	outcomes  map[int]EntryOutcome
	ended     map[int]int // how often, by entry
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

// next sends what is to be sent, and checks that it may be.
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
				t.Fatalf("%d is sent, with %d before it: %v %v", i, j, finished, outcome)
			}
		}
	}
	if len(r.inFlight) > r.parallel || mutations > 1 || !r.batch.Finished() && len(r.inFlight) == 0 {
		t.Fatalf("%v are in flight, %d mutations", r.inFlight, mutations)
	}
}

// finishOne ends one entry in flight with a random outcome.
func (r *batchRun) finishOne(t *rapid.T) {
	at := rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "ends")
	i := r.inFlight[at]
	r.inFlight = slices.Delete(r.inFlight, at, at+1)
	r.end(i, EntryOutcome(rapid.IntRange(0, 2).Draw(t, "how")))
	r.batch.Done(i, r.outcomes[i])
	r.batch.Done(i, Answered) // counts once
}

func TestBatchStatus(t *testing.T) {
	noProblems, oneProblem := []*Problem{nil, nil}, []*Problem{nil, {}}
	for _, c := range []struct {
		outcomes []EntryOutcome
		problems []*Problem
		want     int
	}{{[]EntryOutcome{Answered, MayHaveRun}, noProblems, 200}, {[]EntryOutcome{NotRun, NotRun}, noProblems, 503}, {[]EntryOutcome{NotRun, MayHaveRun}, noProblems, 502}, {[]EntryOutcome{NotRun, NotRun}, oneProblem, 200}} {
		if got := BatchStatus(c.outcomes, c.problems); got != c.want {
			t.Errorf("%v: %d", c.outcomes, got)
		}
	}
}
