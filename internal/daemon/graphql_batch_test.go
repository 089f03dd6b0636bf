package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// Tests batches. Each entry is forwarded according to its class, and mutations are forwarded one at a time in the batch's order. If a node
// breaks the connection, does not answer in time or answers 401, the entry that was sent to it fails. Mutations after a broken connection
// or a timeout are not sent. Other entries are not affected.
func TestGraphQLBatch(t *testing.T) {
	var order []string
	var mu sync.Mutex
	inFlight := 0 // mutations
	faultOf := func(string) string { return "" }
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		text, _ := io.ReadAll(q.Body)
		name := ""
		for _, n := range []string{"m0", "m1", "m2", "q0", "q1"} {
			if strings.Contains(string(text), n) {
				name = n
			}
		}
		mu.Lock()
		fault := faultOf(name)
		if order = append(order, name); name[0] == 'm' {
			if inFlight++; inFlight > 1 {
				t.Error("two mutations of a batch were in flight at the same time")
			}
		}
		mu.Unlock()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			if name[0] == 'm' {
				inFlight--
			}
		}()
		switch fault {
		case "break":
			panic(http.ErrAbortHandler)
		case "not processed":
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
			return operationJSON("mutation{" + name + "}")
		}
		return operationJSON("{" + name + "}")
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
		// A mutation that timed out ends at its upstream shortly after its batch has been answered. It must not count for the next batch.
		testutil.Eventually(t, "the last batch's mutations have ended at the upstream", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return inFlight == 0
		})
		mu.Lock()
		order, faultOf = nil, func(n string) string { return c.faults[n] }
		mu.Unlock()
		var parts []string
		for _, n := range strings.Fields(c.names) {
			parts = append(parts, entry(n))
		}
		status, _, body := r.post(t.Context(), "["+strings.Join(parts, ",")+"]")
		got := resultCodes(t, body)
		for i, n := range strings.Fields(c.names) { // answers are in the batch's order
			if got[i] == "ok" && !strings.Contains(body, `"`+n+`"`) {
				t.Errorf("%s: the data of %s is missing in the answer %s", c.names, n, body)
			}
		}
		if c.faults["q1"] == "large" { // the entries run concurrently: whichever answer is last exceeds the batch's size limit
			slices.Sort(got)
			slices.Reverse(got)
		}
		if s := strings.Join(got, " "); status != c.status || s != c.want {
			t.Errorf("%s with faults %v: got %d %s, want %d %s", c.names, c.faults, status, s, c.status, c.want)
		}
		mu.Lock()
		var sent []string
		for _, n := range order {
			if n[0] == 'm' {
				sent = append(sent, n)
			}
		}
		if s := strings.Join(sent, " "); s != c.sent {
			t.Errorf("%s with faults %v: the mutations that reached the node are [%s], want [%s]", c.names, c.faults, s, c.sent)
		}
		mu.Unlock()
	}
}

// Tests that a node that is removed while it executes a mutation of a batch gets no further mutations of that batch.
func TestGraphQLNodeGoesMidBatch(t *testing.T) {
	var r *graphqlRig
	var addresses [2]string
	var mu sync.Mutex
	var nodes []int // the nodes that received the mutations, in order
	for i := range addresses {
		addresses[i] = base.HTTP(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if nodes = append(nodes, i); len(nodes) == 1 { // the node is removed while it executes the first mutation
				if err := r.reload(t, fmt.Sprintf(graphqlFile, fmt.Sprintf("%q", addresses[1-i]), "5s")); err != nil {
					t.Error(err)
				}
			}
			_, _ = w.Write([]byte(`{"data":{"a":"x"}}`))
		})
	}
	r = &graphqlRig{file: fmt.Sprintf(graphqlFile, fmt.Sprintf("%q, %q", addresses[0], addresses[1]), "5s")}
	r.fileRig = startFile(t, r.file)
	status, _, body := r.post(t.Context(), "["+strings.Repeat(operationJSON("mutation{a}")+",", 4)+operationJSON("mutation{a}")+"]")
	if s := strings.Join(resultCodes(t, body), " "); status != 200 || s != "ok ok ok ok ok" {
		t.Errorf("the batch was answered %d %s, want 200 and five entries with data", status, body)
	}
	if len(nodes) != 5 || slices.Contains(nodes[1:], nodes[0]) {
		t.Errorf("the mutations were sent to the nodes %v, want five mutations, and only the first at the removed node", nodes)
	}
}

// Guards against a later request that fails because of queries whose clients disconnected while hedged requests were in flight.
func TestGraphQLClientLeaves(t *testing.T) {
	unresponsive := fakes.NodeOptions{Cores: 4, DefaultServiceTime: time.Millisecond, Faults: []fakes.Fault{{Kind: fakes.LoseAnswer, Class: "query", From: 300 * time.Millisecond}}}
	r := startGraphQL(t, "20s", unresponsive, unresponsive, unresponsive)
	clientContext, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	var wg sync.WaitGroup
	const clients = 8
	for range clients {
		wg.Go(func() {
			for clientContext.Err() == nil {
				r.post(clientContext, operationJSON("{seats}"))
			}
		})
	}
	testutil.Eventually(t, "hedged requests run beside the unanswered queries", func() bool { return attemptsInFlight(r) > clients })
	disconnect()
	wg.Wait()
	if status, _, body := r.post(t.Context(), operationJSON(`mutation{confirm(id:"a")}`)); status != 200 {
		t.Errorf("a mutation after the clients disconnected was answered %d %s, want 200", status, body)
	}
}
