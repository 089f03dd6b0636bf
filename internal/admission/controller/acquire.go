package controller

import (
	"context"
	"time"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/engine"
)

// Verdict is the result of Acquire for a request.
type Verdict int

// The verdicts of Acquire.
const (
	Admitted   Verdict = iota // Permit.Done must be called when the request has ended
	Rejected                  // the request was not executed, so a retry is safe
	ClientLeft                // the client disconnected while the request waited
)

// Permit stands for an admitted request. Its zero value is for a request that was admitted without the queue.
type Permit struct {
	controller *Controller
	ticket     admission.Ticket
}

// Done ends the request. Only the first call counts.
func (p Permit) Done(outcome admission.Outcome) {
	c := p.controller
	if c == nil {
		return
	}
	c.mu.Lock()
	if !c.bypassed {
		c.execute(c.queue.Done(c.clock.Now(), p.ticket, outcome, c.actionBuffer[:0]))
	}
	c.unlock()
}

// OutcomeOf converts the engine's final answer to the outcome that the queue learns from.
func OutcomeOf(a engine.Answer) admission.Outcome {
	switch a.Kind {
	case engine.Rejected:
		return admission.RejectedByBalancer
	case engine.ClientGone, engine.Duplicate, engine.EngineClosed:
		return admission.ClientGone
	}
	return admission.Completed
}

// Acquire blocks until a request is admitted or rejected, or ctx has ended. It fills in the Group and Flow of the
// arrival from the client. The client of a rejected request should come back after retryAfter, or gets no
// Retry-After if retryAfter is 0.
func (c *Controller) Acquire(ctx context.Context, client admission.Client, a admission.Arrival) (p Permit, v Verdict, retryAfter time.Duration) {
	c.mu.Lock()
	if c.bypassed {
		c.unlock()
		return Permit{}, Admitted, 0
	}
	a.Group, a.Flow = c.principalSources.Names(client)
	ticket, actions := c.queue.Arrive(c.clock.Now(), a, c.actionBuffer[:0])
	for _, action := range actions {
		if action.Ticket == ticket { // the queue decided at once
			c.execute(actions)
			c.unlock()
			return c.verdictOf(action)
		}
	}
	waiter := make(chan admission.Action, 1)
	c.waiters[ticket] = waiter
	c.execute(actions)
	c.unlock()
	select {
	case action := <-waiter:
		return c.verdictOf(action)
	case <-ctx.Done():
	}
	if c.cancel(ticket) {
		return Permit{}, ClientLeft, 0
	}
	return c.verdictOf(<-waiter) // the queue decided just before cancel; the caller will find that its client is gone
}

// cancel withdraws a waiting request, and reports whether it was still waiting.
func (c *Controller) cancel(ticket admission.Ticket) bool {
	c.mu.Lock()
	defer c.unlock()
	if _, waits := c.waiters[ticket]; !waits {
		return false
	}
	delete(c.waiters, ticket)
	c.execute(c.queue.Cancel(c.clock.Now(), ticket, c.actionBuffer[:0]))
	return true
}

// verdictOf returns Acquire's results for a request's action. An Admit action without a ticket comes from AdmitAll.
func (c *Controller) verdictOf(action admission.Action) (Permit, Verdict, time.Duration) {
	switch {
	case action.Kind == admission.Reject:
		return Permit{}, Rejected, c.retryAfter(action)
	case action.Ticket == 0:
		return Permit{}, Admitted, 0
	}
	return Permit{c, action.Ticket}, Admitted, 0
}

func (c *Controller) retryAfter(action admission.Action) time.Duration {
	if !c.sendRetryAfter {
		return 0
	}
	return action.RetryAfter.Round(time.Millisecond)
}
