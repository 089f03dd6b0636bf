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

// pay is a payment's try. It returns the status, and the body or a space and whether it is a replay.
func pay(ctx context.Context, r *fileRig, path, key, body string) (int, string, http.Header) {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), nil
	}
	q.Header.Set("Idempotency-Key", key)
	q.Header.Set(fakes.OperationHeader, key) // whose runs the ledger counts, over all tries
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

// paymentUpstream is an upstream that answers when it is let, and counts.
type paymentUpstream struct {
	address   string
	received  atomic.Int64
	responses chan string // "break", "lose", or what it answers
}

func newPaymentUpstream(t *testing.T) *paymentUpstream {
	p := &paymentUpstream{responses: make(chan string, 100)}
	end := make(chan struct{})
	p.address = base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		p.received.Add(1)
		select {
		case how := <-p.responses:
			switch how {
			case "break":
				panic(http.ErrAbortHandler)
			case "away":
				w.Header().Set("X-Not-Processed", "1")
				w.WriteHeader(503)
				return
			}
			_, _ = w.Write([]byte(how))
		case <-end:
		}
	})
	t.Cleanup(func() { close(end) })
	return p
}

func (p *paymentUpstream) file(window, deadline, more string) string {
	return fmt.Sprintf(idempotencyFile, fmt.Sprintf("addresses = [%q]", p.address), window, deadline) + more
}

// Two copies in one instant are one run; its first client's leaving ends nothing; who comes later gets the kept answer; another
// request under the key is a conflict; a full store refuses and knows what it knew, also after a reload that starts the service anew.
func TestRepeats(t *testing.T) {
	p := newPaymentUpstream(t)
	file := p.file("6s", "20s", "entries = 2\ntenant_part = 1.0\nanswer = \"1KiB\"\n")
	r := startFile(t, file)
	type end struct {
		status int
		body   string
	}
	ends := make(chan end, 10)
	leaves, leave := context.WithCancel(t.Context())
	go func() {
		status, body, _ := pay(leaves, r, "/record/1", "k1", "5")
		ends <- end{status, body}
	}()
	testutil.Eventually(t, "it runs", func() bool { return p.received.Load() == 1 })
	for range 3 {
		go func() {
			status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5")
			ends <- end{status, body}
		}()
	}
	leave()
	if e := <-ends; e.status != 0 {
		t.Errorf("who left got %v", e)
	}
	if status, _, _ := pay(t.Context(), r, "/record/1", "k1", "6"); status != 422 {
		t.Errorf("another body: %d", status)
	}
	p.responses <- "paid"
	for range 3 {
		if e := <-ends; e != (end{200, "paid"}) {
			t.Errorf("a repeat got %v", e)
		}
	}
	status, body, head := pay(t.Context(), r, "/record/1", "k1", "5")
	if status != 200 || body != "paid" || head.Get("Idempotent-Replayed") != "true" || p.received.Load() != 1 {
		t.Errorf("%d %s %v, %d runs", status, body, head, p.received.Load())
	}
	if status, _, _ := pay(t.Context(), r, "/record/2", "k1", "5"); status != 422 {
		t.Errorf("another path: %d", status)
	}
	p.responses <- strings.Repeat("x", 2000)
	if status, body, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 200 || len(body) != 2000 {
		t.Errorf("a large answer: %d", status)
	}
	if status, _, _ := pay(t.Context(), r, "/record/2", "k2", "5"); status != 409 {
		t.Errorf("its repeat: %d", status)
	}
	for range 2 {
		status, _, head = pay(t.Context(), r, "/record/3", "k3", "5")
		if status != 503 || head.Get("Retry-After") == "" || p.received.Load() != 2 {
			t.Errorf("beyond the bound: %d, %d runs", status, p.received.Load())
		}
		if err := r.reload(t, strings.Replace(file, "deadline = \"20s\"", "deadline = \"19s\"", 1)); err != nil { // a new engine
			t.Fatal(err)
		}
	}
	if status, body, _ := pay(t.Context(), r, "/record/1", "k1", "5"); status != 200 || body != "paid" {
		t.Errorf("after the reload: %d %s", status, body)
	}
}

// What may have run is sent again within the window, to the nodes of its zone, and never after it; what is proved not to have run
// is as new.
func TestRepeatsAfterFailures(t *testing.T) {
	home, away := newPaymentUpstream(t), newPaymentUpstream(t)
	list := fmt.Sprintf("[[service.endpoint]]\nname = \"h\"\naddress = %q\nzone = \"a\"\n[[service.endpoint]]\nname = \"w\"\naddress = %q\nzone = \"b\"\n", home.address, away.address)
	r := startFile(t, fmt.Sprintf(idempotencyFile, "attempts = 1\ncross_zone_price = 50.0\n"+list, "1500ms", "20s"))
	try := func(key, how string) (int, string) {
		home.responses <- how
		status, body, _ := pay(t.Context(), r, "/record/1", key, "5")
		return status, body
	}
	if status, _ := try("a", "break"); status != 502 {
		t.Errorf("broken: %d", status)
	}
	for i := range 5 { // to the zone where it may have run, whatever else is idle
		if status, body := try(fmt.Sprint("b", i), "break"); status != 502 {
			t.Errorf("broken: %d %s", status, body)
		}
		if status, body := try(fmt.Sprint("b", i), "paid"); status != 200 || body != "paid" {
			t.Errorf("within the window: %d %s", status, body)
		}
	}
	if n := away.received.Load(); n > 0 {
		t.Errorf("%d went to the other zone", n)
	}
	before := home.received.Load()
	time.Sleep(1500 * time.Millisecond) // the window itself
	for range 3 {
		if status, _, _ := pay(t.Context(), r, "/record/1", "a", "5"); status != 502 {
			t.Errorf("after the window: %d", status)
		}
	}
	if home.received.Load() != before {
		t.Error("it was sent after the window")
	}
	if status, _ := try("c", "away"); status != 503 {
		t.Errorf("turned away: %d", status)
	}
	if status, body := try("c", "paid"); status != 200 || body != "paid" {
		t.Errorf("as new: %d %s", status, body)
	}
}

// childFileEnv names the operator's file of a daemon that this binary runs in place of its tests, childStepEnv where it kills itself, and
// childSizeEnv how large its files may grow.
const childFileEnv, childStepEnv, childSizeEnv = "ORCHIDDRIFT_CHILD_FILE", "ORCHIDDRIFT_CHILD_STEP", "ORCHIDDRIFT_CHILD_SIZE"
