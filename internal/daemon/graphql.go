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

// graphqlCall is a request to a GraphQL endpoint: one operation, or a batch of them. Each operation is a request of its own to admission and
// the balancer.
type graphqlCall struct {
	*server
	w            http.ResponseWriter
	r            *http.Request
	cancel       context.CancelFunc // see clientRequest
	service      *service
	req          downstream.Request
	id           string
	endpoint     *graphql.Endpoint
	gate         *routeGate
	startedAt    time.Duration
	media        string // of the answer
	entries      int
	entryMetrics *[]metrics.Request // kept if the request is decided anew
}

// serve answers the request. retry: it is to be decided anew, since its route was removed before anything was sent.
func (c *graphqlCall) serve(body []byte) (retry bool) {
	asked, problem := c.readOperations(body)
	if problem != nil {
		c.rejectProblem(problem)
		return false
	}
	operations, problems := c.decide(&asked)
	defer func() {
		for _, o := range operations {
			o.release()
			if !retry {
				o.metric.Finish(metricOutcome(o.answer.Kind))
			}
		}
	}()
	if asked.Batch {
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
func (c *graphqlCall) decide(asked *graphql.Request) (operations []*operation, problems []*graphql.Problem) {
	c.entries = len(asked.Params)
	header := c.r.Header
	if asked.Batch { // its headers cannot belong to one operation
		header = nil
	}
	if len(*c.entryMetrics) != c.entries {
		*c.entryMetrics = make([]metrics.Request, c.entries)
	}
	operations, problems = make([]*operation, c.entries), asked.Problems
	for i := range operations {
		o := &operation{call: c, id: c.id, metric: &(*c.entryMetrics)[i]}
		if asked.Batch {
			o.id += "." + strconv.Itoa(i)
		}
		if problems[i] == nil {
			o.decision, problems[i] = c.endpoint.Decide(&asked.Params[i], c.r.Method == http.MethodGet, header)
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

// rejectProblem answers a request that is rejected. Its body has been read, so that the connection can be used again.
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
	end := o.end()
	if o.answer.Kind == engine.Rejected {
		setRetryAfter(c.w.Header(), o.answer.RetryAfter)
	}
	if o.answer.Kind == engine.ClientGone { // should the client still be there, it is notified
		c.w.Header().Set("Connection", "close")
	}
	c.writeBody(end.status, end.body)
}
