package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"orchiddrift/internal/loadgen"
)

// loadConnections is the number of connections of each of the two clients.
const loadConnections = 64

// Load prints two measurements of the load generator. The first one compares its cost per request with that of a plain net/http client. Both
// send as fast as their connections allow to a server that answers immediately. The second one shows the load generator's own delay and CPU
// time for several rates.
func Load(o Options) error {
	var address string
	server, err := startChild(childRole{Part: "instant"}, &address)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	err = printLoadCost(w, o, address)
	if err == nil {
		err = printLoadDelay(w, address)
	}
	return errors.Join(err, server.stop())
}

// runLoad sends requests at the given rate with the load generator. The parameter calls is their approximate number. runLoad fails if any
// outcome is not OK.
func runLoad(address string, rate float64, calls int) (*loadgen.Result, error) {
	length := time.Duration(float64(calls) / rate * float64(time.Second))
	r, err := loadgen.Run(context.Background(), loadgen.Options{Target: "http://" + address, Connections: loadConnections, Timeout: 5 * time.Second, Seed: 1,
		Phases:  []loadgen.Phase{{Rate: rate, For: length}},
		Classes: []loadgen.Class{{Name: "get", Share: 1, Method: http.MethodGet, Path: "/"}}}, loadgen.Observers{})
	if err == nil && r.Total().Outcomes[loadgen.OK] != r.Total().Requests {
		err = fmt.Errorf("load generator got outcomes %v for %d requests, want only OK", r.Total().Outcomes, r.Total().Requests)
	}
	return r, err
}

// plainClientRound returns the cost per request and the requests per second of a net/http client.
func plainClientRound(client *http.Client, address string, calls int) (f Figures, rate float64, err error) {
	var before usage
	var started time.Time
	latencies, err := closedLoop(loadConnections, calls/5, calls, func(int, int) error {
		resp, err := client.Get("http://" + address + "/")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}, func() error { before, started = currentUsage(), time.Now(); return nil })
	if err != nil {
		return f, 0, err
	}
	return figures(before, currentUsage(), latencies), float64(len(latencies)) / time.Since(started).Seconds(), nil
}

// loadRound returns the cost per request and the requests per second of the load generator. The target rate is higher than the load generator
// can reach.
func loadRound(address string, calls int) (f Figures, rate float64, err error) {
	before := currentUsage()
	r, err := runLoad(address, 1e6, calls)
	if err != nil {
		return f, 0, err
	}
	return figures(before, currentUsage(), make([]time.Duration, r.Total().Attempts)), float64(r.Total().Requests) / r.Took.Seconds(), nil
}

// printLoadCost compares the CPU time and the rate of the load generator with those of a plain net/http client.
func printLoadCost(w *tabwriter.Writer, o Options, address string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections}}
	defer client.CloseIdleConnections()
	var plain, load []Figures
	var plainRates, loadRates []float64
	for range o.Rounds {
		f, rate, err := plainClientRound(client, address, o.Calls)
		if err != nil {
			return err
		}
		plain, plainRates = append(plain, f), append(plainRates, rate)
		if f, rate, err = loadRound(address, o.Calls); err != nil {
			return err
		}
		load, loadRates = append(load, f), append(loadRates, rate)
	}
	identity := func(x float64) float64 { return x }
	plainMedian, loadMedian := median(plain), median(load)
	fmt.Fprintln(w, "client\tCPU a request\tallocations\trequests a second\tCPU ratio\t")
	fmt.Fprintf(w, "net/http\t%v\t%.0f\t%.0f\t%.2f\t\n", plainMedian.CPU.Round(100*time.Nanosecond), plainMedian.Mallocs, medianBy(plainRates, identity), 1.0)
	fmt.Fprintf(w, "load\t%v\t%.0f\t%.0f\t%.2f\t\n", loadMedian.CPU.Round(100*time.Nanosecond), loadMedian.Mallocs, medianBy(loadRates, identity), float64(loadMedian.CPU)/float64(plainMedian.CPU))
	return w.Flush()
}

// printLoadDelay prints the CPU time, the send delay and the latencies of the load generator for several target rates.
func printLoadDelay(w *tabwriter.Writer, address string) error {
	fmt.Fprintln(w, "\nrate\tCPU a request\tlate by itself p99\tp50\tp99\tits word\t")
	for _, rate := range []float64{100, 1000, 10_000, 50_000, 1_000_000} {
		r, err := runLoad(address, rate, int(max(rate, 1000)))
		if err != nil {
			return err
		}
		s := r.Summary()
		all := s.Classes[len(s.Classes)-1]
		limit := "the server's figures"
		if len(s.Limits) > 0 {
			limit = s.Limits[0]
		}
		fmt.Fprintf(w, "%s\t%v\t%d us\t%d us\t%d us\t%s\t\n", strconv.FormatFloat(rate, 'f', 0, 64),
			(r.CPU / time.Duration(max(all.Attempts, 1))).Round(100*time.Nanosecond), s.SendDelayP99, all.Latency["p50"], all.Latency["p99"], limit)
	}
	return w.Flush()
}

// serveInstant runs a server that answers immediately.
func serveInstant() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	err = answerUsage(l.Addr().String())
	err = errors.Join(err, srv.Close())
	<-ended // returns when the server is closed
	return err
}
