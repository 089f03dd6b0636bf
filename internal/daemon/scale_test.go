package daemon

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/testing/testutil/base"
)

// manyServices returns a file with n services, each with a route and one upstream, which receives no requests.
func manyServices(n int) string {
	var b strings.Builder
	b.WriteString("[limits]\ndescriptors = 4096\n")
	for i := range n {
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\naddresses = [\"127.0.0.1:1\"]\n[[route]]\nmatch = \"/s%d/\"\nservice = \"s%d\"\n", i, i, i)
	}
	return b.String()
}

// BenchmarkService measures the heap bytes and goroutines of a service.
//
//	go test -run '^$' -bench Service -benchtime 1x ./internal/daemon
func BenchmarkService(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		p := plan(b, manyServices(200))
		d := &daemon{plan: p, log: logging.Discard(), background: b.Context()}
		before, goroutines := heap(), runtime.NumGoroutine()
		if err := d.newSharedResources(2032); err != nil {
			b.Fatal(err)
		}
		if err := d.apply(p); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric((heap()-before)/200, "heap-B/service")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/200, "goroutines/service")
		d.endServices()
	}
}

// BenchmarkReload measures a complete reload of a service with 5,000 endpoints, a tenth of which are replaced each time, and a complete
// reload of 10,000 routes, all of which are replaced each time.
func BenchmarkReload(b *testing.B) {
	endpoints := func(turn int) string {
		var b strings.Builder
		b.WriteString("[[service]]\nname = \"a\"\n")
		for i := range 5000 {
			generation := 0
			if i%10 == turn%10 {
				generation = turn
			}
			fmt.Fprintf(&b, "[[service.endpoint]]\nname = \"n%d-%d\"\naddress = \"127.0.%d.%d:9000\"\n", i, generation, i/250, 1+i%250)
		}
		return b.String()
	}
	routes := func(turn int) string {
		var b strings.Builder
		b.WriteString("[[service]]\nname = \"a\"\naddresses = [\"127.0.0.1:1\"]\n")
		for i := range 10_000 {
			fmt.Fprintf(&b, "[[route]]\nmatch = \"/svc%d/{id}/v%d/\"\n", i, turn)
		}
		return b.String()
	}
	for name, text := range map[string]func(int) string{"5000-endpoints": endpoints, "10000-routes": routes} {
		b.Run(name, func(b *testing.B) {
			p := plan(b, text(0))
			d := &daemon{plan: p, log: logging.Discard(), background: b.Context()}
			if err := d.newSharedResources(496); err != nil {
				b.Fatal(err)
			}
			if err := d.apply(p); err != nil {
				b.Fatal(err)
			}
			defer d.endServices()
			path, turn := base.File(b, "o.toml", nil), 0
			for b.Loop() {
				turn++
				base.Replace(b, path, []byte(text(turn)))
				if err := d.reload(config.Sources{Config: path}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkBesideHung measures the p99 latency of a service beside a second service that hangs and has 40 clients, as a ratio of its p99
// latency without that load.
//
//	go test -run '^$' -bench BesideHung -benchtime 5x ./internal/daemon
func BenchmarkBesideHung(b *testing.B) {
	release := make(chan struct{})
	defer close(release)
	hung := base.HTTP(b, nil, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	text := services(map[string]string{"a": hung, "b": base.HTTP(b, nil, respondWith("b"))}, "/a/ -> a", "/b/ -> b")
	r := startFile(b, "[limits]\ndescriptors = 160\n"+text)
	p99 := func() time.Duration {
		var latencies []time.Duration
		for range 1000 {
			begun := time.Now()
			if status, _ := r.request("GET", "/b/x", ""); status != 200 {
				b.Fatalf("request to the service that responds: got status %d, want 200", status)
			}
			latencies = append(latencies, time.Since(begun))
		}
		slices.Sort(latencies)
		return latencies[990]
	}
	var ratios []float64
	p99()
	for b.Loop() {
		alone := p99()
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for range 40 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if status, _ := r.request("POST", "/a/x", ""); status == 500 {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
		s := r.d.routing.Load().services["a"]
		base.Eventually(b, "the hung service has 40 requests in flight", func() bool { return r.d.shared.inFlight.Used(s.name) >= 40 })
		besideHung := p99()
		ratios = append(ratios, float64(besideHung)/float64(alone))
		close(stop)
		s.engine.Abort()
		clients.Wait()
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "p99-ratio")
}
