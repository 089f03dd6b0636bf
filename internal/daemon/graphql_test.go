package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

const graphqlFile = `
[log]
level = "error"
[limits]
memory = "192MiB"
descriptors = 1024
[[service]]
name = "seats"
addresses = [%s]
[[service.class]]
name = "search"
effect = "safe"
deadline = "%[2]s"
[[service.class]]
name = "confirm"
effect = "unsafe"
deadline = "%[2]s"
[[service.class]]
name = "record"
effect = "keyed"
window = "6s"
deadline = "%[2]s"
[[graphql]]
match = "/graphql"
query = "search"
mutation = "confirm"
failing_codes = ["SERVICE_UNAVAILABLE"]
not_run_codes = ["OVERLOADED"]
persisted = "automatic"
[[graphql.field]]
name = "Mutation.record"
class = "record"
key = "requestId"
`

// graphqlRig is a daemon with an endpoint before stand-in nodes.
type graphqlRig struct {
	*fileRig
	nodes  []*fakes.Node
	ledger *fakes.Ledger
	file   string
}

func startGraphQL(t *testing.T, deadline string, nodes ...fakes.NodeOptions) *graphqlRig {
	t.Helper()
	r := &graphqlRig{ledger: fakes.NewLedger()}
	var addresses []string
	keys := fakes.NewIdempotencyKeys(6 * time.Second)
	for i, o := range nodes {
		o.Name, o.Ledger, o.Keys, o.Seed = fmt.Sprint("n", i), r.ledger, keys, uint64(i+1)
		n := fakes.NewNode(o)
		t.Cleanup(n.Close)
		at, err := n.ListenGraphQL("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.nodes, addresses = append(r.nodes, n), append(addresses, fmt.Sprintf("%q", at))
	}
	r.file = fmt.Sprintf(graphqlFile, strings.Join(addresses, ", "), deadline)
	r.fileRig = startFile(t, r.file)
	return r
}

// post asks, and returns the status, the head and the body.
func (r *graphqlRig) post(ctx context.Context, body string, headers ...string) (int, http.Header, string) {
	return r.ask(ctx, "POST", "/graphql", body, append([]string{"Content-Type", "application/json"}, headers...)...)
}

func (r *graphqlRig) ask(ctx context.Context, method, target, body string, headers ...string) (int, http.Header, string) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.address+target, strings.NewReader(body))
	if err != nil {
		return 0, nil, err.Error()
	}
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(q)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(text)
}

func op(query string) string { return fmt.Sprintf(`{"query":%q}`, query) }

// codes are the codes of an answer, or of each entry of a batch's; "ok" where there is data.
func codes(t *testing.T, body string) (out []string) {
	t.Helper()
	var list []json.RawMessage
	if json.Unmarshal([]byte(body), &list) != nil {
		list = []json.RawMessage{json.RawMessage(body)}
	}
	for _, raw := range list {
		var a struct {
			Data   map[string]string
			Errors []struct{ Extensions struct{ Code string } }
		}
		switch err := json.Unmarshal(raw, &a); {
		case err != nil:
			t.Fatalf("%v: %s", err, raw)
		case len(a.Errors) > 0:
			out = append(out, a.Errors[0].Extensions.Code)
		case a.Data != nil:
			out = append(out, "ok")
		}
	}
	return out
}

