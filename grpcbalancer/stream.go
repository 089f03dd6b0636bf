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

// interceptStream is the interceptor of streams. A server stream, one message and then an answer of many, is decided like a
// unary call up to its first message: until then it may be sent again as its class allows. A stream on which the client
// goes on writing is decided once, when it is opened: nothing is repeated once it stands.
func (p *Plugin) interceptStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	ctx, c := p.newCall(ctx, method)
	s := &clientStream{call: c, ctx: ctx, desc: desc, cc: cc, streamer: streamer}
	s.plainOptions, s.outputOptions = splitOptions(opts)
	if !desc.ClientStreams {
		return s, nil
	}
	return s, s.start(nil, false)
}

// clientStream is the caller's stream. As grpc says, one goroutine may send while another receives.
type clientStream struct {
	*call
	ctx                         context.Context
	desc                        *grpc.StreamDesc
	cc                          *grpc.ClientConn
	streamer                    grpc.Streamer
	plainOptions, outputOptions []grpc.CallOption

	req any // of a server stream

	startOnce           sync.Once   // starting
	started             atomic.Bool // it is over: won or err stands
	result              *streamResult
	startErr            error // instead of a stream
	answer              engine.Answer
	stopWatchingContext func() bool // of the watch on the caller's context
	endOnce             sync.Once
}

// streamResult is an attempt whose stream stands, or an answer that was over at once.
type streamResult struct {
	callOutputs
	attempt      *attempt
	stream       grpc.ClientStream
	firstMessage any   // the first message, if one was received
	err          error // what came instead of it: io.EOF or the application's status
	ended        bool  // the answer has ended
}

// streamTransport carries out the opening of a stream.
type streamTransport struct {
	stream           *clientStream
	firstMessageType *messageType // of the first message; nil: do not wait for one
	awaitHeader      bool         // wait for the header, where like is nil
}

func (t *streamTransport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	s := t.stream
	rec := s.newAttempt(streamContext{ctx, s.ctx}, a)
	if rec == nil {
		return engine.AttemptResult{Result: balancer.NotSent}
	}
	r := &streamResult{attempt: rec}
	var err error
	if r.stream, err = s.streamer(rec, s.desc, s.cc, s.method, r.options(s.plainOptions, s.outputOptions)...); err == nil && !s.desc.ClientStreams {
		// An error of SendMsg says only that the stream has ended; what it was says RecvMsg.
		if err = r.stream.SendMsg(s.req); err == nil {
			err = r.stream.CloseSend()
		}
		switch {
		case err != nil && err != io.EOF: // the message can't be encoded
		case t.firstMessageType != nil:
			r.firstMessage = t.firstMessageType.newMessage()
			err = r.stream.RecvMsg(r.firstMessage)
		case t.awaitHeader:
			_, err = r.stream.Header()
		}
	}
	if err == nil {
		return engine.AttemptResult{Streaming: true, Value: r}
	}
	if r.stream != nil {
		r.trailer = r.stream.Trailer()
	}
	result := s.finishAttempt(rec, err)
	r.err, r.ended = err, true
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
	s.startOnce.Do(func() {
		defer s.started.Store(true)
		s.answer = s.execute(s.ctx, &streamTransport{stream: s, firstMessageType: like, awaitHeader: head})
		if s.answer.Kind != engine.Served {
			s.startErr = s.finalError(s.ctx, s.answer)
			(&callOutputs{}).writeTo(s.outputOptions, s.startErr)
			return
		}
		s.result = s.answer.Value.(*streamResult)
		if s.result.ended {
			s.finish(balancer.OK, s.result.err)
			return
		}
		s.stopWatchingContext = context.AfterFunc(s.ctx, func() { s.finish(balancer.Cancelled, s.ctx.Err()) })
	})
	return s.startErr
}

// finish reports the end, once.
func (s *clientStream) finish(r balancer.Result, err error) {
	s.endOnce.Do(func() {
		s.answer.EndStream(r)
		if err == io.EOF {
			err = nil
		}
		s.result.writeTo(s.outputOptions, err)
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
	return s.result.stream.SendMsg(m) // io.EOF: RecvMsg has the status
}

func (s *clientStream) CloseSend() error {
	if !s.desc.ClientStreams {
		return nil
	}
	if err := s.start(nil, false); err != nil {
		return err
	}
	return s.result.stream.CloseSend()
}

func (s *clientStream) RecvMsg(m any) error {
	if !s.started.Load() {
		like := messageTypeOf(m)
		if err := s.start(&like, false); err != nil {
			return err
		}
	}
	if s.startErr != nil {
		return s.startErr
	}
	if first := s.result.firstMessage; first != nil && !s.result.ended {
		s.result.firstMessage = nil
		copyMessage(m, first)
		return nil
	}
	if s.result.ended {
		return s.result.err
	}
	err := s.result.stream.RecvMsg(m)
	switch {
	case err == nil && s.desc.ServerStreams:
		return nil
	case err == nil: // the one answer to a client stream
		s.finalStatus(nil)
		return nil
	}
	return s.finalStatus(err)
}

// finalStatus classifies what ended the stream, and words what is to be told of it.
func (s *clientStream) finalStatus(err error) error {
	if s.ctx.Err() != nil && err != nil && err != io.EOF {
		s.finish(balancer.Cancelled, s.ctx.Err())
		return status.FromContextError(s.ctx.Err()).Err()
	}
	s.stopWatchingContext()
	s.result.trailer = s.result.stream.Trailer()
	r := s.finishAttempt(s.result.attempt, err)
	if err != nil && err != io.EOF && r != balancer.OK {
		if r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent {
			err = rejectedError("orchidgrpc: the stream was not processed: "+status.Convert(err).Message(), s.answer, codes.Unavailable)
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
	if s.result.stream == nil {
		return nil, s.result.err
	}
	return s.result.stream.Header()
}

func (s *clientStream) Trailer() metadata.MD {
	if !s.started.Load() || s.result == nil || s.result.stream == nil {
		return nil
	}
	return s.result.stream.Trailer()
}

func (s *clientStream) Context() context.Context {
	if s.started.Load() && s.result != nil && s.result.stream != nil {
		return s.result.stream.Context()
	}
	return s.ctx
}
