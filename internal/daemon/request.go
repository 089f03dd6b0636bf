package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
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

// clientRequest is one request of a client until it is answered. Only the goroutine of its connection uses it.
type clientRequest struct {
	*server
	w         http.ResponseWriter
	r         *http.Request
	cancel    context.CancelFunc // ends r's context once the client has disconnected
	startedAt time.Duration      // when the request's head arrived; set again once its body, or the body's beginning, has been read

	bodyRead    bool   // the body, or its beginning, has been read
	body        []byte // the part of the body that has been read
	bodyStreams bool   // the rest of the body is streamed
	bodyReader  *clientBody
	spooled     atomic.Int64 // bytes of the body spool that the body takes
	pieces      int64        // bytes of the body spool that the pieces of a streamed body take

	metric       metrics.Request
	entryMetrics []metrics.Request // metrics of a GraphQL request's operations
	truncated    bool              // the answer broke off; the connection is reset, so that the client notices
}

// routedRequest is a request with the routing that was applied to it, and the service that it was routed to.
type routedRequest struct {
	downstream.Request
	routing  *routing
	service  *service
	gate     *routeGate
	id       string
	endpoint *graphql.Endpoint  // nil if this is not a GraphQL request
	executor *executor.Executor // nil if the request has no idempotency key, or its service stores no keys
}

// serve answers the request. If a reload retires its route or service before anything was sent, the request is routed again.
func (c *clientRequest) serve() {
	for {
		routing := c.daemon.routing.Load()
		request, rejection := routing.checker.Check(c.r, downstream.UnambiguousFraming(c.r.Context()))
		if rejection != nil {
			c.reject(c.w, rejection)
			return
		}
		service := routing.services[request.Route.Service]
		if !service.acquire() { // a reload has just retired the service, and has replaced the routing
			continue
		}
		routed := &routedRequest{Request: request, routing: routing, service: service, gate: routing.gates[request.Route]}
		reroute := c.serveRouted(routed)
		service.release()
		if !reroute {
			return
		}
	}
}

// serveRouted has the service answer the request. If reroute is true, the request has not been answered and has to be routed again.
func (c *clientRequest) serveRouted(routed *routedRequest) (reroute bool) {
	releaseCapacity, ok, reroute := c.acquireCapacity(routed)
	if !ok {
		return reroute
	}
	defer releaseCapacity()
	routed.endpoint = routed.routing.graphql[routed.Route.Endpoint]
	routed.executor = routed.service.executorFor(routed.Class, routed.IdempotencyKey)
	if rejection := c.receiveBody(routed); rejection != nil {
		c.reject(c.w, rejection)
		return false
	}
	c.assignID(routed)
	if routed.endpoint != nil { // each of its operations is counted
		return c.serveGraphQL(routed)
	}
	if !c.metric.Open() {
		c.metric = c.daemon.metrics.Start(routed.Class.Name)
	}
	return c.forward(routed)
}

// acquireCapacity reserves capacity for the request within the service's limits until release is called. If ok is false, no capacity was
// free: the request has been rejected, or has to be routed again if reroute is true.
func (c *clientRequest) acquireCapacity(routed *routedRequest) (release func(), ok, reroute bool) {
	shared, name := c.daemon.shared, routed.service.name
	if shared.inFlight == nil {
		return func() {}, true, false
	}
	if !shared.inFlight.TryAcquire(name, 1) {
		return nil, false, c.rejectOverloaded(routed, "requests")
	}
	bytes := min(c.r.ContentLength, alwaysBufferedBytes)
	if bytes < 0 { // the length is unknown
		bytes = alwaysBufferedBytes
	}
	if bytes > 0 && !shared.bodyBytes.TryAcquire(name, bytes) {
		reroute := c.rejectOverloaded(routed, "bytes")
		shared.inFlight.Release(name, 1)
		return nil, false, reroute
	}
	return func() {
		if bytes > 0 {
			shared.bodyBytes.Release(name, bytes)
		}
		shared.inFlight.Release(name, 1)
	}, true, false
}

// receiveBody reads the body, or its beginning if the rest is streamed. It does nothing if the request is routed again, since the body has
// been read before.
func (c *clientRequest) receiveBody(routed *routedRequest) *downstream.Rejection {
	if c.bodyRead {
		return nil
	}
	complete := routed.endpoint != nil || routed.executor != nil
	if rejection := c.readBody(&routed.Request, routed.routing.bodyTimeout, complete); rejection != nil {
		return rejection
	}
	c.bodyRead = true
	if !c.bodyStreams {
		downstream.OnClientGone(c.r.Context(), c.cancel)
	}
	c.startedAt = c.daemon.shared.clock.Now()
	return nil
}

// assignID generates an ID for a request that has none, and adds it to the request's header unless the client has sent a request ID there.
func (c *clientRequest) assignID(routed *routedRequest) {
	routed.id = routed.ID
	if routed.id != "" {
		return
	}
	routed.id = c.ids.next()
	if len(routed.Header[httpheader.RequestID]) == 0 {
		routed.Header[httpheader.RequestID] = []string{routed.id}
	}
}

