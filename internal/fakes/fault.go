package fakes

import "time"

// FaultKind is what goes wrong.
type FaultKind int

// The faults. Those that a transport can't show in its own way are said for it in brackets.
const (
	Slow             FaultKind = iota // work takes Factor times as long
	Freeze                            // nothing moves
	Reject                            // full: turned away unseen, with the platform's mark
	Fail                              // runs, then answers an error (500; INTERNAL)
	FailNotExecuted                   // answers an error without a run and without the mark
	ResetBefore                       // breaks the connection before it runs
	ResetAfter                        // runs, then breaks the connection
	LoseAnswer                        // runs, then says nothing
	Hang                              // does not run, says nothing
	Malformed                         // runs, then answers what can't be read
	Truncate                          // runs, then breaks the connection within the answer
	RefuseStream                      // gRPC: REFUSED_STREAM [HTTP: Reject]
	ErrorNotExecuted                  // GraphQL: an error whose code says that it did not run [Reject]
	ErrorExecuted                     // GraphQL: runs, then answers an error without data [Fail]
	GoAway                            // gRPC: GOAWAY below the stream; the connection takes no more [HTTP: Reject, closes]
)

// Fault is one line of a node's script. Times count from the node's start.
type Fault struct {
	Kind     FaultKind
	From, To time.Duration // To 0: for ever
	Every    time.Duration // within that it comes back this often,
	For      time.Duration // and stays for this long; Every 0: all the time
	Share    float64       // of the requests that it strikes; 0: all
	Factor   float64       // of Slow
	Class    string        // only this class; empty: all
}

// active tells whether the fault is on at t, and when that changes next; 0: never.
func (f *Fault) active(t time.Duration) (on bool, change time.Duration) {
	switch {
	case t < f.From:
		return false, f.From
	case f.To > 0 && t >= f.To:
		return false, 0
	case f.Every <= 0:
		return true, f.To
	}
	phase := (t - f.From) % f.Every
	if on = phase < f.For; on {
		change = t - phase + f.For
	} else {
		change = t - phase + f.Every
	}
	if f.To > 0 {
		change = min(change, f.To)
	}
	return on, change
}
