package grpcbalancer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// A repeated call with the caller's idempotency key gets the answer of the first call. This holds while the first call runs, after it has
// ended, and also if the first caller has left. A different request with the same key is rejected as a conflict, and calls without a
// caller's key are all sent. Two Plugins that share a store behave like one.
func TestRepeatedIdempotencyKey(t *testing.T) {
	t.Run("one plug-in", func(t *testing.T) { testRepeatedIdempotencyKey(t, newKeyedCalls(t, 1, "")) })
	t.Run("two plug-ins with a shared store", func(t *testing.T) {
		_, address := base.Etcd(t, fakes.EtcdOptions{})
		testRepeatedIdempotencyKey(t, newKeyedCalls(t, 2, fmt.Sprintf("[repeats.shared]\nservers = [%q]\n", address)))
	})
}

func testRepeatedIdempotencyKey(t *testing.T, calls *keyedCalls) {
	ctx, leave := context.WithCancel(t.Context())
	calls.start(ctx, "k")
	calls.awaitArrival(t)
	leave()
	if result := <-calls.results; status.Code(result.err) != codes.Canceled {
		t.Errorf("call whose caller left: got %v, want CANCELED", result.err)
	}
	calls.start(t.Context(), "k")
	calls.start(t.Context(), "k")
	calls.release <- true
	first := <-calls.results
	calls.start(t.Context(), "k")
	for range 2 {
		if result := <-calls.results; result != first || result.err != nil || result.node == "" {
			t.Errorf("the first call got %v and a repeated call got %v, want the same answer", first, result)
		}
	}
	other := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.IdempotencyKey, "k")
	err := calls.conns[0].Invoke(other, record, wrapperspb.String("another seat"), &wrapperspb.StringValue{})
	if status.Code(err) != codes.InvalidArgument {
		t.Errorf("different request with the same key: got %v, want INVALID_ARGUMENT", err)
	}
	if len(calls.arrived) > 0 {
		t.Error("a call with an idempotency key that was used before was sent to a node, want only the first call sent")
	}
	calls.start(t.Context(), "")
	calls.start(t.Context(), "")
	for range 2 {
		calls.awaitArrival(t)
		calls.release <- true
		if result := <-calls.results; result.err != nil {
			t.Error(result.err)
		}
	}
}

// keyedCalls makes calls of one class with an idempotency key, in turn on several ClientConns. The two nodes answer one request for each
// value that is sent to release.
type keyedCalls struct {
	conns   []*grpc.ClientConn
	started int
	arrived chan string // ids of requests
	release chan bool
	results chan keyedResult
}

// keyedResult is the answering node's name and the error that a caller got.
type keyedResult struct {
	node string
	err  error
}

// newKeyedCalls starts Plugins with the given lines in their section [[repeats]].
func newKeyedCalls(t *testing.T, plugins int, lines string) *keyedCalls {
	t.Helper()
	calls := &keyedCalls{arrived: make(chan string, 100), release: make(chan bool, 100), results: make(chan keyedResult, 10)}
	node := fakes.NodeOptions{Answer: func(j fakes.Job) []byte { calls.arrived <- j.ID; <-calls.release; return nil }}
	f := newFleet(t, node, node)
	file := base.File(t, "o.toml", []byte("[[repeats]]\nservice = \"service\"\ntenant_part = 1.0\n"+lines))
	for range plugins {
		conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
			o.File = file
			o.Settings.HedgingAllowed = false
			for i := range o.Settings.Classes {
				o.Settings.Classes[i].Deadline, o.Settings.Classes[i].LatencyObjective = base.Timeout, base.Timeout
			}
		})
		calls.conns = append(calls.conns, conn)
	}
	return calls
}

// start makes a call in a goroutine of its own; key may be empty.
func (c *keyedCalls) start(ctx context.Context, key string) {
	c.started++
	conn := c.conns[c.started%len(c.conns)]
	if key != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.IdempotencyKey, key)
	}
	go func() {
		node, err := invoke(ctx, conn, record)
		c.results <- keyedResult{node, err}
	}()
}

// awaitArrival waits until a request has reached a node.
func (c *keyedCalls) awaitArrival(t *testing.T) {
	t.Helper()
	select {
	case <-c.arrived:
	case <-time.After(base.Timeout / 2):
		t.Fatal("no call reached a node")
	}
}
