package grpcbalancer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// A flood of calls from one tenant does not delay another tenant's call: the newest calls of the flood are rejected with a Retry-After, and
// a waiting call whose caller leaves is never sent.
func TestAdmissionIsFairBetweenTenants(t *testing.T) {
	arrived, release := make(chan string, 100), make(chan bool, 100)
	calls := newQueuedCalls(t, arrived, release)
	defer calls.running.Wait()

	calls.start(t.Context(), "flood", "0")
	if id := <-arrived; id != "0" {
		t.Fatal(id)
	}
	for i := range 8 { // three of the calls wait, and five are rejected
		calls.start(t.Context(), "flood", fmt.Sprint("f", i))
	}
	calls.awaitCount(t, 5)
	calls.checkAllRejected(t, 5)
	calls.start(t.Context(), "quiet", "q")
	calls.awaitCount(t, 6) // a waiting call of the flood is rejected to make room for the call q
	ctx, leave := context.WithCancel(t.Context())
	calls.start(ctx, "leaves", "l")
	calls.awaitCount(t, 7)
	leave()
	if err := calls.awaitEnd(t, "l"); status.Code(err) != codes.Canceled {
		t.Error(err)
	}

	release <- true
	if id := <-arrived; id != "q" {
		t.Errorf("request %s was sent before the call of the tenant quiet", id)
	}
	release <- true
	if id := <-arrived; id[0] != 'f' {
		t.Errorf("request %s was sent third, want a call of the tenant flood", id)
	}
	release <- true
	if err := errors.Join(calls.awaitEnd(t, "0"), calls.awaitEnd(t, "q")); err != nil {
		t.Error(err)
	}
}

// queuedCalls makes calls on a ClientConn with admission control, which sends one call at a time to the only node and lets three wait.
type queuedCalls struct {
	conn    *grpc.ClientConn
	running sync.WaitGroup

	mu     sync.Mutex
	errors map[string]error // of calls that have ended, by id
}

// newQueuedCalls starts a node that sends the ids of its requests to arrived, and answers one request for each value from release.
func newQueuedCalls(t *testing.T, arrived chan<- string, release <-chan bool) *queuedCalls {
	t.Helper()
	f := newFleet(t, fakes.NodeOptions{Answer: func(j fakes.Job) []byte { arrived <- j.ID; <-release; return nil }})
	file := base.File(t, "o.toml", []byte("[[door]]\nservice = \"service\"\nby = [\"tenant\", \"header:x-shop\"]\nlimit_least = 1\nlimit_most = 1\nwaiting = 3\n"))
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
		o.File = file
		o.Settings.HedgingAllowed, o.Settings.MaxAttempts = false, 1
		for i := range o.Settings.Classes {
			o.Settings.Classes[i].Deadline = time.Minute
			o.Settings.Classes[i].LatencyObjective = time.Minute
		}
	})
	return &queuedCalls{conn: conn, errors: map[string]error{}}
}

// start makes a call in a goroutine of its own.
func (c *queuedCalls) start(ctx context.Context, tenant, id string) {
	c.running.Go(func() {
		ctx := metadata.AppendToOutgoingContext(ctx, grpcbalancer.TenantKey, tenant, grpcbalancer.RequestIDKey, id)
		_, err := invoke(ctx, c.conn, search)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.errors[id] = err
	})
}

// awaitCount waits until the given number of calls have ended.
func (c *queuedCalls) awaitCount(t *testing.T, calls int) {
	t.Helper()
	base.Eventually(t, fmt.Sprint(calls, " calls have ended"), func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.errors) == calls
	})
}

// awaitEnd waits until a call has ended and returns its error.
func (c *queuedCalls) awaitEnd(t *testing.T, id string) (err error) {
	t.Helper()
	base.Eventually(t, id+" ends", func() (ended bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		err, ended = c.errors[id]
		return ended
	})
	return err
}

// checkAllRejected checks that the given number of calls have ended, and that all of them were rejected with a Retry-After.
func (c *queuedCalls) checkAllRejected(t *testing.T, calls int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.errors) != calls {
		t.Errorf("%d calls have ended, want %d", len(c.errors), calls)
	}
	for id, err := range c.errors {
		if status.Code(err) != codes.Unavailable || grpcbalancer.MayHaveRun(err) || retryDelay(err) <= 0 {
			t.Errorf("call %s: got error %v with a Retry-After of %v, want a rejection with a Retry-After", id, err, retryDelay(err))
		}
	}
}

// retryDelay returns the delay in an error's RetryInfo, or 0 if the error has no RetryInfo.
func retryDelay(err error) time.Duration {
	for _, detail := range status.Convert(err).Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			return info.RetryDelay.AsDuration()
		}
	}
	return 0
}
