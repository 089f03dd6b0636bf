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

	requestIDWords      = 1 // 64-bit random words in a generated request id
	idempotencyKeyWords = 2 // 64-bit random words in a generated idempotency key

	// deadlineTicks is the tolerance for a call's deadline, in ticks of the engine: a call that ends less than this number of ticks before
	// its deadline counts as past its deadline, because the engine ends calls on its ticks.
	deadlineTicks = 4
)

// errUnknownAnswer is returned for an answer whose value has an unexpected type. No transport of this package returns such an answer.
var errUnknownAnswer = status.Error(codes.Internal, "orchidgrpc: an answer of no known form")

// call is one unary or streaming call of the application. Its attempts share it and may run at the same time.
type call struct {
	plugin *Plugin
	method string
	engine.Call
	fingerprint uint64 // equal for a client's retry of the same call; used for admission only

	*lastStatus
}

// lastStatus holds the status of the attempt that was the last to end without an answer; mu guards it.
type lastStatus struct {
	mu   sync.Mutex
	last *status.Status
}

// newCall returns the call that the caller's context and outgoing metadata describe. The returned context carries a request id and, if the
// class needs one, an idempotency key; newCall generates those that the caller has not set.
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
	if p.admission != nil { // computed before a key is generated, because the client's retry would get another generated key
		c.fingerprint = xxhash.Sum64String(method + "\x00" + firstValue(md, IdempotencyKey))
	}
	if c.ID == "" {
		c.ID, c.GeneratedID = p.newID(requestIDWords), true
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

// costHint returns the expected work that the caller states in CostKey. It returns 0 if the value is absent, malformed or out of range.
func costHint(md metadata.MD) time.Duration {
	micros, err := strconv.ParseFloat(firstValue(md, CostKey), 64)
	if err == nil && micros > 0 && micros < maxCostHint.Seconds()*microsPerSecond {
		return time.Duration(micros * float64(time.Microsecond))
	}
	return 0
}

// firstValue returns the first value of key, which must be in lower case, or "" if md has no such key.
func firstValue(md metadata.MD, key string) string {
	if values := md[key]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// newAttempt returns the attempt that the engine decided on, with ctx as the engine's context. It returns nil if the upstream is no longer
// in the endpoint list and nothing is to be sent.
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

// finishAttempt finishes an attempt whose RPC has ended with err, and returns its result for the engine. A status that is the application's
// answer counts as served.
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

// finalError returns the error that the caller gets for an answer of another kind than engine.Served.
func (c *call) finalError(ctx context.Context, answer engine.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, bounded := ctx.Deadline()
	pastDeadline := bounded && c.plugin.engine.Clock().Now() >= c.Deadline-deadlineTicks*c.plugin.tick
	return answerError(ctx, answer, c.last, pastDeadline)
}
