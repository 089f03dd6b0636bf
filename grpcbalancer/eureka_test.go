package grpcbalancer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// Guards against calls that reach a node later than 250 ms after the plug-in was told that it is out of service, and
// against a list of its own that does not count beside the registry.
func TestRegistries(t *testing.T) {
	e := base.Eureka(t, fakes.EurekaOptions{})
	var f *fakes.Flipper
	names := []string{"n0", "n1", "n2", "n3", "n4"}
	options := make([]fakes.NodeOptions, len(names))
	for i, name := range names {
		options[i] = fakes.NodeOptions{Name: name, Answer: func(fakes.Job) []byte { f.RecordArrival(name); return nil }}
	}
	nodes := newFleet(t, options...)
	for _, n := range nodes.endpoints {
		host, port, _ := net.SplitHostPort(n.Address)
		number, _ := strconv.Atoi(port)
		e.Put(fakes.EurekaInstance{App: "SEATS", ID: n.Name, Host: host, IP: host, Port: number, Status: "UP"})
	}
	f = fakes.NewFlipper(e, "SEATS", endpoints.DrainGrace, names...)
	file := base.File(t, "o.toml", fmt.Appendf(nil, `
[membership]
flaps = 0
[[eureka]]
service = "service"
servers = [%q]
applications = ["SEATS"]
poll = "100ms"
`, e.Base))
	conn, p := nodes.dial(t, func(o *grpcbalancer.Options) { o.File, o.Endpoints = file, nodes.endpoints[:1] })
	serving := func(n int) func() bool {
		return func() (ok bool) {
			answered := map[string]bool{}
			for range 50 * n {
				if name, err := ask(t.Context(), conn, search); err == nil {
					answered[name] = true
				}
			}
			return len(answered) == n
		}
	}
	base.Eventually(t, "all serve", serving(5))
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var served atomic.Int64
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if _, err := ask(ctx, conn, search); err == nil {
					served.Add(1)
				} else if c := status.Code(err); c != codes.Unavailable && ctx.Err() == nil {
					t.Error(err)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(3, 4))
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for range 500 {
		<-tick.C
		f.Flip(rng)
	}
	stop()
	callers.Wait()
	if flips, last, wrong := f.Result(); len(wrong) > 0 || len(last) < 20 || served.Load() < 500 {
		t.Errorf("%d flips, %d served, %d flips seen, late: %v", flips, served.Load(), len(last), wrong)
	}
	for _, name := range names {
		e.Override("SEATS", name, "OUT_OF_SERVICE")
	}
	base.Eventually(t, "none takes calls", func() bool {
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := ask(short, conn, search)
		return err != nil
	})
	// What the registry has at another address is one node with the list's; its own entry draws the line.
	if err := p.SetEndpoints(nodes.endpoints[1:2]); err != nil {
		t.Fatal(err)
	}
	if _, err := ask(t.Context(), conn, search); err == nil {
		t.Error("the list's up outweighs the registry's out of service")
	}
	var bad config.Problems
	_, err := grpcbalancer.CheckConfig([]byte(`{"grpc": {"file": "/nowhere"}}`))
	if !errors.As(err, &bad) || !slices.ContainsFunc(bad, func(p config.Problem) bool { return p.Key == "grpc.file" }) {
		t.Errorf("%v", err)
	}
}
