package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"orchiddrift/internal/fakes"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// idempotencyFile is a configuration file whose last table is [[repeats]]. It is a format for fmt.Sprintf, whose arguments are the
// service's endpoints, and the deduplication window and the deadline of class record.
const idempotencyFile = `
[log]
level = "error"
[limits]
memory = "192MiB"
descriptors = 1024
[[service]]
name = "pay"
zone = "a"
%s
[[service.class]]
name = "record"
effect = "keyed"
group = "zone"
window = "%s"
deadline = "%s"
[[service.class]]
name = "read"
effect = "safe"
[[service.class]]
name = "write"
effect = "unsafe"
[[route]]
match = "POST /record/{id}"
class = "record"
tenant = "header:X-Tenant-Id"
[[repeats]]
service = "pay"
`

// pay sends a payment with an idempotency key, and returns the status, the body and the headers of the answer. If there is no answer, the
// status is 0 and the body is the error.
func pay(ctx context.Context, r *fileRig, path, key, body string) (int, string, http.Header) {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), nil
	}
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set(fakes.OperationHeader, key) // the ledger counts how often the operation was executed, over all attempts
	resp, err := r.client.Do(q)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(text), resp.Header
}

// paymentUpstream is an upstream that counts the requests that it receives, and answers each request with the next value from responses.
type paymentUpstream struct {
	address   string
	received  atomic.Int64
	responses chan string // "break" breaks the connection, "not processed" is a 503 with X-Not-Processed, any other value a 200's body
}

func newPaymentUpstream(t *testing.T) *paymentUpstream {
	p := &paymentUpstream{responses: make(chan string, 100)}
	stopped := make(chan struct{})
	p.address = base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		p.received.Add(1)
		select {
		case response := <-p.responses:
			switch response {
			case "break":
				panic(http.ErrAbortHandler)
			case "not processed":
				w.Header().Set("X-Not-Processed", "1")
				w.WriteHeader(503)
				return
			}
			_, _ = w.Write([]byte(response))
		case <-stopped:
		}
	})
	t.Cleanup(func() { close(stopped) })
	return p
}

// file returns a configuration file with this upstream. idempotency is appended to its [[repeats]] table.
func (p *paymentUpstream) file(window, deadline, idempotency string) string {
	return fmt.Sprintf(idempotencyFile, fmt.Sprintf("addresses = [%q]", p.address), window, deadline) + idempotency
}

// Tests idempotency keys. Concurrent requests with one key are executed once, even if the first client disconnects, and later requests get
// the stored answer. A different request with the same key is a conflict. A full store rejects new keys and keeps its stored keys, also
// across a reload that replaces the engine.
func TestRepeats(t *testing.T) {
	p := newPaymentUpstream(t)
	file := p.file("6s", "20s", "entries = 2\ntenant_part = 1.0\nanswer = \"1KiB\"\n")
	r := startFile(t, file)
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 10)
	firstClient, disconnect := context.WithCancel(t.Context())
	go func() {
		status, body, _ := pay(firstClient, r, "/record/1", "k1", "5")
		results <- result{status, body}
	}()
	testutil.Eventually(t, "the payment reaches the upstream", func() bool { return p.received.Load() == 1 })
	for range 3 {
		go func() {
			status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5")
			results <- result{status, body}
		}()
	}
	disconnect()
	if got := <-results; got.status != 0 {
		t.Errorf("the client that disconnected got the answer %v, want none", got)
	}
	if status, _, _ := pay(t.Context(), r, "/record/1", "k1", "6"); status != 422 {
		t.Errorf("a different body with the same key was answered %d, want 422", status)
	}
	p.responses <- "paid"
	for range 3 {
		if got := <-results; got != (result{200, "paid"}) {
			t.Errorf("a concurrent repeat got %v, want 200 paid", got)
		}
	}
	status, body, header := pay(t.Context(), r, "/record/1", "k1", "5")
	if status != 200 || body != "paid" || header.Get("Idempotent-Replayed") != "true" || p.received.Load() != 1 {
		t.Errorf("a later repeat got %d %s with headers %v after %d executions, want a replay of 200 paid", status, body, header, p.received.Load())
	}
	if status, _, _ := pay(t.Context(), r, "/record/2", "k1", "5"); status != 422 {
		t.Errorf("a different path with the same key was answered %d, want 422", status)
	}
	p.responses <- strings.Repeat("x", 2000)
	if status, body, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 200 || len(body) != 2000 {
		t.Errorf("a payment with an answer of 2000 bytes got status %d, or not the complete body; want 200 and 2000 bytes", status)
	}
	if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 409 {
		t.Errorf("the repeat of a payment whose answer is too large to store got %d, want 409", status)
	}
	for range 2 {
		status, _, header = pay(t.Context(), r, "/record/3", "k3", "5")
		if status != 503 || header.Get("Retry-After") == "" || p.received.Load() != 2 {
			t.Errorf("a new key in a full store got %d after %d executions, want 503 with Retry-After after 2", status, p.received.Load())
		}
		if err := r.reload(t, strings.Replace(file, "deadline = \"20s\"", "deadline = \"19s\"", 1)); err != nil { // a new engine
			t.Fatal(err)
		}
	}
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("repeat of a payment with a stored answer after the reload: got %d %s, want 200 paid", status, body)
	}
}

