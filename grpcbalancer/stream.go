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

// interceptStream is the grpc.StreamClientInterceptor.
//
// A server stream (one request message, many response messages) is handled like a unary call up to its first response message: until then
// it may be retried as its class allows. The first RecvMsg or Header sends it. A client stream or bidirectional stream is opened by
// interceptStream, which blocks until the stream is open; from then on, nothing is retried.
func (p *Plugin) interceptStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	streamer grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
	ctx, c := p.newCall(ctx, method)
	s := &clientStream{call: c, ctx: ctx, desc: desc, cc: cc, streamer: streamer}
	s.plainOptions, s.outputOptions = splitOptions(options)
	if !desc.ClientStreams {
		return s, nil
	}
	return s, s.start(openCondition{})
}

// clientStream implements grpc.ClientStream for the caller. As grpc-go allows, one goroutine may send while another one receives.
type clientStream struct {
	*call
	ctx                         context.Context // the caller's context, with the metadata that newCall added
	desc                        *grpc.StreamDesc
	cc                          *grpc.ClientConn
	streamer                    grpc.Streamer
	plainOptions, outputOptions []grpc.CallOption

	request any // the only request message of a server stream

	startOnce sync.Once
	started   atomic.Bool // start has set result or startErr, which no longer change
	result    *streamResult
	startErr  error
	answer    engine.Answer

	stopWatchingContext func() bool // stops the watch on the caller's context
	endOnce             sync.Once
}

// start has the engine open the stream. Only the first call of start opens the stream, and blocks until the stream meets a condition or has
// failed. The parameter wait is that condition. Later calls return the same error.
func (s *clientStream) start(wait openCondition) error {
	s.startOnce.Do(func() {
		defer s.started.Store(true)
		s.answer = s.execute(s.ctx, &streamTransport{stream: s, wait: wait})
		if s.answer.Kind != engine.Served {
			s.startErr = s.finalError(s.ctx, s.answer)
			(&callOutputs{}).writeTo(s.outputOptions, s.startErr)
			return
		}
		s.result = s.answer.Value.(*streamResult)
		if s.result.ended {
			s.reportEnd(balancer.OK, s.result.err)
			return
		}
		s.stopWatchingContext = context.AfterFunc(s.ctx, func() { s.reportEnd(balancer.Cancelled, s.ctx.Err()) })
	})
	return s.startErr
}

// reportEnd reports the end of an open stream to the engine and to the caller's options, once. It is called from the receiving goroutine
// and, when the caller's context ends, from the goroutine that watches the context.
func (s *clientStream) reportEnd(result balancer.Result, err error) {
	s.endOnce.Do(func() {
		s.answer.EndStream(result)
		if err == io.EOF {
			err = nil
		}
		s.result.writeTo(s.outputOptions, err)
	})
}

// SendMsg implements grpc.ClientStream. It stores the message of a server stream until the stream is started.
func (s *clientStream) SendMsg(message any) error {
	if !s.desc.ClientStreams {
		s.request = message
		return nil
	}
	if err := s.start(openCondition{}); err != nil {
		return err
	}
	return s.result.stream.SendMsg(message) // after io.EOF, RecvMsg returns the status
}

// CloseSend implements grpc.ClientStream.
func (s *clientStream) CloseSend() error {
	if !s.desc.ClientStreams {
		return nil
	}
	if err := s.start(openCondition{}); err != nil {
		return err
	}
	return s.result.stream.CloseSend()
}

// RecvMsg implements grpc.ClientStream. It starts a server stream and blocks until a message or the end of the stream.
func (s *clientStream) RecvMsg(message any) error {
	if !s.started.Load() {
		firstMessageType := messageTypeOf(message)
		if err := s.start(openCondition{firstMessageType: &firstMessageType}); err != nil {
			return err
		}
	}
	if s.startErr != nil {
		return s.startErr
	}
	if s.result.ended {
		return s.result.err
	}
	if first := s.result.firstMessage; first != nil {
		s.result.firstMessage = nil
		copyMessage(message, first)
		return nil
	}
	err := s.result.stream.RecvMsg(message)
	if err == nil && s.desc.ServerStreams {
		return nil
	}
	return s.end(err) // err is nil for the only response of a client stream
}

// end classifies the end of an open stream, reports it, and returns the error for the caller, which is err itself if err is nil or io.EOF.
func (s *clientStream) end(err error) error {
	if s.ctx.Err() != nil && err != nil && err != io.EOF {
		s.reportEnd(balancer.Cancelled, s.ctx.Err())
		return status.FromContextError(s.ctx.Err()).Err()
	}
	s.stopWatchingContext()
	s.result.trailer = s.result.stream.Trailer()
	result := s.finishAttempt(s.result.attempt, err)
	if err != nil && err != io.EOF {
		err = s.endError(result, err)
	}
	s.reportEnd(result, err)
	return err
}

