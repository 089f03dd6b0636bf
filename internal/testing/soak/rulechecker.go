package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule names a rule that operators expect the program to keep.
type Rule string

// The rules.
const (
	RuleDrain        Rule = "drain"     // no attempt reaches a draining upstream later than Grace after the sidecar was notified of the drain
	RuleLost         Rule = "lost"      // each accepted request gets its response in time
	RuleDuplicate    Rule = "duplicate" // a non-idempotent request is executed at most once
	RuleRefusal      Rule = "refusal"   // a rejected non-idempotent request has not been executed
	RuleDisconnected Rule = "gone"      // no attempt begins after its client has disconnected
	RuleDeadline     Rule = "deadline"  // no attempt's timeout exceeds the time until its client's deadline
	RuleCrash        Rule = "crash"     // no process ends by itself
	RuleReady        Rule = "ready"     // a restarted process is ready in time
)

// The tolerances of the rules, and the allowances for delays on a busy machine.
const (
	notifyTimeout   = 6 * time.Second // longest time from a change to its notification while discovery is up
	drainSlack      = 50 * time.Millisecond
	pauseSlack      = maxPause // a sidecar can be paused between reading the clock and sending the attempt
	answerSlack     = 500 * time.Millisecond
	disconnectSlack = 100 * time.Millisecond
	deadlineSlack   = 150 * time.Millisecond
	readyTimeout    = 10 * time.Second
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
	c := ruleChecker{Record: r, requests: map[RequestID]*Request{}, attempts: map[RequestID][]Attempt{}}
	for i := range r.Requests {
		c.requests[r.Requests[i].ID] = &r.Requests[i]
	}
	for _, a := range r.Attempts {
		c.attempts[a.Request] = append(c.attempts[a.Request], a)
	}
	c.checkAttempts()
	c.checkRequests()
	c.checkRuns()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return c.findings
}

type ruleChecker struct {
	*Record
	requests map[RequestID]*Request
	attempts map[RequestID][]Attempt
	findings []Finding
}

func (c *ruleChecker) report(f Finding, format string, args ...any) {
	f.Why = fmt.Sprintf(format, args...)
	c.findings = append(c.findings, f)
}

func (c *ruleChecker) checkAttempts() {
	for _, a := range c.Attempts {
		q := c.requests[a.Request]
		if q == nil {
			c.report(Finding{Rule: RuleDuplicate, At: a.At, Upstream: a.Upstream, Request: a.Request}, "an upstream got a request that no client sent")
			continue
		}
		finding := Finding{At: a.At, Request: a.Request, Sidecar: q.Sidecar, Upstream: a.Upstream}
		if late := a.At - c.drainKnownAt(a.Upstream, q.Sidecar, a.At); late > c.Grace+drainSlack+pauseSlack+machineSlack {
			finding.Rule = RuleDrain
			c.report(finding, "the attempt began %v after the sidecar was notified of the drain", late)
		}
		if q.DisconnectedAt > 0 && a.At > q.DisconnectedAt+disconnectSlack+pauseSlack+machineSlack {
			finding.Rule = RuleDisconnected
			c.report(finding, "the attempt began %v after the client had disconnected", a.At-q.DisconnectedAt)
		}
		if left := q.SentAt + q.Deadline - a.At; a.Timeout > left+deadlineSlack+machineSlack {
			finding.Rule = RuleDeadline
			c.report(finding, "the attempt announced a timeout of %v, but the client had %v left", a.Timeout, left)
		}
	}
}

