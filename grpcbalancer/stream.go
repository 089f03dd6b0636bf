package grpcbalancer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"orchiddrift/balancer"
	"orchiddrift/internal/engine"
)

// stream is the interceptor of streams. A server stream, one message and then an answer of many, is decided like a
// unary call up to its first message: until then it may be sent again as its class allows. A stream on which the client
// goes on writing is decided once, when it is opened: nothing is repeated once it stands.
func (p *Plugin) stream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	ctx, c := p.newCall(ctx, method)
	s := &clientStream{call: c, ctx: ctx, desc: desc, cc: cc, streamer: streamer}
	s.plain, s.writing = split(opts)
	if !desc.ClientStreams {
		return s, nil
	}
	return s, s.start(nil, false)
}

// clientStream is the caller's stream. As grpc says, one goroutine may send while another receives.
type clientStream struct {
	*call
	ctx            context.Context
	desc           *grpc.StreamDesc
	cc             *grpc.ClientConn
	streamer       grpc.Streamer
	plain, writing []grpc.CallOption

	req any // of a server stream

	once    sync.Once   // starting
	started atomic.Bool // it is over: won or err stands
	won     *streamResult
	err     error // instead of a stream
	answer  engine.Answer
	stop    func() bool // of the watch on the caller's context
	endOnce sync.Once
}

// streamResult is an attempt whose stream stands, or an answer that was over at once.
type streamResult struct {
	outputs
	rec    *attempt
	stream grpc.ClientStream
	first  any   // the first message, if one was received
	err    error // what came instead of it: io.EOF or the application's status
	whole  bool  // the answer has ended
}

// streamAttempt carries out the opening of a stream.
type streamAttempt struct {
	s    *clientStream
	like *messageType // of the first message; nil: do not wait for one
	head bool         // wait for the header, where like is nil
}

func (t *streamAttempt) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	s := t.s
	rec := s.begin(streamContext{ctx, s.ctx}, a)
	if rec == nil {
		return engine.AttemptResult{Result: balancer.NotSent}
	}
	r := &streamResult{rec: rec}
	var err error
	if r.stream, err = s.streamer(rec, s.desc, s.cc, s.method, r.own(s.plain, s.writing)...); err == nil && !s.desc.ClientStreams {
		// An error of SendMsg says only that the stream has ended; what it was says RecvMsg.
		if err = r.stream.SendMsg(s.req); err == nil {
			err = r.stream.CloseSend()
		}
		switch {
		case err != nil && err != io.EOF: // the message can't be encoded
		case t.like != nil:
			r.first = t.like.fresh()
			err = r.stream.RecvMsg(r.first)
		case t.head:
			_, err = r.stream.Header()
		}
	}
	if err == nil {
		return engine.AttemptResult{Streaming: true, Value: r}
	}
	if r.stream != nil {
		r.trailer = r.stream.Trailer()
	}
	result := s.ended(rec, err)
	r.err, r.whole = err, true
	if result != balancer.OK {
		return engine.AttemptResult{Result: result}
	}
	return engine.AttemptResult{Result: result, Value: r}
}

// streamContext tells the upstream the caller's deadline and not the attempt's: the class's bounds the wait for the first
// message, and the stream goes on after it.
type streamContext struct {
	context.Context
	caller context.Context
}

func (c streamContext) Deadline() (time.Time, bool) { return c.caller.Deadline() }

// start has the module open the stream, once.
func (s *clientStream) start(like *messageType, head bool) error {
	s.once.Do(func() {
		defer s.started.Store(true)
		s.answer = s.do(s.ctx, &streamAttempt{s: s, like: like, head: head})
		if s.answer.Kind != engine.Served {
			s.err = s.fail(s.ctx, s.answer)
			(&outputs{}).handOver(s.writing, s.err)
			return
		}
		s.won = s.answer.Value.(*streamResult)
		if s.won.whole {
			s.finish(balancer.OK, s.won.err)
			return
		}
		s.stop = context.AfterFunc(s.ctx, func() { s.finish(balancer.Cancelled, s.ctx.Err()) })
	})
	return s.err
}

// finish reports the end, once.
func (s *clientStream) finish(r balancer.Result, err error) {
	s.endOnce.Do(func() {
		s.answer.EndStream(r)
		if err == io.EOF {
			err = nil
		}
		s.won.handOver(s.writing, err)
	})
}

func (s *clientStream) SendMsg(m any) error {
	if !s.desc.ClientStreams {
		s.req = m
		return nil
	}
	if err := s.start(nil, false); err != nil {
		return err
	}
	return s.won.stream.SendMsg(m) // io.EOF: RecvMsg has the status
}

func (s *clientStream) CloseSend() error {
	if !s.desc.ClientStreams {
		return nil
	}
	if err := s.start(nil, false); err != nil {
		return err
	}
	return s.won.stream.CloseSend()
}

func (s *clientStream) RecvMsg(m any) error {
	if !s.started.Load() {
		like := typeOf(m)
		if err := s.start(&like, false); err != nil {
			return err
		}
	}
	if s.err != nil {
		return s.err
	}
	if first := s.won.first; first != nil && !s.won.whole {
		s.won.first = nil
		copyInto(m, first)
		return nil
	}
	if s.won.whole {
		return s.won.err
	}
	err := s.won.stream.RecvMsg(m)
	switch {
	case err == nil && s.desc.ServerStreams:
		return nil
	case err == nil: // the one answer to a client stream
		s.end(nil)
		return nil
	}
	return s.end(err)
}

// end classifies what ended the stream, and words what is to be told of it.
func (s *clientStream) end(err error) error {
	if s.ctx.Err() != nil && err != nil && err != io.EOF {
		s.finish(balancer.Cancelled, s.ctx.Err())
		return status.FromContextError(s.ctx.Err()).Err()
	}
	s.stop()
	s.won.trailer = s.won.stream.Trailer()
	r := s.ended(s.won.rec, err)
	if err != nil && err != io.EOF && r != balancer.OK {
		if r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent {
			err = refusal("orchidgrpc: the stream was not processed: "+status.Convert(err).Message(), s.answer, codes.Unavailable)
		} else {
			err = answerError(s.ctx, engine.Answer{Kind: engine.Failed, Attempts: s.answer.Attempts}, status.Convert(err), false)
		}
	}
	s.finish(r, err)
	return err
}

func (s *clientStream) Header() (metadata.MD, error) {
	if err := s.start(nil, true); err != nil {
		return nil, err
	}
	if s.won.stream == nil {
		return nil, s.won.err
	}
	return s.won.stream.Header()
}

func (s *clientStream) Trailer() metadata.MD {
	if !s.started.Load() || s.won == nil || s.won.stream == nil {
		return nil
	}
	return s.won.stream.Trailer()
}

func (s *clientStream) Context() context.Context {
	if s.started.Load() && s.won != nil && s.won.stream != nil {
		return s.won.stream.Context()
	}
	return s.ctx
}