// The published protocol: methods, media types, statuses by them, persisted queries, and what is turned down.
func TestGraphQLOverHTTP(t *testing.T) {
	r := startGraphQL(t, "10s", fakes.NodeOptions{})
	hash := strings.Repeat("0", 64)
	get := func(query string) string { return "/graphql?query=" + url.QueryEscape(query) }
	for _, c := range []struct {
		method, target, body string
		headers              []string
		status               int
		code                 string
	}{
		{"POST", "/graphql", op(`{seats}`), nil, 200, "ok"},
		{"POST", "/graphql", op(`mutation{confirm(id:"a")}`), nil, 200, "ok"},
		{"POST", "/graphql?trace=1", op(`{seats}`), nil, 200, "ok"},
		{"POST", "/graphql?query={seats}", op(`{seats}`), nil, 400, "BAD_REQUEST"},
		{"GET", get(`{seats}`), "", nil, 200, "ok"},
		{"GET", get(`mutation{confirm(id:"b")}`), "", nil, 405, "BAD_REQUEST"},
		{"GET", get(`{seats}`), "{}", []string{"Accept", "application/json"}, 400, ""},
		{"HEAD", get(`{seats}`), "", nil, 405, ""},
		{"PUT", "/graphql", op(`{seats}`), nil, 405, "BAD_REQUEST"},
		{"POST", "/graphql", op(`{seats}`), []string{"Content-Type", "text/plain"}, 415, "BAD_REQUEST"},
		{"POST", "/graphql", op(`{seats}`), []string{"Content-Encoding", "gzip"}, 415, "BAD_REQUEST"},
		{"POST", "/graphql", op(`{seats}`), []string{"Accept", "text/html"}, 406, "BAD_REQUEST"},
		{"POST", "/graphql", op(`{seats`), nil, 400, "GRAPHQL_PARSE_FAILED"},
		{"POST", "/graphql", op(`{seats`), []string{"Accept", "application/json"}, 200, "GRAPHQL_PARSE_FAILED"},
		{"POST", "/graphql", `{"query":`, []string{"Accept", "application/json"}, 400, "BAD_REQUEST"},
		{"POST", "/graphql", op(`subscription{changed}`), nil, 400, "SUBSCRIPTION_NOT_SUPPORTED"},
		{"POST", "/graphql", `{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + hash + `"}}}`, []string{"Accept", "application/json"},
			200, "PERSISTED_QUERY_NOT_FOUND"},
		{"POST", "/graphql", `{"query":"{seats}","operationName":"x","OperationName":"y"}`, nil, 400, "BAD_REQUEST"},
		{"POST", "/graphql", `[` + op(`{seats}`) + `,` + op(`{`) + `,7]`, nil, 200, "ok GRAPHQL_PARSE_FAILED BAD_REQUEST"},
		{"POST", "/graphql", strings.Repeat("x", 65<<10), nil, 413, ""},
		{"POST", "/graphql/", op(`{seats}`), nil, 404, ""},
	} {
		h := append([]string{}, c.headers...)
		if c.method != "GET" {
			h = append([]string{"Content-Type", "application/json"}, h...)
		}
		status, head, body := r.ask(t.Context(), c.method, c.target, c.body, h...)
		if status != c.status {
			t.Errorf("%s %s %.80s %v: %d %s, want %d", c.method, c.target, c.body, c.headers, status, body, c.status)
			continue
		}
		if c.code != "" {
			if got := strings.Join(codes(t, body), " "); got != c.code {
				t.Errorf("%s %s %.80s: %s, want %s", c.method, c.target, c.body, got, c.code)
			}
		}
		if status == 405 && head.Get("Allow") == "" {
			t.Errorf("%s %s: no Allow", c.method, c.target)
		}
	}
	if got := r.ledger.Operation("b").Executions; len(got) > 0 {
		t.Error("a mutation ran by GET")
	}
}

