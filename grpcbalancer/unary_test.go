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

	"orchiddrift/balancer"
	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

func always(kind fakes.FaultKind) fakes.NodeOptions {
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
		{"turned away with the mark", fakes.Reject, refused, 5, 0, 5},
		{"REFUSED_STREAM", fakes.RefuseStream, refused, 5, 0, 5},
		{"GOAWAY below the stream", fakes.GoAway, refused, 5, 0, 5},
		{"an error without the mark", fakes.FailNotExecuted, codes.Internal, 1, 0, 2},
		{"an error after it ran", fakes.Fail, codes.Internal, 1, 1, 2},
		{"broken before it ran", fakes.ResetBefore, failed, 1, 0, 2},
		{"broken after it ran", fakes.ResetAfter, failed, 1, 1, 2},
		{"an answer that can't be read", fakes.Malformed, codes.Internal, 1, 1, 2},
		{"an answer cut short", fakes.Truncate, failed, 1, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, always(c.kind), always(c.kind))
			conn, plugin := f.dial(t, nil)
			ctx := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.RequestIDKey, "op-unsafe")
			_, err := ask(ctx, conn, confirm)
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
			if runs := len(f.ledger.Operation("op-unsafe").Executions); arrived != c.unsafeSends || runs != c.unsafeRun {
				t.Errorf("unsafe: arrived %d times, ran %d", arrived, runs)
			}
			if _, err = ask(t.Context(), conn, search); err == nil {
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
	conn, _ := newFleet(t, always(fakes.Reject)).dial(t, nil)
	_, err := ask(t.Context(), conn, confirm)
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
		if name, err := ask(t.Context(), conn, confirm); err != nil || name != "n0" {
			t.Errorf("%q, %v", name, err)
		}
	}
	if n := f.ledger.Nodes()["n0"].Executed; n != 20 {
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
		if name, err := ask(t.Context(), conn, confirm); err != nil || name != "n0" || time.Since(begun) > 3*time.Second {
			t.Errorf("%q, %v after %v", name, err, time.Since(begun))
		}
	}
}

// Guards against the patience for a connection that goes on once there is one: a first call whose answer takes longer than
// a connection may is not cut off.
func TestConnectTimeoutDoesNotBoundAnswers(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 600 * time.Millisecond})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) { o.Settings.ConnectTimeout = 200 * time.Millisecond })
	if name, err := ask(t.Context(), conn, confirm); err != nil || name != "n0" {
		t.Errorf("%q, %v", name, err)
	}
}

// Guards against the application's answers taken for failures of a node: they are the caller's, the first time.
func TestApplicationStatusIsTheAnswer(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.NotFound)))
	for _, method := range []string{search, record, confirm} {
		_, err := ask(ctx, conn, method)
		if status.Code(err) != codes.NotFound || status.Convert(err).Message() != "said by the application" {
			t.Errorf("%s: %v", method, err)
		}
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 3 {
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
			f := newFleet(t, always(fakes.Hang), always(fakes.Hang))
			conn, plugin := f.dial(t, nil)
			ctx, cancel := c.end(t.Context())
			begun := time.Now()
			if _, err := ask(ctx, conn, method); status.Code(err) != c.want {
				t.Errorf("%s %s: %v", name, method, err)
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("%s %s: took %v", name, method, took)
			}
			cancel()
			testutil.Eventually(t, "nothing is left in hand", func() bool { return plugin.InHand() == 0 })
			testutil.Eventually(t, "the nodes see it end", func() bool { return f.nodes[0].InFlight()+f.nodes[1].InFlight() == 0 })
		}
	}
}

// Guards against a call without a deadline that waits for ever: it has its class's.
func TestNoDeadlineIsTheClasss(t *testing.T) {
	conn, _ := newFleet(t, always(fakes.Hang)).dial(t, func(o *grpcbalancer.Options) {
		o.Settings.Classes[2].LatencyObjective, o.Settings.Classes[2].Deadline = 300*time.Millisecond, 300*time.Millisecond
	})
	begun := time.Now()
	_, err := ask(context.Background(), conn, confirm)
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
	if _, err := ask(t.Context(), conn, search, grpc.Header(&header), grpc.Trailer(&trailer), grpc.Peer(&from),
		grpc.OnFinish(func(error) { finished++ })); err != nil {
		t.Fatal(err)
	}
	if len(header["content-type"]) != 1 || trailer == nil || from.Addr == nil || from.Addr.String() != f.endpoints[0].Address || finished != 1 {
		t.Errorf("header %v, trailer %v, peer %v, finished %d times", header, trailer, from, finished)
	}
}

