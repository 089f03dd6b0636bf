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

// attemptsInFlight returns how many attempts are out.
func attemptsInFlight(r *graphqlRig) (n int) {
	for _, u := range r.d.routing.Load().services["seats"].engine.View() {
		n += u.Pending
	}
	return n
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
				todo := []string{operationJSON(fmt.Sprintf(`{seats(near:%q)}`, id)), operationJSON(fmt.Sprintf(`mutation{confirm(id:"c%s")}`, id)),
					operationJSON(fmt.Sprintf(`mutation{record(requestId:"r%s")}`, id)), operationJSON(fmt.Sprintf(`mutation{confirm(id:"d%s")}`, id))}
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
					for i, code := range resultCodes(t, text) {
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
		status, _, body := r.post(context.Background(), operationJSON(`mutation{record(requestId:"k")}`))
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
