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

func withFault(kind fakes.FaultKind) fakes.NodeOptions {
	return fakes.NodeOptions{Faults: []fakes.Fault{{Kind: kind, Factor: 1}}}
}

// Guards against claims of "never ran" that the wire does not bear out, and against repeats of what may have run: each
// status by what it proves. Every node has the same fault, so the answer is what is left when nothing helps.
func TestWhatEachEndProves(t *testing.T) {
	const refused, failed = codes.Unavailable, codes.Unknown
	for _, c := range []struct {
		name                   string
		kind                   fakes.FaultKind
		unsafe                 codes.Code // of a call that must not run twice
		unsafeSends, unsafeRun int
		safeSends              int // at least
	}{
		{"turned away with the mark", fakes.TurnAway, refused, 5, 0, 5},
		{"REFUSED_STREAM", fakes.RefuseAtWire, refused, 5, 0, 5},
		{"GOAWAY below the stream", fakes.GoAway, refused, 5, 0, 5},
		{"an error without the mark", fakes.FailUnrun, codes.Internal, 1, 0, 2},
		{"an error after it ran", fakes.Fail, codes.Internal, 1, 1, 2},
		{"broken before it ran", fakes.ResetBefore, failed, 1, 0, 2},
		{"broken after it ran", fakes.ResetAfter, failed, 1, 1, 2},
		{"an answer that can't be read", fakes.Garble, codes.Internal, 1, 1, 2},
		{"an answer cut short", fakes.Cut, failed, 1, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, withFault(c.kind), withFault(c.kind))
			conn, plugin := f.dial(t, nil)
			ctx := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.RequestIDKey, "op-unsafe")
			_, err := invoke(ctx, conn, confirm)
			if got := status.Code(err); got != c.unsafe {
				t.Errorf("unsafe: %v, want %v", err, c.unsafe)
			}
			if may := grpcbalancer.MayHaveRun(err); may != (c.unsafe != refused) {
				t.Errorf("unsafe: may have run is %v: %v", may, err)
			}
			arrived := 0
			for _, n := range f.ledger.Nodes() {
				arrived += n.Arrived
			}
			if runs := len(f.ledger.Operation("op-unsafe").Runs); arrived != c.unsafeSends || runs != c.unsafeRun {
				t.Errorf("unsafe: arrived %d times, ran %d", arrived, runs)
			}
			if _, err = invoke(t.Context(), conn, search); err == nil {
				t.Error("safe: served")
			}
			after := 0
			for _, n := range f.ledger.Nodes() {
				after += n.Arrived
			}
			if after-arrived < c.safeSends {
				t.Errorf("safe: sent %d times, %v", after-arrived, err)
			}
			testutil.Eventually(t, "nothing is left in hand", func() bool { return plugin.InHand() == 0 })
		})
	}
}

// Guards against a refusal without the advice when to come back, and without the proof that it did not run.
func TestRefusalCarriesRetryInfo(t *testing.T) {
	conn, _ := newFleet(t, withFault(fakes.TurnAway)).dial(t, nil)
	_, err := invoke(t.Context(), conn, confirm)
	var retry time.Duration
	var reason, sends string
	for _, d := range status.Convert(err).Details() {
		switch d := d.(type) {
		case *errdetails.RetryInfo:
			retry = d.RetryDelay.AsDuration()
		case *errdetails.ErrorInfo:
			reason, sends = d.Reason, d.Metadata["sends"]
		}
	}
	if status.Code(err) != codes.Unavailable || retry <= 0 || reason != grpcbalancer.ReasonRefused || sends != "5" {
		t.Errorf("%v: retry in %v, reason %q, sends %q", err, retry, reason, sends)
	}
}

// Guards against a connection that can't be made counted as a request that may have run: nothing was sent.
func TestRefusedConnections(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{})
	f.endpoints = append(f.endpoints, grpcbalancer.Endpoint{Name: "dead", Address: base.FreeAddress(t), Zone: "a"})
	conn, _ := f.dial(t, nil)
	for range 20 {
		if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" {
			t.Errorf("%q, %v", name, err)
		}
	}
	if n := f.ledger.Nodes()["n0"].Ran; n != 20 {
		t.Errorf("ran %d times", n)
	}
}

