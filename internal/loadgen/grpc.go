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

// overGRPC is a sender of unary calls over a connection of its own.
type overGRPC struct {
	conn    *grpc.ClientConn
	classes []grpcClass
}

type grpcClass struct {
	method  string
	body    template
	headers []Header
	values  []template
}

func newGRPC(address string, classes []Class) (*overGRPC, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{})))
	if err != nil {
		return nil, err
	}
	g := &overGRPC{conn: conn}
	for _, c := range classes {
		k := grpcClass{method: c.Path, body: newTemplate(string(c.Body)), headers: c.Headers}
		for _, x := range c.Headers {
			k.values = append(k.values, newTemplate(x.Value))
		}
		g.classes = append(g.classes, k)
	}
	return g, nil
}

func (g *overGRPC) close() { g.conn.Close() }

func (g *overGRPC) send(d ScheduledRequest, timeout time.Duration) attemptResult {
	c := &g.classes[d.Class]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for i, x := range c.headers {
		ctx = metadata.AppendToOutgoingContext(ctx, x.Name, string(c.values[i].appendTo(nil, d.Number)))
	}
	body, answer := raw(c.body.appendTo(nil, d.Number)), raw(nil)
	return grpcResult(g.conn.Invoke(ctx, c.method, &body, &answer))
}

func grpcResult(err error) attemptResult {
	s := status.Convert(err)
	var o attemptResult
	asks := false
	for _, x := range s.Details() {
		if r, ok := x.(*errdetails.RetryInfo); ok {
			o.retryAfter, asks = r.GetRetryDelay().AsDuration(), true
		}
	}
	switch code := s.Code(); {
	case code == codes.OK:
	case asks && (code == codes.Unavailable || code == codes.ResourceExhausted):
		o.outcome = Refused
	case code == codes.DeadlineExceeded:
		o.outcome = TimedOut
	case code == codes.Unavailable:
		o.outcome = Broken
	case code == codes.Internal || code == codes.Unknown || code == codes.DataLoss || code == codes.Aborted || code == codes.Unimplemented:
		o.outcome = Failed
	default:
		o.outcome = Rejected
	}
	return o
}

// raw is a message as its bytes.
type raw []byte

type rawCodec struct{}

var _ encoding.CodecV2 = rawCodec{}

func (rawCodec) Name() string { return "proto" }

func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(*v.(*raw))}, nil
}

func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*raw) = data.Materialize()
	return nil
}
