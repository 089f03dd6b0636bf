package processes

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil/base"
)

// paymentNode records payments by key.
type paymentNode struct {
	mu   sync.Mutex
	runs map[string]int
	work time.Duration
}

func (n *paymentNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	n.mu.Lock()
	n.runs[key]++
	n.mu.Unlock()
	time.Sleep(n.work)
	_, _ = io.WriteString(w, "paid "+key)
}

// pay sends a payment on a connection of its own, and returns its answer.
func pay(address, key string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/payments/1", strings.NewReader("amount=1"))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Idempotency-Key", key)
	request.Close = true
	response, err := (&http.Client{Timeout: Patience, Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// Payments that were sent again while the sidecar's process was replaced, or behind that, ran twice: keys in memory were not handed over.
func TestReplacementKeepsKeys(t *testing.T) {
	const payments = 16
	node := &paymentNode{runs: map[string]int{}, work: 400 * time.Millisecond}
	upstream := base.HTTP(t, nil, node.ServeHTTP)
	reserved, err := fakes.Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Release()
	file := shutdownFile(reserved.Address, []string{upstream}, "") + `[[service.class]]
name = "record"
effect = "keyed"
group = "zone"
window = "6s"
deadline = "6s"
[[route]]
match = "POST /payments/{id}"
class = "record"
[[repeats]]
service = "web"
keep = "10m"
`
	p := New(t, 1).Process(Spec{Name: "s", Args: []string{"--config", "web.toml"}, Ready: Listening, Files: map[string]string{"web.toml": file}})
	if err := p.Start(within(t, Patience), nil); err != nil {
		t.Fatal(err)
	}
	payAll := func(from, to int) {
		var clients sync.WaitGroup
		for i := from; i < to; i++ {
			key := fmt.Sprint("k", i)
			clients.Go(func() {
				if got := pay(reserved.Address, key); got != "200 paid "+key {
					t.Errorf("payment %s got %q", key, got)
				}
			})
		}
		clients.Wait()
	}
	payAll(0, payments) // answered before the replacement
	var first sync.WaitGroup
	first.Go(func() { payAll(payments, 2*payments) })
	base.Eventually(t, "all payments run", func() bool {
		node.mu.Lock()
		defer node.mu.Unlock()
		return len(node.runs) == 2*payments
	})
	replaced := make(chan error, 1)
	go func() { replaced <- p.Replace(within(t, Patience), nil) }()
	payAll(0, 2*payments) // at either process
	first.Wait()
	if err := <-replaced; err != nil {
		t.Fatal(err)
	}
	payAll(0, 2*payments) // at the successor alone
	for key, runs := range node.runs {
		if runs != 1 {
			t.Errorf("payment %s ran %d times, want once", key, runs)
		}
	}
}