// A mutation that was sent and not answered in time: one answer at its deadline that says it may have run, and no second run.
// One that is proved not to have run goes to another node, by whatever word, and a query goes to another after any failure.
func TestGraphQLOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		fault fakes.FaultKind
		want  string // what a client of a mutation gets, where every node is struck
		moves bool   // else it is answered by another
	}{
		"says nothing":    {fakes.LoseAnswer, "502 UPSTREAM_FAILED", false},
		"no JSON":         {fakes.Malformed, "502 UPSTREAM_FAILED", false},
		"500":             {fakes.Fail, "502 UPSTREAM_FAILED", false},
		"errors, failing": {fakes.ErrorExecuted, "502 SERVICE_UNAVAILABLE", false},
		"errors, not run": {fakes.ErrorNotExecuted, "503 REFUSED", true},
		"turned away":     {fakes.Reject, "503 REFUSED", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			of := func(class string) fakes.NodeOptions {
				return fakes.NodeOptions{Faults: []fakes.Fault{{Kind: c.fault, Class: class}}}
			}
			alone := startGraphQL(t, "700ms", of("mutation"))
			begun := time.Now()
			status, head, body := alone.post(t.Context(), op(`mutation{confirm(id:"x")}`))
			if got := fmt.Sprint(status, " ", codes(t, body)[0]); got != c.want || time.Since(begun) > 5*time.Second {
				t.Errorf("%s after %v: %s, want %s", got, time.Since(begun), body, c.want)
			}
			if status == 503 != (head.Get("Retry-After") != "") {
				t.Errorf("%d with Retry-After %q", status, head.Get("Retry-After"))
			}
			if runs := len(alone.ledger.Operation("x").Executions); (runs > 0) == c.moves || runs > 1 {
				t.Errorf("%d runs", runs)
			}
			if says := strings.Contains(body, `"mayHaveRun":true`); says != (c.want == "502 UPSTREAM_FAILED") {
				t.Errorf("it says %s", body)
			}
			two := startGraphQL(t, "700ms", of(""), fakes.NodeOptions{})
			missed := 0
			for i := range 20 {
				id := fmt.Sprint("m", i)
				if status, _, _ := two.post(t.Context(), op(`{seats}`)); status != 200 {
					missed++
				}
				if status, _, body := two.post(t.Context(), op(fmt.Sprintf(`mutation{confirm(id:%q)}`, id))); c.moves && status != 200 {
					t.Errorf("mutation %d: %d %s", i, status, body)
				}
				if runs := len(two.ledger.Operation(id).Executions); runs > 1 {
					t.Errorf("%s: %d runs", id, runs)
				}
			}
			if missed > 2 { // the first that meets silence may be refused: nothing is known yet of how long a query takes
				t.Errorf("%d queries of 20 are not answered", missed)
			}
		})
	}
}

