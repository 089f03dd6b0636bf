package grpcbalancer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// withFault returns the options of a node that always has a fault.
func withFault(kind fakes.FaultKind) fakes.NodeOptions {
	return fakes.NodeOptions{Faults: []fakes.Fault{{Kind: kind, Factor: 1}}}
}

// For each way in which an attempt ends: the status of the caller, whether it claims that the call did not run, and how often calls are sent.
// Every node has the same fault, so that no retry helps.
func TestResultByEndOfAttempt(t *testing.T) {
	const refused, failed = codes.Unavailable, codes.Unknown
	for _, c := range []struct {
		name                                     string
		kind                                     fakes.FaultKind
		nonIdempotent                            codes.Code // of a call that must not run twice
		nonIdempotentAttempts, nonIdempotentRuns int
		minIdempotentAttempts                    int // at least
	}{
		{"rejected with the trailer", fakes.Reject, refused, 5, 0, 5},
		{"REFUSED_STREAM", fakes.RefuseStream, refused, 5, 0, 5},
		{"GOAWAY below the stream", fakes.GoAway, refused, 5, 0, 5},
		{"an error without the trailer", fakes.FailNotExecuted, codes.Internal, 1, 0, 2},
		{"an error after it ran", fakes.Fail, codes.Internal, 1, 1, 2},
		{"broken before it ran", fakes.ResetBefore, failed, 1, 0, 2},
		{"broken after it ran", fakes.ResetAfter, failed, 1, 1, 2},
		{"an answer that can't be read", fakes.Malformed, codes.Internal, 1, 1, 2},
		{"an answer cut short", fakes.Truncate, failed, 1, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, withFault(c.kind), withFault(c.kind))
			conn, plugin := f.dial(t, nil)
			ctx := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.RequestIDKey, "op-non-idempotent")
			_, err := invoke(ctx, conn, confirm)
			if got := status.Code(err); got != c.nonIdempotent {
				t.Errorf("non-idempotent: %v, want %v", err, c.nonIdempotent)
			}
			if mayHaveRun := grpcbalancer.MayHaveRun(err); mayHaveRun != (c.nonIdempotent != refused) {
				t.Errorf("non-idempotent: may have run is %v: %v", mayHaveRun, err)
			}
			arrived := 0
			for _, n := range f.ledger.Nodes() {
				arrived += n.Arrived
			}
			if runs := len(f.ledger.Operation("op-non-idempotent").Executions); arrived != c.nonIdempotentAttempts || runs != c.nonIdempotentRuns {
				t.Errorf("non-idempotent: arrived %d times, ran %d", arrived, runs)
			}
			if _, err = invoke(t.Context(), conn, search); err == nil {
				t.Error("idempotent: served")
			}
			after := 0
			for _, n := range f.ledger.Nodes() {
				after += n.Arrived
			}
			if after-arrived < c.minIdempotentAttempts {
				t.Errorf("idempotent: sent %d times, %v", after-arrived, err)
			}
			testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
		})
	}
}

// A rejected call has a Retry-After and the reason that proves that it did not run.
func TestRejectionCarriesRetryInfo(t *testing.T) {
	conn, _ := newFleet(t, withFault(fakes.Reject)).dial(t, nil)
	_, err := invoke(t.Context(), conn, confirm)
	var retry time.Duration
	var reason, attempts string
	for _, d := range status.Convert(err).Details() {
		switch d := d.(type) {
		case *errdetails.RetryInfo:
			retry = d.RetryDelay.AsDuration()
		case *errdetails.ErrorInfo:
			reason, attempts = d.Reason, d.Metadata["sends"]
		}
	}
	if status.Code(err) != codes.Unavailable || retry <= 0 || reason != grpcbalancer.ReasonRefused || attempts != "5" {
		t.Errorf("%v: retry in %v, reason %q, sends %q", err, retry, reason, attempts)
	}
}

// A refused connection does not count as a call that may have run: a non-idempotent call is sent elsewhere.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{})
	f.endpoints = append(f.endpoints, grpcbalancer.Endpoint{Name: "dead", Address: base.FreeAddress(t), Zone: "a"})
	conn, _ := f.dial(t, nil)
	for range 20 {
		if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" {
			t.Errorf("%q, %v", name, err)
		}
	}
	if n := f.ledger.Nodes()["n0"].Executed; n != 20 {
		t.Errorf("ran %d times", n)
	}
}

// The connect timeout is the settings', not grpc-go's: an upstream that accepts connections and never answers the handshake costs that
// long, and then the call goes elsewhere, since it was never sent.
func TestConnectTimeoutOfSilentUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := newFleet(t, fakes.NodeOptions{})
	f.endpoints = append(f.endpoints, grpcbalancer.Endpoint{Name: "silent", Address: l.Addr().String(), Zone: "a"})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) { o.Settings.ConnectTimeout = 200 * time.Millisecond })
	for range 10 {
		begun := time.Now()
		if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" || time.Since(begun) > 3*time.Second {
			t.Errorf("%q, %v after %v", name, err, time.Since(begun))
		}
	}
}

// The connect timer ends with the connection: the first call on a connection may take longer than the connect timeout.
func TestConnectTimeoutDoesNotBoundAnswers(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 600 * time.Millisecond})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) { o.Settings.ConnectTimeout = 200 * time.Millisecond })
	if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" {
		t.Errorf("%q, %v", name, err)
	}
}

