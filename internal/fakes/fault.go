package fakes

import "time"

// FaultKind is the kind of a fault.
type FaultKind int

// The kinds of faults. A transport without a form of its own for a fault shows the one in brackets.
const (
	Slow             FaultKind = iota // requests take Factor times as long
	Freeze                            // the node makes no progress on any request
	Reject                            // rejects as if full, with the platform's mark that it was not processed
	Fail                              // executes, then answers with an error (500; INTERNAL)
	FailNotExecuted                   // answers with an error, without executing and without the mark
	ResetBefore                       // resets the connection before executing
	ResetAfter                        // executes, then resets the connection
	LoseAnswer                        // executes, then never answers
	Hang                              // neither executes nor answers
	Malformed                         // executes, then answers with bytes that cannot be parsed
	Truncate                          // executes, then resets the connection within the answer
	RefuseStream                      // gRPC: REFUSED_STREAM [HTTP: Reject]
	ErrorNotExecuted                  // GraphQL: an error whose code says that it was not executed [Reject]
	ErrorExecuted                     // GraphQL: executes, then answers with an error and no data [Fail]
	GoAway                            // gRPC: GOAWAY that excludes the stream and all new ones [HTTP: Reject, closes]
)

// Fault is one scheduled fault of a node. Times count from the node's creation.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration // To 0: without end
	Every    time.Duration // period at which it recurs between From and To; 0: it is active all the time
	For      time.Duration // how long it is active in each period
	Share    float64       // fraction of the requests that it affects; 0: all
	Factor   float64       // of Slow
	Class    string        // only requests of this class; empty: all
}

// active reports whether the fault is active at t, and when that changes next; 0: never.
func (f *Fault) active(t time.Duration) (isActive bool, change time.Duration) {
	switch {
	case t < f.From:
		return false, f.From
	case f.To > 0 && t >= f.To:
		return false, 0
	case f.Every <= 0:
		return true, f.To
	}
	phase := (t - f.From) % f.Every
	if isActive = phase < f.For; isActive {
		change = t - phase + f.For
	} else {
		change = t - phase + f.Every
	}
	if f.To > 0 {
		change = min(change, f.To)
	}
	return isActive, change
}
