package grpcbalancer

import (
	"context"
	"log/slog"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/metadata"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/clock"
	"orchiddrift/internal/engine"
)

// newAdmission starts the admission controller that the operator's file configures.
func newAdmission(o Options, queue admission.Options, clk clock.Clock, log *slog.Logger) (*controller.Controller, error) {
	queue.MaxRetryAfter = o.Settings.MaxRetryAfter
	return controller.New(controller.Options{
		Queue:          queue,
		Classes:        o.Settings.Classes,
		Clock:          clk,
		Log:            log,
		Seed:           o.Seed ^ xxhash.Sum64String(admissionSeedLabel),
		SendRetryAfter: o.Settings.RetryAfterAllowed,
	})
}

// execute waits for admission, if admission control is configured, and then has the engine carry out the call. It blocks until the final
// answer. A stream keeps its permit only until it is open.
func (c *call) execute(ctx context.Context, transport engine.Transport) engine.Answer {
	if c.plugin.admission == nil {
		return c.plugin.engine.Do(ctx, c.Call, transport)
	}
	permit, rejected := c.awaitAdmission(ctx)
	if rejected != nil {
		return *rejected
	}
	answer := c.plugin.engine.Do(ctx, c.Call, transport)
	permit.Done(controller.OutcomeOf(answer))
	return answer
}

// awaitAdmission blocks until the call is admitted or rejected, or its caller leaves. rejected is nil if the call is admitted; otherwise it
// is the final answer, and no attempt was sent.
func (c *call) awaitAdmission(ctx context.Context) (permit controller.Permit, rejected *engine.Answer) {
	queue := c.plugin.admission
	md, _ := metadata.FromOutgoingContext(ctx)
	header := func(name string) string { return firstValue(md, strings.ToLower(name)) }
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.Interest != nil { // done once no caller waits for the answer of the idempotency key
		defer context.AfterFunc(c.Interest, cancel)()
	}
	retryMarker := header(queue.RetryHeader())
	permit, verdict, retryAfter := queue.Acquire(waitCtx, admission.Client{Tenant: c.Tenant, Header: header}, admission.Arrival{
		Class:       c.Class,
		CostHint:    c.CostHint,
		ArrivedAt:   c.plugin.engine.Clock().Now(),
		Deadline:    c.Deadline,
		Retry:       retryMarker != "" && retryMarker != "0",
		Fingerprint: c.fingerprint,
	})
	switch verdict {
	case controller.Rejected:
		return permit, &engine.Answer{Kind: engine.Rejected, RetryAfter: retryAfter}
	case controller.ClientLeft:
		return permit, &engine.Answer{Kind: engine.ClientGone}
	}
	return permit, nil
}
