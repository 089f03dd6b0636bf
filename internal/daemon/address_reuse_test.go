package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// serveAt serves an upstream at an address that is free, until stop is called.
func serveAt(t *testing.T, address string, handler http.HandlerFunc) (at string, stop func()) {
	t.Helper()
	var l net.Listener
	testutil.Eventually(t, "the address is free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	stop = sync.OnceFunc(func() { server.Close() })
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// A process that comes up at the address of one that has gone must not be taken for it: not for a payment that may have run at the old one,
// whose group does not hold at the new one, and not for a connection or a retry that was decided on before. The new one stands in another zone.
func TestNewProcessAtAnOldAddress(t *testing.T) {
	const rounds, payments = 3, 8
	longAgoMs := float64(time.Now().Add(-time.Hour).UnixMilli()) // no slow start
	entry := func(name, address, zone string, startedMs float64) endpoints.Endpoint {
		return endpoints.Endpoint{Name: name, Address: address, Zone: zone, MachineType: "m", Status: endpoints.StatusReady, StartedMs: startedMs}
	}
	for _, sameName := range []bool{false, true} {
		t.Run(fmt.Sprintf("same name %v", sameName), func(t *testing.T) {
			var mu sync.Mutex
			ran := map[string][]string{} // processes by the request's ID
			arrived := make(chan struct{}, 1000)
			process := func(name string, hold <-chan struct{}) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					id := r.Header.Get("X-Request-ID")
					ran[id] = append(ran[id], name)
					mu.Unlock()
					arrived <- struct{}{}
					<-hold
				}
			}
			hold := make(chan struct{})
			defer close(hold)
			address, stop := serveAt(t, "127.0.0.1:0", process("process 0", hold))
			discovery := fakes.NewDiscovery()
			at, err := discovery.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer discovery.Close()
			discovery.Set(entry("node", address, "zone 0", 0))
			r := start(t, testutil.Config(t, at), "127.0.0.1:0")
			name := "node"
			for round := range rounds {
				var ends []<-chan string
				for range payments {
					request := testutil.Request(t, r.address, "record", "x")
					request.Header.Set("Idempotency-Key", request.Header.Get("X-Request-ID"))
					request.Header.Set("X-Timeout", "1000m")
					ends = append(ends, r.doAsync(request))
				}
				for range payments {
					<-arrived
				}
				previous := name
				if !sameName {
					name = fmt.Sprint("node ", round+1)
				}
				stopPrevious := stop
				stopped := make(chan struct{})
				go func() { // the old process ends in the moment in which discovery announces the new one
					defer close(stopped)
					stopPrevious()
				}()
				if !sameName {
					discovery.Remove(previous)
				}
				discovery.Set(entry(name, address, fmt.Sprint("zone ", round+1), longAgoMs+float64(round)))
				<-stopped
				_, stop = serveAt(t, address, process(fmt.Sprint("process ", round+1), hold))
				for _, end := range ends {
					if got := <-end; got[:3] != "502" {
						t.Errorf("round %d: a payment that may have run at the old process ended with %q, want 502", round, got)
					}
				}
				testutil.Eventually(t, "the new process is used", func() bool {
					response, err := r.client.Get("http://" + r.address + "/-/ready")
					if err != nil {
						return false
					}
					response.Body.Close()
					return response.StatusCode == http.StatusOK
				})
			}
			for id, processes := range ran {
				if len(processes) > 1 {
					t.Errorf("request %s ran at %v", id, processes)
				}
			}
		})
	}
}