// A batch: its entries go by their own classes, its mutations in order and one at a time; a node that breaks off, drains or says
// nothing costs the entry that it had and the mutations behind it, which are not sent, and no other.
func TestGraphQLBatch(t *testing.T) {
	var order []string
	var mu sync.Mutex
	out := 0
	behave := func(string) string { return "" }
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		text, _ := io.ReadAll(q.Body)
		name := ""
		for _, n := range []string{"m0", "m1", "m2", "q0", "q1"} {
			if strings.Contains(string(text), n) {
				name = n
			}
		}
		mu.Lock()
		how := behave(name)
		if order = append(order, name); name[0] == 'm' {
			if out++; out > 1 {
				t.Error("two mutations of a batch at once")
			}
		}
		mu.Unlock()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			if name[0] == 'm' {
				out--
			}
		}()
		switch how {
		case "break":
			panic(http.ErrAbortHandler)
		case "away":
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(503)
		case "silent":
			<-q.Context().Done()
		case "plain":
			w.WriteHeader(401)
		case "large":
			_, _ = fmt.Fprintf(w, `{"data":{%q:%q}}`, name, strings.Repeat("x", 400<<10))
		default:
			_, _ = fmt.Fprintf(w, `{"data":{%q:"x"}}`, name)
		}
	})
	r := &graphqlRig{file: fmt.Sprintf(graphqlFile, fmt.Sprintf("%q", upstream), "600ms")}
	r.fileRig = startFile(t, r.file)
	entry := func(name string) string {
		if name[0] == 'm' {
			return op("mutation{" + name + "}")
		}
		return op("{" + name + "}")
	}
	for _, c := range []struct {
		names  string
		faults map[string]string
		want   string
		status int
		sent   string // mutations that reached the node
	}{
		{"q0 m0 q1 m1 m2", nil, "ok ok ok ok ok", 200, "m0 m1 m2"},
		{"m0 q0 m1", map[string]string{"m0": "break"}, "UPSTREAM_FAILED ok NOT_SENT", 200, "m0"},
		{"m0 q0 m1 m2", map[string]string{"m1": "silent"}, "ok ok UPSTREAM_FAILED NOT_SENT", 200, "m0 m1"},
		{"q0 m0", map[string]string{"m0": "plain"}, "ok UPSTREAM_ANSWER", 200, "m0"},
		{"m0", map[string]string{"m0": "break"}, "UPSTREAM_FAILED", 502, "m0"},
		{"q0 q1", map[string]string{"q0": "large", "q1": "large"}, "ok ok", 200, ""},
		{"q0 q1 m0", map[string]string{"q0": "large", "q1": "large", "m0": "large"}, "ok ok ANSWER_TOO_LARGE", 200, "m0"},
	} {
		// A mutation that was given up on ends at its upstream a moment after its batch is answered, and is none of the next one's.
		testutil.Eventually(t, "the last batch's mutations have ended at the upstream", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return out == 0
		})
		mu.Lock()
		order, behave = nil, func(n string) string { return c.faults[n] }
		mu.Unlock()
		var parts []string
		for _, n := range strings.Fields(c.names) {
			parts = append(parts, entry(n))
		}
		status, _, body := r.post(t.Context(), "["+strings.Join(parts, ",")+"]")
		got := codes(t, body)
		for i, n := range strings.Fields(c.names) { // whose order is the batch's
			if got[i] == "ok" && !strings.Contains(body, `"`+n+`"`) {
				t.Errorf("%s: %s is not there: %s", c.names, n, body)
			}
		}
		if c.faults["q1"] == "large" { // queries and mutations race, and the last one finds no room
			slices.Sort(got)
			slices.Reverse(got)
		}
		if s := strings.Join(got, " "); status != c.status || s != c.want {
			t.Errorf("%s %v: %d %s, want %d %s", c.names, c.faults, status, s, c.status, c.want)
		}
		mu.Lock()
		var sent []string
		for _, n := range order {
			if n[0] == 'm' {
				sent = append(sent, n)
			}
		}
		if s := strings.Join(sent, " "); s != c.sent {
			t.Errorf("%s %v: %s reached the node, want %s", c.names, c.faults, s, c.sent)
		}
		mu.Unlock()
	}
}

// A node that goes between two mutations of a batch gets no more of it.
func TestGraphQLNodeGoesMidBatch(t *testing.T) {
	var r *graphqlRig
	var addresses [2]string
	var mu sync.Mutex
	var got []int
	for i := range addresses {
		addresses[i] = base.HTTP(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if got = append(got, i); len(got) == 1 { // it goes while it has the first
				if err := r.reload(t, fmt.Sprintf(graphqlFile, fmt.Sprintf("%q", addresses[1-i]), "5s")); err != nil {
					t.Error(err)
				}
			}
			_, _ = w.Write([]byte(`{"data":{"a":"x"}}`))
		})
	}
	r = &graphqlRig{file: fmt.Sprintf(graphqlFile, fmt.Sprintf("%q, %q", addresses[0], addresses[1]), "5s")}
	r.fileRig = startFile(t, r.file)
	status, _, body := r.post(t.Context(), "["+strings.Repeat(op("mutation{a}")+",", 4)+op("mutation{a}")+"]")
	if s := strings.Join(codes(t, body), " "); status != 200 || s != "ok ok ok ok ok" {
		t.Errorf("%d %s", status, body)
	}
	if len(got) != 5 || slices.Contains(got[1:], got[0]) {
		t.Errorf("the nodes that got them: %v", got)
	}
}

