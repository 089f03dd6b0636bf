package admissionsim

import (
	"slices"
	"time"
)

// ClientResult is the outcome of one client's traffic. Its fields count requests, unless their names or comments say
// attempts.
type ClientResult struct {
	FirstRequests   int // requests that the client started; retries are not included
	WithinObjective int // requests answered within the latency objective
	Late            int // requests answered after the latency objective
	Rejected        int // requests whose last allowed attempt was rejected
	Failed          int
	Attempts        int

	// ReservedReturns counts the attempts that were sent after waiting for a Retry-After with a reservation.
	// ReservedServed counts those of them that were answered successfully.
	ReservedReturns, ReservedServed int

	AdmittedFirst   int // first attempts that were admitted
	AdmittedRetries int // retries that were admitted without having waited for Retry-After

	// UnreservedReturns counts the attempts that were sent after waiting for a Retry-After without a reservation.
	// UnreservedServed counts those of them that were answered successfully.
	UnreservedReturns, UnreservedServed int

	Latencies   []time.Duration // latencies of the answered requests, measured from their first attempt
	ServiceTime time.Duration   // time that the nodes spent on this client's requests

	WithinObjectiveByInterval []float64 // answers within the latency objective, by the interval in which they arrived
}

// Quantile returns a quantile of the latencies, or 0 if there are none. It sorts Latencies.
func (r *ClientResult) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	slices.Sort(r.Latencies)
	return r.Latencies[min(len(r.Latencies)-1, int(q*float64(len(r.Latencies))))]
}

// Result is the result of a run.
type Result struct {
	Clients            []ClientResult // results in the order of Run.Clients
	Utilization        float64        // fraction of the nodes' time in which they were serving requests
	Wasted             float64        // fraction of the nodes' time spent on late answers and on attempts that had already ended
	InFlightByInterval []float64      // mean number of requests in flight, by interval
}

// Jain returns R. Jain's fairness index (1984). It is 1 if all values are equal, and 1/n if only one of n values is not
// 0.
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

// RelativeTo returns the ratio of a client's share to the share that it has without other clients. It returns 1 if the
// latter is 0.
func RelativeTo(share, alone float64) float64 {
	if alone == 0 {
		return 1
	}
	return share / alone
}
