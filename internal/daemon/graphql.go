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

// graphqlCall is a request to a GraphQL endpoint: one operation, or a batch of them, each of which is a request of its own
// to the door and the module.
type graphqlCall struct {
	*server
	w            http.ResponseWriter
	r            *http.Request
	service      *service
	req          downstream.Request
	id           string
	endpoint     *graphql.Endpoint
	gate         *routeGate
	cancel       context.CancelFunc // see visit
	startedAt    time.Duration
	media        string // of the answer
	entries      int
	entryMetrics *[]metrics.Request // of the entries, kept where the request is decided anew
}

// serve answers the request, or tells that it is to be decided anew: its route ended before anything was sent.
func (c *graphqlCall) serve(body []byte) (again bool) {
	asked, bad := c.readOperations(body)
	if bad != nil {
		c.rejectProblem(bad)
		return false
	}
	c.entries = len(asked.Params)
	header := c.r.Header
	if asked.Batch {
		header = nil
	}
	if len(*c.entryMetrics) != c.entries {
		*c.entryMetrics = make([]metrics.Request, c.entries)
	}
	entries := make([]*operation, c.entries)
	problems := asked.Problems
	for i := range entries {
		o := &operation{call: c, id: c.id, metric: &(*c.entryMetrics)[i]}
		if asked.Batch {
			o.id += "." + strconv.Itoa(i)
		}
		if problems[i] == nil {
			o.decision, problems[i] = c.endpoint.Decide(&asked.Params[i], c.r.Method == http.MethodGet, header)
		}
		entries[i] = o
	}
	defer func() {
		for _, o := range entries {
			o.release()
			if !again {
				o.metric.Finish(metricOutcome(o.answer.Kind))
			}
		}
	}()
	if asked.Batch {
		return c.batch(entries, problems)
	}
	if problems[0] != nil {
		c.rejectProblem(problems[0])
		return false
	}
	o := entries[0]
	o.run()
	if o.notSent {
		return true
	}
	c.writeOperation(o)
	return false
}

// readOperations takes the operations out of the request.
func (c *graphqlCall) readOperations(body []byte) (graphql.Asked, *graphql.Problem) {
	var none graphql.Asked
	bad := func(status int, text string) (graphql.Asked, *graphql.Problem) {
		return none, &graphql.Problem{Status: status, Code: graphql.CodeRequest, Message: text}
	}
	media, ok := graphql.Media(c.r.Header.Values("Accept"))
	if c.media = media; !ok {
		c.media = graphql.MediaResponse
		return bad(http.StatusNotAcceptable, "answers are "+graphql.MediaResponse+" or "+graphql.MediaJSON)
	}
	if encoding := c.r.Header.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return bad(http.StatusUnsupportedMediaType, "a packed body is not taken")
	}
	limits := c.endpoint.Limits()
	switch c.r.Method {
	case http.MethodGet:
		return graphql.URLQuery(c.r.URL.RawQuery, limits)
	case http.MethodPost:
		if types := c.r.Header.Values("Content-Type"); len(types) != 1 || !graphql.IsJSON(types[0]) {
			return bad(http.StatusUnsupportedMediaType, "a POST is "+graphql.MediaJSON)
		}
		if !graphql.Plain(c.r.URL.RawQuery) {
			return bad(http.StatusBadRequest, "a POST has its parameters in the body alone")
		}
		return graphql.Body(body, limits)
	}
	return none, &graphql.Problem{Status: http.StatusMethodNotAllowed, Code: graphql.CodeRequest, Allow: graphql.Methods,
		Message: "this is asked for with GET or POST"}
}

// reject answers a request that is not taken. Its body has been read, so that the connection goes on.
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

// operation is one operation in hand.
type operation struct {
	transport
	call     *graphqlCall
	id       string
	decision graphql.Decision
	answer   engine.Answer
	conflict int  // the status of its key's conflict; 0: there is none
	notSent  bool // its route ended, and nothing was sent
	metric   *metrics.Request

	failedMu       sync.Mutex
	failedResponse *upstream.Response // the latest attempt's, where that was a node's word of its failure
}

