package engine

import (
	"time"

	"orchiddrift/balancer"
)

// AnswerKind classifies final answers.
type AnswerKind int

// The final answers.
const (
	Served       AnswerKind = iota // an attempt succeeded, or its streamed answer has begun
	Rejected                       // not executed: the caller may retry
	Failed                         // may have been executed
	Duplicate                      // another call with this ID is in flight, or may have run and must not run twice; this call was not processed
	ClientGone                     // the caller's context ended first
	EngineClosed                   // the engine is closed; the call was not processed
)

// Answer is the final answer to a call.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // if Rejected: how long to wait before a retry; 0 if there is no advice
	Value      any           // if Served: AttemptResult.Value of the successful attempt
	Attempts   int           // number of attempts started before the answer
	MayHaveRun bool          // if ClientGone: an upstream may have executed the request, or may do so yet

	// Set for a streamed answer only; see EndStream.
	engine  *Engine
	call    *callState
	attempt *attempt
}

// EndStream reports how a streamed answer (see AttemptResult.Streaming) ended. Only the first call has an effect. For
// an answer that is not streamed, EndStream has no effect. It may be called from any goroutine.
func (a Answer) EndStream(result balancer.Result) {
	if a.attempt == nil {
		return
	}
	a.engine.lock()
	defer a.engine.unlock()
	a.engine.endAttempt(a.call, a.attempt, AttemptResult{Result: result})
}
