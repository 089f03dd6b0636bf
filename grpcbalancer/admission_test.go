package grpcbalancer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// Calls wait in an order that is fair between those on whose behalf they are made, the newest of a flood is refused with a
// time to come back, and one whose caller leaves is never sent.
func TestDoor(t *testing.T) {
	came, answer := make(chan string, 100), make(chan bool, 100)
	f := newFleet(t, fakes.NodeOptions{Answer: func(j fakes.Job) []byte { came <- j.ID; <-answer; return nil }})
	file := base.File(t, "o.toml", []byte("[[door]]\nservice = \"service\"\nby = [\"tenant\", \"header:x-shop\"]\nlimit_least = 1\nlimit_most = 1\nwaiting = 3\n"))
	conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
		o.File = file
		o.Settings.HedgingAllowed, o.Settings.MaxAttempts = false, 1
		for i := range o.Settings.Classes {
			o.Settings.Classes[i].Deadline = time.Minute
			o.Settings.Classes[i].LatencyObjective = time.Minute
		}
	})
	var mu sync.Mutex
	ends := map[string]error{}
	var wg sync.WaitGroup
	defer wg.Wait()
	call := func(ctx context.Context, tenant, id string) {
		wg.Go(func() {
			ctx := metadata.AppendToOutgoingContext(ctx, grpcbalancer.TenantKey, tenant, grpcbalancer.RequestIDKey, id)
			_, err := ask(ctx, conn, search)
			mu.Lock()
			defer mu.Unlock()
			ends[id] = err
		})
	}
	end := func(id string) error {
		var err error
		base.Eventually(t, id+" ends", func() bool {
			mu.Lock()
			defer mu.Unlock()
			of, ended := ends[id]
			err = of
			return ended
		})
		return err
	}
	call(t.Context(), "flood", "0")
	if id := <-came; id != "0" {
		t.Fatal(id)
	}
	refused := 0
	for i := range 8 { // three of them wait
		call(t.Context(), "flood", fmt.Sprint("f", i))
	}
	base.Eventually(t, "five are refused", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(ends) == 5
	})
	mu.Lock()
	for id, err := range ends {
		if s := status.Convert(err); s.Code() == codes.Unavailable && !grpcbalancer.MayHaveRun(err) {
			for _, d := range s.Details() {
				if in, ok := d.(*errdetails.RetryInfo); ok && in.RetryDelay.AsDuration() > 0 {
					refused++
				}
			}
		} else {
			t.Errorf("%s: %v", id, err)
		}
	}
	mu.Unlock()
	if refused != 5 {
		t.Errorf("%d of 5 are told when to come back", refused)
	}
	call(t.Context(), "quiet", "q")
	base.Eventually(t, "the flood gives way", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(ends) == 6
	})
	leaving, leave := context.WithCancel(t.Context())
	call(leaving, "leaves", "l")
	base.Eventually(t, "and again", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(ends) == 7
	})
	leave()
	if err := end("l"); status.Code(err) != codes.Canceled {
		t.Error(err)
	}
	answer <- true
	if id := <-came; id != "q" {
		t.Errorf("%s goes before the quiet one", id)
	}
	answer <- true
	if id := <-came; id[0] != 'f' {
		t.Errorf("%s goes third", id)
	}
	answer <- true
	if err := errors.Join(end("0"), end("q")); err != nil {
		t.Error(err)
	}
}

// A door that can't be is one clear error.
func TestDoorOptions(t *testing.T) {
	for name, text := range map[string]string{
		"none of this service": "[[door]]\nservice = \"other\"\n",
		"by the peer":          "[[door]]\nservice = \"service\"\nby = [\"address\"]\n",
		"no such source":       "[[door]]\nservice = \"service\"\nby = [\"shop\"]\n",
	} {
		o := grpcbalancer.Options{Settings: settings(), Seed: 7, Endpoints: []grpcbalancer.Endpoint{{Name: "a", Address: "127.0.0.1:1"}},
			Files: files(t), File: base.File(t, "o.toml", []byte(text))}
		if p, err := grpcbalancer.New(o); err == nil {
			p.Close()
			t.Errorf("%s: it is taken", name)
		}
	}
}

// Of many endpoints a plug-in asks those alone that are its own by [service.subset], also after another list was set.
func TestSubset(t *testing.T) {
	options := make([]fakes.NodeOptions, 24)
	f := newFleet(t, options...)
	file := base.File(t, "o.toml", []byte("[[service]]\nname = \"service\"\n[service.subset]\non = true\nleast = 4\nmost = 4\nsidecars = 3\nindex = 1\naway = 0.0\n"))
	conn, p := f.dial(t, func(o *grpcbalancer.Options) { o.File = file })
	asked := func() map[string]bool {
		names := map[string]bool{}
		for range 200 {
			name, err := ask(t.Context(), conn, search)
			if err != nil {
				t.Fatal(err)
			}
			names[name] = true
		}
		return names
	}
	first := asked()
	if len(first) < 2 || len(first) > 4 {
		t.Errorf("%d nodes were asked", len(first))
	}
	rest := f.endpoints[:0:0]
	for _, e := range f.endpoints {
		if !first[e.Name] {
			rest = append(rest, e)
		}
	}
	if err := p.SetEndpoints(rest); err != nil {
		t.Fatal(err)
	}
	second := asked()
	for name := range second {
		if first[name] {
			t.Errorf("%s is asked, and not listed", name)
		}
	}
	if len(second) < 2 || len(second) > 4 {
		t.Errorf("%d nodes were asked of another list", len(second))
	}
}

