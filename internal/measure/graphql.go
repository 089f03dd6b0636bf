package measure

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// The operations of GraphQL: a seat search as a booking page sends it.
const (
	graphqlQuery  = `query SeatSearch($from:String!,$to:String!,$n:Int){seats(from:$from,to:$to,first:$n){id price coach{id name number}departs arrives train{id operator{name}}}}`
	graphqlSchema = `directive @listSize(assumedSize: Int, slicingArguments: [String!], sizedFields: [String!], requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION
type Query { seats(from: String!, to: String!, first: Int): [Seat!]! @listSize(slicingArguments: ["first"]) coach(id: ID!): Coach }
type Seat { id: ID! price: Float coach: Coach departs: String arrives: String train: Train }
type Coach { id: ID! name: String number: Int }
type Train { id: ID! operator: Operator }
type Operator { name: String }
`
	graphqlAnswer = `{"data":{"seats":[{"id":"1","price":12.5,"coach":{"id":"c1","name":"A","number":1},"departs":"08:00","arrives":"12:40","train":{"id":"t","operator":{"name":"o"}}}]}}`
)

// graphqlRequest makes a request to the n-th row's kind of traffic.
func graphqlRequest(client *http.Client, address, kind string) func(worker, n int) error {
	nodes := strings.Split(address, " ")
	return func(worker, n int) error {
		to := nodes[0]
		if len(nodes) > 1 {
			to = nodes[rand.New(rand.NewPCG(uint64(worker), uint64(n))).IntN(len(nodes))]
		}
		method, target, body := http.MethodPost, "/graphql", ""
		switch kind {
		case "GET":
			method, target = http.MethodGet, "/search/1"
		case "cold":
			body = fmt.Sprintf(`{"query":%q,"variables":{"from":"NBO","to":"MSA","n":20}}`, graphqlQuery+"#"+strconv.Itoa(worker)+"."+strconv.Itoa(n))
		default:
			if kind == "POST" {
				target = "/search/1"
			}
			body = fmt.Sprintf(`{"query":%q,"operationName":"SeatSearch","variables":{"from":"NBO","to":"MSA","n":%d}}`, graphqlQuery, 1+n%50)
		}
		req, err := http.NewRequest(method, "http://"+to+target, strings.NewReader(body))
		if err != nil {
			return err
		}
		if body == "" {
			req.Body = nil
		} else {
			req.Header.Set("Content-Type", "application/json")
		}
		req.Header.Set("X-Request-ID", fmt.Sprintf("%d-%d", worker, n))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		if err == nil && (resp.StatusCode != http.StatusOK || string(got) != graphqlAnswer) {
			err = fmt.Errorf("%s: %s %s", kind, resp.Status, got)
		}
		return err
	}
}

// GraphQL prints what an operation costs the daemon beside the same work asked for by a plain GET and by a plain POST of the
// same class and body, and how queries fare where one node in ten is eight times slower, beside a random choice of nodes.
func GraphQL(o Options) error {
	dir, err := os.MkdirTemp("", "orchiddrift-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := os.WriteFile(filepath.Join(dir, "s.graphql"), []byte(graphqlSchema), 0o600); err != nil {
		return err
	}
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 12, Answer: graphqlAnswer}, &addresses)
	if err != nil {
		return err
	}
	rows := []struct{ kind, name, dir string }{{"GET", "GET by a route", ""}, {"POST", "POST by a route", ""}, {"warm", "GraphQL, document known", ""},
		{"warm", "the same, with a schema", dir}, {"cold", "GraphQL, each document new", ""}, {"cold", "the same, with a schema", dir}}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tCPU\tallocations\tp50\tp99\tCPU ratio\tp99 ratio\tCPU beside POST\t")
	all := make([][]Figures, len(rows))
	for range o.Rounds {
		for i, r := range rows {
			f, err := graphqlRound(addresses, r.kind, r.dir, o.Calls)
			if err != nil {
				return errors.Join(err, nodes.stop())
			}
			all[i] = append(all[i], f)
		}
	}
	base, post := median(all[0]), median(all[1])
	for i, r := range rows {
		f := median(all[i])
		fmt.Fprintf(w, "%s\t%v\t%.0f\t%v\t%v\t%.2f\t%.2f\t%+.1f us\t\n", r.name, f.CPU.Round(100*time.Nanosecond), f.Mallocs, f.P50.Round(time.Microsecond),
			f.P99.Round(time.Microsecond), float64(f.CPU)/float64(base.CPU), float64(f.P99)/float64(base.P99), float64(f.CPU-post.CPU)/1e3)
	}
	if err := errors.Join(w.Flush(), nodes.stop()); err != nil {
		return err
	}
	if err := printGraphQLSlowNode(o); err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	return printGraphQLDocuments(o.Out)
}

