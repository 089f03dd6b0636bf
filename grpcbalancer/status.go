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

// What the ErrorInfo of an error of the plug-in's says.
const (
	Domain           = "orchiddrift"
	ReasonRefused    = "REFUSED"      // it did not run, or may run again: trying again is harmless
	ReasonMayHaveRun = "MAY_HAVE_RUN" // no promise
)

// MayHaveRun tells whether an error leaves open that the call ran. It is false only for errors with ReasonRefused and
// for what the call's own checks found, so that true is the safe answer for errors from elsewhere.
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

// answerError is the caller's error for a final answer other than a served one. last is the last attempt's own
// status, if it had one; late says that the call's time is up.
func answerError(ctx context.Context, a engine.Answer, last *status.Status, late bool) error {
	switch a.Kind {
	case engine.ClientGone:
		// The caller's own cancellation and deadline keep their codes.
		return status.FromContextError(ctx.Err()).Err()
	case engine.Duplicate:
		return status.Error(codes.AlreadyExists, "orchidgrpc: a call of this x-request-id is in hand")
	case engine.EngineClosed:
		return rejectedError("orchidgrpc: the plug-in is closed", a, codes.Unavailable)
	case engine.Rejected:
		code := codes.Unavailable
		if late {
			code = codes.DeadlineExceeded
		}
		return rejectedError("orchidgrpc: refused, trying again is harmless", a, code)
	}
	// Unavailable is what clients try again on, so a failure never has it.
	code, text := codes.Unknown, "orchidgrpc: failed, it may have run"
	if last != nil && last.Code() != codes.Unavailable && last.Code() != codes.OK && last.Code() != codes.Canceled {
		code = last.Code()
		text += ": " + last.Message()
	}
	if late {
		code = codes.DeadlineExceeded
	}
	return withDetails(code, text, errorInfo(ReasonMayHaveRun, a))
}

func rejectedError(text string, a engine.Answer, code codes.Code) error {
	details := []protoadapt.MessageV1{errorInfo(ReasonRefused, a)}
	if a.RetryAfter > 0 {
		details = append(details, &errdetails.RetryInfo{RetryDelay: durationpb.New(a.RetryAfter)})
	}
	return withDetails(code, text, details...)
}

func errorInfo(reason string, a engine.Answer) *errdetails.ErrorInfo {
	return &errdetails.ErrorInfo{Domain: Domain, Reason: reason,
		Metadata: map[string]string{"sends": strconv.Itoa(a.Attempts)}}
}

func withDetails(code codes.Code, text string, details ...protoadapt.MessageV1) error {
	s := status.New(code, text)
	if detailed, err := s.WithDetails(details...); err == nil { // only a code of OK or a message that does not encode fails
		s = detailed
	}
	return s.Err()
}