// Tests retries of failed payments. A payment that may have been executed is sent again only within the deduplication window, and only to
// endpoints of the same zone. A payment that is known not to have been executed is treated as new.
func TestRepeatsAfterFailures(t *testing.T) {
	homeZone, otherZone := newPaymentUpstream(t), newPaymentUpstream(t)
	endpoints := fmt.Sprintf("[[service.endpoint]]\nname = \"h\"\naddress = %q\nzone = \"a\"\n[[service.endpoint]]\nname = \"w\"\naddress = %q\nzone = \"b\"\n", homeZone.address, otherZone.address)
	r := startFile(t, fmt.Sprintf(idempotencyFile, "attempts = 1\ncross_zone_price = 50.0\n"+endpoints, "1500ms", "20s"))
	payWithResponse := func(key, response string) (int, string) {
		homeZone.responses <- response
		status, body, _ := pay(t.Context(), r, "/record/1", key, "5")
		return status, body
	}
	if status, _ := payWithResponse("a", "break"); status != 502 {
		t.Errorf("a payment whose connection broke got %d, want 502", status)
	}
	for i := range 5 { // retries go to the zone where the payment may have been executed, even if another zone is idle
		if status, body := payWithResponse(fmt.Sprint("b", i), "break"); status != 502 {
			t.Errorf("a payment whose connection broke got %d %s, want 502", status, body)
		}
		if status, body := payWithResponse(fmt.Sprint("b", i), "paid"); status != 200 || body != "paid" {
			t.Errorf("the retry of a broken payment within the deduplication window got %d %s, want 200 paid", status, body)
		}
	}
	if n := otherZone.received.Load(); n > 0 {
		t.Errorf("%d attempts for payments that may have been executed were sent to the other zone, want 0", n)
	}
	before := homeZone.received.Load()
	time.Sleep(1500 * time.Millisecond) // the deduplication window
	for range 3 {
		if status, _, _ := pay(t.Context(), r, "/record/1", "a", "5"); status != 502 {
			t.Errorf("a retry after the deduplication window got %d, want 502", status)
		}
	}
	if homeZone.received.Load() != before {
		t.Error("a payment that may have been executed was sent again after the deduplication window")
	}
	if status, _ := payWithResponse("c", "not processed"); status != 503 {
		t.Errorf("a payment that the upstream did not process got %d, want 503", status)
	}
	if status, body := payWithResponse("c", "paid"); status != 200 || body != "paid" {
		t.Errorf("the retry of a payment that was not processed got %d %s, want 200 paid", status, body)
	}
}

// The environment variables of a daemon that runs as a child process of this test binary: the path of the daemon's configuration file, the
// step of an execution at which the daemon kills itself, and the size in bytes to which its files may grow.
const childFileEnv, childStepEnv, childSizeEnv = "ORCHIDDRIFT_CHILD_FILE", "ORCHIDDRIFT_CHILD_STEP", "ORCHIDDRIFT_CHILD_SIZE"