// drainKnownAt returns the time at which a sidecar knew that an upstream drains or is removed. It considers the process of the sidecar that ran at
// the time at. If the upstream had not changed by that time, or no process had been started, it returns a time in the far future.
func (c *ruleChecker) drainKnownAt(upstream string, sidecar int, at time.Duration) time.Duration {
	knownAt := time.Duration(1<<62 - 1)
	i := slices.IndexFunc(c.Changes, func(candidate Change) bool { return candidate.Upstream == upstream })
	if i < 0 || c.Changes[i].At > at {
		return knownAt
	}
	change := c.Changes[i]
	run := c.runAt(sidecar, at)
	if run == nil {
		return knownAt
	}
	knownAt = c.notificationDeadline(max(change.At, run.From))
	for _, w := range c.Writes {
		if w.Sidecar == sidecar && w.Version >= change.Version && w.At >= run.From {
			knownAt = min(knownAt, w.At)
		}
	}
	return knownAt
}

// notificationDeadline returns the time by which a sidecar must know a change even if no write to it was recorded. This is notifyTimeout after the
// change, or notifyTimeout after the end of an outage of discovery that begins before this time.
func (c *ruleChecker) notificationDeadline(at time.Duration) time.Duration {
	due := at + notifyTimeout
	for _, outage := range c.Outages { // in order of time
		if outage.From < due && outage.To > at {
			due = outage.To + notifyTimeout
		}
	}
	return due
}

// runAt returns the last process of a sidecar that was started at or before a time, or nil if there is none.
func (c *ruleChecker) runAt(sidecar int, at time.Duration) *ProcessRun {
	for i := range slices.Backward(c.Runs) {
		if run := &c.Runs[i]; run.Sidecar == sidecar && run.From <= at {
			return run
		}
	}
	return nil
}

func (c *ruleChecker) checkRequests() {
	for i := range c.Requests {
		q := &c.Requests[i]
		finding := Finding{At: q.SentAt, Request: q.ID, Sidecar: q.Sidecar}
		ran := c.executions(q.ID)
		if q.Effect == Unsafe && ran > 1 {
			finding.Rule = RuleDuplicate
			c.report(finding, "the non-idempotent request was executed %d times", ran)
		}
		if q.Effect == Unsafe && ran > 0 && (q.Status == 503 || q.Status == 429) {
			finding.Rule = RuleRefusal
			c.report(finding, "the request was rejected with status %d, but was executed", q.Status)
		}
		c.checkAnswer(q, finding)
	}
}

// checkAnswer checks that a request got its response in time. It ignores requests whose client disconnected, whose connection was refused, or
// whose process was killed.
func (c *ruleChecker) checkAnswer(q *Request, finding Finding) {
	if q.DisconnectedAt > 0 || q.Refused || c.hitByKill(q) {
		return
	}
	finding.Rule = RuleLost
	took := q.Ended - q.SentAt
	switch {
	case q.Status == 0:
		c.report(finding, "the client got no response within %v: %s", took, q.Failure)
	case took > q.Deadline+answerSlack+pauseSlack+machineSlack:
		c.report(finding, "the response took %v, with a deadline of %v", took, q.Deadline)
	}
}

func (c *ruleChecker) hitByKill(q *Request) bool {
	return slices.ContainsFunc(c.Runs, func(run ProcessRun) bool {
		return run.Sidecar == q.Sidecar && run.Killed && q.SentAt <= run.To+machineSlack && q.Ended >= run.To-machineSlack
	})
}

// executions returns the number of attempts of a request that an upstream may have executed.
func (c *ruleChecker) executions(id RequestID) int {
	n := 0
	for _, a := range c.attempts[id] {
		if !a.Rejected {
			n++
		}
	}
	return n
}

func (c *ruleChecker) checkRuns() {
	for _, run := range c.Runs {
		finding := Finding{At: run.To, Sidecar: run.Sidecar}
		if run.Crashed != "" {
			finding.Rule = RuleCrash
			c.report(finding, "the process crashed: %s", run.Crashed)
		}
		if started := run.From; started > 0 && (run.Ready == 0 || run.Ready > started+readyTimeout) {
			finding.Rule, finding.At = RuleReady, started
			c.report(finding, "the process was not ready within %v", readyTimeout)
		}
	}
}