// Statuses of the application are the caller's answer and not retried.
func TestApplicationStatusIsTheAnswer(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.NotFound)))
	for _, method := range []string{search, record, confirm} {
		_, err := invoke(ctx, conn, method)
		if status.Code(err) != codes.NotFound || status.Convert(err).Message() != "said by the application" {
			t.Errorf("%s: %v", method, err)
		}
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 3 {
		t.Errorf("ran %+v", n)
	}
}

// The caller's own cancellation and deadline keep their codes, and its call ends with them.
func TestCallersContextKeepsItsCode(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(context.Context) (context.Context, context.CancelFunc)
		want codes.Code
	}{
		"cancelled": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			return ctx, cancel
		}, codes.Canceled},
		"deadline": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		}, codes.DeadlineExceeded},
	} {
		for _, method := range []string{search, confirm} {
			f := newFleet(t, withFault(fakes.Hang), withFault(fakes.Hang))
			conn, plugin := f.dial(t, nil)
			ctx, cancel := c.end(t.Context())
			begun := time.Now()
			if _, err := invoke(ctx, conn, method); status.Code(err) != c.want {
				t.Errorf("%s %s: %v", name, method, err)
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("%s %s: took %v", name, method, took)
			}
			cancel()
			testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
			testutil.Eventually(t, "the nodes see it end", func() bool { return f.nodes[0].InFlight()+f.nodes[1].InFlight() == 0 })
		}
	}
}

// A call without a deadline ends at its class's.
func TestClassDeadlineBoundsCallWithoutDeadline(t *testing.T) {
	conn, _ := newFleet(t, withFault(fakes.Hang)).dial(t, func(o *grpcbalancer.Options) {
		o.Settings.Classes[2].LatencyObjective, o.Settings.Classes[2].Deadline = 300*time.Millisecond, 300*time.Millisecond
	})
	begun := time.Now()
	_, err := invoke(context.Background(), conn, confirm)
	if took := time.Since(begun); err == nil || !grpcbalancer.MayHaveRun(err) || took > 3*time.Second {
		t.Errorf("%v after %v", err, took)
	}
}

// Header, Trailer, Peer and OnFinish work, once for each call.
func TestCallOptions(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	var header, trailer metadata.MD
	var from peer.Peer
	finished := 0
	if _, err := invoke(t.Context(), conn, search, grpc.Header(&header), grpc.Trailer(&trailer), grpc.Peer(&from),
		grpc.OnFinish(func(error) { finished++ })); err != nil {
		t.Fatal(err)
	}
	if len(header["content-type"]) != 1 || trailer == nil || from.Addr == nil || from.Addr.String() != f.endpoints[0].Address || finished != 1 {
		t.Errorf("header %v, trailer %v, peer %v, finished %d times", header, trailer, from, finished)
	}
}

// A second call with the request id of a call in flight is rejected.
func TestDuplicateRequestID(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 200 * time.Millisecond})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.RequestIDKey, "7")
	ended := make(chan error, 1)
	go func() {
		_, err := invoke(ctx, conn, confirm)
		ended <- err
	}()
	testutil.Eventually(t, "the first is at its node", func() bool { return f.nodes[0].InFlight() == 1 })
	if _, err := invoke(ctx, conn, confirm); status.Code(err) != codes.AlreadyExists {
		t.Errorf("the second: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the first: %v", err)
	}
}

// The attempts of a call have the same generated idempotency key, and two calls have different ones.
func TestIdempotencyKeyIsPerCall(t *testing.T) {
	f := newFleet(t, withFault(fakes.LoseAnswer), fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
		for i := range o.Settings.Classes {
			o.Settings.Classes[i].LatencyObjective, o.Settings.Classes[i].Deadline = time.Second, time.Second
		}
	})
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			ctx := metadata.AppendToOutgoingContext(context.Background(), grpcbalancer.RequestIDKey, fmt.Sprint("r", i))
			_, _ = invoke(ctx, conn, record) // some fail: their answers are lost
		})
	}
	wg.Wait()
	keys := map[string]string{}
	for i := range 20 {
		op := f.ledger.Operation(fmt.Sprint("r", i))
		if len(op.Executions) == 0 {
			continue
		}
		if other, ok := keys[op.Key]; ok || op.Key == "" {
			t.Errorf("%s and %s have the key %q", op.ID, other, op.Key)
		}
		keys[op.Key] = op.ID
	}
	if len(keys) == 0 {
		t.Error("nothing ran")
	}
}

// One engine serves any number of ClientConns: what one learns of a slow node, the others know.
func TestClientConnsShareEstimates(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 150 * time.Millisecond}, fakes.NodeOptions{DefaultServiceTime: time.Millisecond})
	_, plugin := f.dial(t, nil)
	var wg sync.WaitGroup
	for range 8 {
		conn := connect(t, plugin)
		wg.Go(func() {
			for range 40 {
				if _, err := invoke(context.Background(), conn, confirm); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if slow := f.ledger.Nodes()["n0"].Executed; slow > 320/4 {
		t.Errorf("the slow one got %d of 320", slow)
	}
}

// UNAVAILABLE does not prove that a call did not run, whoever sends it: a non-idempotent call that gets it is not retried, and its caller
// gets another code, since clients retry on UNAVAILABLE.
func TestUnavailableAloneProvesNothing(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.Unavailable)))
	_, err := invoke(ctx, conn, confirm)
	if status.Code(err) != codes.Unknown || !grpcbalancer.MayHaveRun(err) {
		t.Errorf("%v", err)
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 1 {
		t.Errorf("ran %+v", n)
	}
}
