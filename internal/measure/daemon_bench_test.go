package measure

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"testing"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/settings"
)

// BenchmarkProxy measures a request through the daemon and through ReverseProxy in this process, including the cost of
// the client. The nodes run in a process of their own:
//
//	go test -run '^$' -bench Proxy -benchmem -cpu 1 ./internal/measure
func BenchmarkProxy(b *testing.B) {
	log.SetOutput(io.Discard)
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 12}, &addresses)
	if err != nil {
		b.Fatal(err)
	}
	defer nodes.stop()
	b.Run("reverseproxy", func(b *testing.B) {
		targets := make([]*url.URL, 0, len(addresses))
		for _, a := range addresses {
			targets = append(targets, &url.URL{Scheme: "http", Host: a})
		}
		l, n := listenLoopback(b), 0
		srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: &httputil.ReverseProxy{
			Rewrite:   func(p *httputil.ProxyRequest) { n++; p.SetURL(targets[n%len(targets)]) },
			Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
		go func() { _ = srv.Serve(l) }() // ends with Close
		defer srv.Close()
		benchmarkRequests(b, l.Addr().String())
	})
	b.Run("daemon", func(b *testing.B) {
		known := &endpoints.List{Index: new(int64), Snapshot: true}
		for i, address := range addresses {
			known.Endpoints = append(known.Endpoints, endpoints.Endpoint{Name: fmt.Sprint("n", i), Address: address, Zone: "a",
				Status: endpoints.StatusReady})
		}
		l := listenLoopback(b)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			ended <- daemon.Serve(ctx, &config.Config{Discovery: "127.0.0.1:1", CachedEndpoints: known,
				Limits:   config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
				Settings: settings.Settings{Settings: balancerSettings(), ConnIdleTimeout: 30 * time.Second}}, l, "", nil, nil)
		}()
		benchmarkRequests(b, l.Addr().String())
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
}

// benchmarkRequests sends b.N requests to a proxy over keep-alive connections.
func benchmarkRequests(b *testing.B, address string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	b.SetParallelism(16)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/search/1", nil)
			if err != nil {
				b.Error(err)
				return
			}
			req.Header.Set("X-Request-ID", fmt.Sprintf("%p-%d", pb, n))
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // the body is a few bytes from loopback
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Error(resp.Status)
			}
		}
	})
}

func listenLoopback(b *testing.B) net.Listener {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}
