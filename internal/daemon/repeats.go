package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"

	"orchiddrift/balancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/upstream"
)

// repeatStep is a test's: see repeatkeeper.Options.Step.
var repeatStep func(step string)

// openRepeats finds or makes the keeper of a service's keys. It outlives the service: one that a reload starts anew, or takes
// away for a while, knows its keys again.
func (sh *shared) openRepeats(plan config.ServicePlan) (*executor.Executor, error) {
	if plan.Idempotency == nil {
		return nil, nil
	}
	sh.repeatsMu.Lock()
	defer sh.repeatsMu.Unlock()
	if k := sh.repeats[plan.Name]; k != nil {
		k.Configure(plan.Idempotency.Options, executor.DedupWindows(&plan.Settings.Settings))
		return k, nil
	}
	k, err := executor.Open(sh.filesCtx, *plan.Idempotency, plan.Name, &plan.Settings.Settings, sh.filesPatience, executor.Options{Clock: sh.clock,
		Log: sh.log.With("service", plan.Name), Step: repeatStep})
	if err != nil {
		return nil, fmt.Errorf("repeats: %w", err)
	}
	if sh.repeats == nil {
		sh.repeats = map[string]*executor.Executor{}
	}
	sh.repeats[plan.Name] = k
	return k, nil
}

// abortRepeats ends what waits for other processes.
func (sh *shared) abortRepeats() {
	sh.repeatsMu.Lock()
	defer sh.repeatsMu.Unlock()
	for _, k := range sh.repeats {
		k.Abort()
	}
}

// closeRepeats ends all keepers; their engines are closed.
func (sh *shared) closeRepeats() {
	sh.repeatsMu.Lock()
	defer sh.repeatsMu.Unlock()
	for _, k := range sh.repeats {
		k.Close()
	}
}

// setRepeats takes over what a plan says of repeats.
func (s *service) setRepeats(plan config.ServicePlan) error {
	k, err := s.shared.openRepeats(plan)
	if err != nil {
		return fmt.Errorf("service %s: %w", plan.Name, err)
	}
	s.repeats.Store(k)
	return nil
}

// keyed tells whether a request's repeats are looked for.
func (s *service) keyed(class *balancer.Class, key string) *executor.Executor {
	if class.Idempotency != balancer.IdempotentWithKey || key == "" {
		return nil
	}
	return s.repeats.Load()
}

// attempts are a keyed request's: what may have run is noted before it is sent.
type attempts struct {
	engine.Transport
	s      *service
	sends  executor.AttemptRecorder
	mayRun *atomic.Int64 // of them, so many
}

// RoundTrip is engine.Transport's.
func (c attempts) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	x := idempotency.Attempt{Zone: a.Zone, Cell: a.Cell, SentAt: c.s.shared.clock.Now()}
	c.sends.AttemptStarted(x)
	c.mayRun.Add(1)
	r := c.Transport.RoundTrip(ctx, a)
	switch r.Result {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		c.sends.AttemptNotSent(x)
		c.mayRun.Add(-1)
	}
	return r
}

// once gives a keyed request the end of the first one of its key. It runs apart from its clients where it is the first: carrier makes
// what carries out its attempts, and end gives back what those held.
func (s *service) once(ctx context.Context, k *executor.Executor, call engine.Call, key, method, target string, body []byte,
	carrier func() (c engine.Transport, end func())) executor.Result {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", method, target) // a hash takes everything
	h.Write(body)
	ctx, cancel := context.WithTimeout(ctx, call.Deadline-s.shared.clock.Now())
	defer cancel()
	return k.Do(ctx, idempotency.ID{Tenant: call.Tenant, Class: call.Class, Key: key}, idempotency.Fingerprint(h.Sum(nil)[:16]),
		func(wanted context.Context, prior []idempotency.Attempt, sends executor.AttemptRecorder) executor.Outcome {
			c, end := carrier()
			defer end()
			for _, x := range prior {
				call.EarlierAttempts = append(call.EarlierAttempts, balancer.EarlierAttempt{Zone: x.Zone, Cell: x.Cell, SentAt: x.SentAt})
			}
			call.Interest = wanted
			var mayRun atomic.Int64
			a := s.engine.Do(context.Background(), call, attempts{c, s, sends, &mayRun})
			switch a.Kind {
			case engine.Served:
				rep := a.Value.(*upstream.Response)
				return executor.Outcome{Verdict: idempotency.Replay, Answer: &idempotency.Answer{Status: rep.Status, Header: rep.Header, Body: rep.Body}}
			case engine.Rejected, engine.Duplicate, engine.EngineClosed:
				return executor.Outcome{Verdict: idempotency.Reject, RetryAfter: a.RetryAfter}
			case engine.ClientGone: // all have left
				if mayRun.Load() == 0 && len(prior) == 0 {
					return executor.Outcome{Verdict: idempotency.Reject}
				}
			}
			return executor.Outcome{Verdict: idempotency.Fail}
		})
}

// replayed marks an answer that an earlier request of its key has had.
const replayed = "Idempotent-Replayed"

// answerOf is a Result as the engine would have told it; conflict is not 0 where it has no word for it.
func answerOf(r executor.Result) (a engine.Answer, conflict int) {
	switch {
	case r.ClientLeft:
		return engine.Answer{Kind: engine.ClientGone}, 0
	case r.Verdict == idempotency.Replay:
		rep := &upstream.Response{Status: r.Answer.Status, Header: r.Answer.Header, Body: r.Answer.Body}
		if !r.Executed {
			rep.Header = maps.Clone(http.Header(r.Answer.Header))
			if rep.Header == nil {
				rep.Header = http.Header{}
			}
			rep.Header.Set(replayed, "true")
		}
		return engine.Answer{Kind: engine.Served, Value: rep}, 0
	case r.Verdict == idempotency.Reject:
		return engine.Answer{Kind: engine.Rejected, RetryAfter: r.RetryAfter}, 0
	case r.Verdict == idempotency.Conflict:
		return engine.Answer{Kind: engine.Duplicate}, http.StatusUnprocessableEntity
	case r.Verdict == idempotency.AnswerNotStored:
		return engine.Answer{Kind: engine.Duplicate}, http.StatusConflict
	}
	return engine.Answer{Kind: engine.Failed}, 0
}

// conflictText words why a key stands against a request.
func conflictText(status int) string {
	if status == http.StatusUnprocessableEntity {
		return "the key was used for another request"
	}
	return "a request of this key was answered; its answer was too large to be kept"
}
