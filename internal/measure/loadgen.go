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

// Load prints what a request costs the load tool and a plain net/http client before an instant server, as fast as 64 connections go;
// then how the tool's own lateness and CPU are at rates below its ceiling.
func Load(o Options) error {
	var address string
	server, err := startChild(childRole{Part: "instant"}, &address)
	if err != nil {
		return err
	}
	const connections = 64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	ask := func(int, int) error {
		resp, err := client.Get("http://" + address + "/")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	tool := func(rate float64, calls int) (*loadgen.Result, error) {
		r, err := loadgen.Run(context.Background(), loadgen.Options{Target: "http://" + address, Connections: connections, Timeout: 5 * time.Second, Seed: 1,
			Phases: []loadgen.Phase{{Rate: rate, For: time.Duration(float64(calls) / rate * float64(time.Second))}}, Classes: []loadgen.Class{{Name: "get", Share: 1, Method: "GET", Path: "/"}}}, loadgen.Observers{})
		if err == nil && r.Total().Outcomes[loadgen.OK] != r.Total().Requests {
			err = fmt.Errorf("%v of %d", r.Total().Outcomes, r.Total().Requests)
		}
		return r, err
	}
	var plain, own []Figures
	var rates, plainRates []float64
	for range o.Rounds {
		var before usage
		var begun time.Time
		took, err := closedLoop(connections, o.Calls/5, o.Calls, ask, func() error { before, begun = currentUsage(), time.Now(); return nil })
		if err != nil {
			return errors.Join(err, server.stop())
		}
		plain, plainRates = append(plain, figures(before, currentUsage(), took)), append(plainRates, float64(len(took))/time.Since(begun).Seconds())
		before = currentUsage()
		r, err := tool(1e6, o.Calls)
		if err != nil {
			return errors.Join(err, server.stop())
		}
		own, rates = append(own, figures(before, currentUsage(), make([]time.Duration, r.Total().Attempts))), append(rates, float64(r.Total().Requests)/r.Took.Seconds())
	}
	same := func(x float64) float64 { return x }
	a, b := median(plain), median(own)
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "client\tCPU a request\tallocations\trequests a second\tCPU ratio\t")
	fmt.Fprintf(w, "net/http\t%v\t%.0f\t%.0f\t%.2f\t\n", a.CPU.Round(100*time.Nanosecond), a.Mallocs, medianBy(plainRates, same), 1.0)
	fmt.Fprintf(w, "load\t%v\t%.0f\t%.0f\t%.2f\t\n", b.CPU.Round(100*time.Nanosecond), b.Mallocs, medianBy(rates, same), float64(b.CPU)/float64(a.CPU))
	if err := w.Flush(); err != nil {
		return errors.Join(err, server.stop())
	}
	fmt.Fprintln(w, "\nrate\tCPU a request\tlate by itself p99\tp50\tp99\tits word\t")
	for _, rate := range []float64{100, 1000, 10_000, 50_000, 1_000_000} {
		r, err := tool(rate, int(max(rate, 1000)))
		if err != nil {
			return errors.Join(err, server.stop())
		}
		s := r.Summary()
		all := s.Classes[len(s.Classes)-1]
		word := "the server's figures"
		if len(s.Limits) > 0 {
			word = s.Limits[0]
		}
		fmt.Fprintf(w, "%s\t%v\t%d us\t%d us\t%d us\t%s\t\n", strconv.FormatFloat(rate, 'f', 0, 64), (r.CPU / time.Duration(max(all.Attempts, 1))).Round(100*time.Nanosecond), s.SendDelayP99,
			all.Latency["p50"], all.Latency["p99"], word)
	}
	return errors.Join(w.Flush(), server.stop())
}

// serveInstant is a server that answers at once.
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
	<-ended // closed
	return err
}