// run has the door and the module decide on the operation.
func (o *operation) run() {
	c, d := o.call, &o.decision
	if !o.metric.Open() {
		*o.metric = c.daemon.metrics.Start(d.Class.Name)
	}
	req := c.req
	req.Class, req.Timeout = d.Class, min(req.Timeout, d.Class.Deadline)
	if req.CostHint == 0 {
		req.CostHint = d.CostHint
	}
	req.Method = http.MethodPost
	if c.entries > 1 { // they differ in it
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
	if c.service.admission.Load() != nil { // which remembers its promises by it: all operations have one path
		req.IdempotencyKey = strconv.FormatUint(xxhash.Sum64(d.Body), 16)
	}
	o.pool = c.service.pool
	o.request = upstream.NewRequest(req.Method, req.Target, req.Host, req.Header, d.Body)
	o.request.Gate = &clientGate{routeGate: c.gate, ctx: c.r.Context(), cancel: c.cancel}
	o.request.Written, o.request.CompleteOnly = c.daemon.metrics.AttemptSent, true
	pass, refused := c.awaitAdmission(c.r, c.service, &req, c.startedAt, len(d.Body))
	if refused != nil {
		o.answer = *refused
	} else {
		call := engine.Call{ID: o.id, Class: req.Class.Name, Tenant: req.Tenant, CostHint: req.CostHint, Deadline: c.startedAt + req.Timeout}
		if k := c.service.executorFor(d.Class, d.Key); k != nil {
			o.started.Add(1) // its attempts, and those of others with its key, are counted elsewhere: any may run
			o.answer, o.conflict = answerFor(c.service.executeOnce(c.r.Context(), k, call, d.Key, req.Method, req.Target, d.Body, func() (engine.Transport, func()) {
				x := &operation{transport: transport{pool: o.pool, request: o.request}, call: c, decision: *d}
				return x, x.release
			}))
			pass.Done(controller.OutcomeOf(o.answer))
			return
		}
		c.service.loadProbing.beforeRequest(c.r.Context())
		o.answer = c.service.engine.Do(c.r.Context(), call, o)
		pass.Done(controller.OutcomeOf(o.answer))
	}
	switch o.answer.Kind {
	case engine.Rejected, engine.Failed, engine.EngineClosed:
		o.notSent = c.gate.closed.Load() && o.started.Load() == 0 && c.r.Context().Err() == nil && !c.stopping.Load()
	}
}

// RoundTrip is engine.Transport's: what a node answers is judged before the module hears of it.
func (o *operation) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	begun := time.Now()
	rep := o.attempt(ctx, a)
	if rep.Result != balancer.OK {
		o.fail(nil)
		return engine.AttemptResult{Result: rep.Result}
	}
	e := o.call.endpoint
	switch e.Classify(rep.Status, rep.Body, rep.Header.Get("Content-Encoding") != "") {
	case graphql.Served:
		if rep.Status == http.StatusOK {
			e.RecordDuration(&o.decision, time.Since(begun))
		}
		o.keep(rep)
		return engine.AttemptResult{Result: balancer.OK, Value: &rep}
	case graphql.NotExecuted:
		o.pool.Free(rep)
		o.fail(nil)
		return engine.AttemptResult{Result: balancer.Rejected}
	case graphql.UpstreamFailed:
		o.keep(rep)
		o.fail(&rep)
		return engine.AttemptResult{Result: balancer.ServerError}
	}
	o.pool.Free(rep)
	o.fail(nil)
	return engine.AttemptResult{Result: balancer.Malformed}
}

func (o *operation) fail(rep *upstream.Response) {
	o.failedMu.Lock()
	defer o.failedMu.Unlock()
	o.failedResponse = rep
}

// upstreamFailure is a node's own word of its failure, where that is what the operation ended with.
func (o *operation) upstreamFailure() *upstream.Response {
	o.failedMu.Lock()
	defer o.failedMu.Unlock()
	if o.answer.Kind != engine.Failed {
		return nil
	}
	return o.failedResponse
}

// outcome words how an operation ended that no node's answer stands for.
func (o *operation) outcome() (status int, end graphql.EntryOutcome, body []byte) {
	say := func(status int, end graphql.EntryOutcome, code, message string) (int, graphql.EntryOutcome, []byte) {
		return status, end, graphql.ErrorBody(message, code, &graphql.Known{MayHaveRun: end == graphql.MayHaveRun, RetryAfter: o.answer.RetryAfter})
	}
	switch o.answer.Kind {
	case engine.Rejected:
		if o.decision.Class.Idempotency == balancer.IdempotentWithKey && o.started.Load() > 0 { // whoever asks again finds the group that drops repeats
			return say(http.StatusServiceUnavailable, graphql.MayHaveRun, graphql.CodeRefused, "refused: it may have run; trying again with the same key is harmless")
		}
		return say(http.StatusServiceUnavailable, graphql.NotRun, graphql.CodeRefused, "refused: not done, trying again is harmless")
	case engine.Duplicate:
		if o.conflict != 0 {
			return say(o.conflict, graphql.NotRun, graphql.CodeKey, conflictText(o.conflict))
		}
		return say(http.StatusConflict, graphql.NotRun, graphql.CodeDuplicate, "a request of this id is in hand")
	case engine.EngineClosed:
		return say(http.StatusInternalServerError, graphql.NotRun, graphql.CodeFailed, "stopped")
	case engine.ClientGone:
		if o.started.Load() == 0 {
			return say(http.StatusBadGateway, graphql.NotRun, graphql.CodeFailed, "the client has left")
		}
	}
	if rep := o.upstreamFailure(); rep != nil {
		return http.StatusBadGateway, graphql.MayHaveRun, rep.Body
	}
	return say(http.StatusBadGateway, graphql.MayHaveRun, graphql.CodeFailed, "failed: it may have run")
}

