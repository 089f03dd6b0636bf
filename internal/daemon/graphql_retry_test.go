package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
)

// attemptsInFlight returns the number of attempts that are in flight at the service's endpoints.
func attemptsInFlight(r *graphqlRig) (n int) {
	for _, u := range r.d.routing.Load().services["seats"].engine.View() {
		n += u.Pending
	}
	return n
}

// Guards against a mutation that runs twice. The nodes inject at least 10,000 faults in total, of every kind. Clients retry as in
// production: a query after any failure, a mutation only if the answer says that it has not run. Every request must be
// answered.
func TestGraphQLNothingRunsTwice(t *testing.T) {
	var nodes []fakes.NodeOptions
	for n := range 6 {
		o := fakes.NodeOptions{Cores: 16}
		for k := fakes.Reject; k <= fakes.GoAway; k++ {
			share := 0.04
			if k == fakes.LoseAnswer || k == fakes.Hang {
				share = 0.01 // rarer than other faults, since the client waits until the deadline
			}
			o.Faults = append(o.Faults, fakes.Fault{Kind: k, Share: share})
		}
		o.Faults = append(o.Faults, fakes.Fault{Kind: fakes.Freeze, From: time.Duration(n) * 70 * time.Millisecond, Every: time.Second, For: 60 * time.Millisecond})
		nodes = append(nodes, o)
	}
	r := startGraphQL(t, "300ms", nodes...)
	r.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 128
	countFaults := func() (sum int) {
		for _, c := range r.ledger.Nodes() {
			sum += c.Faults
		}
		return sum
	}
	var timedOut atomic.Bool
	time.AfterFunc(150*time.Second, func() { timedOut.Store(true) })
	var succeeded, rejected, failed, unexpected, queries, unanswered atomic.Int64
	var wg sync.WaitGroup
	for worker := range 48 {
		wg.Go(func() {
			for n := 0; !timedOut.Load() && countFaults() < 10000; n++ {
				id := fmt.Sprintf("%d-%d", worker, n)
				pending := []string{operationJSON(fmt.Sprintf(`{seats(near:%q)}`, id)), operationJSON(fmt.Sprintf(`mutation{confirm(id:"c%s")}`, id)),
					operationJSON(fmt.Sprintf(`mutation{record(requestId:"r%s")}`, id)), operationJSON(fmt.Sprintf(`mutation{confirm(id:"d%s")}`, id))}
				batch := n%4 == 3
				if !batch {
					pending = pending[n%4 : n%4+1]
				}
				for attempt := 0; attempt < 4 && len(pending) > 0; attempt++ {
					sent, body := pending, pending[0]
					if batch {
						body = "[" + strings.Join(pending, ",") + "]"
					}
					status, _, text := r.post(context.Background(), body)
					if status != 200 && status != 502 && status != 503 {
						unexpected.Add(1)
						break
					}
					var toRetry []string
					for i, code := range resultCodes(t, text) {
						query := strings.Contains(sent[i], "seats")
						if query && attempt == 0 {
							queries.Add(1)
						}
						switch code {
						case "ok":
							succeeded.Add(1)
						case "REFUSED", "NOT_SENT":
							rejected.Add(1)
							toRetry = append(toRetry, sent[i])
						default:
							failed.Add(1)
							if query {
								toRetry = append(toRetry, sent[i])
							}
						}
						if query && code != "ok" && attempt == 3 {
							unanswered.Add(1)
						}
					}
					pending = toRetry
				}
			}
		})
	}
	wg.Wait()
	if twice := r.ledger.ExecutedTwice("mutation"); len(twice) > 0 {
		t.Errorf("%d mutations ran twice: %v", len(twice), twice[:min(5, len(twice))])
	}
	if n := countFaults(); n < 10000 {
		t.Errorf("%d faults were injected before the test's time limit, want 10000", n)
	}
	if unexpected.Load() > 0 {
		t.Errorf("%d answers had an unexpected status", unexpected.Load())
	}
	if part := float64(unanswered.Load()) / float64(queries.Load()); part > 0.05 {
		t.Errorf("a fraction of %.3f of the queries failed in all four attempts, want at most 0.05", part)
	}
	t.Logf("%d faults; %d mutations ran; %d succeeded, %d rejected, %d failed; %d queries, %d unanswered", countFaults(), r.ledger.Operations("mutation"),
		succeeded.Load(), rejected.Load(), failed.Load(), queries.Load(), unanswered.Load())
	testutil.Eventually(t, "the engine has no request in flight", func() bool { return r.d.routing.Load().services["seats"].engine.InFlight() == 0 })
}

// Guards against an operation with an idempotency key that may have run and is sent again. The attempts for such an operation are separate
// from the client's request, but must count as sent. While a node executes the operation, a reload changes the GraphQL endpoint and removes
// the key store, and then the node dies. The operation must not be routed again by the new configuration, which does not know its key.
func TestGraphQLKeyedIsNotDecidedAnew(t *testing.T) {
	busy := fakes.NodeOptions{DefaultServiceTime: time.Hour}
	r := startGraphQL(t, "10s", busy, busy)
	if err := r.reload(t, r.file+"[[repeats]]\nservice = \"seats\"\n"); err != nil {
		t.Fatal(err)
	}
	nodesReached := func() (reached []int) {
		counts := r.ledger.Nodes()
		for i := range r.nodes {
			for range counts[fmt.Sprint("n", i)].Arrived {
				reached = append(reached, i)
			}
		}
		return reached
	}
	got := make(chan string, 1)
	go func() {
		status, _, body := r.post(context.Background(), operationJSON(`mutation{record(requestId:"k")}`))
		got <- fmt.Sprint(status, " ", body)
	}()
	testutil.Eventually(t, "a node has the operation", func() bool { return len(nodesReached()) == 1 })
	if err := r.reload(t, strings.Replace(r.file, `["SERVICE_UNAVAILABLE"]`, `["GONE"]`, 1)); err != nil {
		t.Fatal(err)
	}
	r.nodes[nodesReached()[0]].Kill()
	if answer := <-got; strings.HasPrefix(answer, "200") || !strings.Contains(answer, `"mayHaveRun":true`) {
		t.Errorf("the client got %s, want a failure with mayHaveRun", answer)
	}
	if reached := nodesReached(); len(reached) != 1 {
		t.Errorf("the operation was sent to the nodes %v, want one node", reached)
	}
}
