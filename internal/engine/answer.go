package engine

import (
	"time"

	"orchiddrift/balancer"
)

// AnswerKind tells final answers apart.
type AnswerKind int

// The final answers.
const (
	Served       AnswerKind = iota
	Rejected                // not done, trying again is harmless
	Failed                  // no promise: it may have run
	Duplicate               // another call of this ID is in hand; nothing was done for this one
	ClientGone              // the caller left, by its context
	EngineClosed            // the engine is closed; nothing was done
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // of Refused: advice when to come back; 0: none
	Value      any           // of Served: the winning attempt's
	Attempts   int           // attempts that the module decided on so far

	stream *attempt
	f      *flight
	e      *Engine
}

// EndStream reports how a streamed answer ended (Reply.Streaming). Only the first call counts; for other answers it does
// nothing.
func (a Answer) EndStream(r balancer.Result) {
	if a.stream != nil {
		a.e.endStream(a.f, a.stream, r)
	}
}

func (e *Engine) endStream(f *flight, a *attempt, r balancer.Result) {
	e.lock()
	defer e.unlock()
	e.ended(f, a, AttemptResult{Result: r})
}
