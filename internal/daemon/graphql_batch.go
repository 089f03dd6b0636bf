package daemon

import (
	"net/http"
	"strconv"
	"time"

	"orchiddrift/internal/engine"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/upstream"
)

// batchResult collects the answers of a batch.
type batchResult struct {
	outcomes   []graphql.EntryOutcome
	bodies     [][]byte
	notSent    int // number of operations of which nothing was sent, since the route was removed
	started    int // number of attempts that may have sent something
	retryAfter time.Duration
	bytesLeft  int // bytes that further answers may take
}

// batch answers the operations in one array, in the request's order. For the result reroute, see serve.
func (c *graphqlCall) batch(operations []*operation, problems []*graphql.Problem) (reroute bool) {
	parallel, release := c.acquireParallel(len(operations))
	defer release()
	result := &batchResult{outcomes: make([]graphql.EntryOutcome, len(operations)), bodies: make([][]byte, len(operations)),
		bytesLeft: c.endpoint.Limits().Answers.Bytes()}
	for i, problem := range problems {
		if problem != nil {
			result.outcomes[i], result.bodies[i] = graphql.NotRun, problem.Body()
		}
	}
	c.runBatch(graphql.NewBatch(operationKinds(operations, problems), problems, parallel), operations, result)
	if result.notSent > 0 && result.started == 0 {
		return true
	}
	status := graphql.BatchStatus(result.outcomes, problems)
	if status == http.StatusServiceUnavailable {
		setRetryAfter(c.w.Header(), result.retryAfter)
	}
	c.writeBody(status, joinArray(result.bodies))
	return false
}

// operationKinds returns the operations' kinds, which determine their order of execution. An operation that could not be parsed counts as a
// mutation.
func operationKinds(operations []*operation, problems []*graphql.Problem) []graphql.OperationKind {
	kinds := make([]graphql.OperationKind, len(operations))
	for i, o := range operations {
		kinds[i] = o.decision.Kind
		if problems[i] != nil && o.decision.Class == nil {
			kinds[i] = graphql.Mutation
		}
	}
	return kinds
}

// runBatch runs the operations in the order that the batch allows.
func (c *graphqlCall) runBatch(b *graphql.Batch, operations []*operation, result *batchResult) {
	ended := make(chan int, len(operations))
	for {
		send, drop := b.Next(nil, nil)
		for _, i := range send {
			go func() {
				operations[i].run()
				ended <- i
			}()
		}
		for _, i := range drop {
			result.outcomes[i] = graphql.NotRun
			result.bodies[i] = graphql.ErrorBody("not sent: a mutation before it in the batch has no good end; trying again is harmless",
				graphql.CodeNotSent, &graphql.FailureDetails{})
		}
		if b.Finished() {
			return
		}
		i := <-ended
		result.add(i, operations[i])
		b.Done(i, result.outcomes[i])
	}
}

// add records the answer of an operation that has ended.
func (r *batchResult) add(i int, o *operation) {
	if o.notSent {
		r.notSent++
	}
	r.started += int(o.started.Load())
	r.outcomes[i], r.bodies[i] = r.entry(o)
	if o.answer.Kind == engine.Rejected {
		r.retryAfter = max(r.retryAfter, o.answer.RetryAfter)
	}
}

// entry returns the outcome of an operation and its element of the batch's answer. The element is an error if it would make the answer
// larger than the limit.
func (r *batchResult) entry(o *operation) (graphql.EntryOutcome, []byte) {
	if o.answer.Kind != engine.Served {
		failure := o.failure()
		r.bytesLeft -= len(failure.body)
		if r.bytesLeft < 0 {
			details := &graphql.FailureDetails{MayHaveRun: failure.outcome == graphql.MayHaveRun}
			return failure.outcome, graphql.ErrorBody("the batch's answers are too large", graphql.CodeTooLarge, details)
		}
		return failure.outcome, failure.body
	}
	response := o.answer.Value.(*upstream.Response)
	switch {
	case !graphql.IsAnswer(response.Body):
		isClientError := response.Status/100 == 4
		return graphql.Answered, graphql.ErrorBody("the upstream answered with status "+strconv.Itoa(response.Status), graphql.CodeUnusableAnswer,
			&graphql.FailureDetails{MayHaveRun: !isClientError})
	case len(response.Body) > r.bytesLeft:
		return graphql.Answered, graphql.ErrorBody("it was answered, and the batch's answers are too large", graphql.CodeTooLarge,
			&graphql.FailureDetails{MayHaveRun: true})
	}
	r.bytesLeft -= len(response.Body)
	return graphql.Answered, response.Body
}

// joinArray joins bodies to a JSON array.
func joinArray(bodies [][]byte) []byte {
	size := len("[]")
	for _, body := range bodies {
		size += len(body) + len(",")
	}
	out := append(make([]byte, 0, size), '[')
	for i, body := range bodies {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, body...)
	}
	return append(out, ']')
}

// acquireParallel reserves capacity for operations that run concurrently. The request itself holds one slot of the limit of requests in
// flight; acquireParallel takes further slots as far as they are free.
func (c *graphqlCall) acquireParallel(operations int) (parallel int, release func()) {
	parallel = 1
	limit := c.daemon.shared.inFlight
	for wanted := min(operations, c.endpoint.BatchParallelism()); parallel < wanted; parallel++ {
		if limit != nil && !limit.TryAcquire(c.service.name, 1) {
			break
		}
	}
	return parallel, func() {
		if limit != nil && parallel > 1 {
			limit.Release(c.service.name, int64(parallel-1))
		}
	}
}
