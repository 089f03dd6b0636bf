package daemon

import (
	"context"
	"net/http"
	"time"

	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/downstream"
	"orchiddrift/internal/upstream"
)

// clientRequest is one request of a client, on its way to its answer. It is used by the goroutine of its connection.
type clientRequest struct {
	*server
	w         http.ResponseWriter
	r         *http.Request
	cancel    context.CancelFunc // ends r's context: the client has disconnected
	startedAt time.Duration      // when its last byte arrived; before that, its head

	bodyRead    bool   // the body, or its beginning, has been read
	body        []byte // that has been read
	bodyStreams bool   // more of it follows
	bodyReader  *clientBody
	spooled     int64 // bytes that body holds of the spool

	metric       metrics.Request
	entryMetrics []metrics.Request // of a GraphQL request's operations
	truncated    bool              // its answer cannot be sent completely, and its client has to notice
}

// resolved is a request with the routing and the service that it is decided by.
type resolved struct {
	downstream.Request
	routing  *routing
	service  *service
	gate     *routeGate
	id       string
	endpoint *graphql.Endpoint  // nil: it is no GraphQL request
	executor *executor.Executor // nil: it has no idempotency key, or its service keeps none
}

// serve answers the request. A reload may retire its route or service before anything was sent: it is decided anew then.
func (c *clientRequest) serve() {
	for {
		routing := c.daemon.routing.Load()
		request, rejection := routing.checker.Check(c.r, downstream.UnambiguousFraming(c.r.Context()))
		if rejection != nil {
			c.reject(c.w, rejection)
			return
		}
		service := routing.services[request.Route.Service]
		if !service.acquire() { // a reload has just retired it: the routing is another one by now
			continue
		}
		q := &resolved{Request: request, routing: routing, service: service, gate: routing.gates[request.Route]}
		retry := c.serveResolved(q)
		service.release()
		if !retry {
			return
		}
	}
}

// serveResolved answers a request by its service. retry: it is to be decided anew.
func (c *clientRequest) serveResolved(q *resolved) (retry bool) {
	releaseCapacity, ok, retry := c.acquireCapacity(q)
	if !ok {
		return retry
	}
	defer releaseCapacity()
	q.endpoint = q.routing.graphql[q.Route.Endpoint]
	q.executor = q.service.executorFor(q.Class, q.IdempotencyKey)
	if rejection := c.receiveBody(q); rejection != nil {
		c.reject(c.w, rejection)
		return false
	}
	c.assignID(q)
	if q.endpoint != nil { // each of its operations is counted
		return c.serveGraphQL(q)
	}
	if !c.metric.Open() {
		c.metric = c.daemon.metrics.Start(q.Class.Name)
	}
	return c.forward(q)
}

// acquireCapacity reserves what the request may hold while it is in flight. If ok is false it has its answer, or is to be decided anew.
func (c *clientRequest) acquireCapacity(q *resolved) (release func(), ok, retry bool) {
	shared, name := c.daemon.shared, q.service.name
	if shared.inFlight == nil {
		return func() {}, true, false
	}
	if !shared.inFlight.TryAcquire(name, 1) {
		return nil, false, c.rejectOverloaded(q, "requests")
	}
	bytes := min(c.r.ContentLength, alwaysBufferedBytes)
	if bytes < 0 { // unknown
		bytes = alwaysBufferedBytes
	}
	if bytes > 0 && !shared.bodyBytes.TryAcquire(name, bytes) {
		retry := c.rejectOverloaded(q, "bytes")
		shared.inFlight.Release(name, 1)
		return nil, false, retry
	}
	return func() {
		if bytes > 0 {
			shared.bodyBytes.Release(name, bytes)
		}
		shared.inFlight.Release(name, 1)
	}, true, false
}

// receiveBody reads the body, or its beginning, unless an earlier decision on the request has.
func (c *clientRequest) receiveBody(q *resolved) *downstream.Rejection {
	if c.bodyRead {
		return nil
	}
	complete := q.endpoint != nil || q.executor != nil
	if rejection := c.readBody(&q.Request, q.routing.bodyTimeout, complete); rejection != nil {
		return rejection
	}
	c.bodyRead = true
	if !c.bodyStreams {
		downstream.OnClientGone(c.r.Context(), c.cancel)
	}
	c.startedAt = c.daemon.shared.clock.Now()
	return nil
}

// assignID gives the request an ID, which goes on to its upstream.
func (c *clientRequest) assignID(q *resolved) {
	q.id = q.ID
	if q.id != "" {
		return
	}
	q.id = c.ids.next()
	if len(q.Header[httpheader.RequestID]) == 0 {
		q.Header[httpheader.RequestID] = []string{q.id}
	}
}

// serveGraphQL answers a request to a GraphQL endpoint.
func (c *clientRequest) serveGraphQL(q *resolved) (retry bool) {
	call := &graphqlCall{server: c.server, w: c.w, r: c.r, cancel: c.cancel, service: q.service, req: q.Request, id: q.id,
		endpoint: q.endpoint, gate: q.gate, startedAt: c.startedAt, entryMetrics: &c.entryMetrics}
	return call.serve(c.body)
}

