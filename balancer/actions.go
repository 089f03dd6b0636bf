package balancer

import (
	"fmt"
	"time"
)

// ActionKind says what an Action asks for.
type ActionKind int

// What a driver can be asked to do.
const (
	Send      ActionKind = iota // start the request's next attempt at Upstream, and end it after Timeout
	Cancel                      // stop waiting for attempt number Attempt
	Reject                      // final answer: not executed, or repeating it does no harm; RetryAfter is advice
	Fail                        // final answer: the request may have run
	SetTimer                    // report TimerFired at FireAt; an earlier SetTimer may be dropped
	Subscribe                   // ask for the endpoint list and its changes
	Log                         // write Text to the operators' log; it is about Upstream if that is set
)

// Action is one thing to do. Only the fields that belong to its Kind are set.
type Action struct {
	Kind       ActionKind
	ID         string
	Upstream   string
	Zone       string // of Upstream, with Send
	Cell       int    // of Upstream, with Send
	Attempt    int
	Timeout    time.Duration
	SendBy     time.Duration // clock time, with Send: its last byte is written by then, or it is NotSent; 0: no bound
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
