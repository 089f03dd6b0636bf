package grpcbalancer

import (
	"context"
	"strconv"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"orchiddrift/internal/engine"
)

// Domain and reasons in the ErrorInfo detail of a Plugin's errors.
const (
	Domain           = "orchiddrift"
	ReasonRefused    = "REFUSED"      // the call did not run, or running it again is harmless
	ReasonMayHaveRun = "MAY_HAVE_RUN" // it is not known whether the call ran
)

// attemptsKey is the key of the number of attempts in the ErrorInfo's metadata.
const attemptsKey = "sends"

// MayHaveRun reports whether a call that ended with err may have run. It is false only for an error of a Plugin with ReasonRefused. Other
// errors do not state whether the call ran, so that true is the safe answer for them.
func MayHaveRun(err error) bool {
	if err == nil {
		return true
	}
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok && info.Domain == Domain {
			return info.Reason != ReasonRefused
		}
	}
	return true
}

// answerError returns the error that the caller gets for a final answer of another kind than engine.Served. The parameter last is the
// status of the last attempt that ended without an answer, or nil if no attempt ended so. pastDeadline means that the call's deadline has
// passed.
func answerError(ctx context.Context, answer engine.Answer, last *status.Status, pastDeadline bool) error {
	switch answer.Kind {
	case engine.ClientGone:
		// The caller's own cancellation and deadline keep their codes.
		return status.FromContextError(ctx.Err()).Err()
	case engine.Duplicate:
		return status.Error(codes.AlreadyExists, "orchidgrpc: a call of this x-request-id is in hand")
	case engine.EngineClosed:
		return rejectedError("orchidgrpc: the plug-in is closed", answer, codes.Unavailable)
	case engine.Rejected:
		code := codes.Unavailable
		if pastDeadline {
			code = codes.DeadlineExceeded
		}
		return rejectedError("orchidgrpc: refused, trying again is harmless", answer, code)
	}
	return failedError(answer, last, pastDeadline)
}

// failedError returns the error of a call that may have run. It never has the code UNAVAILABLE, on which clients retry.
func failedError(answer engine.Answer, last *status.Status, pastDeadline bool) error {
	code, text := codes.Unknown, "orchidgrpc: failed, it may have run"
	if last != nil && last.Code() != codes.Unavailable && last.Code() != codes.OK && last.Code() != codes.Canceled {
		code = last.Code()
		text += ": " + last.Message()
	}
	if pastDeadline {
		code = codes.DeadlineExceeded
	}
	return withDetails(code, text, errorInfo(ReasonMayHaveRun, answer))
}

// rejectedError returns the error of a call that did not run, with RetryInfo if the answer has a Retry-After.
func rejectedError(text string, answer engine.Answer, code codes.Code) error {
	details := []protoadapt.MessageV1{errorInfo(ReasonRefused, answer)}
	if answer.RetryAfter > 0 {
		details = append(details, &errdetails.RetryInfo{RetryDelay: durationpb.New(answer.RetryAfter)})
	}
	return withDetails(code, text, details...)
}

// errorInfo returns the detail that states whether the call may have run, and after how many attempts.
func errorInfo(reason string, answer engine.Answer) *errdetails.ErrorInfo {
	return &errdetails.ErrorInfo{
		Domain:   Domain,
		Reason:   reason,
		Metadata: map[string]string{attemptsKey: strconv.Itoa(answer.Attempts)},
	}
}

// withDetails returns a status error with details.
func withDetails(code codes.Code, text string, details ...protoadapt.MessageV1) error {
	s := status.New(code, text)
	if detailed, err := s.WithDetails(details...); err == nil { // fails only for codes.OK and for a message that cannot be encoded
		s = detailed
	}
	return s.Err()
}