// forward has the request admitted and answered by an upstream.
func (c *clientRequest) forward(q *resolved) (retry bool) {
	call := engine.Call{ID: q.id, Class: q.Class.Name, Tenant: q.Tenant, CostHint: q.CostHint, Deadline: c.startedAt + q.Timeout}
	var out *upstream.Request
	if c.bodyStreams {
		out = c.upload(&q.Request, &call)
		defer out.Upload.End()
	} else {
		out = upstream.NewRequest(q.Method, q.Target, q.Host, q.Header, c.body)
	}
	out.Gate = &clientGate{routeGate: q.gate, ctx: c.r.Context(), cancel: c.cancel}
	out.Written = c.daemon.metrics.AttemptSent
	attempts := &transport{pool: q.service.pool, request: out, engine: q.service.engine}
	defer attempts.release()
	permit, rejected := c.awaitAdmission(c.r, q.service, &q.Request, c.startedAt, len(c.body))
	if rejected != nil {
		if rejected.Kind == engine.Rejected && q.gate.closed.Load() && !c.stopping.Load() {
			return true // its new route may have capacity
		}
		c.answerEarly(*rejected, out.Upload)
		return false
	}
	if q.executor != nil {
		c.forwardOnce(q, call, out, permit)
		return false
	}
	q.service.loadProbing.beforeRequest(c.r.Context())
	answer := q.service.engine.Do(c.r.Context(), call, attempts)
	permit.Done(controller.OutcomeOf(answer))
	if c.bodyStreams && answer.Kind != engine.Served {
		c.answerEarly(answer, out.Upload)
		return false
	}
	if c.mayDecideAnew(answer, q.gate, attempts) {
		return true
	}
	c.closeIfGone(answer)
	c.answer(answer)
	return false
}

// forwardOnce forwards a request with an idempotency key, unless one of its key has been answered or is in flight.
func (c *clientRequest) forwardOnce(q *resolved, call engine.Call, out *upstream.Request, permit controller.Permit) {
	out.CompleteOnly = true // the answer is stored for retries
	newTransport := func() (engine.Transport, func()) {
		attempts := &transport{pool: q.service.pool, request: out}
		return attempts, attempts.release
	}
	once := keyedRequest{executor: q.executor, call: call, key: q.IdempotencyKey, method: q.Method, target: q.Target, body: c.body,
		newTransport: newTransport}
	answer, conflict := answerFor(q.service.executeOnce(c.r.Context(), once))
	permit.Done(controller.OutcomeOf(answer))
	if conflict != 0 {
		c.writeText(c.w, conflict, conflictText(conflict))
		return
	}
	c.closeIfGone(answer)
	c.answer(answer)
}

// mayDecideAnew reports whether a request that was not served can be decided again: its route was removed and nothing was sent.
func (c *clientRequest) mayDecideAnew(answer engine.Answer, gate *routeGate, attempts *transport) bool {
	switch answer.Kind {
	case engine.Rejected, engine.Failed, engine.EngineClosed:
		return gate.closed.Load() && attempts.started.Load() == 0 && c.r.Context().Err() == nil && !c.stopping.Load()
	}
	return false
}

// closeIfGone ends the connection of a client that has disconnected. Should it still be there, it is notified.
func (c *clientRequest) closeIfGone(answer engine.Answer) {
	if answer.Kind == engine.ClientGone {
		c.w.Header().Set("Connection", "close")
	}
}

// rejectOverloaded answers a request whose service has reached its share of the limits. The balancer has not seen it, so that it does not
// count as rejected by it. retry: a reload has just changed the services.
func (c *clientRequest) rejectOverloaded(q *resolved, resource string) (retry bool) {
	if c.daemon.routing.Load() != q.routing {
		return true
	}
	if !c.metric.Open() {
		c.metric = c.daemon.metrics.Start(q.Class.Name)
	}
	c.daemon.log.Warn("bulkhead", "service", q.service.plan.Name, "reason", "no more "+resource+" in hand")
	c.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(rejectedReadTime))
	c.writeText(c.w, http.StatusInternalServerError, "not done: the service has all that it may hold in hand")
	return false
}

// answerEarly gives its final answer to a request whose body may not have arrived completely, and that was not served; upload is nil if
// it has. What the client still sends is read for a while, so that a reset does not destroy the answer.
func (c *clientRequest) answerEarly(answer engine.Answer, upload *upstream.Upload) {
	switch {
	case upload == nil:
		c.answer(answer)
	case upload.Broken(): // no upstream has begun it
		c.reject(c.w, bodyRejection(c.bodyReader.failure))
	default:
		c.releaseSpool()
		c.w.Header().Set("Connection", "close")
		c.bodyReader.interruptBy(time.Now().Add(rejectedReadTime))
		c.answer(answer)
		_ = http.NewResponseController(c.w).Flush() // a client that does not take its answer has disconnected
		upload.Drain()
	}
}

// answer gives the request its final answer.
func (c *clientRequest) answer(answer engine.Answer) {
	if answer.Kind == engine.Served {
		if response := answer.Value.(*upstream.Response); response.Remainder != nil {
			c.passThrough(answer, response)
			return
		}
	}
	c.writeAnswer(c.w, answer)
	c.metric.Finish(metricOutcome(answer.Kind))
}
