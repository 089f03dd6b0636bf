package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

const (
	largeResponseBytes = 8 << 20
	largeClients       = 4 // number of clients that download one large response after another
	smallClients       = 16
)

// LargeResponses prints the latencies of small requests, first alone and then while the same proxy transfers large responses. It compares the
// daemon and ReverseProxy, each on one core.
func LargeResponses(o Options) error {
	var addresses []string
	chunk := make([]byte, 64<<10)
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasSuffix(r.URL.Path, "/large") {
				_, _ = io.WriteString(w, "ok") // an error means that the client has disconnected
				return
			}
			w.Header().Set("Content-Length", fmt.Sprint(largeResponseBytes))
			for range largeResponseBytes / len(chunk) {
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		})}
		go func() { _ = srv.Serve(l) }() // ends with Close
		defer srv.Close()
		addresses = append(addresses, l.Addr().String())
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "peer\tp50 alone\tp99 alone\tp50 beside large ones\tp99 beside large ones\tp99 ratio\tlarge ones a second\t")
	for _, peer := range []string{"reverseproxy", "daemon"} {
		var alone, beside []Figures
		var rate []float64
		for range o.Rounds {
			f, _, err := largeResponsesRound(childRole{Part: peer, Addresses: addresses}, 0, o.Calls)
			if err != nil {
				return err
			}
			g, r, err := largeResponsesRound(childRole{Part: peer, Addresses: addresses}, largeClients, o.Calls)
			if err != nil {
				return err
			}
			alone, beside, rate = append(alone, f), append(beside, g), append(rate, r)
		}
		a, b := median(alone), median(beside)
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%v\t%.2f\t%.0f\t\n", peer, a.P50.Round(time.Microsecond), a.P99.Round(time.Microsecond),
			b.P50.Round(time.Microsecond), b.P99.Round(time.Microsecond), float64(b.P99)/float64(a.P99),
			medianBy(rate, func(x float64) float64 { return x }))
	}
	return w.Flush()
}

// largeResponsesRound sends requests for small responses in a closed loop, while other clients download large responses. The parameter large
// is the number of these other clients, and calls is the number of measured requests for small responses. The result rate is the number of
// large responses per second.
func largeResponsesRound(r childRole, large, calls int) (f Figures, rate float64, err error) {
	var address string
	r.Listen, r.GC = "127.0.0.1:0", 100
	proxy, err := startChild(r, &address)
	if err != nil {
		return Figures{}, 0, err
	}
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: smallClients + large}}
	defer client.CloseIdleConnections()
	get := func(ctx context.Context, path, id string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/search/"+path, nil)
		if err != nil {
			return err
		}
		req.Header.Set("X-Request-ID", id)
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		if err == nil && (resp.StatusCode != http.StatusOK || path == "large" && n != largeResponseBytes) {
			err = fmt.Errorf("%s answered %s with %d bytes", r.Part, resp.Status, n)
		}
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var downloads sync.WaitGroup
	var mu sync.Mutex
	var downloadErr error
	completed, started := 0, time.Now()
	for n := range large {
		downloads.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				err := get(ctx, "large", fmt.Sprintf("large-%d-%d", n, i))
				mu.Lock()
				if completed++; err != nil && ctx.Err() == nil {
					downloadErr = errors.Join(downloadErr, err)
				}
				mu.Unlock()
			}
		})
	}
	latencies, err := closedLoop(smallClients, calls/5, calls, func(worker, n int) error {
		return get(context.Background(), "small", fmt.Sprintf("%d-%d", worker, n))
	}, func() error { return nil })
	rate = float64(completed) / time.Since(started).Seconds()
	stop()
	downloads.Wait()
	return figures(usage{}, usage{}, latencies), rate, errors.Join(err, downloadErr, proxy.stop())
}
