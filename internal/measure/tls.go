package measure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"orchiddrift/internal/config"
	"orchiddrift/internal/fakes"
)

// TLS prints a comparison of the daemon and ReverseProxy with TLS on both sides. Both use the same certificates and the same
// nodes. The first rows are for keep-alive connections, and the last ones for a new connection for each request.
func TLS(o Options) (err error) {
	dir, err := os.MkdirTemp("", "orchiddrift-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := writeCredentials(dir); err != nil {
		return err
	}
	var addresses []string
	nodes, err := startChild(childRole{Part: "tlsnodes", Nodes: 12, Dir: dir}, &addresses)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, nodes.stop()) }()
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "connections\tpeer\tCPU a request\tallocations\tp50\tp99\tCPU ratio\tp99 ratio\trequests a second\tratio\t")
	for _, c := range []struct {
		name           string
		connections    int
		newConnections bool
		calls          int
	}{{"16 kept", 16, false, o.Calls}, {"64 kept", 64, false, o.Calls}, {"new each, by 16", 16, true, max(200, o.Calls/5)}} {
		all, rates := map[string][]Figures{}, map[string][]float64{}
		for range o.Rounds {
			for _, part := range []string{"reverseproxy", "daemon"} {
				f, rate, err := tlsRound(part, dir, addresses, c.connections, c.calls, c.newConnections)
				if err != nil {
					return err
				}
				all[part], rates[part] = append(all[part], f), append(rates[part], rate)
			}
		}
		base, baseRate := median(all["reverseproxy"]), medianValue(rates["reverseproxy"])
		for _, part := range []string{"reverseproxy", "daemon"} {
			f, rate := median(all[part]), medianValue(rates[part])
			fmt.Fprintf(w, "%s\t%s\t%v\t%.0f\t%v\t%v\t%.2f\t%.2f\t%.0f\t%.2f\t\n", c.name, part, f.CPU.Round(100*time.Nanosecond),
				f.Mallocs, f.P50.Round(time.Microsecond), f.P99.Round(time.Microsecond), float64(f.CPU)/float64(base.CPU),
				float64(f.P99)/float64(base.P99), rate, rate/baseRate)
		}
	}
	return w.Flush()
}

// Routes prints the cost per request for the daemon with 1, 100 and 10,000 routes.
func Routes(o Options) error {
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 12}, &addresses)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "routes\tpeer\tCPU a request\tallocations\tp50\tp99\tCPU ratio\tp99 ratio\t")
	counts, all := []int{1, 100, 10_000}, map[int][]Figures{}
	for range o.Rounds {
		for _, n := range counts {
			f, err := proxyRound(childRole{Part: "daemon", Routes: n, Addresses: addresses}, 16, o.Calls)
			if err != nil {
				return errors.Join(err, nodes.stop())
			}
			all[n] = append(all[n], f)
		}
	}
	for _, n := range counts {
		printRow(w, fmt.Sprint(n), "daemon", median(all[n]), median(all[1]))
	}
	return errors.Join(w.Flush(), nodes.stop())
}

// writeCredentials creates a certificate authority. It writes the authority's certificate, and the keys and certificates of
// the proxy and the nodes, to dir.
func writeCredentials(dir string) error {
	ca, err := fakes.NewCA("measure")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.crt"), ca.PEM, 0o600); err != nil {
		return err
	}
	for _, name := range []string{"front", "node"} {
		i, err := ca.Issue(time.Hour, "127.0.0.1")
		if err != nil {
			return err
		}
		if err := errors.Join(os.WriteFile(filepath.Join(dir, name+".crt"), i.Certificate, 0o600),
			os.WriteFile(filepath.Join(dir, name+".key"), i.Key, 0o600)); err != nil {
			return err
		}
	}
	return nil
}

// certificate returns a server configuration with the named key pair.
func (r childRole) certificate(name string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(r.Dir, name+".crt"), filepath.Join(r.Dir, name+".key"))
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}}, err
}

