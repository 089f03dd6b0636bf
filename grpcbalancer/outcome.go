package grpcbalancer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"

	"orchiddrift/balancer"
)

// evidence is what is known of an attempt when it has ended.
type evidence struct {
	upstreamRemoved    bool       // the upstream had left the list before a connection was taken
	connectFailed      bool       // none came up, or not in time
	headersSent        bool       // the request's head was handed to a connection
	streamNotProcessed bool       // the wire proves that the upstream did not look at it: REFUSED_STREAM, GOAWAY below it
	markedNotProcessed bool       // trailers came with the platform's mark
	code               codes.Code // the status
	contextCause       error      // why the attempt's context ended; nil: it had not
}

// result is how the attempt ended for the module. Only ConnectFailed, Overloaded and Moot say that it did not run;
// the note docs/design/grpc.md goes through them status by status.
func (e evidence) result(applicationCodes map[codes.Code]bool) balancer.Result {
	switch {
	case e.upstreamRemoved:
		return balancer.NotSent
	case e.streamNotProcessed:
		return balancer.Rejected
	case !e.headersSent && e.connectFailed:
		return balancer.ConnectFailed
	case !e.headersSent && e.contextCause != nil: // called off before anything was sent
		return balancer.NotSent
	case !e.headersSent:
		return balancer.ConnectFailed
	case e.markedNotProcessed:
		return balancer.Rejected
	case e.code == codes.OK || applicationCodes[e.code]:
		return balancer.OK
	case errors.Is(e.contextCause, context.DeadlineExceeded), e.code == codes.DeadlineExceeded: // also as the upstream's word
		return balancer.Timeout
	case e.contextCause != nil:
		return balancer.Cancelled
	case e.code == codes.Unavailable: // whoever says it, grpc-go for a broken connection or the upstream
		return balancer.Reset
	}
	return balancer.ServerError
}

// defaultApplicationCodes are the codes that say something of the request and nothing of the node: they are the caller's
// answer, and for the module the attempt was served.
var defaultApplicationCodes = []codes.Code{codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
	codes.FailedPrecondition, codes.Aborted, codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated}
