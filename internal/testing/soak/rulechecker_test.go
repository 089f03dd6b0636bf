package soak

import (
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

// healthy returns a record that breaks no rule. It contains one sidecar, a drain of which the sidecar was notified, and one non-idempotent
// request.
func healthy() *Record {
	return &Record{Grace: 250 * ms,
		Runs:     []ProcessRun{{Sidecar: 0, Span: Span{From: 0, To: 30 * s}, Ready: 100 * ms, Terminated: 29 * s}},
		Outages:  []Span{{From: 2 * s, To: 4 * s}},
		Changes:  []Change{{Upstream: "u0", Version: 2, At: 5 * s}},
		Writes:   []Write{{Sidecar: 0, Version: 1, At: 1 * s}, {Sidecar: 0, Version: 2, At: 6 * s}},
		Requests: []Request{{ID: "1", Effect: Unsafe, SentAt: 10 * s, Deadline: s, Status: 200, Ended: 10*s + 20*ms}},
		Attempts: []Attempt{{Request: "1", Upstream: "u1", At: 10*s + ms, Timeout: s}},
	}
}

// Guards against a rule checker that misses violations. Some cases break a rule in an otherwise healthy record, and must give its violation.
// Others change the record within the rules, and must give none.
func TestEachRuleIsJudged(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *Record)
		want []Rule
	}{
		{"healthy", func(*Record) {}, nil},
		{"attempt after the grace of a drain", func(r *Record) { r.Attempts[0].Upstream = "u0" }, []Rule{RuleDrain}},
		{"attempt within the grace of a drain", func(r *Record) {
			r.Attempts[0].Upstream, r.Writes[1].At = "u0", 10*s-200*ms
		}, nil},
		{"attempt after the notification deadline of a drain without a write", func(r *Record) {
			r.Attempts[0].Upstream, r.Writes = "u0", nil
			r.Changes[0].At = 3 * s // the sidecar must know of the drain 6 s after the end of the outage
			r.Attempts[0].At, r.Attempts[0].Timeout = 10*s+900*ms, 0
		}, []Rule{RuleDrain}},
		{"attempt before the notification deadline of a drain without a write", func(r *Record) { r.Attempts[0].Upstream, r.Writes = "u0", nil }, nil},
		{"new process without a notification", func(r *Record) {
			r.Attempts[0].Upstream = "u0"
			r.Runs[0].To = 9 * s
			r.Runs = append(r.Runs, ProcessRun{Sidecar: 0, Span: Span{From: 9500 * ms}, Ready: 9600 * ms})
		}, nil},
		{"non-idempotent request executed twice", func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{Request: "1", Upstream: "u2", At: 10*s + 5*ms, Timeout: s})
		}, []Rule{RuleDuplicate}},
		{"non-idempotent request executed once and rejected once", func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{Request: "1", Upstream: "u2", At: 10*s + 5*ms, Timeout: s, Rejected: true})
		}, nil},
		{"attempt without a request", func(r *Record) { r.Attempts[0].Request = "2" }, []Rule{RuleDuplicate}},
		{"rejected, but executed", func(r *Record) { r.Requests[0].Status = 503 }, []Rule{RuleRefusal}},
		{"failed and executed", func(r *Record) { r.Requests[0].Status = 502 }, nil},
		{"no response", func(r *Record) { r.Requests[0].Status, r.Requests[0].Failure = 0, "EOF" }, []Rule{RuleLost}},
		{"response too late", func(r *Record) { r.Requests[0].Ended = 13 * s }, []Rule{RuleLost}},
		{"no response from a killed process", func(r *Record) {
			r.Requests[0].Status, r.Runs[0].Killed, r.Runs[0].To = 0, true, 10*s+10*ms
		}, nil},
		{"connection refused", func(r *Record) { r.Requests[0].Status, r.Requests[0].Refused, r.Attempts = 0, true, nil }, nil},
		{"attempt after the client disconnected", func(r *Record) {
			r.Requests[0].DisconnectedAt = 10*s + 100*ms
			r.Attempts = append(r.Attempts, Attempt{Request: "1", Upstream: "u2", At: 10*s + 700*ms, Rejected: true})
		}, []Rule{RuleDisconnected}},
		{"timeout longer than the client's remaining time", func(r *Record) { r.Attempts[0].Timeout = 2 * s }, []Rule{RuleDeadline}},
		{"process that crashes", func(r *Record) { r.Runs[0].Crashed = "exit status 2" }, []Rule{RuleCrash}},
		{"process that is never ready", func(r *Record) {
			r.Runs = append(r.Runs, ProcessRun{Sidecar: 1, Span: Span{From: 5 * s}})
		}, []Rule{RuleReady}},
	} {
		r := healthy()
		c.do(r)
		var got []Rule
		for _, f := range CheckRules(r) {
			got = append(got, f.Rule)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: rules broken: %v, want %v; findings: %v", c.name, got, c.want, CheckRules(r))
		}
	}
}

// Guards against a seed that gives different scripts, and against steps that the rule checker cannot check: steps outside the script's time, too
// many draining upstreams, and pauses beyond the tolerance.
func TestDraw(t *testing.T) {
	for seed := range uint64(500) {
		a, b := Draw(seed, 25*s), Draw(seed, 25*s)
		if !slices.Equal(a.Steps, b.Steps) {
			t.Fatalf("seed %d: two calls of Draw returned different steps", seed)
		}
		draining := map[int]bool{}
		for _, step := range a.Steps {
			if step.At < 0 || step.At > a.Length-quietEnd {
				t.Errorf("seed %d: step %s begins at %v of %v, outside the time in which steps may begin", seed, step.Kind, step.At, a.Length)
			}
			if step.Kind == Drain || step.Kind == Remove {
				if draining[step.Target] || len(draining) >= a.Upstreams/drainDivisor {
					t.Errorf("seed %d: upstream %d drains or is removed a second time, or %d other upstreams already do, which is the maximum", seed, step.Target, len(draining))
				}
				draining[step.Target] = true
			}
			if step.Kind == Pause && step.For > maxPause {
				t.Errorf("seed %d: a sidecar is paused for %v, longer than maxPause", seed, step.For)
			}
		}
	}
}
