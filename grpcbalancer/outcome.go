package grpcbalancer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"

	"orchiddrift/balancer"
)

// evidence is what is known of an attempt when it has ended.
type evidence struct {
	drained      bool       // the upstream had left the list before a connection was taken
	noConnection bool       // none came up, or not in time
	headers      bool       // the request's head was handed to a connection
	unprocessed  bool       // the wire proves that the upstream did not look at it: REFUSED_STREAM, GOAWAY below it
	notProcessed bool       // trailers came with the platform's mark
	code         codes.Code // the status
	cause        error      // why the attempt's context ended; nil: it had not
}

// result is how the attempt ended for the module. Only ConnectFailed, Overloaded and Moot say that it did not run;
// the note docs/design/grpc.md goes through them status by status.
func (e evidence) result(answers map[codes.Code]bool) balancer.Result {
	switch {
	case e.drained:
		return balancer.NotSent
	case e.unprocessed:
		return balancer.Rejected
	case !e.headers && e.noConnection:
		return balancer.ConnectFailed
	case !e.headers && e.cause != nil: // called off before anything was sent
		return balancer.NotSent
	case !e.headers:
		return balancer.ConnectFailed
	case e.notProcessed:
		return balancer.Rejected
	case e.code == codes.OK || answers[e.code]:
		return balancer.OK
	case errors.Is(e.cause, context.DeadlineExceeded), e.code == codes.DeadlineExceeded: // also as the upstream's word
		return balancer.Timeout
	case e.cause != nil:
		return balancer.Cancelled
	case e.code == codes.Unavailable: // whoever says it, grpc-go for a broken connection or the upstream
		return balancer.Reset
	}
	return balancer.ServerError
}

// defaultAnswers are the codes that say something of the request and nothing of the node: they are the caller's
// answer, and for the module the attempt was served.
var defaultAnswers = []codes.Code{codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
	codes.FailedPrecondition, codes.Aborted, codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated}
