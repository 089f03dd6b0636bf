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

// fingerprintBytes is the length of a call's fingerprint, which distinguishes different calls that use the same key.
const fingerprintBytes = 16

// callerIdempotencyKey returns the idempotency key by which the caller's retries of a call are recognised. It is empty if there is no
// executor, if the method's class is not idempotent with a key, or if the caller has set none: a generated key differs from call to call.
func (p *Plugin) callerIdempotencyKey(ctx context.Context, method string) string {
	if p.executor == nil || p.methods.class(method).Idempotency != balancer.IdempotentWithKey {
		return ""
	}
	md, _ := metadata.FromOutgoingContext(ctx)
	return firstValue(md, IdempotencyKey)
}

// invokeOnce answers a call with the result of the first call that has its key, and sends the call if it is the first. It blocks until the
// result is known or ctx ends. The attempts run in the executor's goroutine, because other callers may still wait for the result when the
// caller of invokeOnce has left. Headers and trailers are not stored, so the caller's output options receive none.
func (u *unaryCall) invokeOnce(ctx context.Context, key string) error {
	request, ok := u.req.(proto.Message)
	reply, replyOK := u.reply.(proto.Message)
	if !ok || !replyOK {
		return status.Error(codes.Internal, "orchidgrpc: a keyed call's messages are protobuf messages where its repeats are looked for")
	}
	fingerprint, err := u.requestFingerprint(request)
	if err != nil {
		return status.Error(codes.Internal, "orchidgrpc: "+err.Error())
	}
	detached := u.detach(request)
	result := u.plugin.executor.Do(ctx, idempotency.ID{Tenant: u.Tenant, Class: u.Class, Key: key}, fingerprint,
		func(interest context.Context, earlier []idempotency.Attempt, recorder executor.AttemptRecorder) executor.Outcome {
			detached.Interest = interest
			return detached.executeRecorded(context.WithoutCancel(ctx), earlier, recorder)
		})
	err = u.finish(ctx, result, reply)
	(&callOutputs{}).writeTo(u.outputOptions, err)
	return err
}

// requestFingerprint returns a hash of the method and the request.
func (u *unaryCall) requestFingerprint(request proto.Message) (idempotency.Fingerprint, error) {
	var fingerprint idempotency.Fingerprint
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	if err != nil {
		return fingerprint, err
	}
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\x00", u.method) // a hash's Write never fails
	hash.Write(body)
	return idempotency.Fingerprint(hash.Sum(nil)[:fingerprintBytes]), nil
}

// detach returns a copy of the call that has its own Interest and EarlierAttempts and shares no message with the caller, because the caller
// may return before the attempts of the copy end.
func (u *unaryCall) detach(request proto.Message) *unaryCall {
	copied := *u.call
	return &unaryCall{
		call:         &copied,
		req:          proto.Clone(request),
		reply:        u.replyType.newMessage(),
		replyType:    u.replyType,
		cc:           u.cc,
		invoker:      u.invoker,
		plainOptions: u.plainOptions,
	}
}

// executeRecorded sends a detached call and returns the outcome to store. The executor calls it in a goroutine of its own.
func (u *unaryCall) executeRecorded(ctx context.Context, earlier []idempotency.Attempt, recorder executor.AttemptRecorder) executor.Outcome {
	for _, attempt := range earlier {
		u.EarlierAttempts = append(u.EarlierAttempts, balancer.EarlierAttempt{Zone: attempt.Zone, Cell: attempt.Cell, SentAt: attempt.SentAt})
	}
	answer := u.execute(ctx, recordingTransport{u, recorder})
	switch answer.Kind {
	case engine.Served:
		return storedOutcome(answer.Value.(*unaryResult))
	case engine.Rejected, engine.Duplicate, engine.EngineClosed:
		return executor.Outcome{Verdict: idempotency.Reject, RetryAfter: answer.RetryAfter}
	}
	return executor.Outcome{Verdict: idempotency.Fail}
}

// finish writes the answer that result holds to the caller's reply, or returns the error that the caller gets.
func (u *unaryCall) finish(ctx context.Context, result executor.Result, reply proto.Message) error {
	if result.ClientLeft {
		return status.FromContextError(ctx.Err()).Err()
	}
	switch result.Verdict {
	case idempotency.Replay:
		if code := codes.Code(result.Answer.Status); code != codes.OK {
			return status.Error(code, string(result.Answer.Body))
		}
		if err := proto.Unmarshal(result.Answer.Body, reply); err != nil {
			return status.Error(codes.Internal, "orchidgrpc: "+err.Error())
		}
		return nil
	case idempotency.Conflict:
		return status.Error(codes.InvalidArgument, "orchidgrpc: the key was used for another call")
	case idempotency.AnswerNotStored:
		return status.Error(codes.AlreadyExists, "orchidgrpc: a call of this key was answered, and its answer was too large to be kept")
	case idempotency.Reject:
		return u.finalError(ctx, engine.Answer{Kind: engine.Rejected, RetryAfter: result.RetryAfter})
	}
	return u.finalError(ctx, engine.Answer{Kind: engine.Failed})
}

// storedOutcome returns an answer in its stored form: the encoded message, or the application's status. If the reply cannot be
// encoded, the verdict is idempotency.Fail: the call has run, so a repeat must not run it again, and there is no answer to return.
func storedOutcome(result *unaryResult) executor.Outcome {
	if result.err != nil {
		s := status.Convert(result.err)
		answer := &idempotency.Answer{Status: int(s.Code()), Body: []byte(s.Message())}
		return executor.Outcome{Verdict: idempotency.Replay, Answer: answer}
	}
	body, err := proto.Marshal(result.reply.(proto.Message))
	if err != nil {
		return executor.Outcome{Verdict: idempotency.Fail}
	}
	return executor.Outcome{Verdict: idempotency.Replay, Answer: &idempotency.Answer{Status: int(codes.OK), Body: body}}
}

// recordingTransport records attempts of a call with an idempotency key before they are sent.
type recordingTransport struct {
	*unaryCall
	recorder executor.AttemptRecorder
}

// RoundTrip implements engine.Transport.
func (t recordingTransport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	attempt := idempotency.Attempt{Zone: a.Zone, Cell: a.Cell, SentAt: t.plugin.clock.Now()}
	t.recorder.AttemptStarted(attempt)
	result := t.unaryCall.RoundTrip(ctx, a)
	switch result.Result {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		t.recorder.AttemptNotExecuted(attempt)
	}
	return result
}
