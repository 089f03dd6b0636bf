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

	attempt *attempt
	call    *callState
	engine  *Engine
}

// EndStream reports how a streamed answer ended (Reply.Streaming). Only the first call counts; for other answers it does
// nothing.
func (a Answer) EndStream(result balancer.Result) {
	if a.attempt != nil {
		a.engine.endStreamedAttempt(a.call, a.attempt, result)
	}
}

func (e *Engine) endStreamedAttempt(call *callState, a *attempt, result balancer.Result) {
	e.lock()
	defer e.unlock()
	e.endAttempt(call, a, AttemptResult{Result: result})
}
