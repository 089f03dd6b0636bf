package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// graphqlFile is a configuration file with a GraphQL endpoint. It is a format for fmt.Sprintf, whose arguments are the nodes' quoted
// addresses and the classes' deadline.
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

// graphqlRig is a daemon with a GraphQL endpoint in front of fake nodes.
type graphqlRig struct {
	*fileRig
	nodes  []*fakes.Node
	ledger *fakes.Ledger
	file   string // the configuration that the daemon starts with
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

// post sends a JSON body to the GraphQL endpoint, and returns the status, the headers and the body of the answer.
func (r *graphqlRig) post(ctx context.Context, body string, headers ...string) (int, http.Header, string) {
	return r.request(ctx, "POST", "/graphql", body, append([]string{"Content-Type", "application/json"}, headers...)...)
}

func (r *graphqlRig) request(ctx context.Context, method, target, body string, headers ...string) (int, http.Header, string) {
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

// operationJSON returns the JSON body of a request with the query.
func operationJSON(query string) string { return fmt.Sprintf(`{"query":%q}`, query) }

// resultCodes returns the error code of an answer, or of each entry of a batch's answer. The code of an answer with data is "ok".
func resultCodes(t *testing.T, body string) (out []string) {
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

// Tests the GraphQL-over-HTTP protocol: methods, media types, the statuses that depend on them, persisted queries, and rejected requests.
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
		{"POST", "/graphql", operationJSON(`{seats}`), nil, 200, "ok"},
		{"POST", "/graphql", operationJSON(`mutation{confirm(id:"a")}`), nil, 200, "ok"},
		{"POST", "/graphql?trace=1", operationJSON(`{seats}`), nil, 200, "ok"},
		{"POST", "/graphql?query={seats}", operationJSON(`{seats}`), nil, 400, "BAD_REQUEST"},
		{"GET", get(`{seats}`), "", nil, 200, "ok"},
		{"GET", get(`mutation{confirm(id:"b")}`), "", nil, 405, "BAD_REQUEST"},
		{"GET", get(`{seats}`), "{}", []string{"Accept", "application/json"}, 400, ""},
		{"HEAD", get(`{seats}`), "", nil, 405, ""},
		{"PUT", "/graphql", operationJSON(`{seats}`), nil, 405, "BAD_REQUEST"},
		{"POST", "/graphql", operationJSON(`{seats}`), []string{"Content-Type", "text/plain"}, 415, "BAD_REQUEST"},
		{"POST", "/graphql", operationJSON(`{seats}`), []string{"Content-Encoding", "gzip"}, 415, "BAD_REQUEST"},
		{"POST", "/graphql", operationJSON(`{seats}`), []string{"Accept", "text/html"}, 406, "BAD_REQUEST"},
		{"POST", "/graphql", operationJSON(`{seats`), nil, 400, "GRAPHQL_PARSE_FAILED"},
		{"POST", "/graphql", operationJSON(`{seats`), []string{"Accept", "application/json"}, 200, "GRAPHQL_PARSE_FAILED"},
		{"POST", "/graphql", `{"query":`, []string{"Accept", "application/json"}, 400, "BAD_REQUEST"},
		{"POST", "/graphql", operationJSON(`subscription{changed}`), nil, 400, "SUBSCRIPTION_NOT_SUPPORTED"},
		{"POST", "/graphql", `{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"` + hash + `"}}}`, []string{"Accept", "application/json"},
			200, "PERSISTED_QUERY_NOT_FOUND"},
		{"POST", "/graphql", `{"query":"{seats}","operationName":"x","OperationName":"y"}`, nil, 400, "BAD_REQUEST"},
		{"POST", "/graphql", `[` + operationJSON(`{seats}`) + `,` + operationJSON(`{`) + `,7]`, nil, 200, "ok GRAPHQL_PARSE_FAILED BAD_REQUEST"},
		{"POST", "/graphql", strings.Repeat("x", 65<<10), nil, 413, ""},
		{"POST", "/graphql/", operationJSON(`{seats}`), nil, 404, ""},
	} {
		h := append([]string{}, c.headers...)
		if c.method != "GET" {
			h = append([]string{"Content-Type", "application/json"}, h...)
		}
		status, head, body := r.request(t.Context(), c.method, c.target, c.body, h...)
		if status != c.status {
			t.Errorf("%s %s with body %.80s and headers %v: got %d %s, want %d", c.method, c.target, c.body, c.headers, status, body, c.status)
			continue
		}
		if c.code != "" {
			if got := strings.Join(resultCodes(t, body), " "); got != c.code {
				t.Errorf("%s %s with body %.80s: got the codes %s, want %s", c.method, c.target, c.body, got, c.code)
			}
		}
		if status == 405 && head.Get("Allow") == "" {
			t.Errorf("%s %s: the 405 answer has no Allow header", c.method, c.target)
		}
	}
	if got := r.ledger.Operation("b").Executions; len(got) > 0 {
		t.Error("a mutation that was sent by GET ran")
	}
}

// Tests the answers to operations whose nodes fail. If a mutation was sent and has no usable answer by its deadline, the answer to the
// client says that the mutation may have run, and the mutation is not sent again. If a node proves in any form that a mutation has not run,
// the mutation is sent to another node. A query is sent to another node after any failure.
func TestGraphQLOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		fault   fakes.FaultKind
		want    string // the answer to a mutation if the only node has the fault
		retried bool   // a mutation is retried at another node
	}{
		"no answer":      {fakes.LoseAnswer, "502 UPSTREAM_FAILED", false},
		"malformed JSON": {fakes.Malformed, "502 UPSTREAM_FAILED", false},
		"500":            {fakes.Fail, "502 UPSTREAM_FAILED", false},
		"failing code":   {fakes.ErrorExecuted, "502 SERVICE_UNAVAILABLE", false},
		"not-run code":   {fakes.ErrorNotExecuted, "503 REFUSED", true},
		"rejected":       {fakes.Reject, "503 REFUSED", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodeWithFault := func(class string) fakes.NodeOptions {
				return fakes.NodeOptions{Faults: []fakes.Fault{{Kind: c.fault, Class: class}}}
			}
			oneNode := startGraphQL(t, "700ms", nodeWithFault("mutation"))
			startedAt := time.Now()
			status, header, body := oneNode.post(t.Context(), operationJSON(`mutation{confirm(id:"x")}`))
			if got := fmt.Sprint(status, " ", resultCodes(t, body)[0]); got != c.want || time.Since(startedAt) > 5*time.Second {
				t.Errorf("the mutation got %s after %v, with body %s, want %s within 5 s", got, time.Since(startedAt), body, c.want)
			}
			if status == 503 != (header.Get("Retry-After") != "") {
				t.Errorf("status %d has Retry-After %q, want Retry-After with 503 alone", status, header.Get("Retry-After"))
			}
			if runs := len(oneNode.ledger.Operation("x").Executions); (runs > 0) == c.retried || runs > 1 {
				t.Errorf("the mutation ran %d times, want at most 1, and 0 if its node proves that it has not run", runs)
			}
			if mayHaveRun := strings.Contains(body, `"mayHaveRun":true`); mayHaveRun != (c.want == "502 UPSTREAM_FAILED") {
				t.Errorf("mayHaveRun must be true for 502 UPSTREAM_FAILED and for no other answer: got %s", body)
			}
			twoNodes := startGraphQL(t, "700ms", nodeWithFault(""), fakes.NodeOptions{})
			failedQueries := 0
			for i := range 20 {
				id := fmt.Sprint("m", i)
				if status, _, _ := twoNodes.post(t.Context(), operationJSON(`{seats}`)); status != 200 {
					failedQueries++
				}
				if status, _, body := twoNodes.post(t.Context(), operationJSON(fmt.Sprintf(`mutation{confirm(id:%q)}`, id))); c.retried && status != 200 {
					t.Errorf("mutation %d was answered %d %s, want 200 from the node without fault", i, status, body)
				}
				if runs := len(twoNodes.ledger.Operation(id).Executions); runs > 1 {
					t.Errorf("mutation %s ran %d times, want at most 1", id, runs)
				}
			}
			if failedQueries > 2 { // a first query without an answer may fail, since the usual latency of queries is not known yet
				t.Errorf("%d of 20 queries failed, want at most 2", failedQueries)
			}
		})
	}
}