// A query whose client leaves while its second copy runs leaves nothing behind.
func TestGraphQLClientLeaves(t *testing.T) {
	lost := fakes.NodeOptions{Cores: 4, DefaultServiceTime: time.Millisecond, Faults: []fakes.Fault{{Kind: fakes.LoseAnswer, Class: "query", From: 300 * time.Millisecond}}}
	r := startGraphQL(t, "20s", lost, lost, lost)
	leaves, leave := context.WithCancel(t.Context())
	defer leave()
	var wg sync.WaitGroup
	const clients = 8
	for range clients {
		wg.Go(func() {
			for leaves.Err() == nil {
				r.post(leaves, op("{seats}"))
			}
		})
	}
	testutil.Eventually(t, "copies run beside hanging queries", func() bool { return copies(r) > clients })
	leave()
	wg.Wait()
	if status, _, body := r.post(t.Context(), op(`mutation{confirm(id:"a")}`)); status != 200 {
		t.Errorf("%d %s", status, body)
	}
}

// copies is how many attempts are out.
func copies(r *graphqlRig) (n int) {
	for _, u := range r.d.routing.Load().services["seats"].engine.View() {
		n += u.Pending
	}
	return n
}

// A reload that changes an endpoint's classes counts for what comes then, and a file that can't be used changes nothing; what
// has been learnt stays where the endpoint does.
func TestGraphQLReload(t *testing.T) {
	r := startGraphQL(t, "10s", fakes.NodeOptions{})
	ask := func() int {
		status, _, _ := r.post(t.Context(), op(`{seats}`))
		return status
	}
	before := r.d.routing.Load()
	if err := r.reload(t, r.file+"\n# the same\n"); err != nil || ask() != 200 {
		t.Fatal(err)
	}
	for print, e := range before.graphql {
		if r.d.routing.Load().graphql[print] != e {
			t.Error("an endpoint that stays is made anew")
		}
	}
	for bad, change := range map[string][2]string{"no class": {`query = "search"`, `query = "gone"`}, "no such file": {`persisted = "automatic"`, `schema = "/nowhere/s.graphql"`},
		"known": {`persisted = "automatic"`, `persisted = "known"`}, "one path": {`match = "/graphql"`, `match = "/graphql/{x}"`}} {
		if err := r.reload(t, strings.Replace(r.file, change[0], change[1], 1)); err == nil || ask() != 200 {
			t.Errorf("%s: %v", bad, err)
		}
	}
	schema := base.File(t, "s.graphql", []byte("type Query { coach: String } type Mutation { record(requestId: String!): String }"))
	if err := r.reload(t, strings.Replace(r.file, `persisted = "automatic"`, fmt.Sprintf("schema = %q", schema), 1)); err != nil || ask() != 400 {
		t.Errorf("by its schema: %v, %d", err, ask())
	}
}