// serveGraphQL answers a request to a GraphQL endpoint.
func (c *clientRequest) serveGraphQL(routed *routedRequest) (reroute bool) {
	call := &graphqlCall{server: c.server, w: c.w, r: c.r, cancel: c.cancel, service: routed.service, req: routed.Request, id: routed.id,
		endpoint: routed.endpoint, gate: routed.gate, startedAt: c.startedAt, entryMetrics: &c.entryMetrics}
	return call.serve(c.body)
}

// forward waits until the request is admitted, and has an upstream answer it.
func (c *clientRequest) forward(routed *routedRequest) (reroute bool) {
	call := engine.Call{ID: routed.id, GeneratedID: routed.ID == "", Class: routed.Class.Name, Tenant: routed.Tenant, CostHint: routed.CostHint,
		Deadline: c.startedAt + routed.Timeout}
	var out *upstream.Request
	bodyBytes := len(c.body)
	if c.bodyStreams {
		out = c.upload(&routed.Request, &call)
		defer c.releasePieces()
		defer out.Upload.End()
	} else {
		out = upstream.NewRequest(routed.Method, routed.Target, routed.Host, routed.Header, c.body)
	}
	gate := &clientGate{routeGate: routed.gate, ctx: c.r.Context(), cancel: c.cancel}
	out.Gate = gate
	out.Written = c.daemon.metrics.AttemptSent
	attempts := &transport{pool: routed.service.pool, request: out, engine: routed.service.engine}
	defer attempts.release()
	permit, rejected := c.awaitAdmission(c.r, routed.service, &routed.Request, c.startedAt, bodyBytes)
	if rejected != nil {
		if rejected.Kind == engine.Rejected && routed.gate.closed.Load() && !c.stopping.Load() {
			return true // the request's new route may have capacity
		}
		c.answerEarly(*rejected, out.Upload)
		return false
	}
	if c.bodyStreams {
		c.body = nil // the upload drops it once it is no longer needed
	}
	if routed.executor != nil {
		c.forwardOnce(routed, call, out, gate, permit)
		return false
	}
	answer := gate.answerUnseen(routed.service.do(c.r.Context(), routed.Class, call, attempts))
	permit.Done(controller.OutcomeOf(answer))
	if c.bodyStreams && answer.Kind != engine.Served {
		c.answerEarly(answer, out.Upload)
		return false
	}
	if c.mayReroute(answer, routed.gate, attempts) {
		return true
	}
	c.closeIfGone(answer)
	c.answer(answer)
	return false
}

// forwardOnce forwards a request with an idempotency key, unless another request with the same key has been answered or is in flight.
func (c *clientRequest) forwardOnce(routed *routedRequest, call engine.Call, out *upstream.Request, gate *clientGate, permit controller.Permit) {
	out.CompleteOnly = true // the answer is stored for retries
	newTransport := func() (engine.Transport, func()) {
		attempts := &transport{pool: routed.service.pool, request: out}
		return attempts, attempts.release
	}
	once := keyedRequest{executor: routed.executor, call: call, key: routed.IdempotencyKey, method: routed.Method, target: routed.Target,
		body: c.body, newTransport: newTransport}
	answer, conflict := answerFor(routed.service.executeOnce(c.r.Context(), once))
	answer = gate.answerUnseen(answer)
	permit.Done(controller.OutcomeOf(answer))
	if conflict != 0 {
		c.writeText(c.w, conflict, conflictText(conflict))
		return
	}
	c.closeIfGone(answer)
	c.answer(answer)
}

// mayReroute reports whether a request that was not served can be routed again: its route was removed and nothing was sent.
func (c *clientRequest) mayReroute(answer engine.Answer, gate *routeGate, attempts *transport) bool {
	switch answer.Kind {
	case engine.Rejected, engine.Failed, engine.EngineClosed:
		return gate.closed.Load() && attempts.started.Load() == 0 && c.r.Context().Err() == nil && !c.stopping.Load()
	}
	return false
}

// closeIfGone sets "Connection: close" on the answer if the engine reports that the client has disconnected. If the client is still connected
// nevertheless, it learns that the connection ends.
func (c *clientRequest) closeIfGone(answer engine.Answer) {
	if answer.Kind == engine.ClientGone {
		c.w.Header().Set("Connection", "close")
	}
}

// rejectOverloaded rejects a request whose service has reached its share of the limits. The balancer has not seen the request, and does not
// count it as rejected. If a reload has just replaced the routing, rejectOverloaded only returns true: the request has to be routed again.
func (c *clientRequest) rejectOverloaded(routed *routedRequest, resource string) (reroute bool) {
	if c.daemon.routing.Load() != routed.routing {
		return true
	}
	if !c.metric.Open() {
		c.metric = c.daemon.metrics.Start(routed.Class.Name)
	}
	c.daemon.log.Warn("bulkhead", "service", routed.service.plan.Name, "reason", "the service's share is used up: "+resource+" in flight")
	c.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(rejectedReadTime))
	c.writeText(c.w, http.StatusInternalServerError, "not done: the service has all that it may hold in hand")
	return false
}

// answerEarly gives the final answer to a request that was not served, and whose body may not have arrived completely. upload is nil if the
// body has arrived completely. Otherwise the rest of the body is read for up to rejectedReadTime, since the client would lose the answer if
// the connection were reset with unread bytes.
func (c *clientRequest) answerEarly(answer engine.Answer, upload *upstream.Upload) {
	switch {
	case upload == nil:
		c.answer(answer)
	case upload.Broken(): // the client's body broke off before an upstream answered
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