// endError returns the caller's error for a status that ended an open stream.
func (s *clientStream) endError(result balancer.Result, err error) error {
	switch result {
	case balancer.OK: // the application's status
		return err
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		return rejectedError("orchidgrpc: the stream was not processed: "+status.Convert(err).Message(), s.answer, codes.Unavailable)
	}
	failed := engine.Answer{Kind: engine.Failed, Attempts: s.answer.Attempts}
	return answerError(s.ctx, failed, status.Convert(err), false)
}

// Header implements grpc.ClientStream. It starts a server stream and blocks until the header or the end of the stream.
func (s *clientStream) Header() (metadata.MD, error) {
	if err := s.start(openCondition{header: true}); err != nil {
		return nil, err
	}
	if s.result.stream == nil {
		return nil, s.result.err
	}
	return s.result.stream.Header()
}

// Trailer implements grpc.ClientStream.
func (s *clientStream) Trailer() metadata.MD {
	if !s.started.Load() || s.result == nil || s.result.stream == nil {
		return nil
	}
	return s.result.stream.Trailer()
}

// Context implements grpc.ClientStream.
func (s *clientStream) Context() context.Context {
	if s.started.Load() && s.result != nil && s.result.stream != nil {
		return s.result.stream.Context()
	}
	return s.ctx
}

// streamResult is an attempt whose stream is open or has ended with an answer.
type streamResult struct {
	callOutputs
	attempt      *attempt
	stream       grpc.ClientStream
	firstMessage any   // of the response, if the attempt waited for it; nil once it has been passed to the caller
	err          error // in place of the first message: io.EOF or the application's status
	ended        bool  // the response is complete
}

// openCondition is the condition under which the stream of an attempt counts as open, and the attempt as served. The zero value waits for
// neither header nor message.
type openCondition struct {
	firstMessageType *messageType // type of the first response message, which is waited for; nil if no message is waited for
	header           bool         // wait for the header, if firstMessageType is nil
}

// streamTransport implements engine.Transport for the attempts to open a stream.
type streamTransport struct {
	stream *clientStream
	wait   openCondition
}

// RoundTrip implements engine.Transport: it opens the stream of an attempt and blocks until the stream meets the condition t.wait.
func (t *streamTransport) RoundTrip(ctx context.Context, a engine.Attempt) engine.AttemptResult {
	s := t.stream
	attempt := s.newAttempt(streamContext{ctx, s.ctx}, a)
	if attempt == nil {
		return engine.AttemptResult{Result: balancer.NotSent}
	}
	opened := &streamResult{attempt: attempt}
	err := t.open(opened)
	if err == nil {
		return engine.AttemptResult{Streaming: true, Value: opened}
	}
	if opened.stream != nil {
		opened.trailer = opened.stream.Trailer()
	}
	result := s.finishAttempt(attempt, err)
	if result != balancer.OK {
		return engine.AttemptResult{Result: result}
	}
	opened.err, opened.ended = err, true
	return engine.AttemptResult{Result: result, Value: opened}
}

// open opens the stream of opened.attempt, sends the request of a server stream and waits as t.wait requires. It returns the error that
// ended the stream.
func (t *streamTransport) open(opened *streamResult) error {
	s := t.stream
	options := opened.options(s.plainOptions, s.outputOptions)
	stream, err := s.streamer(opened.attempt, s.desc, s.cc, s.method, options...)
	opened.stream = stream
	if err != nil || s.desc.ClientStreams {
		return err
	}
	err = stream.SendMsg(s.request)
	if err == nil {
		err = stream.CloseSend()
	}
	switch {
	case err != nil && err != io.EOF: // the message cannot be encoded
		return err
	case t.wait.firstMessageType != nil: // after io.EOF, RecvMsg returns the status
		opened.firstMessage = t.wait.firstMessageType.newMessage()
		return stream.RecvMsg(opened.firstMessage)
	case t.wait.header:
		_, err = stream.Header()
	}
	return err
}

// streamContext is the context of an attempt with the caller's deadline, which grpc-go sends to the upstream. The class's deadline bounds
// only the wait for the first message, so that the stream may last longer.
type streamContext struct {
	context.Context
	caller context.Context
}

// Deadline implements context.Context.
func (c streamContext) Deadline() (time.Time, bool) { return c.caller.Deadline() }