// Guards against a call that the module never heard of.
func TestDuplicateRequestID(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 200 * time.Millisecond})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.RequestIDKey, "7")
	ended := make(chan error, 1)
	go func() {
		_, err := ask(ctx, conn, confirm)
		ended <- err
	}()
	testutil.Eventually(t, "the first is at its node", func() bool { return f.nodes[0].InFlight() == 1 })
	if _, err := ask(ctx, conn, confirm); status.Code(err) != codes.AlreadyExists {
		t.Errorf("the second: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("the first: %v", err)
	}
}

// Guards against a key that differs between the attempts of one call, or is the same for two calls.
func TestKeysTravel(t *testing.T) {
	f := newFleet(t, always(fakes.LoseAnswer), fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
		for i := range o.Settings.Classes {
			o.Settings.Classes[i].LatencyObjective, o.Settings.Classes[i].Deadline = time.Second, time.Second
		}
	})
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			ctx := metadata.AppendToOutgoingContext(context.Background(), grpcbalancer.RequestIDKey, fmt.Sprint("r", i))
			_, _ = ask(ctx, conn, record) // some fail: their answers are lost
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

// Guards against estimates kept for each connection: one engine serves any number of ClientConns, and what one call
// learns of a node the others know. Of two nodes one is slow.
func TestOneEngineForManyConns(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 150 * time.Millisecond}, fakes.NodeOptions{DefaultServiceTime: time.Millisecond})
	_, plugin := f.dial(t, nil)
	var wg sync.WaitGroup
	for range 8 {
		conn := connect(t, plugin)
		wg.Go(func() {
			for range 40 {
				if _, err := ask(context.Background(), conn, confirm); err != nil {
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

// Guards against sends to a node that has left the list: streams that stand finish, nothing new goes there.
func TestDrainDuringCalls(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 300 * time.Millisecond}, fakes.NodeOptions{DefaultServiceTime: 300 * time.Millisecond})
	conn, plugin := f.dial(t, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if _, err := ask(context.Background(), conn, confirm); err != nil {
				t.Errorf("in hand as it drained: %v", err)
			}
		})
	}
	testutil.Eventually(t, "both are at work", func() bool { return f.nodes[0].InFlight() > 0 && f.nodes[0].InFlight()+f.nodes[1].InFlight() == 8 })
	if err := plugin.SetEndpoints(f.endpoints[1:]); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].Drain()
	for range 20 {
		wg.Go(func() {
			if name, err := ask(context.Background(), conn, confirm); err != nil || name != "n1" {
				t.Errorf("after the drain: %q, %v", name, err)
			}
		})
	}
	wg.Wait()
	if n := f.ledger.Nodes()["n0"].AfterDrain; n != 0 {
		t.Errorf("%d came after the drain", n)
	}
}

// Guards against a send between the pick and the write: a call whose stream waits for the node's permission is sent
// elsewhere once the node drains, and never there.
func TestDrainWhileAStreamWaits(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{DefaultServiceTime: 500 * time.Millisecond, MaxConcurrentStreams: 1}, fakes.NodeOptions{})
	conn, plugin := f.dial(t, func(o *grpcbalancer.Options) { o.Endpoints = f.endpoints[:1] })
	ended := make(chan string, 4)
	for range 4 { // one is at work, the others wait in grpc-go
		go func() {
			name, err := ask(context.Background(), conn, confirm)
			ended <- fmt.Sprint(name, err)
		}()
	}
	testutil.Eventually(t, "one is at work, all are decided", func() bool { return f.nodes[0].InFlight() == 1 && plugin.InHand() == 4 })
	time.Sleep(20 * time.Millisecond) // where the others get a moment more to wait in, it is the same test
	if err := plugin.SetEndpoints(f.endpoints[1:]); err != nil {
		t.Fatal(err)
	}
	f.nodes[0].Drain()
	got := map[string]int{}
	for range 4 {
		got[<-ended]++
	}
	if got["n0<nil>"] != 1 || got["n1<nil>"] != 3 {
		t.Errorf("answers %v", got)
	}
	if n := f.ledger.Nodes()["n0"]; n.Arrived != 1 || n.AfterDrain != 0 {
		t.Errorf("the one that drains: %+v", n)
	}
}

