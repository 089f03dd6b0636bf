package loadgen

import (
	"context"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// grpcSender sends unary gRPC calls over its own connection.
type grpcSender struct {
	conn    *grpc.ClientConn
	classes []grpcClass
}

// grpcClass holds what the calls of one class have in common.
type grpcClass struct {
	method  string
	body    template
	headers []Header
	values  []template
}

func newGRPCSender(address string, classes []Class) (*grpcSender, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{})))
	if err != nil {
		return nil, err
	}
	g := &grpcSender{conn: conn}
	for _, class := range classes {
		prepared := grpcClass{method: class.Path, body: newTemplate(string(class.Body)), headers: class.Headers}
		for _, header := range class.Headers {
			prepared.values = append(prepared.values, newTemplate(header.Value))
		}
		g.classes = append(g.classes, prepared)
	}
	return g, nil
}

func (g *grpcSender) close() { g.conn.Close() }

func (g *grpcSender) send(request ScheduledRequest, timeout time.Duration) attemptResult {
	class := &g.classes[request.Class]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for i, header := range class.headers {
		ctx = metadata.AppendToOutgoingContext(ctx, header.Name, string(class.values[i].appendTo(nil, request.Number)))
	}
	body, answer := rawMessage(class.body.appendTo(nil, request.Number)), rawMessage(nil)
	return grpcResult(g.conn.Invoke(ctx, class.method, &body, &answer))
}

// grpcResult converts the error of a call to a result. The codes UNAVAILABLE and RESOURCE_EXHAUSTED are refusals only if the
// error has RetryInfo.
func grpcResult(err error) attemptResult {
	callStatus := status.Convert(err)
	var result attemptResult
	hasRetryInfo := false
	for _, detail := range callStatus.Details() {
		if retryInfo, ok := detail.(*errdetails.RetryInfo); ok {
			result.retryAfter, hasRetryInfo = retryInfo.GetRetryDelay().AsDuration(), true
		}
	}
	switch code := callStatus.Code(); {
	case code == codes.OK:
	case hasRetryInfo && (code == codes.Unavailable || code == codes.ResourceExhausted):
		result.outcome = Refused
	case code == codes.DeadlineExceeded:
		result.outcome = TimedOut
	case code == codes.Unavailable:
		result.outcome = Broken
	case code == codes.Internal || code == codes.Unknown || code == codes.DataLoss || code == codes.Aborted || code == codes.Unimplemented:
		result.outcome = Failed
	default:
		result.outcome = Rejected
	}
	return result
}

// rawMessage holds the bytes of a message.
type rawMessage []byte

// rawCodec sends and receives messages as bytes. It uses the content type of protobuf messages.
type rawCodec struct{}

var _ encoding.CodecV2 = rawCodec{}

func (rawCodec) Name() string { return "proto" }

func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(*v.(*rawMessage))}, nil
}

func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*rawMessage) = data.Materialize()
	return nil
}
