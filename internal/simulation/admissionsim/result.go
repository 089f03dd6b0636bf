package admissionsim

import (
	"slices"
	"time"
)

// ClientResult is the outcome of one client's traffic. Counts are of requests, unless they say attempts.
type ClientResult struct {
	FirstRequests   int // requests, without retries
	WithinObjective int // answered within the latency objective
	Late            int // answered after it
	Rejected        int // rejected for good
	Failed          int
	Attempts        int

	// Attempts that were sent after waiting for a Retry-After with a reservation, and those of them that were answered.
	ReservedReturns, ReservedServed int

	AdmittedFirst   int // first attempts that were admitted
	AdmittedRetries int // retries that were admitted without having waited for Retry-After

	// Attempts that were sent after waiting for a Retry-After without a reservation, and those of them that were answered.
	UnreservedReturns, UnreservedServed int

	Latencies   []time.Duration // of answered requests, from their first attempt
	ServiceTime time.Duration   // that the nodes spent on this client's requests

	WithinObjectiveByInterval []float64 // answers within the latency objective, by the time of the answer
}

// Quantile returns a quantile of the latencies; 0 without any. It sorts Latencies.
func (r *ClientResult) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	slices.Sort(r.Latencies)
	return r.Latencies[min(len(r.Latencies)-1, int(q*float64(len(r.Latencies))))]
}

// Result is the result of a run.
type Result struct {
	Clients            []ClientResult // in the order of Run.Clients
	Utilization        float64        // fraction of the nodes' time in which they served requests
	Wasted             float64        // fraction of the nodes' time spent on late answers and on attempts that had already ended
	InFlightByInterval []float64      // mean number of requests in flight in each interval
}

// Jain returns R. Jain's fairness index (1984): 1 where all values are equal, 1/n where one of n has everything.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum, squares = sum+v, squares+v*v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// RelativeTo returns a client's share divided by the share that it has without other clients; 1 if the latter is 0.
func RelativeTo(share, alone float64) float64 {
	if alone == 0 {
		return 1
	}
	return share / alone
}
