package grpcbalancer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

var serverStream = &grpc.StreamDesc{StreamName: "Search", ServerStreams: true}
var bidiStream = &grpc.StreamDesc{StreamName: "Search", ServerStreams: true, ClientStreams: true}
var clientStream = &grpc.StreamDesc{StreamName: "Search", ClientStreams: true}

// openServerStream starts a server stream whose response has the given number of messages, sent with a gap between them.
func openServerStream(t *testing.T, ctx context.Context, conn *grpc.ClientConn, method string, messages int, gap time.Duration) grpc.ClientStream {
	t.Helper()
	ctx = metadata.AppendToOutgoingContext(ctx, fakes.MessagesKey, fmt.Sprint(messages), fakes.GapKey, fmt.Sprint(gap.Microseconds()))
	s, err := conn.NewStream(ctx, serverStream, method)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SendMsg(wrapperspb.String("seat 4")); err != nil {
		t.Fatal(err)
	}
	if err := s.CloseSend(); err != nil {
		t.Fatal(err)
	}
	return s
}

// receiveAll receives messages to the end of a stream.
func receiveAll(s grpc.ClientStream) (got []string, err error) {
	for {
		m := &wrapperspb.StringValue{}
		if err := s.RecvMsg(m); errors.Is(err, io.EOF) {
			return got, nil
		} else if err != nil {
			return got, err
		}
		got = append(got, m.GetValue())
	}
}

// No message of a server stream is lost, duplicated or from another attempt.
func TestServerStream(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, plugin := f.dial(t, nil)
	for _, messages := range []int{0, 1, 200} {
		s := openServerStream(t, t.Context(), conn, search, messages, 0)
		if messages == 200 {
			if h, err := s.Header(); err != nil || len(h["content-type"]) != 1 {
				t.Errorf("server stream: got header %v, error %v", h, err)
			}
		}
		got, err := receiveAll(s)
		if err != nil || len(got) != messages {
			t.Errorf("server stream with %d messages: got %d, error %v", messages, len(got), err)
		}
		for _, name := range got {
			if name != got[0] {
				t.Errorf("one stream has messages from the nodes %s and %s", got[0], name)
			}
		}
		if err := s.RecvMsg(&wrapperspb.StringValue{}); messages == 0 && !errors.Is(err, io.EOF) {
			t.Errorf("RecvMsg after the end of the stream: got %v, want io.EOF", err)
		}
	}
	if n := plugin.InHand(); n != 0 {
		t.Errorf("%d calls are in flight after all streams ended, want 0", n)
	}
}

// A server stream is retried like a unary call up to its first message, and never after it.
func TestServerStreamIsRetriedUpToItsFirstMessage(t *testing.T) {
	bad := fakes.NodeOptions{Name: "bad", Faults: []fakes.Fault{{Kind: fakes.ResetBefore}}}
	f := newFleet(t, bad, fakes.NodeOptions{Name: "good"})
	conn, _ := f.dial(t, nil)
	for range 20 {
		got, err := receiveAll(openServerStream(t, t.Context(), conn, search, 3, 0))
		if err != nil || len(got) != 3 || got[0] != "good" {
			t.Errorf("got messages %v and error %v, want 3 messages from the node good", got, err)
		}
	}
	if f.ledger.Nodes()["bad"].Arrived == 0 {
		t.Error("no attempt reached the node bad, so nothing was retried")
	}

	broken := fakes.NodeOptions{Faults: []fakes.Fault{{Kind: fakes.ResetAfter, Class: search[1:] + "/message"}}}
	f = newFleet(t, broken, broken)
	conn, plugin := f.dial(t, nil)
	got, err := receiveAll(openServerStream(t, t.Context(), conn, search, 10, time.Millisecond))
	if err == nil || len(got) == 0 || len(got) >= 10 || !grpcbalancer.MayHaveRun(err) || status.Code(err) == codes.Unavailable {
		t.Errorf("stream that broke after its first message: got messages %v and error %v, want 1 to 9 messages and an error, other than UNAVAILABLE, of a call that may have run", got, err)
	}
	if n := f.ledger.Nodes(); n["n0"].Arrived+n["n1"].Arrived != 1 {
		t.Errorf("the stream was not sent exactly once; requests by node: %+v", n)
	}
	testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
}

