package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"
)

// connectionCounts are the numbers of connections and requests that the nodes counted. The JSON names are the names of the fields.
type connectionCounts struct {
	Open, MostOpen int // numbers of open connections: in total, and of the node with the most connections
	Asked          int // number of nodes that received requests
	Requests       int
	MostRequests   int // number of requests of the node with the most requests
}

// LargeFleet prints the connections that 4 daemons of a fleet of 200 open to 5,000 nodes, for several subset sizes.
func LargeFleet(o Options) error {
	dir, err := os.MkdirTemp("", "orchiddrift-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	const nodes, running, fleet = 5000, 4, 200
	var addresses []string
	nodeProcess, err := startChild(childRole{Part: "manynodes", Nodes: nodes}, &addresses)
	if err != nil {
		return err
	}
	defer func() { _ = nodeProcess.stop() }()
	list := filepath.Join(dir, "list.json")
	if err := writeList(list, addresses[1:]); err != nil {
		return err
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "subset\tdaemons of\tserved\trefused\tnodes asked\tconnections\ta node, most\trequests a node, most/mean\tmost resident\tanonymous\tCPU a request\t")
	for _, minSize := range []int{0, 25, 100} {
		if err := largeFleetRound(w, addresses[0], list, minSize, running, fleet, o.Calls); err != nil {
			return err
		}
	}
	return w.Flush()
}

// writeList writes an endpoint list file with the given addresses.
func writeList(path string, addresses []string) error {
	type entry struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}
	var l struct {
		Endpoints []entry `json:"endpoints"`
	}
	for i, a := range addresses {
		l.Endpoints = append(l.Endpoints, entry{fmt.Sprintf("node-%04d", i), a})
	}
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// largeFleetTotals holds the sums over all daemons of a round.
type largeFleetTotals struct {
	served, rejected int
	cpu              time.Duration
	peak, anonymous  string // memory of the first daemon
}

// largeFleetRound sends requests to each of the daemons in turn, and prints a row while all of them are still running. If minSize is 0, the
// daemons have no subsets.
func largeFleetRound(w io.Writer, control, list string, minSize, running, fleet, calls int) (err error) {
	var children []*child
	defer func() {
		for _, c := range children {
			err = errors.Join(err, c.stop())
		}
	}()
	if _, err := readConnectionCounts(control); err != nil { // resets the counts
		return err
	}
	var totals largeFleetTotals
	for i := range running {
		var address string
		c, err := startChild(childRole{Part: "manydaemon", Dir: list, Nodes: minSize, Workers: fleet, Calls: i * fleet / running}, &address)
		if err != nil {
			return err
		}
		children = append(children, c)
		if err := totals.loadDaemon(c, address, max(200, calls/running)); err != nil {
			return err
		}
		if i == 0 {
			totals.peak, totals.anonymous = c.memory()
		}
	}
	counts, err := readConnectionCounts(control)
	if err != nil {
		return err
	}
	name := fmt.Sprint(minSize)
	if minSize == 0 {
		name = "all 5,000"
	}
	requests := max(1, totals.served+totals.rejected)
	fmt.Fprintf(w, "%s\t%d of %d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%s\t%s\t%v\t\n", name, running, fleet, totals.served, totals.rejected, counts.Asked, counts.Open, counts.MostOpen,
		float64(counts.MostRequests)*float64(max(1, counts.Asked))/float64(max(1, counts.Requests)), totals.peak, totals.anonymous, (totals.cpu / time.Duration(requests)).Round(100*time.Nanosecond))
	return nil
}

// readConnectionCounts returns the number of open connections of the nodes, and the number of their requests since the previous call.
func readConnectionCounts(control string) (counts connectionCounts, err error) {
	resp, err := http.Get("http://" + control + "/")
	if err != nil {
		return counts, err
	}
	defer resp.Body.Close()
	return counts, json.NewDecoder(resp.Body).Decode(&counts)
}

// loadDaemon sends requests to a daemon and adds its answers and its CPU time to the totals.
func (t *largeFleetTotals) loadDaemon(c *child, address string, requests int) error {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	before, err := c.used()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	_, err = closedLoop(8, 0, requests, func(int, int) error {
		resp, err := client.Get("http://" + address + "/")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body) // the body is a few bytes from loopback
		mu.Lock()
		defer mu.Unlock()
		switch resp.StatusCode {
		case http.StatusOK:
			t.served++
		case http.StatusServiceUnavailable:
			t.rejected++
		default:
			return fmt.Errorf("daemon answered %s, want 200 or 503", resp.Status)
		}
		return nil
	}, func() error { return nil })
	after, usedErr := c.used()
	t.cpu += after.CPU - before.CPU
	return errors.Join(err, usedErr)
}

// serveCountingNodes runs all nodes in one process. The first address that it reports is not a node: it serves the connectionCounts and resets
// the request counts.
func (r childRole) serveCountingNodes() error {
	var mu sync.Mutex
	open, requests := map[string]int{}, map[string]int{}
	srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(c net.Conn, s http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch s {
			case http.StateNew:
				open[c.LocalAddr().String()]++
			case http.StateClosed, http.StateHijacked:
				open[c.LocalAddr().String()]--
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			localAddress, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
			mu.Lock()
			requests[localAddress.String()]++
			mu.Unlock()
			_, _ = io.WriteString(w, "ok") // an error means that the client has disconnected
		})}
	defer srv.Close()
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	countsServer := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		var s connectionCounts
		for _, n := range open {
			s.Open, s.MostOpen = s.Open+n, max(s.MostOpen, n)
		}
		for _, n := range requests {
			s.Requests, s.MostRequests = s.Requests+n, max(s.MostRequests, n)
		}
		s.Asked = len(requests)
		clear(requests)
		_ = json.NewEncoder(w).Encode(s) // an error does not matter, because only the parent process calls this address
	})}
	go func() { _ = countsServer.Serve(control) }() // ends with Close
	defer countsServer.Close()
	addresses := []string{control.Addr().String()}
	for range r.Nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = srv.Serve(l) }() // ends with Close
		addresses = append(addresses, l.Addr().String())
	}
	return answerUsage(addresses)
}

// serveSubsetDaemon runs the sidecar with index Calls of a fleet of Workers sidecars. Its subset has at least Nodes upstreams. If Nodes is 0,
// it has no subset.
func (r childRole) serveSubsetDaemon() error {
	text := fmt.Appendf(nil, "[daemon]\nseed = \"%x\"\n[log]\nlevel = \"error\"\n[limits]\nmemory = \"32MiB\"\ndescriptors = 1024\n"+
		"[[service]]\nname = \"many\"\nlist_file = %q\n", r.Calls+1, r.Dir)
	if r.Nodes > 0 {
		text = fmt.Appendf(text, "[service.subset]\non = true\nsidecars = %d\nindex = %d\nleast = %d\nmost = 128\naway = 0.0\n", r.Workers, r.Calls, r.Nodes)
	}
	return serveDaemonFile(text)
}
