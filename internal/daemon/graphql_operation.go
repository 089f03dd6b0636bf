package daemon

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

var _ engine.Transport = (*operation)(nil)

// operation is one GraphQL operation in flight.
type operation struct {
	transport
	call     *graphqlCall
	id       string
	decision graphql.Decision
	answer   engine.Answer
	conflict int  // HTTP status of the answer if the idempotency key conflicts, else 0
	notSent  bool // nothing was sent, since the route was removed
	metric   *metrics.Request

	failedMu       sync.Mutex
	failedResponse *upstream.Response // response of the latest attempt, if the upstream reported a failure in it
}

// run waits until the operation is admitted, and has an upstream answer it.
func (o *operation) run() {
	c, d := o.call, &o.decision
	if !o.metric.Open() {
		*o.metric = c.daemon.metrics.Start(d.Class.Name)
	}
	req := o.upstreamRequest()
	o.pool = c.service.pool
	o.request = upstream.NewRequest(req.Method, req.Target, req.Host, req.Header, d.Body)
	gate := &clientGate{routeGate: c.gate, ctx: c.r.Context(), cancel: c.cancel}
	o.request.Gate = gate
	o.request.Written, o.request.CompleteOnly = c.daemon.metrics.AttemptSent, true
	permit, rejected := c.awaitAdmission(c.r, c.service, &req, c.startedAt, len(d.Body))
	if rejected != nil {
		o.answer = *rejected
		o.checkNotSent()
		return
	}
	call := engine.Call{ID: o.id, GeneratedID: req.ID == "", Class: req.Class.Name, Tenant: req.Tenant, CostHint: req.CostHint, Deadline: c.startedAt + req.Timeout}
	if keyExecutor := c.service.executorFor(d.Class, d.Key); keyExecutor != nil {
		o.started.Add(1) // the executor's attempts for the key, also by other requests, are not counted here: one may have been sent
		o.answer, o.conflict = answerFor(c.service.executeOnce(c.r.Context(), keyedRequest{executor: keyExecutor, call: call, key: d.Key,
			method: req.Method, target: req.Target, body: d.Body, newTransport: o.newTransport}))
		o.answer = gate.answerUnseen(o.answer)
		permit.Done(controller.OutcomeOf(o.answer))
		return
	}
	o.answer = gate.answerUnseen(c.service.do(c.r.Context(), req.Class, call, o))
	permit.Done(controller.OutcomeOf(o.answer))
	o.checkNotSent()
}

// newTransport creates the transport of an operation with an idempotency key. The transport does not depend on the client, which may
// disconnect.
func (o *operation) newTransport() (engine.Transport, func()) {
	detached := &operation{transport: transport{pool: o.pool, request: o.request}, call: o.call, decision: o.decision}
	return detached, detached.release
}

// checkNotSent records whether the operation can be routed again: its route was removed and nothing was sent.
func (o *operation) checkNotSent() {
	c := o.call
	switch o.answer.Kind {
	case engine.Rejected, engine.Failed, engine.EngineClosed:
		o.notSent = c.gate.closed.Load() && o.started.Load() == 0 && c.r.Context().Err() == nil && !c.stopping.Load()
	}
}

// upstreamRequest returns the request that is sent to an upstream: a POST request with this operation alone.
func (o *operation) upstreamRequest() downstream.Request {
	c, d := o.call, &o.decision
	req := c.req
	req.Class, req.Timeout = d.Class, min(req.Timeout, d.Class.Deadline)
	if req.CostHint == 0 {
		req.CostHint = d.CostHint
	}
	req.Method = http.MethodPost
	if c.entries > 1 { // the operations of a batch have different headers
		req.Header = maps.Clone(req.Header)
	}
	for _, name := range [...]string{"Accept", "Accept-Encoding", "Content-Encoding", "Content-Type"} {
		delete(req.Header, name)
	}
	req.Header["Accept"] = []string{c.media}
	req.Header["Content-Type"] = []string{graphql.MediaJSON}
	if given := req.Header[httpheader.RequestID]; len(given) == 0 || given[0] == c.id {
		req.Header[httpheader.RequestID] = []string{o.id}
	}
	if c.r.Method == http.MethodGet {
		req.Target, _, _ = strings.Cut(req.Target, "?")
	}
	if c.service.admission.Load() != nil { // the queue's fingerprint has to differ between operations, which all have the same path
		req.IdempotencyKey = strconv.FormatUint(xxhash.Sum64(d.Body), 16)
	}
	return req
}