// Guards against a connect timeout that is grpc-go's and not the settings': a peer that takes connections and says
// nothing costs that long, and then the request goes elsewhere, since it was never sent.
func TestSilentPeerIsGivenUpInTime(t *testing.T) {
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

// Guards against the patience for a connection that goes on once there is one: a first call whose answer takes longer than
// a connection may is not cut off.
func TestConnectTimeoutDoesNotBoundAnswers(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{Work: 600 * time.Millisecond})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) { o.Settings.ConnectTimeout = 200 * time.Millisecond })
	if name, err := invoke(t.Context(), conn, confirm); err != nil || name != "n0" {
		t.Errorf("%q, %v", name, err)
	}
}

// Guards against the application's answers taken for failures of a node: they are the caller's, the first time.
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
	if n := f.ledger.Nodes(); n["n0"].Ran+n["n1"].Ran != 3 {
		t.Errorf("ran %+v", n)
	}
}

// Guards against the caller's own cancellation and deadline told as something else, and against calls that outlive them.
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
			testutil.Eventually(t, "nothing is left in hand", func() bool { return plugin.InHand() == 0 })
			testutil.Eventually(t, "the nodes see it end", func() bool { return f.nodes[0].InHand()+f.nodes[1].InHand() == 0 })
		}
	}
}

// Guards against a call without a deadline that waits for ever: it has its class's.
func TestNoDeadlineIsTheClasss(t *testing.T) {
	conn, _ := newFleet(t, withFault(fakes.Hang)).dial(t, func(o *grpcbalancer.Options) {
		o.Settings.Classes[2].LatencyObjective, o.Settings.Classes[2].Deadline = 300*time.Millisecond, 300*time.Millisecond
	})
	begun := time.Now()
	_, err := invoke(context.Background(), conn, confirm)
	if took := time.Since(begun); err == nil || !grpcbalancer.MayHaveRun(err) || took > 3*time.Second {
		t.Errorf("%v after %v", err, took)
	}
}

// Guards against call options that two copies write to at once, or that nobody writes to.
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

// Guards against a call that the module never heard of.
func TestDuplicateRequestID(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{Work: 200 * time.Millisecond})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.RequestIDKey, "7")
	ended := make(chan error, 1)
	go func() {
		_, err := invoke(ctx, conn, confirm)
		ended <- err
	}()
	testutil.Eventually(t, "the first is at its node", func() bool { return f.nodes[0].InHand() == 1 })
	if _, err := invoke(ctx, conn, confirm); status.Code(err) != codes.AlreadyExists {
		t.Errorf("the second: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the first: %v", err)
	}
}

// Guards against a key that differs between the attempts of one call, or is the same for two calls.
func TestKeysTravel(t *testing.T) {
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
		if len(op.Runs) == 0 {
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

// Guards against estimates kept for each connection: one engine serves any number of ClientConns, and what one call
// learns of a node the others know. Of two nodes one is slow.
func TestOneEngineForManyConns(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{Work: 150 * time.Millisecond}, fakes.NodeOptions{Work: time.Millisecond})
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
	if slow := f.ledger.Nodes()["n0"].Ran; slow > 320/4 {
		t.Errorf("the slow one got %d of 320", slow)
	}
}

// Guards against UNAVAILABLE taken for a proof, whoever says it: an unsafe call that gets it is not sent again, and its
// caller is not told what clients try again on.
func TestUnavailableAloneProvesNothing(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.Unavailable)))
	_, err := invoke(ctx, conn, confirm)
	if status.Code(err) != codes.Unknown || !grpcbalancer.MayHaveRun(err) {
		t.Errorf("%v", err)
	}
	if n := f.ledger.Nodes(); n["n0"].Ran+n["n1"].Ran != 1 {
		t.Errorf("ran %+v", n)
	}
}