// A non-idempotent server stream is not retried, even before its first message.
func TestNonIdempotentServerStreamIsNotRetried(t *testing.T) {
	f := newFleet(t, withFault(fakes.ResetAfter), withFault(fakes.ResetAfter))
	conn, _ := f.dial(t, nil)
	_, err := receiveAll(openServerStream(t, t.Context(), conn, confirm, 3, 0))
	if err == nil || !grpcbalancer.MayHaveRun(err) {
		t.Errorf("broken server stream: got %v, want an error of a call that may have run", err)
	}
	if n := f.ledger.Nodes(); n["n0"].Arrived+n["n1"].Arrived != 1 {
		t.Errorf("the stream was not sent exactly once; requests by node: %+v", n)
	}
}

// An open stream is not bounded by its class's deadline, and ends with its caller's context.
func TestStreamLastsAsLongAsItsCaller(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{})
	conn, plugin := f.dial(t, func(o *grpcbalancer.Options) {
		o.Settings.Classes[0].LatencyObjective, o.Settings.Classes[0].Deadline = 300*time.Millisecond, 300*time.Millisecond
	})
	got, err := receiveAll(openServerStream(t, t.Context(), conn, search, 8, 100*time.Millisecond))
	if err != nil || len(got) != 8 {
		t.Errorf("stream longer than its class's deadline: got %d messages, want 8; error %v", len(got), err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s := openServerStream(t, ctx, conn, search, 1000, 50*time.Millisecond)
	if err := s.RecvMsg(&wrapperspb.StringValue{}); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := receiveAll(s); status.Code(err) != codes.Canceled {
		t.Errorf("stream after its caller left: got %v, want CANCELED", err)
	}
	testutil.Eventually(t, "the stream ends at the node", func() bool { return f.nodes[0].InFlight() == 0 })
	testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })

	ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := receiveAll(openServerStream(t, ctx, conn, search, 1000, 20*time.Millisecond)); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("stream after its caller's deadline: got %v, want DEADLINE_EXCEEDED", err)
	}
	testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
}

// Streams on which the client sends work as with plain grpc-go.
func TestClientAndBidiStreams(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, plugin := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.EchoKey, "1")
	s, err := conn.NewStream(ctx, bidiStream, confirm)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		if err := s.SendMsg(wrapperspb.String(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		m := &wrapperspb.StringValue{}
		if err := s.RecvMsg(m); err != nil || m.GetValue() != fmt.Sprint(i) {
			t.Fatalf("echoed message: got %q, error %v", m.GetValue(), err)
		}
	}
	if err := s.CloseSend(); err != nil {
		t.Fatal(err)
	}
	if rest, err := receiveAll(s); err != nil || len(rest) != 0 {
		t.Errorf("after CloseSend: got messages %v, error %v, want none", rest, err)
	}

	if s, err = conn.NewStream(ctx, clientStream, search); err != nil {
		t.Fatal(err)
	}
	if err := s.SendMsg(wrapperspb.String("one")); err != nil {
		t.Fatal(err)
	}
	if err := s.CloseSend(); err != nil {
		t.Fatal(err)
	}
	m := &wrapperspb.StringValue{}
	if err := s.RecvMsg(m); err != nil || m.GetValue() != "one" {
		t.Errorf("answer of the client stream: got %q, error %v", m.GetValue(), err)
	}
	testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
}

// A client stream that breaks after it was opened is not retried, even if its class is idempotent, because messages were sent on it.
func TestClientStreamIsNeverRetried(t *testing.T) {
	f := newFleet(t, withFault(fakes.ResetAfter), withFault(fakes.ResetAfter))
	conn, plugin := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.EchoKey, "1")
	s, err := conn.NewStream(ctx, bidiStream, search)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 { // too few to fill the flow-control window; SendMsg blocks on a full window
		if s.SendMsg(wrapperspb.String("x")) != nil {
			break
		}
	}
	if _, err := receiveAll(s); err == nil || !grpcbalancer.MayHaveRun(err) {
		t.Errorf("broken client stream: got %v, want an error of a call that may have run", err)
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 1 {
		t.Errorf("the stream did not run exactly once; requests by node: %+v", n)
	}
	testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
}

// The opening of a client stream is retried on another node if the connection is refused, since nothing was sent.
func TestClientStreamIsOpenedElsewhere(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{Name: "dead"}, fakes.NodeOptions{Name: "alive"})
	f.nodes[0].Kill()
	conn, _ := f.dial(t, nil)
	for range 10 {
		ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.EchoKey, "1")
		s, err := conn.NewStream(ctx, bidiStream, confirm)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.CloseSend(); err != nil {
			t.Fatal(err)
		}
		if _, err := receiveAll(s); err != nil {
			t.Errorf("stream with a dead node in the list: %v", err)
		}
	}
}
