package admissionsim

import (
	"slices"
	"time"
)

// ClientResult is what one client saw.
type ClientResult struct {
	FirstRequests, WithinObjective, Late, Rejected, Failed int // first requests, and how they ended in the end
	Attempts                                               int // with repeats
	ReservedReturns, ReservedServed                        int // came back when promised, and were served then
	AdmittedFirst, AdmittedRetries                         int // first tries, and others that came unbidden, that went on
	UnreservedReturns, UnreservedServed                    int // came back when told without a promise, and were served then
	Latencies                                              []time.Duration
	ServiceTime                                            time.Duration // that nodes did for it
	WithinObjectiveByInterval                              []float64     // answers in their aim, by time of the answer
}

// Quantile is of the time from the first try to the answer.
func (s *ClientResult) Quantile(q float64) time.Duration {
	if len(s.Latencies) == 0 {
		return 0
	}
	slices.Sort(s.Latencies)
	return s.Latencies[min(len(s.Latencies)-1, int(q*float64(len(s.Latencies))))]
}

// Result is what a run came to.
type Result struct {
	Clients            []ClientResult
	Utilization        float64   // part of the nodes' time that was work
	Wasted             float64   // part of it for answers that nobody waited for, or that were late
	InFlightByInterval []float64 // mean number beyond the gate, by bin
}

// Jain is R. Jain's index of fairness (1984) of some figures: 1 where all are equal, 1/n where one has all.
func Jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum, squares = sum+v, squares+v*v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(x)) * squares)
}

// RelativeTo is one share over another, 1 where there was nothing to get.
func RelativeTo(with, alone float64) float64 {
	if alone == 0 {
		return 1
	}
	return with / alone
}
