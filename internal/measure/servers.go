package measure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime/debug"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/config"
	"orchiddrift/internal/daemon"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/fakes"
	"orchiddrift/internal/settings"
)

// serveNodes runs fake nodes over HTTP or gRPC.
func (r childRole) serveNodes() error {
	var addresses []string
	ledger := fakes.NewLedger()
	ledger.CountOnly = true
	for i := range r.Nodes {
		o := fakes.NodeOptions{Name: fmt.Sprint("n", i), Cores: 64, DefaultServiceTime: r.Work, Ledger: ledger, Seed: uint64(i), LoadReports: r.GRPC}
		if r.Slow > 0 && i%10 == 0 {
			o.Faults = []fakes.Fault{{Kind: fakes.Slow, Factor: r.Slow}}
		}
		if r.GRPC {
			o.Answer = func(fakes.Job) []byte { return []byte{10, 2, 'o', 'k'} } // the bytes are an encoded StringValue
		}
		if r.Answer != "" {
			o.Answer = func(fakes.Job) []byte { return []byte(r.Answer) }
		}
		n := fakes.NewNode(o)
		defer n.Close()
		listen := n.ListenHTTP
		if r.GRPC {
			listen = n.ListenGRPC
		}
		address, err := listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, address)
	}
	return answerUsage(addresses)
}

// balancerSettings returns the settings that the daemon and the gRPC balancer share.
func balancerSettings() balancer.Settings {
	return balancer.Settings{Zone: "a", FleetSize: 1, Tick: 5 * time.Millisecond, MaxAttempts: 5, HedgingAllowed: true,
		CancellationAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: time.Second, ConnectTimeout: time.Second,
		Classes: []balancer.Class{{Name: "search", Idempotency: balancer.Idempotent, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, LateValueFraction: 0.5}}}
}

// serveProxy runs the daemon or ReverseProxy. It uses TLS if Dir is set.
func (r childRole) serveProxy() error {
	debug.SetGCPercent(r.GC) // the value is the same for both proxies, so that more memory is no advantage
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	switch {
	case (r.Dir != "" || r.Routes > 0) && r.Part == "daemon":
		return r.serveFileDaemon(l)
	case r.Dir != "":
		return r.serveTLSProxy(l)
	}
	if r.Part == "daemon" {
		list := &endpoints.List{Index: new(int64), Snapshot: true}
		for i, address := range r.Addresses {
			list.Endpoints = append(list.Endpoints, endpoints.Endpoint{Name: fmt.Sprint("n", i), Address: address, Zone: "a",
				Status: endpoints.StatusReady})
		}
		c := &config.Config{Listen: r.Listen, Discovery: "127.0.0.1:1", Seed: 1, CachedEndpoints: list,
			Limits:   config.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
			Settings: settings.Settings{Settings: balancerSettings(), ConnIdleTimeout: 30 * time.Second}}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- daemon.Serve(ctx, c, l, "", nil, nil) }()
		err = answerUsage(l.Addr().String())
		cancel()
		return errors.Join(err, <-ended)
	}
	var targets []*url.URL
	for _, address := range r.Addresses {
		targets = append(targets, &url.URL{Scheme: "http", Host: address})
	}
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(p *httputil.ProxyRequest) { p.SetURL(targets[rand.IntN(len(targets))]) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
	srv := &http.Server{Handler: proxy, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	err = answerUsage(l.Addr().String())
	srv.Close()
	<-ended
	return err
}
