package balancer

import (
	"fmt"
	"time"
)

// ActionKind says what the driver has to do.
type ActionKind int

// The kinds of Action.
const (
	Send      ActionKind = iota // start the request's next attempt at Upstream, and end it after Timeout
	Cancel                      // stop waiting for attempt number Attempt
	Reject                      // final answer: the request did not run, or repeating it does no harm; RetryAfter is a hint
	Fail                        // final answer: the request may have run
	SetTimer                    // report TimerFired at FireAt; the driver may drop an earlier SetTimer
	Subscribe                   // request the endpoint list and its changes
	Log                         // write Text to the operators' log; Text is about Upstream if Upstream is set
)

// Action is one instruction to the driver. Only the fields that belong to its Kind are set.
type Action struct {
	Kind       ActionKind
	ID         string
	Upstream   string
	Zone       string // with Send: zone of Upstream
	Cell       int    // with Send: cell of Upstream
	Attempt    int
	Timeout    time.Duration
	SendBy     time.Duration // with Send: clock time by which the last byte must be written, else NotSent; 0 if there is no limit
	RetryAfter time.Duration
	FireAt     time.Duration // clock time
	Text       string
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logEvent(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Balancer) logUpstreamEvent(u *upstream, format string, args ...any) {
	b.emit(Action{Kind: Log, Upstream: u.name, Text: fmt.Sprintf(format, args...)})
}