// With [service.warm] the upstreams that no call has gone to are connected to as well, and one that starts anew again.
func TestWarm(t *testing.T) {
	f := newFleet(t, make([]fakes.NodeOptions, 6)...)
	counted := make([]*counter, len(f.endpoints))
	for i, e := range f.endpoints {
		counted[i] = count(t, e.Address)
		f.endpoints[i].Address = counted[i].address
	}
	file := base.File(t, "o.toml", []byte("[[service]]\nname = \"service\"\n[service.warm]\non = true\nspread = \"100ms\"\n"))
	conn, p := f.dial(t, func(o *grpcbalancer.Options) { o.File = file })
	if _, err := ask(t.Context(), conn, search); err != nil {
		t.Fatal(err)
	}
	for i, c := range counted {
		base.Eventually(t, fmt.Sprint("a connection to ", i), func() bool { return c.open.Load() == 1 })
	}
	f.endpoints[0].Since = time.Now()
	if err := p.SetEndpoints(f.endpoints); err != nil {
		t.Fatal(err)
	}
	base.Eventually(t, "one to the new process", func() bool { return counted[0].made.Load() == 2 && counted[0].open.Load() == 1 })
	for i, c := range counted[1:] {
		if n := c.made.Load(); n != 1 {
			t.Errorf("%d connections were made to %d", n, i+1)
		}
	}
}

// counter passes connections on, and counts them.
type counter struct {
	address    string
	made, open atomic.Int32
}

func count(t *testing.T, to string) *counter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &counter{address: l.Addr().String()}
	var wg sync.WaitGroup
	t.Cleanup(func() { l.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			c.made.Add(1)
			c.open.Add(1)
			end := sync.OnceFunc(func() { in.Close(); out.Close(); c.open.Add(-1) })
			wg.Go(func() { _, _ = io.Copy(in, out); end() }) // both end with either
			wg.Go(func() { _, _ = io.Copy(out, in); end() })
		}
	})
	return c
}

// A keyed call that comes again with its key gets the first one's end: while it runs, after it, whoever has left; another call under
// the key is told so, and one without a key of its own is sent. So it is over two plug-ins that share a store.
func TestRepeats(t *testing.T) {
	t.Run("one", func(t *testing.T) { testRepeats(t, 1, "") })
	t.Run("two", func(t *testing.T) {
		_, at := base.Etcd(t, fakes.EtcdOptions{})
		testRepeats(t, 2, fmt.Sprintf("[repeats.shared]\nservers = [%q]\n", at))
	})
}

func testRepeats(t *testing.T, plugins int, more string) {
	came, answer := make(chan string, 100), make(chan bool, 100)
	f := newFleet(t, fakes.NodeOptions{Answer: func(j fakes.Job) []byte { came <- j.ID; <-answer; return nil }}, fakes.NodeOptions{
		Answer: func(j fakes.Job) []byte { came <- j.ID; <-answer; return nil }})
	file := base.File(t, "o.toml", []byte("[[repeats]]\nservice = \"service\"\ntenant_part = 1.0\n"+more))
	var conns []*grpc.ClientConn
	for range plugins {
		conn, _ := f.dial(t, func(o *grpcbalancer.Options) {
			o.File = file
			o.Settings.HedgingAllowed = false
			for i := range o.Settings.Classes {
				o.Settings.Classes[i].Deadline, o.Settings.Classes[i].LatencyObjective = base.Timeout, base.Timeout
			}
		})
		conns = append(conns, conn)
	}
	arrives := func() {
		t.Helper()
		select {
		case <-came:
		case <-time.After(base.Timeout / 2):
			t.Fatal("no call came to a node")
		}
	}
	calls := 0
	type end struct {
		name string
		err  error
	}
	ends := make(chan end, 10)
	call := func(ctx context.Context, key string) {
		calls++
		conn := conns[calls%plugins]
		go func() {
			if key != "" {
				ctx = metadata.AppendToOutgoingContext(ctx, grpcbalancer.IdempotencyKey, key)
			}
			name, err := ask(ctx, conn, record)
			ends <- end{name, err}
		}()
	}
	leaves, leave := context.WithCancel(t.Context())
	call(leaves, "k")
	arrives()
	leave()
	if e := <-ends; status.Code(e.err) != codes.Canceled {
		t.Errorf("who left: %v", e)
	}
	call(t.Context(), "k")
	call(t.Context(), "k")
	answer <- true
	first := <-ends
	call(t.Context(), "k")
	for range 2 {
		if e := <-ends; e != first || e.err != nil || e.name == "" {
			t.Errorf("%v, and then %v", first, e)
		}
	}
	other := metadata.AppendToOutgoingContext(t.Context(), grpcbalancer.IdempotencyKey, "k")
	if err := conns[0].Invoke(other, record, wrapperspb.String("another seat"), &wrapperspb.StringValue{}); status.Code(err) != codes.InvalidArgument {
		t.Errorf("another call: %v", err)
	}
	if len(came) > 0 {
		t.Error("a repeat was sent")
	}
	call(t.Context(), "")
	call(t.Context(), "")
	for range 2 {
		arrives()
		answer <- true
		if e := <-ends; e.err != nil {
			t.Error(e.err)
		}
	}
}
