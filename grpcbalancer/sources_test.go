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

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"orchiddrift/grpcbalancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// Registries list upstreams in addition to the Plugin's own list. No call reaches a node later than the drain grace after a registry has
// reported it out of service, and the registry's status takes precedence over the list's.
func TestRegistriesBesideTheList(t *testing.T) {
	registry := base.Eureka(t, fakes.EurekaOptions{})
	names := []string{"n0", "n1", "n2", "n3", "n4"}
	flipper := fakes.NewFlipper(registry, "SEATS", endpoints.DrainGrace, names...)
	f := newRegisteredFleet(t, registry, flipper, names)
	conn, p := f.dial(t, func(o *grpcbalancer.Options) {
		o.File, o.Endpoints = registryFile(t, registry), f.endpoints[:1]
	})
	base.Eventually(t, "all nodes answer calls", func() bool { return len(answeringNodes(t, conn, 250)) == len(names) })

	served := flipUnderLoad(t, conn, flipper, 500)
	if flips, last, wrong := flipper.Result(); len(wrong) > 0 || len(last) < 20 || served < 500 {
		t.Errorf("after %d status changes: %d calls served (want 500 or more), %d status changes with calls after them (want 20 or more), calls later than the drain grace: %v (want none)", flips, served, len(last), wrong)
	}

	for _, name := range names {
		registry.Override("SEATS", name, "OUT_OF_SERVICE")
	}
	base.Eventually(t, "no node answers calls", func() bool {
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := invoke(short, conn, search)
		return err != nil
	})
	// An upstream at the same address in both lists is one upstream.
	if err := p.SetEndpoints(f.endpoints[1:2]); err != nil {
		t.Fatal(err)
	}
	if _, err := invoke(t.Context(), conn, search); err == nil {
		t.Error("a call was served by an upstream that the registry reports out of service")
	}
}

// CheckConfig reports a missing operator's file as a mistake in the configuration.
func TestCheckConfigReportsMissingFile(t *testing.T) {
	var problems config.Problems
	_, err := grpcbalancer.CheckConfig([]byte(`{"grpc": {"file": "/nowhere"}}`))
	if !errors.As(err, &problems) || !slices.ContainsFunc(problems, func(p config.Problem) bool { return p.Key == "grpc.file" }) {
		t.Errorf("missing operator's file: want a problem with the key grpc.file, got %v", err)
	}
}

// newRegisteredFleet starts nodes that are listed in a registry and report their requests to the flipper.
func newRegisteredFleet(t *testing.T, registry *fakes.Eureka, flipper *fakes.Flipper, names []string) *fleet {
	t.Helper()
	options := make([]fakes.NodeOptions, len(names))
	for i, name := range names {
		options[i] = fakes.NodeOptions{Name: name, Answer: func(fakes.Job) []byte { flipper.RecordArrival(name); return nil }}
	}
	f := newFleet(t, options...)
	for _, e := range f.endpoints {
		host, port, _ := net.SplitHostPort(e.Address)
		number, _ := strconv.Atoi(port)
		registry.Put(fakes.EurekaInstance{App: "SEATS", ID: e.Name, Host: host, IP: host, Port: number, Status: "UP"})
	}
	return f
}

// registryFile returns the path of an operator's file that names the registry.
func registryFile(t *testing.T, registry *fakes.Eureka) string {
	t.Helper()
	return base.File(t, "o.toml", fmt.Appendf(nil, `
[membership]
flaps = 0
[[eureka]]
service = "service"
servers = [%q]
applications = ["SEATS"]
poll = "100ms"
`, registry.Base))
}

// answeringNodes makes calls and returns the names of the nodes that answered them.
func answeringNodes(t *testing.T, conn *grpc.ClientConn, calls int) map[string]bool {
	t.Helper()
	answered := map[string]bool{}
	for range calls {
		if name, err := invoke(t.Context(), conn, search); err == nil {
			answered[name] = true
		}
	}
	return answered
}

// flipUnderLoad changes the nodes' status in the registry while four callers make calls, and returns the number of calls that were served.
// Calls may be rejected, but must not fail.
func flipUnderLoad(t *testing.T, conn *grpc.ClientConn, flipper *fakes.Flipper, flips int) int64 {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var served atomic.Int64
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if _, err := invoke(ctx, conn, search); err == nil {
					served.Add(1)
				} else if code := status.Code(err); code != codes.Unavailable && ctx.Err() == nil {
					t.Error(err)
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(3, 4))
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for range flips {
		<-ticker.C
		flipper.Flip(rng)
	}
	stop()
	callers.Wait()
	return served.Load()
}
