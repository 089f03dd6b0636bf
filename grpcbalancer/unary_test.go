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

// For each way in which an attempt fails, the test checks the caller's status, whether it states that the call did not run, and how often
// calls are sent. Every node has the same fault, so that no retry succeeds.
func TestResultByEndOfAttempt(t *testing.T) {
	const refused, failed = codes.Unavailable, codes.Unknown
	for _, c := range []struct {
		name                                     string
		kind                                     fakes.FaultKind
		nonIdempotent                            codes.Code // of a call of a non-idempotent method
		nonIdempotentAttempts, nonIdempotentRuns int
		minIdempotentAttempts                    int // of a call of an idempotent method
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
				t.Errorf("non-idempotent call: got %v, want the code %v", err, c.nonIdempotent)
			}
			if mayHaveRun := grpcbalancer.MayHaveRun(err); mayHaveRun != (c.nonIdempotent != refused) {
				t.Errorf("non-idempotent call: MayHaveRun is %v for the error %v", mayHaveRun, err)
			}
			arrived := 0
			for _, n := range f.ledger.Nodes() {
				arrived += n.Arrived
			}
			if runs := len(f.ledger.Operation("op-non-idempotent").Executions); arrived != c.nonIdempotentAttempts || runs != c.nonIdempotentRuns {
				t.Errorf("non-idempotent call: the number of arrivals, %d, or of runs, %d, is not the expected one", arrived, runs)
			}
			if _, err = invoke(t.Context(), conn, search); err == nil {
				t.Error("idempotent call: served although every node has the fault")
			}
			after := 0
			for _, n := range f.ledger.Nodes() {
				after += n.Arrived
			}
			if after-arrived < c.minIdempotentAttempts {
				t.Errorf("idempotent call: sent only %d times, fewer than the test expects, with error %v", after-arrived, err)
			}
			testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
		})
	}
}

// The error of a rejected call has a Retry-After and the reason that states that the call did not run.
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
		t.Errorf("rejected call: got error %v with Retry-After %v, reason %q and %q attempts", err, retry, reason, attempts)
	}
}

// A call whose connection is refused did not run: even a non-idempotent call is retried on another node.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{})
	f.endpoints = append(f.endpoints, grpcbalancer.Endpoint{Name: "dead", Address: base.FreeAddress(t), Zone: "a"})
	conn, _ := f.dial(t, nil)
	for range 20 {
		if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" {
			t.Errorf("call answered by %q with error %v, want n0", name, err)
		}
	}
	if n := f.ledger.Nodes()["n0"].Executed; n != 20 {
		t.Errorf("node n0 ran %d calls, want 20", n)
	}
}

// The connect timeout of the settings applies, not grpc-go's. If an upstream accepts connections and never answers the handshake, the call
// is retried on another node after this timeout, since it was never sent.
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
			t.Errorf("call answered by %q with error %v after %v, want n0 within 3 s", name, err, time.Since(begun))
		}
	}
}

// The connect timer stops when the connection is ready: the first call on a connection may take longer than the connect timeout.
func TestConnectTimeoutDoesNotBoundAnswers(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 600 * time.Millisecond})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) { o.Settings.ConnectTimeout = 200 * time.Millisecond })
	if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" {
		t.Errorf("call longer than the connect timeout: answered by %q with error %v, want n0", name, err)
	}
}

// A status of the application is the caller's answer and is not retried.
func TestApplicationStatusIsTheAnswer(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.NotFound)))
	for _, method := range []string{search, record, confirm} {
		_, err := invoke(ctx, conn, method)
		if status.Code(err) != codes.NotFound || status.Convert(err).Message() != "said by the application" {
			t.Errorf("%s: got %v, want the application's status NOT_FOUND", method, err)
		}
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 3 {
		t.Errorf("the calls did not run exactly 3 times; requests by node: %+v", n)
	}
}

// A call ends with its caller's cancellation or deadline, and with the corresponding code.
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
				t.Errorf("caller's context ends by %s, method %s: wrong code: %v", name, method, err)
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("caller's context ends by %s, method %s: the call took %v", name, method, took)
			}
			cancel()
			testutil.Eventually(t, "no call is in flight", func() bool { return plugin.InHand() == 0 })
			testutil.Eventually(t, "the call ends at the nodes", func() bool { return f.nodes[0].InFlight()+f.nodes[1].InFlight() == 0 })
		}
	}
}

// A call without a deadline of its own ends at the deadline of its class.
func TestClassDeadlineBoundsCallWithoutDeadline(t *testing.T) {
	conn, _ := newFleet(t, withFault(fakes.Hang)).dial(t, func(o *grpcbalancer.Options) {
		o.Settings.Classes[2].LatencyObjective, o.Settings.Classes[2].Deadline = 300*time.Millisecond, 300*time.Millisecond
	})
	begun := time.Now()
	_, err := invoke(context.Background(), conn, confirm)
	if took := time.Since(begun); err == nil || !grpcbalancer.MayHaveRun(err) || took > 3*time.Second {
		t.Errorf("call without a deadline: got error %v after %v, want an error of a call that may have run within 3 s", err, took)
	}
}

// The call options Header, Trailer and Peer are filled in, and OnFinish is called once for each call.
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
		t.Errorf("call options: header %v, trailer %v, peer %v, OnFinish called %d times", header, trailer, from, finished)
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
	testutil.Eventually(t, "the first call is at its node", func() bool { return f.nodes[0].InFlight() == 1 })
	if _, err := invoke(ctx, conn, confirm); status.Code(err) != codes.AlreadyExists {
		t.Errorf("second call with the same request id: got %v, want ALREADY_EXISTS", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("first call with the request id: %v", err)
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
			_, _ = invoke(ctx, conn, record) // some calls fail because their answers are lost
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
			t.Errorf("the calls %s and %s have the idempotency key %q, want different keys that are not empty", op.ID, other, op.Key)
		}
		keys[op.Key] = op.ID
	}
	if len(keys) == 0 {
		t.Error("none of the 20 calls ran on a node, so there were no idempotency keys to compare")
	}
}

// All ClientConns of a Plugin share one engine and its estimates: each of them avoids a node that is slow.
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
		t.Errorf("the slow node got %d of 320 calls, want at most 80", slow)
	}
}

// UNAVAILABLE does not prove that a call did not run, even if the upstream returns it. A non-idempotent call that gets it is not retried,
// and its caller gets another code, since clients retry on UNAVAILABLE.
func TestUnavailableAloneProvesNothing(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.Unavailable)))
	_, err := invoke(ctx, conn, confirm)
	if status.Code(err) != codes.Unknown || !grpcbalancer.MayHaveRun(err) {
		t.Errorf("call with the answer UNAVAILABLE: got %v, want UNKNOWN for a call that may have run", err)
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 1 {
		t.Errorf("the call did not run exactly once; requests by node: %+v", n)
	}
}