// trustingConfig returns a client configuration that trusts the certificate authority in dir.
func trustingConfig(dir string) (*tls.Config, error) {
	text, err := os.ReadFile(filepath.Join(dir, "ca.crt"))
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}, err
}

// serveTLSNodes runs nodes that use TLS and answer immediately.
func (r childRole) serveTLSNodes() error {
	config, err := r.certificate("node")
	if err != nil {
		return err
	}
	var addresses []string
	for range r.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok") // an error means that the client has disconnected
		})}
		go func() { _ = srv.Serve(tls.NewListener(l, config)) }() // ends with Close
		defer srv.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return answerUsage(addresses)
}

// serveFileDaemon runs the daemon with a configuration file that has Routes routes. It uses TLS if Dir is set.
func (r childRole) serveFileDaemon(listener net.Listener) error {
	quoted := make([]string, len(r.Addresses))
	for i, a := range r.Addresses {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	text := fmt.Appendf(nil, `
[daemon]
seed = "1"
[limits]
cores = 1
[log]
level = "error"
[[service]]
name = "nodes"
addresses = [%s]
`, strings.Join(quoted, ", "))
	if r.Dir != "" {
		text = fmt.Appendf(text, "[service.tls]\nca = \"%[1]s/ca.crt\"\n[tls]\ncertificate = \"%[1]s/front.crt\"\nkey = \"%[1]s/front.key\"\n", r.Dir)
	}
	for i := range r.Routes {
		match := fmt.Sprintf("/area%d/{id}/seats", i)
		if i == 0 {
			match = "/search/"
		}
		text = fmt.Appendf(text, "[[route]]\nmatch = %q\nservice = \"nodes\"\n", match)
	}
	plan, err := config.ParseFile(text)
	if err != nil {
		return err
	}
	return serveDaemon(plan, listener)
}

// serveTLSProxy runs ReverseProxy with TLS on both sides.
func (r childRole) serveTLSProxy(listener net.Listener) error {
	front, err := r.certificate("front")
	if err != nil {
		return err
	}
	upstreams, err := trustingConfig(r.Dir)
	if err != nil {
		return err
	}
	var targets []*url.URL
	for _, address := range r.Addresses {
		targets = append(targets, &url.URL{Scheme: "https", Host: address})
	}
	n := 0
	srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: &httputil.ReverseProxy{
		Rewrite:   func(p *httputil.ProxyRequest) { n++; p.SetURL(targets[n%len(targets)]) }, // needs no lock, because the process uses one core
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, TLSClientConfig: upstreams}}}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(tls.NewListener(listener, front)) }()
	err = answerUsage(listener.Addr().String())
	srv.Close()
	<-ended
	return err
}

// tlsRound measures requests over TLS through a proxy process. If newConnections is set, each request opens a new connection.
func tlsRound(part, dir string, addresses []string, connections, calls int, newConnections bool) (f Figures, rate float64, err error) {
	var address string
	proxy, err := startChild(childRole{Part: part, Addresses: addresses, Listen: "127.0.0.1:0", GC: 100, Dir: dir}, &address)
	if err != nil {
		return f, 0, err
	}
	config, err := trustingConfig(dir)
	if err != nil {
		return f, 0, errors.Join(err, proxy.stop())
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: connections,
		TLSClientConfig: config, DisableKeepAlives: newConnections}}
	defer client.CloseIdleConnections()
	send := func(int, int) error {
		resp, err := client.Get("https://" + address + "/")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %s", part, resp.Status)
		}
		return nil
	}
	var before usage
	var started time.Time
	latencies, err := closedLoop(connections, calls/5, calls, send, func() (err error) {
		before, err = proxy.used()
		started = time.Now()
		return err
	})
	rate = float64(len(latencies)) / time.Since(started).Seconds()
	after, usedErr := proxy.used()
	return figures(before, after, latencies), rate, errors.Join(err, usedErr, proxy.stop())
}

func medianValue(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
