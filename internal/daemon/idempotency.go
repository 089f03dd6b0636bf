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

// executorStep is a test's: see repeatkeeper.Options.Step.
var executorStep func(step string)

// openExecutor finds or makes the keeper of a service's keys. It outlives the service: one that a reload starts anew, or takes
// away for a while, knows its keys again.
func (sh *sharedResources) openExecutor(plan config.ServicePlan) (*executor.Executor, error) {
	if plan.Idempotency == nil {
		return nil, nil
	}
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	if k := sh.executors[plan.Name]; k != nil {
		k.Configure(plan.Idempotency.Options, executor.DedupWindows(&plan.Settings.Settings))
		return k, nil
	}
	k, err := executor.Open(sh.filesCtx, *plan.Idempotency, plan.Name, &plan.Settings.Settings, sh.fileLockTimeout, executor.Options{Clock: sh.clock,
		Log: sh.log.With("service", plan.Name), Step: executorStep})
	if err != nil {
		return nil, fmt.Errorf("repeats: %w", err)
	}
	if sh.executors == nil {
		sh.executors = map[string]*executor.Executor{}
	}
	sh.executors[plan.Name] = k
	return k, nil
}

// abortExecutors ends what waits for other processes.
func (sh *sharedResources) abortExecutors() {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	for _, k := range sh.executors {
		k.Abort()
	}
}

// closeExecutors ends all keepers; their engines are closed.
func (sh *sharedResources) closeExecutors() {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	for _, k := range sh.executors {
		k.Close()
	}
}

// setExecutor takes over what a plan says of repeats.
func (s *service) setExecutor(plan config.ServicePlan) error {
	k, err := s.shared.openExecutor(plan)
	if err != nil {
		return fmt.Errorf("service %s: %w", plan.Name, err)
	}
	s.executor.Store(k)
	return nil
}

// executorFor tells whether a request's repeats are looked for.
func (s *service) executorFor(class *balancer.Class, key string) *executor.Executor {
	if class.Idempotency != balancer.IdempotentWithKey || key == "" {
		return nil
	}
	return s.executor.Load()
}

// idempotentTransport are a keyed request's: what may have run is noted before it is sent.
type idempotentTransport struct {
	engine.Transport
	service    *service
	recorder   executor.AttemptRecorder
	mayHaveRun *atomic.Int64 // of them, so many
}

// RoundTrip is engine.Transport's.
func (c idempotentTransport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	x := idempotency.Attempt{Zone: a.Zone, Cell: a.Cell, SentAt: c.service.shared.clock.Now()}
	c.recorder.AttemptStarted(x)
	c.mayHaveRun.Add(1)
	r := c.Transport.RoundTrip(ctx, a)
	switch r.Result {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		c.recorder.AttemptNotSent(x)
		c.mayHaveRun.Add(-1)
	}
	return r
}

// executeOnce gives a keyed request the end of the first one of its key. It runs apart from its clients where it is the first: carrier makes
// what carries out its attempts, and end gives back what those held.
func (s *service) executeOnce(ctx context.Context, k *executor.Executor, call engine.Call, key, method, target string, body []byte,
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
			a := s.engine.Do(context.Background(), call, idempotentTransport{c, s, sends, &mayRun})
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

// replayedHeader marks an answer that an earlier request of its key has had.
const replayedHeader = "Idempotent-Replayed"

// answerFor is a Result as the engine would have told it; conflict is not 0 where it has no word for it.
func answerFor(r executor.Result) (a engine.Answer, conflict int) {
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
			rep.Header.Set(replayedHeader, "true")
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
