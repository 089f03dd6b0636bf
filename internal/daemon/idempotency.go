package daemon

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	"orchiddrift/balancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/upstream"
)

// replayedHeader marks an answer that was stored for an earlier request with the same key.
const replayedHeader = "Idempotent-Replayed"

// executorStep becomes executor.Options.Step. Only tests set it.
var executorStep func(step string)

// openExecutor returns the executor for a service's idempotency keys, and opens it if that has not been done before. It returns nil if the
// plan has no settings for idempotency keys. An executor outlives its service, so that the keys survive a reload that replaces the service,
// or removes it for a while.
func (sh *sharedResources) openExecutor(plan config.ServicePlan) (*executor.Executor, error) {
	if plan.Idempotency == nil {
		return nil, nil
	}
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	if keyExecutor := sh.executors[plan.Name]; keyExecutor != nil {
		keyExecutor.Configure(plan.Idempotency.Options, executor.DedupWindows(&plan.Settings.Settings))
		return keyExecutor, nil
	}
	keyExecutor, err := executor.Open(sh.filesCtx, *plan.Idempotency, plan.Name, &plan.Settings.Settings, sh.fileLockTimeout,
		executor.Options{Clock: sh.clock, Log: sh.log.With("service", plan.Name), Step: executorStep})
	if err != nil {
		return nil, fmt.Errorf("repeats: %w", err)
	}
	if sh.executors == nil {
		sh.executors = map[string]*executor.Executor{}
	}
	sh.executors[plan.Name] = keyExecutor
	if sh.keyExchange != nil {
		keyExecutor.SetPeer(keyPeer{sh.keyExchange, plan.Name})
	}
	return keyExecutor, nil
}

// setKeyExchange makes all executors ask the other process of a replacement, also those that are opened later.
func (sh *sharedResources) setKeyExchange(exchange *keyExchange) {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	sh.keyExchange = exchange
	for name, x := range sh.executors {
		x.SetPeer(keyPeer{exchange, name})
	}
}

// allExecutors returns the executors in no particular order.
func (sh *sharedResources) allExecutors() []*executor.Executor {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	return slices.Collect(maps.Values(sh.executors))
}

// awaitKeyExchange waits until a successor has received all settled keys.
func (sh *sharedResources) awaitKeyExchange() {
	sh.executorsMu.Lock()
	exchange := sh.keyExchange
	sh.executorsMu.Unlock()
	if exchange != nil {
		exchange.sending.Wait()
	}
}

// clearKeyExchange makes the executors ask no more, unless another exchange has replaced this one.
func (sh *sharedResources) clearKeyExchange(exchange *keyExchange) {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	if sh.keyExchange != exchange {
		return
	}
	sh.keyExchange = nil
	for _, x := range sh.executors {
		x.SetPeer(nil)
	}
}

// executorOf returns the executor of a service, or nil if the service has none.
func (sh *sharedResources) executorOf(service string) *executor.Executor {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	return sh.executors[service]
}

// abortExecutors makes all executors stop waiting for other processes.
func (sh *sharedResources) abortExecutors() {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	for _, x := range sh.executors {
		x.Abort()
	}
}

// closeExecutors closes all executors. The engines of their services have been closed before.
func (sh *sharedResources) closeExecutors() {
	sh.executorsMu.Lock()
	defer sh.executorsMu.Unlock()
	for _, x := range sh.executors {
		x.Close()
	}
}

// setExecutor applies a plan's settings for idempotency keys.
func (s *service) setExecutor(plan config.ServicePlan) error {
	x, err := s.shared.openExecutor(plan)
	if err != nil {
		return fmt.Errorf("service %s: %w", plan.Name, err)
	}
	s.executor.Store(x)
	return nil
}

// executorFor returns the executor for a request with the key. It returns nil if the sidecar does not recognise retries of the request.
func (s *service) executorFor(class *balancer.Class, key string) *executor.Executor {
	if class.Idempotency != balancer.IdempotentWithKey || key == "" {
		return nil
	}
	return s.executor.Load()
}

// idempotentTransport records the attempts of a request with a key before it sends them.
type idempotentTransport struct {
	engine.Transport
	service    *service
	recorder   executor.AttemptRecorder
	mayHaveRun *atomic.Int64 // number of attempts that may have been executed
}

// RoundTrip implements engine.Transport.
func (t idempotentTransport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	attempt := idempotency.Attempt{Zone: a.Zone, Cell: a.Cell, SentAt: t.service.shared.clock.Now()}
	t.recorder.AttemptStarted(attempt)
	t.mayHaveRun.Add(1)
	result := t.Transport.RoundTrip(ctx, a)
	switch result.Result {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		t.recorder.AttemptNotExecuted(attempt)
		t.mayHaveRun.Add(-1)
	}
	return result
}

