package fakes

import "time"

// FaultKind is the kind of a fault.
type FaultKind int

// The kinds of faults. Some faults exist only in one protocol, which is named first in their
// comment. Where brackets follow, they name the fault that nodes of the other protocols show
// instead.
const (
	Slow             FaultKind = iota // requests take Factor times as long
	Freeze                            // the node makes no progress on any request
	Reject                            // the node rejects requests as if it were full, and marks them as not processed as the platform does
	Fail                              // the node executes the request, then answers with an error (HTTP 500, gRPC INTERNAL)
	FailNotExecuted                   // the node answers with an error without executing the request, and does not mark it as not processed
	ResetBefore                       // the node resets the connection before it executes the request
	ResetAfter                        // the node executes the request, then resets the connection
	LoseAnswer                        // the node executes the request, then never answers
	Hang                              // the node neither executes nor answers the request
	Malformed                         // the node executes the request, then answers with bytes that cannot be parsed
	Truncate                          // the node executes the request, then resets the connection in the middle of the answer
	RefuseStream                      // gRPC: the node resets the stream with REFUSED_STREAM [HTTP: Reject]
	ErrorNotExecuted                  // GraphQL: the node answers with an error code for requests that were not executed [others: Reject]
	ErrorExecuted                     // GraphQL: the node executes the request, then answers with an error and no data [others: Fail]
	GoAway                            // gRPC: the node sends a GOAWAY that excludes the stream and all new ones [HTTP: Reject, and the connection is closed]
)

// Fault is one scheduled fault of a node. Times count from the node's creation.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration // if To is 0, the fault does not end
	Every    time.Duration // period of a fault that recurs between From and To; 0 means that the fault is active all the time
	For      time.Duration // time for which the fault is active in each period
	Share    float64       // fraction of the requests that the fault affects; 0 means all of them
	Factor   float64       // factor of a Slow fault
	Class    string        // class of the requests that the fault affects; empty means all classes
}

// active reports whether the fault is active at t, and returns the time at which this changes next.
// The time is 0 if it never changes.
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
