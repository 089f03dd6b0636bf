package processes

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/loadgen/hostile"
	"orchiddrift/internal/testing/testutil/base"
)

// platformConfiguration returns the platform's file of a sidecar, with its limits in MiB and file descriptors.
func platformConfiguration(t *testing.T, listen, discovery string, memoryMB, sockets int) string {
	t.Helper()
	class := func(name, semantics string, deadlineMs float64) map[string]any {
		return map[string]any{"Name": name, "Semantics": semantics, "AimMs": deadlineMs / 2, "DeadlineMs": deadlineMs, "DedupWindowMs": 5000.0,
			"KeyScope": "all", "Importance": 3.0, "LateShare": 0.3}
	}
	settings := map[string]any{"Classes": []any{class("search", "retryable", 2000), class("confirm", "fragile", 5000)}, "Zone": "a", "TickMs": 5.0,
		"Balancers": 1, "Discovery": "ask", "FailureDomains": []string{"a"},
		"Limits": map[string]any{"Cancelling": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "RetryAfter": true, "MaxRetryAfterMs": 2000.0,
			"SecondCopies": true, "SendCap": 5},
		"Rules": map[string]any{"ColdFrom": 0.3, "DrainGraceMs": 250.0, "FallMs": 2000.0, "FallMultiple": 3.0, "WarmUpMs": 8800.0, "MustAskInMs": 10000.0}}
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": listen, "discovery": discovery, "seed": "1f", "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// startPlatformSidecar starts a sidecar with the platform's settings before nodes that answer the shapes of package hostile.
func startPlatformSidecar(t *testing.T, r *Rig, memoryMB, nodes int) (p *Process, listen string) {
	t.Helper()
	var addresses []string
	for range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		serveUntilEnd(t, hostile.NewNode(), l)
		addresses = append(addresses, l.Addr().String())
	}
	return startPlatformSidecarBefore(t, r, memoryMB, addresses)
}

// serveUntilEnd has a server serve on l until the test ends, and then waits for its connections: net/http keeps some for half a second.
func serveUntilEnd(t *testing.T, server *http.Server, l net.Listener) {
	t.Helper()
	var connections sync.WaitGroup
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			connections.Add(1)
		case http.StateClosed, http.StateHijacked:
			connections.Done()
		}
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		server.Close()
		serving.Wait()
		connections.Wait()
	})
}

// startPlatformSidecarBefore starts a sidecar with the platform's settings before the nodes at these addresses.
func startPlatformSidecarBefore(t *testing.T, r *Rig, memoryMB int, addresses []string) (p *Process, listen string) {
	t.Helper()
	p, listen, setNodes := startPlatformSidecarWithoutNodes(t, r, memoryMB)
	setNodes(addresses)
	return p, listen
}

// startPlatformSidecarWithoutNodes starts a sidecar with the platform's settings whose list is empty until setNodes is called.
func startPlatformSidecarWithoutNodes(t *testing.T, r *Rig, memoryMB int) (p *Process, listen string, setNodes func(addresses []string)) {
	t.Helper()
	discovery := fakes.NewDiscovery()
	discovery.Heartbeat = 2 * time.Second
	address, err := discovery.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	listen = base.FreeAddress(t)
	hasList := func(e Event) bool { return strings.Contains(e.What, "list call answered") }
	p = r.Process(Spec{Name: "n1", Args: []string{"--config", "config.json"}, Ready: hasList,
		Files: map[string]string{"config.json": platformConfiguration(t, listen, address, memoryMB, 1024)}})
	if err := r.StartAll(within(t, Patience), p); err != nil {
		t.Fatal(err)
	}
	return p, listen, func(addresses []string) {
		var entries []endpoints.Endpoint
		for i, address := range addresses {
			entries = append(entries, endpoints.Endpoint{Name: fmt.Sprint("u", i), Address: address, Zone: "a", MachineType: "m",
				Status: endpoints.StatusReady})
		}
		discovery.Set(entries...)
	}
}

// How long a shape is played, with one client and with many: these come one after the other.
const (
	floodTime = 3 * time.Second
	crowdTime = 5 * time.Second
)

// playHostile plays a shape against a sidecar of its own.
func playHostile(t *testing.T, shape hostile.Shape, memoryMB int, duration time.Duration) hostile.Result {
	t.Helper()
	p, address := startPlatformSidecar(t, New(t, 1), memoryMB, 6)
	result := hostile.Play(t.Context(), hostile.Target{Address: address, PID: p.PID()}, shape, duration)
	t.Logf("%d MB: %v", memoryMB, result)
	return result
}

// A client that sent requests without a pause on one connection kept the others' from being read for tens of milliseconds: with one core and
// a connection that never blocks, the scheduler does not poll the network.
func TestFloodOnOneConnection(t *testing.T) {
	const memoryMB = 64
	var usual hostile.Result
	for _, shape := range hostile.Shapes() {
		if shape.Clients > 1 {
			continue
		}
		result := playHostile(t, shape, memoryMB, floodTime)
		if shape.Clients == 0 {
			usual = result
		}
		if result.Lost+result.Rejected > 0 || result.Served == 0 || result.PrivateMB > memoryMB {
			t.Errorf("%v: want all requests served, and at most %d MiB", result, memoryMB)
		}
		if limit := 3 * usual.P50; result.P50 > limit {
			t.Errorf("%s: the median of usual clients is %v, want at most three times the %v without the flood", shape.Name, result.P50, usual.P50)
		}
	}
}

// A process passed its memory limit while hundreds of clients sent or read slowly, stopped half way through a request or sent heads of very
// many fields.
func TestMemoryOfHostileClients(t *testing.T) {
	const memoryMB = 48
	for _, shape := range hostile.Shapes() {
		if shape.Clients <= 1 {
			continue
		}
		result := playHostile(t, shape, memoryMB, crowdTime)
		if result.Ended || result.PrivateMB > memoryMB {
			t.Errorf("%v: want at most %d MiB", result, memoryMB)
		}
		if result.Lost > 0 || result.Served == 0 {
			t.Errorf("%v: want an answer to each request", result)
		}
	}
}
