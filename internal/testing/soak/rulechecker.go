package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is a rule of the operators.
type Rule string

// The rules.
const (
	RuleDrain        Rule = "drain"     // no attempt at a draining upstream after the grace since its sidecar was notified
	RuleLost         Rule = "lost"      // each accepted request gets its answer
	RuleDuplicate    Rule = "duplicate" // an unsafe request runs once
	RuleRefusal      Rule = "refusal"   // a refusal of an unsafe request means that it has not run
	RuleDisconnected Rule = "gone"      // no attempt begins after its client has disconnected
	RuleDeadline     Rule = "deadline"  // no attempt has a longer timeout than its client has left
	RuleCrash        Rule = "crash"     // no process ends by itself
	RuleReady        Rule = "ready"     // a restarted process is ready in time
)

// The tolerances of the rules and of the observations on a busy machine.
const (
	notifyTimeout   = 6 * time.Second // from a change to its notification while discovery can be reached
	drainSlack      = 50 * time.Millisecond
	pauseSlack      = maxPause // a pause between reading a clock and writing
	answerSlack     = 500 * time.Millisecond
	disconnectSlack = 100 * time.Millisecond
	deadlineSlack   = 150 * time.Millisecond
	readyWithin     = 10 * time.Second
	machineSlack    = 250 * time.Millisecond
)

// Finding is a violation of a rule.
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

// CheckRules checks a Record against the rules and returns the violations in order of time.
func CheckRules(r *Record) []Finding {
	j := ruleChecker{Record: r, requests: map[RequestID]*Request{}, attempts: map[RequestID][]Attempt{}}
	for i := range r.Requests {
		j.requests[r.Requests[i].ID] = &r.Requests[i]
	}
	for _, a := range r.Attempts {
		j.attempts[a.Request] = append(j.attempts[a.Request], a)
	}
	j.checkAttempts()
	j.checkRequests()
	j.checkRuns()
	slices.SortStableFunc(j.findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return j.findings
}

type ruleChecker struct {
	*Record
	requests map[RequestID]*Request
	attempts map[RequestID][]Attempt
	findings []Finding
}

func (j *ruleChecker) report(f Finding, format string, args ...any) {
	f.Why = fmt.Sprintf(format, args...)
	j.findings = append(j.findings, f)
}

func (j *ruleChecker) checkAttempts() {
	for _, a := range j.Attempts {
		q := j.requests[a.Request]
		if q == nil {
			j.report(Finding{Rule: RuleDuplicate, At: a.At, Upstream: a.Upstream, Request: a.Request}, "no client sent it")
			continue
		}
		at := Finding{At: a.At, Request: a.Request, Sidecar: q.Sidecar, Upstream: a.Upstream}
		if late := a.At - j.drainKnownAt(a.Upstream, q.Sidecar, a.At); late > j.Grace+drainSlack+pauseSlack+machineSlack {
			at.Rule = RuleDrain
			j.report(at, "%v after its drain was told", late)
		}
		if q.DisconnectedAt > 0 && a.At > q.DisconnectedAt+disconnectSlack+pauseSlack+machineSlack {
			at.Rule = RuleDisconnected
			j.report(at, "begun %v after its client had gone", a.At-q.DisconnectedAt)
		}
		if left := q.SentAt + q.Deadline - a.At; a.Timeout > left+deadlineSlack+machineSlack {
			at.Rule = RuleDeadline
			j.report(at, "told %v, and its client has %v left", a.Timeout, left)
		}
	}
}

// drainKnownAt returns when a sidecar was notified, before then, that an upstream drains or is removed; a time far ahead if it was not.
func (j *ruleChecker) drainKnownAt(upstream string, sidecar int, then time.Duration) time.Duration {
	told := time.Duration(1<<62 - 1)
	i := slices.IndexFunc(j.Changes, func(c Change) bool { return c.Upstream == upstream })
	if i < 0 || j.Changes[i].At > then {
		return told
	}
	change := j.Changes[i]
	life := j.runAt(sidecar, then)
	if life == nil {
		return told
	}
	told = j.knownWithoutWrite(max(change.At, life.From))
	for _, w := range j.Writes {
		if w.Sidecar == sidecar && w.Version >= change.Version && w.At >= life.From {
			told = min(told, w.At)
		}
	}
	return told
}

// knownWithoutWrite returns by when a sidecar has to know a change that was not written to it: notifyTimeout after the change, during
// which discovery could be reached throughout.
func (j *ruleChecker) knownWithoutWrite(at time.Duration) time.Duration {
	due := at + notifyTimeout
	for _, outage := range j.Outages { // in order of time
		if outage.From < due && outage.To > at {
			due = outage.To + notifyTimeout
		}
	}
	return due
}

// runAt returns the last process of a sidecar that was started by a time; nil if there is none.
func (j *ruleChecker) runAt(sidecar int, at time.Duration) *ProcessRun {
	for i := range slices.Backward(j.Runs) {
		if l := &j.Runs[i]; l.Sidecar == sidecar && l.From <= at {
			return l
		}
	}
	return nil
}

func (j *ruleChecker) checkRequests() {
	for i := range j.Requests {
		q := &j.Requests[i]
		at := Finding{At: q.SentAt, Request: q.ID, Sidecar: q.Sidecar}
		ran := j.executions(q.ID)
		if q.Effect == Unsafe && ran > 1 {
			at.Rule = RuleDuplicate
			j.report(at, "it ran %d times", ran)
		}
		if q.Effect == Unsafe && ran > 0 && (q.Status == 503 || q.Status == 429) {
			at.Rule = RuleRefusal
			j.report(at, "refused with %d, and it ran", q.Status)
		}
		j.checkAnswer(q, at)
	}
}

// checkAnswer checks that a request got its answer in time. Clients that disconnected or whose process was killed need not get one.
func (j *ruleChecker) checkAnswer(q *Request, at Finding) {
	if q.DisconnectedAt > 0 || q.Refused || j.killed(q) {
		return
	}
	at.Rule = RuleLost
	took := q.Ended - q.SentAt
	switch {
	case q.Status == 0:
		j.report(at, "no answer after %v: %s", took, q.Failure)
	case took > q.Deadline+answerSlack+pauseSlack+machineSlack:
		j.report(at, "answered after %v of %v", took, q.Deadline)
	}
}

func (j *ruleChecker) killed(q *Request) bool {
	return slices.ContainsFunc(j.Runs, func(l ProcessRun) bool {
		return l.Sidecar == q.Sidecar && l.Killed && q.SentAt <= l.To+machineSlack && q.Ended >= l.To-machineSlack
	})
}

// executions returns the number of attempts of a request that may have been executed.
func (j *ruleChecker) executions(id RequestID) int {
	n := 0
	for _, a := range j.attempts[id] {
		if !a.Rejected {
			n++
		}
	}
	return n
}

func (j *ruleChecker) checkRuns() {
	for _, l := range j.Runs {
		at := Finding{At: l.To, Sidecar: l.Sidecar}
		if l.Crashed != "" {
			at.Rule = RuleCrash
			j.report(at, "its process ended: %s", l.Crashed)
		}
		if begun := l.From; begun > 0 && (l.Ready == 0 || l.Ready > begun+readyWithin) {
			at.Rule, at.At = RuleReady, begun
			j.report(at, "its process was not ready in %v", readyWithin)
		}
	}
}
