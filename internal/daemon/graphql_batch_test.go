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
		got := resultCodes(t, body)
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
	status, _, body := r.post(t.Context(), "["+strings.Repeat(operationJSON("mutation{a}")+",", 4)+operationJSON("mutation{a}")+"]")
	if s := strings.Join(resultCodes(t, body), " "); status != 200 || s != "ok ok ok ok ok" {
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
				r.post(leaves, operationJSON("{seats}"))
			}
		})
	}
	testutil.Eventually(t, "copies run beside hanging queries", func() bool { return attemptsInFlight(r) > clients })
	leave()
	wg.Wait()
	if status, _, body := r.post(t.Context(), operationJSON(`mutation{confirm(id:"a")}`)); status != 200 {
		t.Errorf("%d %s", status, body)
	}
}
