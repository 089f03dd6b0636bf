package grpcbalancer

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"

	"orchiddrift/balancer"
)

// evidence is what is known of an attempt when its RPC has ended.
type evidence struct {
	notSent            bool       // a pick was denied: the upstream was draining or removed, the time to send was over, or no caller waited
	connectFailed      bool       // no connection came up, or not within the connect timeout
	headersSent        bool       // the request's headers were handed to a connection
	streamNotProcessed bool       // HTTP/2 proves that the upstream did not process the stream: REFUSED_STREAM, or GOAWAY with a lower id
	markedNotProcessed bool       // the trailers state that the request did not run (notProcessedKey)
	code               codes.Code // the RPC's status
	contextCause       error      // cause of the end of the attempt's context; nil if the context has not ended or the connect timer ended it
}

// result classifies the attempt for the engine. applicationCodes are the codes that count as answered (Options.Answers). Only
// ConnectFailed, Rejected and NotSent state that the request did not run; docs/design/grpc.md gives the reason for each status.
func (e evidence) result(applicationCodes map[codes.Code]bool) balancer.Result {
	switch {
	case e.notSent:
		return balancer.NotSent
	case e.streamNotProcessed:
		return balancer.Rejected
	case !e.headersSent && e.connectFailed:
		return balancer.ConnectFailed
	case !e.headersSent && e.contextCause != nil: // cancelled before anything was sent
		return balancer.NotSent
	case !e.headersSent:
		return balancer.ConnectFailed
	case e.markedNotProcessed:
		return balancer.Rejected
	case e.code == codes.OK || applicationCodes[e.code]:
		return balancer.OK
	case errors.Is(e.contextCause, context.DeadlineExceeded), e.code == codes.DeadlineExceeded: // also if the upstream returned this status
		return balancer.Timeout
	case e.contextCause != nil:
		return balancer.Cancelled
	case e.code == codes.Unavailable: // from grpc-go for a broken connection, or from the upstream
		return balancer.Reset
	}
	return balancer.ServerError
}

// defaultApplicationCodes are the codes that concern the request and not the upstream's state: the caller gets them as the answer, and the
// attempt counts as served.
var defaultApplicationCodes = []codes.Code{
	codes.InvalidArgument,
	codes.NotFound,
	codes.AlreadyExists,
	codes.PermissionDenied,
	codes.FailedPrecondition,
	codes.Aborted,
	codes.OutOfRange,
	codes.Unimplemented,
	codes.Unauthenticated,
}
