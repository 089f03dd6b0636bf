package measure

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"
)

// Options are the parameters of a measurement.
type Options struct {
	Rounds int // number of runs of each peer; the peers take turns, and the medians of their runs are printed
	Calls  int // number of requests in each round
	Out    io.Writer
}

// Daemon prints a comparison of the daemon and ReverseProxy, each on one core. The clients send in a closed loop, and 12 nodes answer
// immediately.
func Daemon(o Options) error {
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 12}, &addresses)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "connections\tpeer\tCPU a request\tallocations\tp50\tp99\tCPU ratio\tp99 ratio\t")
	for _, connections := range []int{1, 16, 64} {
		figuresByPeer := map[string][]Figures{}
		for range o.Rounds {
			for _, peer := range []string{"reverseproxy", "daemon"} {
				f, err := proxyRound(childRole{Part: peer, Addresses: addresses}, connections, o.Calls)
				if err != nil {
					return errors.Join(err, nodes.stop())
				}
				figuresByPeer[peer] = append(figuresByPeer[peer], f)
			}
		}
		base := median(figuresByPeer["reverseproxy"])
		for _, peer := range []string{"reverseproxy", "daemon"} {
			printRow(w, fmt.Sprint(connections), peer, median(figuresByPeer[peer]), base)
		}
	}
	return errors.Join(w.Flush(), nodes.stop())
}

// printRow prints the figures f of a peer, and the ratios of these figures to those of base.
func printRow(w io.Writer, group, peer string, f, base Figures) {
	fmt.Fprintf(w, "%s\t%s\t%v\t%.0f\t%v\t%v\t%.2f\t%.2f\t\n", group, peer, f.CPU.Round(100*time.Nanosecond), f.Mallocs,
		f.P50.Round(time.Microsecond), f.P99.Round(time.Microsecond), float64(f.CPU)/float64(base.CPU), float64(f.P99)/float64(base.P99))
}

// proxyRound measures requests through a proxy process with the given role.
func proxyRound(r childRole, connections, calls int) (Figures, error) {
	var address string
	r.Listen, r.GC = "127.0.0.1:0", 100
	proxy, err := startChild(r, &address)
	if err != nil {
		return Figures{}, err
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	send := func(worker, n int) error {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/search/1", nil)
		if err != nil {
			return err
		}
		req.Header.Set("X-Request-ID", fmt.Sprintf("%d-%d", worker, n))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %s", r.Part, resp.Status)
		}
		return nil
	}
	var before usage
	latencies, err := closedLoop(connections, calls/5, calls, send, func() (err error) {
		before, err = proxy.used()
		return err
	})
	after, usedErr := proxy.used()
	return figures(before, after, latencies), errors.Join(err, usedErr, proxy.stop())
}
