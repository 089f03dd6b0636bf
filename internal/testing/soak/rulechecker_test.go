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

// healthy is a record without a finding: one sidecar, a drain that is written to it, one request of each effect.
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

// Guards against a referee that cannot fail: each rule is broken once in an otherwise healthy record.
func TestEachRuleIsJudged(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(r *Record)
		want []Rule
	}{
		{"healthy", func(*Record) {}, nil},
		{"after a drain was written", func(r *Record) { r.Attempts[0].Upstream = "u0" }, []Rule{RuleDrain}},
		{"within the grace of one that was written", func(r *Record) {
			r.Attempts[0].Upstream, r.Writes[1].At = "u0", 10*s-200*ms
		}, nil},
		{"after a drain that was written to nobody", func(r *Record) {
			r.Attempts[0].Upstream, r.Writes = "u0", nil
			r.Changes[0].At = 3 * s // told 6 s behind the outage
			r.Attempts[0].At, r.Attempts[0].Timeout = 10*s+900*ms, 0
		}, []Rule{RuleDrain}},
		{"before one that was written to nobody is told", func(r *Record) { r.Attempts[0].Upstream, r.Writes = "u0", nil }, nil},
		{"a new process that was told nothing", func(r *Record) {
			r.Attempts[0].Upstream = "u0"
			r.Runs[0].To = 9 * s
			r.Runs = append(r.Runs, ProcessRun{Sidecar: 0, Span: Span{From: 9500 * ms}, Ready: 9600 * ms})
		}, nil},
		{"an unsafe request that runs twice", func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{Request: "1", Upstream: "u2", At: 10*s + 5*ms, Timeout: s})
		}, []Rule{RuleDuplicate}},
		{"one that was turned away first", func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{Request: "1", Upstream: "u2", At: 10*s + 5*ms, Timeout: s, Rejected: true})
		}, nil},
		{"a request that nobody sent", func(r *Record) { r.Attempts[0].Request = "2" }, []Rule{RuleDuplicate}},
		{"refused, and it ran", func(r *Record) { r.Requests[0].Status = 503 }, []Rule{RuleRefusal}},
		{"failed, and it ran", func(r *Record) { r.Requests[0].Status = 502 }, nil},
		{"no answer", func(r *Record) { r.Requests[0].Status, r.Requests[0].Failure = 0, "EOF" }, []Rule{RuleLost}},
		{"an answer too late", func(r *Record) { r.Requests[0].Ended = 13 * s }, []Rule{RuleLost}},
		{"no answer of a killed process", func(r *Record) {
			r.Requests[0].Status, r.Runs[0].Killed, r.Runs[0].To = 0, true, 10*s+10*ms
		}, nil},
		{"no connection", func(r *Record) { r.Requests[0].Status, r.Requests[0].Refused, r.Attempts = 0, true, nil }, nil},
		{"for a client that has gone", func(r *Record) {
			r.Requests[0].DisconnectedAt = 10*s + 100*ms
			r.Attempts = append(r.Attempts, Attempt{Request: "1", Upstream: "u2", At: 10*s + 700*ms, Rejected: true})
		}, []Rule{RuleDisconnected}},
		{"more time than its client has", func(r *Record) { r.Attempts[0].Timeout = 2 * s }, []Rule{RuleDeadline}},
		{"a process that ends", func(r *Record) { r.Runs[0].Crashed = "exit status 2" }, []Rule{RuleCrash}},
		{"a process that is never ready", func(r *Record) {
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
			t.Errorf("%s: %v, want %v: %v", c.name, got, c.want, CheckRules(r))
		}
	}
}

// Guards against a seed that does not say what is played, and against steps that nobody can judge.
func TestDraw(t *testing.T) {
	for seed := range uint64(500) {
		a, b := Draw(seed, 25*s), Draw(seed, 25*s)
		if !slices.Equal(a.Steps, b.Steps) {
			t.Fatalf("seed %d: two scripts", seed)
		}
		left := map[int]bool{}
		for _, step := range a.Steps {
			if step.At < 0 || step.At > a.Length-quietEnd {
				t.Errorf("seed %d: %s at %v of %v", seed, step.Kind, step.At, a.Length)
			}
			if step.Kind == Drain || step.Kind == Remove {
				if left[step.Target] || len(left) >= a.Upstreams/drainDivisor {
					t.Errorf("seed %d: upstream %d leaves, %d before it", seed, step.Target, len(left))
				}
				left[step.Target] = true
			}
			if step.Kind == Pause && step.For > maxPause {
				t.Errorf("seed %d: held up for %v", seed, step.For)
			}
		}
	}
}