// keyedRequest is a request with an idempotency key.
type keyedRequest struct {
	executor       *executor.Executor
	call           engine.Call
	key            string
	method, target string
	body           []byte
	// newTransport creates the transport of the attempts; release frees their responses.
	newTransport func() (t engine.Transport, release func())
}

func (r *keyedRequest) id() idempotency.ID {
	return idempotency.ID{Tenant: r.call.Tenant, Class: r.call.Class, Key: r.key}
}

// fingerprint distinguishes different requests with the same key.
func (r *keyedRequest) fingerprint() (f idempotency.Fingerprint) {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00", r.method, r.target) // a hash never fails
	h.Write(r.body)
	copy(f[:], h.Sum(nil))
	return f
}

// executeOnce returns the outcome of the first request with the key. If this request is the first, it runs independently of its client,
// which may disconnect while other clients wait for the outcome.
func (s *service) executeOnce(ctx context.Context, request keyedRequest) executor.Result {
	ctx, cancel := context.WithTimeout(ctx, request.call.Deadline-s.shared.clock.Now())
	defer cancel()
	return request.executor.Do(ctx, request.id(), request.fingerprint(),
		func(interest context.Context, earlier []idempotency.Attempt, recorder executor.AttemptRecorder) executor.Outcome {
			return s.execute(request, interest, earlier, recorder)
		})
}

// execute runs a request with a key. The context interest ends once no client waits for the request. earlier has the previous attempts with
// the key that may have been executed.
func (s *service) execute(request keyedRequest, interest context.Context, earlier []idempotency.Attempt,
	recorder executor.AttemptRecorder) executor.Outcome {
	transport, release := request.newTransport()
	defer release()
	call := request.call
	for _, a := range earlier {
		call.EarlierAttempts = append(call.EarlierAttempts, balancer.EarlierAttempt{Zone: a.Zone, Cell: a.Cell, SentAt: a.SentAt})
	}
	call.Interest = interest
	var mayHaveRun atomic.Int64
	answer := s.engine.Do(context.Background(), call, idempotentTransport{transport, s, recorder, &mayHaveRun})
	switch answer.Kind {
	case engine.Served:
		response := answer.Value.(*upstream.Response)
		return executor.Outcome{Verdict: idempotency.Replay,
			Answer: &idempotency.Answer{Status: response.Status, Header: response.Header, Body: response.Body}}
	case engine.Rejected, engine.Duplicate, engine.EngineClosed:
		return executor.Outcome{Verdict: idempotency.Reject, RetryAfter: answer.RetryAfter}
	case engine.ClientGone: // no client waits for the answer any more
		if mayHaveRun.Load() == 0 && len(earlier) == 0 {
			return executor.Outcome{Verdict: idempotency.Reject}
		}
	}
	return executor.Outcome{Verdict: idempotency.Fail}
}

// answerFor translates a Result into an answer of the engine. conflict is the HTTP status of the answer if the key conflicts with the
// request, and 0 if there is no conflict.
func answerFor(r executor.Result) (answer engine.Answer, conflict int) {
	switch {
	case r.ClientLeft:
		return engine.Answer{Kind: engine.ClientGone, MayHaveRun: true}, 0 // for another client, or later
	case r.Verdict == idempotency.Replay:
		return engine.Answer{Kind: engine.Served, Value: storedResponse(r)}, 0
	case r.Verdict == idempotency.Reject:
		return engine.Answer{Kind: engine.Rejected, RetryAfter: r.RetryAfter}, 0
	case r.Verdict == idempotency.Conflict:
		return engine.Answer{Kind: engine.Duplicate}, http.StatusUnprocessableEntity
	case r.Verdict == idempotency.AnswerNotStored:
		return engine.Answer{Kind: engine.Duplicate}, http.StatusConflict
	}
	return engine.Answer{Kind: engine.Failed}, 0
}

// storedResponse returns the answer of a Result. The answer has replayedHeader if it was stored for an earlier request.
func storedResponse(r executor.Result) *upstream.Response {
	response := &upstream.Response{Status: r.Answer.Status, Header: r.Answer.Header, Body: r.Answer.Body}
	if r.Executed {
		return response
	}
	response.Header = maps.Clone(response.Header)
	if response.Header == nil {
		response.Header = http.Header{}
	}
	response.Header.Set(replayedHeader, "true")
	return response
}

// conflictText returns why a key conflicts with a request.
func conflictText(status int) string {
	if status == http.StatusUnprocessableEntity {
		return "the key was used for another request"
	}
	return "a request of this key was answered; its answer was too large to be kept"
}
