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

// The GraphQL request of the measurements, its schema and its answer. The request is a seat search of a booking page.
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

// graphqlRequest returns a function that sends a request of a kind and checks the answer. address contains addresses separated by spaces,
// of which each request uses a random one. The kinds are GET, POST, cold (each document is new) and warm (all documents are the same).
func graphqlRequest(client *http.Client, address, kind string) func(worker, n int) error {
	addresses := strings.Split(address, " ")
	return func(worker, n int) error {
		node := addresses[0]
		if len(addresses) > 1 {
			node = addresses[rand.New(rand.NewPCG(uint64(worker), uint64(n))).IntN(len(addresses))]
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
		req, err := http.NewRequest(method, "http://"+node+target, strings.NewReader(body))
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
		answer, err := io.ReadAll(resp.Body)
		if err == nil && (resp.StatusCode != http.StatusOK || string(answer) != graphqlAnswer) {
			err = fmt.Errorf("%s request answered %s with unexpected status or body: %s", kind, resp.Status, answer)
		}
		return err
	}
}

// GraphQL prints the cost of an operation for the daemon, compared with a plain GET, and with a plain POST of the same class and body. It
// then compares the latencies of the daemon with those of a random choice of nodes, where one node in ten is eight times slower. Finally
// it prints the costs of parsing documents.
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

// graphqlConnections is the number of connections of the clients.
const graphqlConnections = 16

// graphqlRound returns the cost of requests of a kind through a daemon process. dir is the folder of its schema. If dir is empty, the
// daemon has no schema.
func graphqlRound(addresses []string, kind, dir string, calls int) (f Figures, err error) {
	var address string
	proxy, err := startChild(childRole{Part: "graphqldaemon", Addresses: addresses, Dir: dir}, &address)
	if err != nil {
		return f, err
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: graphqlConnections}}
	defer client.CloseIdleConnections()
	var before usage
	latencies, err := closedLoop(graphqlConnections, calls/5, calls, graphqlRequest(client, address, kind), func() (err error) {
		before, err = proxy.used()
		return err
	})
	after, usedErr := proxy.used()
	return figures(before, after, latencies), errors.Join(err, usedErr, proxy.stop())
}

// printGraphQLSlowNode prints the latencies of the daemon and of a random choice of nodes, where one node in ten is 8 times slower.
func printGraphQLSlowNode(o Options) error {
	var addresses []string
	nodes, err := startChild(childRole{Part: "nodes", Nodes: 10, Work: 5 * time.Millisecond, Slow: 8, Answer: graphqlAnswer}, &addresses)
	if err != nil {
		return err
	}
	fmt.Fprintln(o.Out)
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "one node in ten 8 times slower\tp50\tp99\tp99 ratio\t")
	var random, throughDaemon []Figures
	slowCalls := max(100, o.Calls/4)
	for range o.Rounds {
		client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
		latencies, err := closedLoop(16, slowCalls/5, slowCalls, graphqlRequest(client, strings.Join(addresses, " "), "warm"), func() error { return nil })
		client.CloseIdleConnections()
		if err != nil {
			return errors.Join(err, nodes.stop())
		}
		random = append(random, figures(usage{}, usage{}, latencies))
		f, err := graphqlRound(addresses, "warm", "", o.Calls)
		if err != nil {
			return errors.Join(err, nodes.stop())
		}
		throughDaemon = append(throughDaemon, f)
	}
	r, m := median(random), median(throughDaemon)
	for _, x := range []struct {
		name string
		f    Figures
	}{{"random choice", r}, {"the daemon", m}} {
		fmt.Fprintf(w, "%s\t%v\t%v\t%.2f\t\n", x.name, x.f.P50.Round(10*time.Microsecond), x.f.P99.Round(10*time.Microsecond), float64(x.f.P99)/float64(r.P99))
	}
	return errors.Join(w.Flush(), nodes.stop())
}

// serveGraphQLDaemon runs a daemon with a plain route and a GraphQL endpoint, which has a schema if Dir is set.
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