// Tests that a reload applies an endpoint's new settings to later requests, that a reload with an unusable file changes nothing, and that
// an endpoint whose settings stay the same keeps its state.
func TestGraphQLReload(t *testing.T) {
	r := startGraphQL(t, "10s", fakes.NodeOptions{})
	queryStatus := func() int {
		status, _, _ := r.post(t.Context(), operationJSON(`{seats}`))
		return status
	}
	before := r.d.routing.Load()
	if err := r.reload(t, r.file+"\n# the same\n"); err != nil || queryStatus() != 200 {
		t.Fatal(err)
	}
	for fingerprint, e := range before.graphql {
		if r.d.routing.Load().graphql[fingerprint] != e {
			t.Error("a reload without changes replaced an endpoint")
		}
	}
	for name, change := range map[string][2]string{"unknown class": {`query = "search"`, `query = "gone"`}, "missing schema file": {`persisted = "automatic"`, `schema = "/nowhere/s.graphql"`},
		"known without a file": {`persisted = "automatic"`, `persisted = "known"`}, "wildcard in the path": {`match = "/graphql"`, `match = "/graphql/{x}"`}} {
		if err := r.reload(t, strings.Replace(r.file, change[0], change[1], 1)); err == nil || queryStatus() != 200 {
			t.Errorf("%s: the reload returned %v, want an error and requests still answered", name, err)
		}
	}
	schema := base.File(t, "s.graphql", []byte("type Query { coach: String } type Mutation { record(requestId: String!): String }"))
	if err := r.reload(t, strings.Replace(r.file, `persisted = "automatic"`, fmt.Sprintf("schema = %q", schema), 1)); err != nil || queryStatus() != 400 {
		t.Errorf("with a schema that lacks the field: the reload returned %v and the query got %d, want no error and 400", err, queryStatus())
	}
}