// The proof by count: at least 10,000 injected failures of every kind, with clients that try again as they do in service: a
// query after any failure, a mutation only where the answer says that it has not run. No mutation runs twice, and every
// request has one answer.
func TestGraphQLNothingRunsTwice(t *testing.T) {
	var nodes []fakes.NodeOptions
	for n := range 6 {
		o := fakes.NodeOptions{Cores: 16}
		for k := fakes.Reject; k <= fakes.GoAway; k++ {
			share := 0.04
			if k == fakes.LoseAnswer || k == fakes.Hang {
				share = 0.01 // each costs its caller the whole deadline
			}
			o.Faults = append(o.Faults, fakes.Fault{Kind: k, Share: share})
		}
		o.Faults = append(o.Faults, fakes.Fault{Kind: fakes.Freeze, From: time.Duration(n) * 70 * time.Millisecond, Every: time.Second, For: 60 * time.Millisecond})
		nodes = append(nodes, o)
	}
	r := startGraphQL(t, "300ms", nodes...)
	r.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 128
	failures := func() (sum int) {
		for _, c := range r.ledger.Nodes() {
			sum += c.Faults
		}
		return sum
	}
	var ended atomic.Bool
	time.AfterFunc(150*time.Second, func() { ended.Store(true) })
	var served, refused, failed, odd, queries, lost atomic.Int64
	var wg sync.WaitGroup
	for worker := range 48 {
		wg.Go(func() {
			for n := 0; !ended.Load() && failures() < 10000; n++ {
				id := fmt.Sprintf("%d-%d", worker, n)
				todo := []string{op(fmt.Sprintf(`{seats(near:%q)}`, id)), op(fmt.Sprintf(`mutation{confirm(id:"c%s")}`, id)),
					op(fmt.Sprintf(`mutation{record(requestId:"r%s")}`, id)), op(fmt.Sprintf(`mutation{confirm(id:"d%s")}`, id))}
				batch := n%4 == 3
				if !batch {
					todo = todo[n%4 : n%4+1]
				}
				for try := 0; try < 4 && len(todo) > 0; try++ {
					asked, body := todo, todo[0]
					if batch {
						body = "[" + strings.Join(todo, ",") + "]"
					}
					status, _, text := r.post(context.Background(), body)
					if status != 200 && status != 502 && status != 503 {
						odd.Add(1)
						break
					}
					var left []string
					for i, code := range codes(t, text) {
						query := strings.Contains(asked[i], "seats")
						if query && try == 0 {
							queries.Add(1)
						}
						switch code {
						case "ok":
							served.Add(1)
						case "REFUSED", "NOT_SENT":
							refused.Add(1)
							left = append(left, asked[i])
						default:
							failed.Add(1)
							if query {
								left = append(left, asked[i])
							}
						}
						if query && code != "ok" && try == 3 {
							lost.Add(1)
						}
					}
					todo = left
				}
			}
		})
	}
	wg.Wait()
	if twice := r.ledger.ExecutedTwice("mutation"); len(twice) > 0 {
		t.Errorf("%d mutations ran twice: %v", len(twice), twice[:min(5, len(twice))])
	}
	if n := failures(); n < 10000 {
		t.Errorf("only %d failures in the time", n)
	}
	if odd.Load() > 0 {
		t.Errorf("%d answers of another kind", odd.Load())
	}
	if part := float64(lost.Load()) / float64(queries.Load()); part > 0.05 {
		t.Errorf("%.3f of the queries have no answer after four tries", part)
	}
	t.Logf("%d faults; %d mutations ran; %d served, %d refused, %d failed; queries %d, lost %d", failures(), r.ledger.Operations("mutation"),
		served.Load(), refused.Load(), failed.Load(), queries.Load(), lost.Load())
	testutil.Eventually(t, "nothing is left in hand", func() bool { return r.d.routing.Load().services["seats"].engine.InFlight() == 0 })
}

// Guards against a keyed operation that runs and is taken for one that was never sent: its attempts are made on behalf of its key, apart
// from the request, and count as well. A reload takes its endpoint and the store away while a node has it, then that node dies: the
// operation is not decided anew by the new file, which knows nothing of its key.
func TestGraphQLKeyedIsNotDecidedAnew(t *testing.T) {
	busy := fakes.NodeOptions{DefaultServiceTime: time.Hour}
	r := startGraphQL(t, "10s", busy, busy)
	if err := r.reload(t, r.file+"[[repeats]]\nservice = \"seats\"\n"); err != nil {
		t.Fatal(err)
	}
	arrived := func() (at []int) {
		counts := r.ledger.Nodes()
		for i := range r.nodes {
			for range counts[fmt.Sprint("n", i)].Arrived {
				at = append(at, i)
			}
		}
		return at
	}
	got := make(chan string, 1)
	go func() {
		status, _, body := r.post(context.Background(), op(`mutation{record(requestId:"k")}`))
		got <- fmt.Sprint(status, " ", body)
	}()
	testutil.Eventually(t, "a node has it", func() bool { return len(arrived()) == 1 })
	if err := r.reload(t, strings.Replace(r.file, `["SERVICE_UNAVAILABLE"]`, `["GONE"]`, 1)); err != nil {
		t.Fatal(err)
	}
	r.nodes[arrived()[0]].Kill()
	if answer := <-got; strings.HasPrefix(answer, "200") || !strings.Contains(answer, `"mayHaveRun":true`) {
		t.Errorf("the client is told %s", answer)
	}
	if at := arrived(); len(at) != 1 {
		t.Errorf("it was sent to %v", at)
	}
}