// RoundTrip implements engine.Transport. An upstream's answer is classified before the balancer gets the result.
func (o *operation) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	started := time.Now()
	response := o.attempt(ctx, a)
	if response.Result != balancer.OK {
		o.setFailed(nil)
		return engine.AttemptResult{Result: response.Result}
	}
	endpoint := o.call.endpoint
	switch endpoint.Classify(response.Status, response.Body, response.Header.Get("Content-Encoding") != "") {
	case graphql.Served:
		if response.Status == http.StatusOK {
			endpoint.RecordDuration(&o.decision, time.Since(started))
		}
		o.retain(response)
		return engine.AttemptResult{Result: balancer.OK, Value: &response}
	case graphql.NotExecuted:
		o.pool.Free(response)
		o.setFailed(nil)
		return engine.AttemptResult{Result: balancer.Rejected}
	case graphql.UpstreamFailed:
		o.retain(response)
		o.setFailed(&response)
		return engine.AttemptResult{Result: balancer.ServerError}
	}
	o.pool.Free(response)
	o.setFailed(nil)
	return engine.AttemptResult{Result: balancer.Malformed}
}

func (o *operation) setFailed(response *upstream.Response) {
	o.failedMu.Lock()
	defer o.failedMu.Unlock()
	o.failedResponse = response
}

// upstreamFailure returns the upstream's answer that reports its failure, if the operation ended with one.
func (o *operation) upstreamFailure() *upstream.Response {
	o.failedMu.Lock()
	defer o.failedMu.Unlock()
	if o.answer.Kind != engine.Failed {
		return nil
	}
	return o.failedResponse
}

// operationFailure is the outcome of an operation that was not served, and the body that reports it.
type operationFailure struct {
	status  int
	outcome graphql.EntryOutcome
	body    []byte
}

// failure describes how an operation that was not served ended.
func (o *operation) failure() operationFailure {
	switch o.answer.Kind {
	case engine.Rejected:
		if o.decision.Class.Idempotency == balancer.IdempotentWithKey && o.started.Load() > 0 { // a retry reaches upstreams that recognise its key
			return o.newFailure(http.StatusServiceUnavailable, graphql.MayHaveRun, graphql.CodeRefused, "refused: it may have run; trying again with the same key is harmless")
		}
		return o.newFailure(http.StatusServiceUnavailable, graphql.NotRun, graphql.CodeRefused, "refused: not done, trying again is harmless")
	case engine.Duplicate:
		if o.conflict != 0 {
			return o.newFailure(o.conflict, graphql.NotRun, graphql.CodeKeyConflict, conflictText(o.conflict))
		}
		return o.newFailure(http.StatusConflict, graphql.NotRun, graphql.CodeDuplicate, "a request of this id is in hand")
	case engine.EngineClosed:
		return o.newFailure(http.StatusInternalServerError, graphql.NotRun, graphql.CodeFailed, "stopped")
	case engine.ClientGone:
		if o.started.Load() == 0 {
			return o.newFailure(http.StatusBadGateway, graphql.NotRun, graphql.CodeFailed, "the client has left")
		}
	}
	if response := o.upstreamFailure(); response != nil {
		return operationFailure{http.StatusBadGateway, graphql.MayHaveRun, response.Body}
	}
	return o.newFailure(http.StatusBadGateway, graphql.MayHaveRun, graphql.CodeFailed, "failed: it may have run")
}

func (o *operation) newFailure(status int, outcome graphql.EntryOutcome, code, message string) operationFailure {
	details := &graphql.FailureDetails{MayHaveRun: outcome == graphql.MayHaveRun, RetryAfter: o.answer.RetryAfter}
	return operationFailure{status, outcome, graphql.ErrorBody(message, code, details)}
}