// writeOperation words the answer to a single operation.
func (c *graphqlCall) writeOperation(o *operation) {
	if o.answer.Kind == engine.Served {
		c.server.writeAnswer(c.w, o.answer)
		return
	}
	status, _, body := o.outcome()
	c.retryAfter(o.answer.Kind == engine.Rejected, o.answer.RetryAfter)
	if o.answer.Kind == engine.ClientGone { // should the client be there after all, it is told
		c.w.Header().Set("Connection", "close")
	}
	c.writeBody(status, body)
}

func (c *graphqlCall) retryAfter(refused bool, in time.Duration) {
	if refused && in > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(in.Seconds(), 'f', -1, 64))
	}
}

// batch answers several operations in one array, in their order.
func (c *graphqlCall) batch(entries []*operation, problems []*graphql.Problem) (again bool) {
	kinds := make([]graphql.OperationKind, len(entries))
	for i, o := range entries {
		if kinds[i] = o.decision.Kind; problems[i] != nil && o.decision.Class == nil {
			kinds[i] = graphql.Mutation // it might be one
		}
	}
	parallel, release := c.acquireParallel(len(entries))
	defer release()
	b := graphql.NewBatch(kinds, problems, parallel)
	ended := make(chan int, len(entries))
	ends, bodies := make([]graphql.EntryOutcome, len(entries)), make([][]byte, len(entries))
	var unsent, begun int
	var longest time.Duration
	room := c.endpoint.Limits().Answers.Bytes()
	for i, p := range problems {
		if p != nil {
			ends[i], bodies[i] = graphql.NotRun, p.Body()
		}
	}
	for {
		send, drop := b.Next(nil, nil)
		for _, i := range send {
			go func() {
				entries[i].run()
				ended <- i
			}()
		}
		for _, i := range drop {
			ends[i], bodies[i] = graphql.NotRun, graphql.ErrorBody("not sent: a mutation before it in the batch has no good end; trying again is harmless",
				graphql.CodeNotSent, &graphql.Known{})
		}
		if b.Finished() {
			break
		}
		i := <-ended
		o := entries[i]
		if o.notSent {
			unsent++
		}
		begun += int(o.started.Load())
		ends[i], bodies[i] = c.entry(o, &room)
		if o.answer.Kind == engine.Rejected {
			longest = max(longest, o.answer.RetryAfter)
		}
		b.Done(i, ends[i])
	}
	if unsent > 0 && begun == 0 {
		return true
	}
	status := graphql.Status(ends, problems)
	c.retryAfter(status == http.StatusServiceUnavailable, longest)
	size := 2
	for _, body := range bodies {
		size += len(body) + 1
	}
	out := append(make([]byte, 0, size), '[')
	for i, body := range bodies {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, body...)
	}
	c.writeBody(status, append(out, ']'))
	return false
}

// entry is what stands in a batch's answer for an operation, as long as there is room.
func (c *graphqlCall) entry(o *operation, room *int) (graphql.EntryOutcome, []byte) {
	if o.answer.Kind != engine.Served {
		_, end, body := o.outcome()
		if *room -= len(body); *room < 0 {
			return end, graphql.ErrorBody("the batch's answers are too large", graphql.CodeTooLarge, &graphql.Known{MayHaveRun: end == graphql.MayHaveRun})
		}
		return end, body
	}
	rep := o.answer.Value.(*upstream.Response)
	switch {
	case !graphql.IsAnswer(rep.Body):
		return graphql.Answered, graphql.ErrorBody("the upstream answered with status "+strconv.Itoa(rep.Status), graphql.CodeAnswer,
			&graphql.Known{MayHaveRun: rep.Status/100 != 4})
	case len(rep.Body) > *room:
		return graphql.Answered, graphql.ErrorBody("it was answered, and the batch's answers are too large", graphql.CodeTooLarge, &graphql.Known{MayHaveRun: true})
	}
	*room -= len(rep.Body)
	return graphql.Answered, rep.Body
}

// acquireParallel is how many entries may be in hand at once: the request itself has one place in the bulkhead, further ones are
// taken as far as they are free.
func (c *graphqlCall) acquireParallel(entries int) (int, func()) {
	n, hand := 1, c.daemon.shared.inFlight
	for most := min(entries, c.endpoint.Parallel()); n < most; n++ {
		if hand != nil && !hand.TryAcquire(c.service.name, 1) {
			break
		}
	}
	return n, func() {
		if hand != nil && n > 1 {
			hand.Release(c.service.name, int64(n-1))
		}
	}
}
