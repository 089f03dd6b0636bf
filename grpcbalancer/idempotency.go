package grpcbalancer

import (
	"context"
	"crypto/sha256"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
	"orchiddrift/internal/idempotency"
	"orchiddrift/internal/idempotency/executor"
)

// callerIdempotencyKey is the key by which a call's repeats are looked for: the caller's own, of a keyed class. One that is made here is
// each call's own.
func (p *Plugin) callerIdempotencyKey(ctx context.Context, method string) string {
	if p.executor == nil || p.methods.class(method).Idempotency != balancer.IdempotentWithKey {
		return ""
	}
	md, _ := metadata.FromOutgoingContext(ctx)
	return firstValue(md, IdempotencyKey)
}

// invokeOnce gives a call the end of the first one of its key. The attempts run apart from the callers, each of which may leave.
func (u *unaryCall) invokeOnce(ctx context.Context, key string) error {
	req, isProto := u.req.(proto.Message)
	reply, replies := u.reply.(proto.Message)
	if !isProto || !replies {
		return status.Error(codes.Internal, "orchidgrpc: a keyed call's messages are protobuf messages where its repeats are looked for")
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		return status.Error(codes.Internal, "orchidgrpc: "+err.Error())
	}
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00", u.method) // a hash takes everything
	h.Write(body)
	own := *u.call // the call that is sent has no word of this caller's end
	sent := &unaryCall{call: &own, req: proto.Clone(req), reply: u.replyType.newMessage(), replyType: u.replyType, cc: u.cc, invoker: u.invoker, plainOptions: u.plainOptions}
	r := u.plugin.executor.Do(ctx, idempotency.ID{Tenant: u.Tenant, Class: u.Class, Key: key}, idempotency.Fingerprint(h.Sum(nil)[:16]),
		func(wanted context.Context, prior []idempotency.Attempt, sends executor.AttemptRecorder) executor.Outcome {
			sent.Interest = wanted
			for _, x := range prior {
				sent.EarlierAttempts = append(sent.EarlierAttempts, balancer.EarlierAttempt{Zone: x.Zone, Cell: x.Cell, SentAt: x.SentAt})
			}
			a := sent.execute(context.WithoutCancel(ctx), recordingTransport{sent, sends})
			switch a.Kind {
			case engine.Served:
				return storedOutcome(a.Value.(*unaryResult))
			case engine.Rejected, engine.Duplicate, engine.EngineClosed:
				return executor.Outcome{Verdict: idempotency.Reject, RetryAfter: a.RetryAfter}
			}
			return executor.Outcome{Verdict: idempotency.Fail}
		})
	err = u.finish(ctx, r, reply)
	(&callOutputs{}).writeTo(u.outputOptions, err) // headers and trailers are the first call's alone, and not kept
	return err
}

// finish words what a caller is told.
func (u *unaryCall) finish(ctx context.Context, r executor.Result, reply proto.Message) error {
	switch {
	case r.ClientLeft:
		return status.FromContextError(ctx.Err()).Err()
	case r.Verdict == idempotency.Replay:
		if code := codes.Code(r.Answer.Status); code != codes.OK {
			return status.Error(code, string(r.Answer.Body))
		}
		if err := proto.Unmarshal(r.Answer.Body, reply); err != nil {
			return status.Error(codes.Internal, "orchidgrpc: "+err.Error())
		}
		return nil
	case r.Verdict == idempotency.Conflict:
		return status.Error(codes.InvalidArgument, "orchidgrpc: the key was used for another call")
	case r.Verdict == idempotency.AnswerNotStored:
		return status.Error(codes.AlreadyExists, "orchidgrpc: a call of this key was answered, and its answer was too large to be kept")
	case r.Verdict == idempotency.Reject:
		return u.finalError(ctx, engine.Answer{Kind: engine.Rejected, RetryAfter: r.RetryAfter})
	}
	return u.finalError(ctx, engine.Answer{Kind: engine.Failed})
}

// storedOutcome is an answer as it is kept: a message's bytes, or the application's status. What can't be written has run all the same.
func storedOutcome(r *unaryResult) executor.Outcome {
	a := &idempotency.Answer{Status: int(codes.OK)}
	if r.err != nil {
		s := status.Convert(r.err)
		a.Status, a.Body = int(s.Code()), []byte(s.Message())
	} else {
		body, err := proto.Marshal(r.reply.(proto.Message))
		if err != nil {
			return executor.Outcome{Verdict: idempotency.Fail}
		}
		a.Body = body
	}
	return executor.Outcome{Verdict: idempotency.Replay, Answer: a}
}

// recordingTransport are attempts whose sends are told of before they may run.
type recordingTransport struct {
	*unaryCall
	recorder executor.AttemptRecorder
}

// RoundTrip is engine.Transport's.
func (c recordingTransport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	x := idempotency.Attempt{Zone: a.Zone, Cell: a.Cell, SentAt: c.plugin.engine.Clock().Now()}
	c.recorder.AttemptStarted(x)
	r := c.unaryCall.RoundTrip(ctx, a)
	switch r.Result {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		c.recorder.AttemptNotSent(x)
	}
	return r
}