// graphqlConnections is the number of the clients' connections.
const graphqlConnections = 16

// graphqlRound returns the cost of requests of a kind through a daemon process; dir holds its schema, "": none.
func graphqlRound(addresses []string, kind, dir string, calls int) (f Figures, err error) {
	var address string
	proxy, err := startChild(childRole{Part: "graphqldaemon", Addresses: addresses, Dir: dir}, &address)
	if err != nil {
		return f, err
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: graphqlConnections}}
	defer client.CloseIdleConnections()
	var before usage
	took, err := closedLoop(graphqlConnections, calls/5, calls, graphqlRequest(client, address, kind), func() (err error) {
		before, err = proxy.used()
		return err
	})
	after, usedErr := proxy.used()
	return figures(before, after, took), errors.Join(err, usedErr, proxy.stop())
}

// printGraphQLSlowNode prints latencies through the daemon beside a random choice of nodes, where one node in ten is 8 times slower.
func printGraphQLSlowNode(o Options) error {
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 10, Work: 5 * time.Millisecond, Slow: 8, Answer: graphqlAnswer}, &addresses)
	if err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "one node in ten 8 times slower\tp50\tp99\tp99 ratio\t")
	var random, module []Figures
	slowCalls := max(100, o.Calls/4)
	for range o.Rounds {
		client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
		took, err := closedLoop(16, slowCalls/5, slowCalls, graphqlRequest(client, strings.Join(addresses, " "), "warm"), func() error { return nil })
		client.CloseIdleConnections()
		if err != nil {
			return errors.Join(err, nodes.stop())
		}
		random = append(random, figures(usage{}, usage{}, took))
		f, err := graphqlRound(addresses, "warm", "", o.Calls)
		if err != nil {
			return errors.Join(err, nodes.stop())
		}
		module = append(module, f)
	}
	r, m := median(random), median(module)
	for _, x := range []struct {
		name string
		f    Figures
	}{{"random choice", r}, {"the daemon", m}} {
		fmt.Fprintf(w, "%s\t%v\t%v\t%.2f\t\n", x.name, x.f.P50.Round(10*time.Microsecond), x.f.P99.Round(10*time.Microsecond), float64(x.f.P99)/float64(r.P99))
	}
	return errors.Join(w.Flush(), nodes.stop())
}

// serveGraphQLDaemon is a daemon with a route and an endpoint, which has a schema where Dir is given.
func (r childRole) serveGraphQLDaemon() error {
	text := "[log]\nlevel = \"error\"\n[limits]\nmemory = \"64MiB\"\ndescriptors = 512\n[[service]]\nname = \"s\"\naddresses = ["
	for _, a := range r.Addresses {
		text += strconv.Quote(a) + ","
	}
	text += "]\n[[route]]\nmatch = \"/search/\"\nclass = \"read\"\nrepeats = [\"POST\"]\nid = \"header:X-Request-ID\"\n[[graphql]]\nmatch = \"/graphql\"\n"
	if r.Dir != "" {
		text += fmt.Sprintf("schema = %q\n", filepath.Join(r.Dir, "s.graphql"))
	}
	return serveDaemonFile([]byte(text))
}
