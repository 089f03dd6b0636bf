package grpcbalancer

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
)

const (
	microsPerSecond = 1e6

	requestIDWords      = 1 // of 64 random bits, in a generated request id
	idempotencyKeyWords = 2 // of 64 random bits, in a generated idempotency key

	// deadlineTicks is how many ticks of the engine before its deadline a call counts as past it: the engine ends calls by its ticks.
	deadlineTicks = 4
)

// errUnknownAnswer is for an answer whose value has an unexpected type, which no transport of this package returns.
var errUnknownAnswer = status.Error(codes.Internal, "orchidgrpc: an answer of no known form")

// call is one call of the application's, unary or a stream. Its attempts, which may run at the same time, share it.
type call struct {
	plugin *Plugin
	method string
	engine.Call
	fingerprint uint64 // equal for a client's retry of the same call; used for admission only

	*lastStatus
}

// lastStatus is the status of the attempt that was the last to end without an answer. It is safe for concurrent use.
type lastStatus struct {
	mu   sync.Mutex
	last *status.Status
}

// newCall reads the engine's view of a call from the caller's context. The returned context carries a request id and, for a class that
// needs one, an idempotency key, generated where the caller has set none.
func (p *Plugin) newCall(ctx context.Context, method string) (context.Context, *call) {
	p.callCount.Add(1)
	class := p.methods.class(method)
	md, _ := metadata.FromOutgoingContext(ctx)
	c := &call{
		plugin:     p,
		method:     method,
		lastStatus: &lastStatus{},
		Call: engine.Call{
			Class:    class.Name,
			ID:       firstValue(md, RequestIDKey),
			Tenant:   firstValue(md, TenantKey),
			Deadline: p.engine.Clock().Now() + class.Deadline,
		},
	}
	if p.admission != nil { // before a key is generated, which would differ in a client's retry
		c.fingerprint = xxhash.Sum64String(method + "\x00" + firstValue(md, IdempotencyKey))
	}
	if c.ID == "" {
		c.ID = p.newID(requestIDWords)
		ctx = metadata.AppendToOutgoingContext(ctx, RequestIDKey, c.ID)
	}
	if class.Idempotency == balancer.IdempotentWithKey && firstValue(md, IdempotencyKey) == "" {
		ctx = metadata.AppendToOutgoingContext(ctx, IdempotencyKey, p.newID(idempotencyKeyWords))
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.Deadline = min(c.Deadline, p.engine.Clock().At(deadline))
	}
	c.CostHint = costHint(md)
	return ctx, c
}

// costHint returns the expected work that the caller states in CostKey; 0 where it is absent, malformed or out of range.
func costHint(md metadata.MD) time.Duration {
	micros, err := strconv.ParseFloat(firstValue(md, CostKey), 64)
	if err == nil && micros > 0 && micros < maxCostHint.Seconds()*microsPerSecond {
		return time.Duration(micros * float64(time.Microsecond))
	}
	return 0
}

// firstValue returns the first value of a metadata key in lower case, "" if there is none.
func firstValue(md metadata.MD, key string) string {
	if values := md[key]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// newAttempt returns the context of an attempt's RPC; nil if the upstream is no longer in the list and nothing is to be sent.
func (c *call) newAttempt(ctx context.Context, a engine.Attempt) *attempt {
	instance, ok := c.plugin.registry.Instance(a.Upstream)
	if !ok {
		return nil
	}
	return &attempt{
		Context:  ctx,
		plugin:   c.plugin,
		upstream: a.Upstream,
		instance: instance,
		sendBy:   a.SendBy,
		caller:   a.Caller,
		cancel:   a.Cancel,
	}
}

// finishAttempt classifies an attempt whose RPC has ended with err. A status that is the application's answer counts as served.
func (c *call) finishAttempt(a *attempt, err error) balancer.Result {
	if err == io.EOF {
		err = nil
	}
	result := a.finish(err).result(c.plugin.applicationCodes)
	if result != balancer.OK {
		c.mu.Lock()
		c.last = status.Convert(err)
		c.mu.Unlock()
	}
	return result
}

// finalError returns the caller's error for an answer that is not a served one.
func (c *call) finalError(ctx context.Context, answer engine.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, bounded := ctx.Deadline()
	pastDeadline := bounded && c.plugin.engine.Clock().Now() >= c.Deadline-deadlineTicks*c.plugin.tick
	return answerError(ctx, answer, c.last, pastDeadline)
}
