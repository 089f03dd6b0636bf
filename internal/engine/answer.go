package engine

import (
	"time"

	"orchiddrift/balancer"
)

// AnswerKind tells final answers apart.
type AnswerKind int

// The final answers.
const (
	Served       AnswerKind = iota // an attempt succeeded, or its streamed answer has begun
	Rejected                       // not executed: the caller may retry
	Failed                         // may have been executed
	Duplicate                      // another call with this ID is in flight; nothing was done for this one
	ClientGone                     // the caller's context ended first
	EngineClosed                   // the engine is closed; nothing was done
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // Rejected: when to retry; 0: no advice
	Value      any           // Served: AttemptResult.Value of the successful attempt
	Attempts   int           // attempts started up to the answer

	// Of a streamed answer; nil otherwise.
	engine  *Engine
	call    *callState
	attempt *attempt
}

// EndStream reports how a streamed answer ended (AttemptResult.Streaming). Only the first call counts; for any other
// answer it does nothing. It may be called from any goroutine.
func (a Answer) EndStream(result balancer.Result) {
	if a.attempt == nil {
		return
	}
	a.engine.lock()
	defer a.engine.unlock()
	a.engine.endAttempt(a.call, a.attempt, AttemptResult{Result: result})
}
