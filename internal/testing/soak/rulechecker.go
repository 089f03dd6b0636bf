package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is one of the operators'.
type Rule string

// The rules.
const (
	RuleDrain     Rule = "drain"     // nothing goes to an upstream later than the grace behind its drain's being told
	RuleLost      Rule = "lost"      // each request that was taken gets its answer
	RuleDuplicate Rule = "duplicate" // an unsafe request runs once
	RuleRefusal   Rule = "refusal"   // a refusal of an unsafe request means that it has not run
	RuleGone      Rule = "gone"      // no attempt begins for a client that has gone
	RuleDeadline  Rule = "deadline"  // an upstream is told no more time than the client has left
	RuleCrash     Rule = "crash"     // no process ends by itself
	RuleReady     Rule = "ready"     // a restarted process is ready in time
)

// What the rules allow, and what a busy machine adds to what is seen.
const (
	toldWithin    = 6 * time.Second // a change that discovery had, and could be reached for
	drainSlack    = 50 * time.Millisecond
	heldUp        = mostPause // between reading a clock and writing
	answerSlack   = 500 * time.Millisecond
	goneSlack     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	readyWithin   = 10 * time.Second
	machineSlack  = 250 * time.Millisecond
)

// Finding is a rule that was broken.
type Finding struct {
	Rule     Rule
	At       time.Duration
	Request  RequestID
	Sidecar  int
	Upstream string
	Why      string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s at %.3f: sidecar %d, request %s, upstream %s: %s", f.Rule, f.At.Seconds(), f.Sidecar, f.Request, f.Upstream, f.Why)
}

// Judge holds a Record to the rules. Its findings are in order of time.
func Judge(r *Record) []Finding {
	j := judge{Record: r, requests: map[RequestID]*Request{}, attempts: map[RequestID][]Attempt{}}
	for i := range r.Requests {
		j.requests[r.Requests[i].ID] = &r.Requests[i]
	}
	for _, a := range r.Attempts {
		j.attempts[a.Request] = append(j.attempts[a.Request], a)
	}
	j.judgeAttempts()
	j.judgeRequests()
	j.judgeLives()
	slices.SortStableFunc(j.findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return j.findings
}

type judge struct {
	*Record
	requests map[RequestID]*Request
	attempts map[RequestID][]Attempt
	findings []Finding
}

func (j *judge) find(f Finding, format string, args ...any) {
	f.Why = fmt.Sprintf(format, args...)
	j.findings = append(j.findings, f)
}

func (j *judge) judgeAttempts() {
	for _, a := range j.Attempts {
		q := j.requests[a.Request]
		if q == nil {
			j.find(Finding{Rule: RuleDuplicate, At: a.At, Upstream: a.Upstream, Request: a.Request}, "no client sent it")
			continue
		}
		at := Finding{At: a.At, Request: a.Request, Sidecar: q.Sidecar, Upstream: a.Upstream}
		if late := a.At - j.drainTold(a.Upstream, q.Sidecar, a.At); late > j.Grace+drainSlack+heldUp+machineSlack {
			at.Rule = RuleDrain
			j.find(at, "%v after its drain was told", late)
		}
		if q.LeftAt > 0 && a.At > q.LeftAt+goneSlack+heldUp+machineSlack {
			at.Rule = RuleGone
			j.find(at, "begun %v after its client had gone", a.At-q.LeftAt)
		}
		if left := q.Begun + q.Deadline - a.At; a.Told > left+deadlineSlack+machineSlack {
			at.Rule = RuleDeadline
			j.find(at, "told %v, and its client has %v left", a.Told, left)
		}
	}
}

// drainTold is when a sidecar was told by then that an upstream drains or is gone; a moment far ahead: it was not.
func (j *judge) drainTold(upstream string, sidecar int, then time.Duration) time.Duration {
	told := time.Duration(1<<62 - 1)
	i := slices.IndexFunc(j.Changes, func(c Change) bool { return c.Upstream == upstream })
	if i < 0 || j.Changes[i].At > then {
		return told
	}
	change := j.Changes[i]
	life := j.life(sidecar, then)
	if life == nil {
		return told
	}
	told = j.reachable(max(change.At, life.From))
	for _, w := range j.Writes {
		if w.Sidecar == sidecar && w.Version >= change.Version && w.At >= life.From {
			told = min(told, w.At)
		}
	}
	return told
}

// reachable is by when a change counts as told that was made at a moment, and was written to nobody: so long after it that discovery
// could be reached throughout.
func (j *judge) reachable(at time.Duration) time.Duration {
	due := at + toldWithin
	for _, outage := range j.Outages { // in order of time
		if outage.From < due && outage.To > at {
			due = outage.To + toldWithin
		}
	}
	return due
}

// life is the last process of a sidecar that had been started by a moment.
func (j *judge) life(sidecar int, at time.Duration) *Life {
	for i := range slices.Backward(j.Lives) {
		if l := &j.Lives[i]; l.Sidecar == sidecar && l.From <= at {
			return l
		}
	}
	return nil
}

func (j *judge) judgeRequests() {
	for i := range j.Requests {
		q := &j.Requests[i]
		at := Finding{At: q.Begun, Request: q.ID, Sidecar: q.Sidecar}
		ran := j.ran(q.ID)
		if q.Effect == Unsafe && ran > 1 {
			at.Rule = RuleDuplicate
			j.find(at, "it ran %d times", ran)
		}
		if q.Effect == Unsafe && ran > 0 && (q.Status == 503 || q.Status == 429) {
			at.Rule = RuleRefusal
			j.find(at, "refused with %d, and it ran", q.Status)
		}
		j.judgeAnswer(q, at)
	}
}

// judgeAnswer: a client that left, and one whose process was killed, is owed none.
func (j *judge) judgeAnswer(q *Request, at Finding) {
	if q.LeftAt > 0 || q.Refused || j.killed(q) {
		return
	}
	at.Rule = RuleLost
	took := q.Ended - q.Begun
	switch {
	case q.Status == 0:
		j.find(at, "no answer after %v: %s", took, q.Failure)
	case took > q.Deadline+answerSlack+heldUp+machineSlack:
		j.find(at, "answered after %v of %v", took, q.Deadline)
	}
}

func (j *judge) killed(q *Request) bool {
	return slices.ContainsFunc(j.Lives, func(l Life) bool {
		return l.Sidecar == q.Sidecar && l.Killed && q.Begun <= l.To+machineSlack && q.Ended >= l.To-machineSlack
	})
}

// ran is how many attempts of a request may have run.
func (j *judge) ran(id RequestID) int {
	n := 0
	for _, a := range j.attempts[id] {
		if !a.Turned {
			n++
		}
	}
	return n
}

func (j *judge) judgeLives() {
	for _, l := range j.Lives {
		at := Finding{At: l.To, Sidecar: l.Sidecar}
		if l.Crashed != "" {
			at.Rule = RuleCrash
			j.find(at, "its process ended: %s", l.Crashed)
		}
		if begun := l.From; begun > 0 && (l.Ready == 0 || l.Ready > begun+readyWithin) {
			at.Rule, at.At = RuleReady, begun
			j.find(at, "its process was not ready in %v", readyWithin)
		}
	}
}
