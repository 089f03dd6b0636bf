package daemon

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/metrics"
	"orchiddrift/internal/server/downstream"
)

// graphqlCall is a request to a GraphQL endpoint, with one operation or a batch of operations. Admission and the balancer handle each
// operation as a separate request.
type graphqlCall struct {
	*server
	w            http.ResponseWriter
	r            *http.Request
	cancel       context.CancelFunc // see clientRequest.cancel
	service      *service
	req          downstream.Request
	id           string
	endpoint     *graphql.Endpoint
	gate         *routeGate
	startedAt    time.Duration
	media        string             // media type of the answer
	entries      int                // number of operations in the request
	entryMetrics *[]metrics.Request // kept if the request is routed again
}

// serve answers the request. If the route was removed before anything was sent, serve returns true instead: the request has to be routed
// again.
func (c *graphqlCall) serve(body []byte) (reroute bool) {
	parsed, problem := c.readOperations(body)
	if problem != nil {
		c.rejectProblem(problem)
		return false
	}
	operations, problems := c.decide(&parsed)
	defer func() {
		for _, o := range operations {
			o.release()
			if !reroute {
				o.metric.Finish(metricOutcome(o.answer.Kind))
			}
		}
	}()
	if parsed.Batch {
		return c.batch(operations, problems)
	}
	if problems[0] != nil {
		c.rejectProblem(problems[0])
		return false
	}
	o := operations[0]
	o.run()
	if o.notSent {
		return true
	}
	c.writeOperation(o)
	return false
}

// decide classifies the operations. An operation with a problem is not sent.
func (c *graphqlCall) decide(parsed *graphql.Request) (operations []*operation, problems []*graphql.Problem) {
	c.entries = len(parsed.Params)
	header := c.r.Header
	if parsed.Batch { // a header such as an idempotency key cannot be attributed to one operation of the batch
		header = nil
	}
	if len(*c.entryMetrics) != c.entries {
		*c.entryMetrics = make([]metrics.Request, c.entries)
	}
	operations, problems = make([]*operation, c.entries), parsed.Problems
	for i := range operations {
		o := &operation{call: c, id: c.id, metric: &(*c.entryMetrics)[i]}
		if parsed.Batch {
			o.id += "." + strconv.Itoa(i)
		}
		if problems[i] == nil {
			o.decision, problems[i] = c.endpoint.Decide(&parsed.Params[i], c.r.Method == http.MethodGet, header)
		}
		operations[i] = o
	}
	return operations, problems
}

// readOperations parses the operations of the request.
func (c *graphqlCall) readOperations(body []byte) (graphql.Request, *graphql.Problem) {
	media, ok := graphql.NegotiateMedia(c.r.Header.Values("Accept"))
	c.media = media
	if !ok {
		c.media = graphql.MediaResponse
		return badGraphQL(http.StatusNotAcceptable, "answers are "+graphql.MediaResponse+" or "+graphql.MediaJSON)
	}
	if encoding := c.r.Header.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return badGraphQL(http.StatusUnsupportedMediaType, "a packed body is not taken")
	}
	limits := c.endpoint.Limits()
	switch c.r.Method {
	case http.MethodGet:
		return graphql.ParseURLQuery(c.r.URL.RawQuery, limits)
	case http.MethodPost:
		if types := c.r.Header.Values("Content-Type"); len(types) != 1 || !graphql.IsJSON(types[0]) {
			return badGraphQL(http.StatusUnsupportedMediaType, "a POST is "+graphql.MediaJSON)
		}
		if !graphql.HasNoParameters(c.r.URL.RawQuery) {
			return badGraphQL(http.StatusBadRequest, "a POST has its parameters in the body alone")
		}
		return graphql.ParseBody(body, limits)
	}
	return graphql.Request{}, &graphql.Problem{Status: http.StatusMethodNotAllowed, Code: graphql.CodeRequest, Allow: graphql.AllowedMethods,
		Message: "this is asked for with GET or POST"}
}

func badGraphQL(status int, message string) (graphql.Request, *graphql.Problem) {
	return graphql.Request{}, &graphql.Problem{Status: status, Code: graphql.CodeRequest, Message: message}
}

// rejectProblem rejects the request with a problem. The body has been read, so that the connection can be reused.
func (c *graphqlCall) rejectProblem(p *graphql.Problem) {
	if p.Allow != "" {
		c.w.Header().Set("Allow", p.Allow)
	}
	c.writeBody(p.StatusFor(c.media), p.Body())
}

func (c *graphqlCall) writeBody(status int, body []byte) {
	c.w.Header().Set("Content-Type", c.media+"; charset=utf-8")
	c.write(c.w, status, body)
}

// writeOperation writes the answer to a single operation.
func (c *graphqlCall) writeOperation(o *operation) {
	if o.answer.Kind == engine.Served {
		c.writeAnswer(c.w, o.answer)
		return
	}
	failure := o.failure()
	if o.answer.Kind == engine.Rejected {
		setRetryAfter(c.w.Header(), o.answer.RetryAfter)
	}
	if o.answer.Kind == engine.ClientGone { // announces the end of the connection, in case the client is still connected
		c.w.Header().Set("Connection", "close")
	}
	c.writeBody(failure.status, failure.body)
}
