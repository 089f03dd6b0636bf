package grpcbalancer

import (
	"context"
	"strings"

	"google.golang.org/grpc/metadata"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/admission/controller"
	"orchiddrift/internal/engine"
)

// execute is the engine's Do behind the door, where there is one. A stream keeps its place there until it has begun.
func (c *call) execute(ctx context.Context, carrier engine.Transport) engine.Answer {
	k := c.plugin.admission
	if k == nil {
		return c.plugin.engine.Do(ctx, c.Call, carrier)
	}
	md, _ := metadata.FromOutgoingContext(ctx)
	waits, end := context.WithCancel(ctx)
	defer end()
	if c.Interest != nil {
		defer context.AfterFunc(c.Interest, end)()
	}
	marked := firstValue(md, strings.ToLower(k.RetryHeader()))
	pass, verdict, in := k.Acquire(waits, admission.Client{Tenant: c.Tenant, Header: func(name string) string { return firstValue(md, strings.ToLower(name)) }},
		admission.Arrival{Class: c.Class, CostHint: c.CostHint, ArrivedAt: c.plugin.engine.Clock().Now(), Deadline: c.Deadline,
			Retry: marked != "" && marked != "0", Fingerprint: c.fingerprint})
	switch verdict {
	case controller.Rejected:
		return engine.Answer{Kind: engine.Rejected, RetryAfter: in}
	case controller.ClientLeft:
		return engine.Answer{Kind: engine.ClientGone}
	}
	a := c.plugin.engine.Do(ctx, c.Call, carrier)
	pass.Done(controller.OutcomeOf(a))
	return a
}