// Guards against UNAVAILABLE taken for a proof, whoever says it: an unsafe call that gets it is not sent again, and its
// caller is not told what clients try again on.
func TestUnavailableAloneProvesNothing(t *testing.T) {
	f := newFleet(t, fakes.NodeOptions{}, fakes.NodeOptions{})
	conn, _ := f.dial(t, nil)
	ctx := metadata.AppendToOutgoingContext(t.Context(), fakes.StatusKey, fmt.Sprint(uint32(codes.Unavailable)))
	_, err := ask(ctx, conn, confirm)
	if status.Code(err) != codes.Unknown || !grpcbalancer.MayHaveRun(err) {
		t.Errorf("%v", err)
	}
	if n := f.ledger.Nodes(); n["n0"].Executed+n["n1"].Executed != 1 {
		t.Errorf("ran %+v", n)
	}
}

// Guards against options that are found out under traffic.
func TestOptions(t *testing.T) {
	good := grpcbalancer.Options{Settings: settings(), Endpoints: []grpcbalancer.Endpoint{{Name: "a", Address: "127.0.0.1:1"}}}
	for want, change := range map[string]func(*grpcbalancer.Options){
		"Discovery":     func(o *grpcbalancer.Options) { o.Discovery = "nowhere" },
		"none of":       func(o *grpcbalancer.Options) { o.Endpoints = nil },
		"File":          func(o *grpcbalancer.Options) { o.File = "/nowhere" },
		"Endpoints":     func(o *grpcbalancer.Options) { o.Endpoints = []grpcbalancer.Endpoint{{Name: "a", Address: "b"}} },
		"unknown class": func(o *grpcbalancer.Options) { o.Methods = map[string]string{search: "none"} },
		"neither /pack": func(o *grpcbalancer.Options) { o.Methods = map[string]string{"Search": "search"} },
		"Settings":      func(o *grpcbalancer.Options) { o.Settings.MaxAttempts = -1 },
		"Classes":       func(o *grpcbalancer.Options) { o.Settings.Classes = nil },
	} {
		o := good
		change(&o)
		if p, err := grpcbalancer.New(o); err == nil {
			t.Errorf("%s: taken", want)
			p.Close()
		} else if !contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	watching := good
	watching.Discovery = "127.0.0.1:1"
	w, err := grpcbalancer.New(watching)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := w.SetEndpoints(good.Endpoints); err == nil {
		t.Error("a list is taken beside discovery's")
	}
	p, err := grpcbalancer.New(good)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.SetEndpoints([]grpcbalancer.Endpoint{{Name: "a", Address: "127.0.0.1:1"}, {Name: "a", Address: "127.0.0.1:2"}}); err == nil {
		t.Error("a list with two of a name is taken")
	}
}

// Guards against a method of which nothing is known that is sent twice; the mapping goes before the descriptor.
func TestMethodsMapToClasses(t *testing.T) {
	for _, c := range []struct {
		method  string
		mapping map[string]string
		classes []balancer.Class // absent: all
		again   bool
	}{
		{search, nil, nil, true},
		{confirm, nil, nil, false},
		{"/other.Service/Get", nil, nil, false},
		{"/booking.Seats/Unheard", nil, nil, false},
		{"/other.Service/Get", map[string]string{"/other.Service/*": "search"}, nil, true},
		{"/other.Service/Put", map[string]string{"/other.Service/*": "search", "/other.Service/Put": "confirm"}, nil, false},
		{search, map[string]string{search: "confirm"}, nil, false},
		{confirm, nil, settings().Classes[:1], false}, // there is no unsafe class, so one is made
	} {
		f := newFleet(t, always(fakes.Fail), always(fakes.Fail))
		conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
			o.Methods = c.mapping
			if c.classes != nil {
				o.Settings.Classes = c.classes
			}
		})
		_, _ = ask(t.Context(), conn, c.method) // fails, after one send or more
		n := f.ledger.Nodes()
		if again := n["n0"].Executed+n["n1"].Executed > 1; again != c.again {
			t.Errorf("%s with %v: sent again is %v", c.method, c.mapping, again)
		}
	}
}
