package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/testing/testutil"
	"orchiddrift/internal/testing/testutil/base"
)

// admissionRig is a daemon with admission control and one upstream. The upstream answers one request for each value that it receives from
// respond.
type admissionRig struct {
	*fileRig
	received chan string // receives the path of each request at the upstream, or its tenant if it is a GraphQL request
	respond  chan bool
	mu       sync.Mutex
	results  map[string][]string // by path: the status, with " after" appended if the answer has Retry-After, or "left" if there was no answer
	wg       sync.WaitGroup
}

// admissionFile is a configuration file without admission control, for fmt.Sprintf with the upstream's address.
const admissionFile = `
[log]
level = "error"
[daemon]
grace = "2s"
[[service]]
name = "seats"
addresses = [%q]
retry_after = "20s"
[[service.class]]
name = "read"
effect = "safe"
deadline = "20s"
[[service.class]]
name = "write"
effect = "unsafe"
deadline = "20s"
[[route]]
match = "/"
tenant = "header:X-Tenant-Id"
`

func startAdmission(t *testing.T, table string) *admissionRig {
	t.Helper()
	r := &admissionRig{received: make(chan string, 100), respond: make(chan bool, 100), results: map[string][]string{}}
	stopped := make(chan struct{})
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		path := q.URL.Path
		if path == "/graphql" { // GraphQL requests share one path, so the tenant identifies them
			path = q.Header.Get("X-Tenant-Id")
		}
		r.received <- path
		select {
		case <-r.respond:
		case <-stopped:
		}
		_, _ = w.Write([]byte(`{"data":{}}`))
	})
	r.fileRig = startFile(t, fmt.Sprintf(admissionFile, upstream)+table)
	t.Cleanup(r.wg.Wait)
	t.Cleanup(func() { close(stopped) })
	return r
}

// request starts a request of a tenant for a path. Its result is added to results.
func (r *admissionRig) request(ctx context.Context, tenant, path string) {
	r.wg.Go(func() {
		q, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.address+path, nil)
		if err != nil {
			return
		}
		q.Header.Set("X-Tenant-Id", tenant)
		result := "left"
		if resp, err := r.client.Do(q); err == nil {
			result = strconv.Itoa(resp.StatusCode)
			if retryAfter := resp.Header.Get("Retry-After"); retryAfter != "" {
				result += " after"
			}
			resp.Body.Close()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.results[path] = append(r.results[path], result)
	})
}

func (r *admissionRig) resultsOf(path string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results[path])
}

func (r *admissionRig) stats() admission.Stats {
	queue := r.d.routing.Load().services["seats"].admission.Load()
	if queue == nil {
		return admission.Stats{}
	}
	return queue.Stats()
}

// waitQueued waits until n requests are in the admission queue.
func (r *admissionRig) waitQueued(t *testing.T, n int) {
	t.Helper()
	testutil.Eventually(t, fmt.Sprint(n, " requests are in the admission queue"), func() bool { return r.stats().Queued == n })
}

// nextReceived waits for the next request at the upstream, and returns its path, or its tenant if it is a GraphQL request.
func (r *admissionRig) nextReceived(t *testing.T) string {
	t.Helper()
	select {
	case path := <-r.received:
		return path
	case <-time.After(testutil.Timeout):
		t.Fatal("no further request reached the upstream in time")
		return ""
	}
}

// admissionTable adds admission control with one request in flight and six in the queue.
const admissionTable = "[[door]]\nservice = \"seats\"\nlimit_least = 1\nlimit_most = 1\nwaiting = 6\n"

// Tests the admission queue. A request of a tenant with little traffic is admitted before the requests of a tenant that floods the service.
// If the queue is full, the flooding tenant's newest requests are rejected with Retry-After. A request whose client disconnects leaves the
// queue and is not forwarded. A reload can change tenants' weights, and a reload that removes admission control admits all queued requests.
func TestDoor(t *testing.T) {
	r := startAdmission(t, admissionTable)
	r.request(t.Context(), "flood", "/flood/0")
	if admitted := r.nextReceived(t); admitted != "/flood/0" {
		t.Fatal(admitted)
	}
	for i := range 6 {
		r.request(t.Context(), "flood", fmt.Sprint("/flood/", i+1))
		r.waitQueued(t, i+1)
	}
	r.request(t.Context(), "flood", "/flood/7")
	testutil.Eventually(t, "the flood's newest request is rejected", func() bool { return slices.Equal(r.resultsOf("/flood/7"), []string{"503 after"}) })
	r.request(t.Context(), "quiet", "/quiet")
	testutil.Eventually(t, "the flood's last queued request is rejected in favour of the quiet tenant's", func() bool { return slices.Equal(r.resultsOf("/flood/6"), []string{"503 after"}) })
	r.waitQueued(t, 6)
	r.respond <- true
	if admitted := r.nextReceived(t); admitted != "/quiet" {
		t.Errorf("%s was admitted before the quiet tenant's request", admitted)
	}
	r.waitQueued(t, 5)

	clientContext, disconnect := context.WithCancel(t.Context())
	r.request(clientContext, "quiet", "/leaves")
	r.waitQueued(t, 6)
	disconnect()
	r.waitQueued(t, 5)

	text, err := os.ReadFile(r.path)
	if err != nil {
		t.Fatal(err)
	}
	file := string(text)
	if err := r.reload(t, file+"[[door.weight]]\nname = \"flood\"\nweight = 0\n"); err != nil {
		t.Fatal(err)
	}
	r.request(t.Context(), "other", "/other/1")
	r.waitQueued(t, 6)
	r.respond <- true
	if admitted := r.nextReceived(t); admitted != "/other/1" {
		t.Errorf("%s, of a tenant of weight 0, was admitted before /other/1, of a tenant with a weight", admitted)
	}
	if err := r.reload(t, strings.Replace(file, "waiting = 6", "waiting = 0", 1)); err == nil {
		t.Error("a reload accepted an admission queue of length 0")
	}
	if err := r.reload(t, strings.Replace(file, admissionTable, "", 1)); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if admitted := r.nextReceived(t); !strings.HasPrefix(admitted, "/flood/") {
			t.Errorf("%s was forwarded after admission control was removed, want only the queued requests of the flood", admitted)
		}
	}
	for range 6 {
		r.respond <- true
	}
	for i := range 6 {
		path := fmt.Sprint("/flood/", i)
		testutil.Eventually(t, path, func() bool { return slices.Equal(r.resultsOf(path), []string{"200"}) })
	}
	select {
	case admitted := <-r.received:
		t.Errorf("%s was forwarded in addition to the expected requests", admitted)
	default:
	}
}

// Tests that admission control admits each entry of a GraphQL batch as a separate request.
func TestDoorChargesBatches(t *testing.T) {
	r := startAdmission(t, admissionTable+"[[graphql]]\nmatch = \"/graphql\"\n")
	send := func(tenant, body string) {
		r.wg.Go(func() {
			q, _ := http.NewRequest("POST", "http://"+r.address+"/graphql", strings.NewReader(body)) // the URL is valid
			q.Header.Set("X-Tenant-Id", tenant)
			q.Header.Set("Content-Type", "application/json")
			if resp, err := r.client.Do(q); err != nil || resp.StatusCode != 200 {
				t.Errorf("request of tenant %s: got %v and error %v, want 200", tenant, resp, err)
			} else {
				resp.Body.Close()
			}
		})
	}
	send("flood", "["+strings.Repeat(operationJSON("{a}")+",", 5)+operationJSON("{b}")+"]")
	r.nextReceived(t)
	r.waitQueued(t, 3) // batch_parallel is 4: one entry is at the upstream, three are queued
	send("quiet", operationJSON("{a}"))
	r.waitQueued(t, 4)
	r.respond <- true
	if admitted := r.nextReceived(t); admitted != "quiet" {
		t.Errorf("a request of tenant %s was admitted before the quiet tenant's", admitted)
	}
	for i := range 6 {
		r.respond <- true
		if i < 5 {
			r.nextReceived(t)
		}
	}
}

// Tests that queued requests are still admitted during the grace period after SIGTERM, and that the requests that are left at its end are
// answered too.
func TestDoorDrains(t *testing.T) {
	r := startAdmission(t, admissionTable)
	for i := range 4 {
		r.request(context.Background(), "a", fmt.Sprint("/", i))
		if i == 0 {
			r.nextReceived(t)
		} else {
			r.waitQueued(t, i)
		}
	}
	r.stop()
	r.respond <- true
	r.nextReceived(t) // the next queued request is admitted
	<-r.fileRig.ended
	for i, want := range []string{"200", "502", "503", "503"} {
		path := fmt.Sprint("/", i)
		testutil.Eventually(t, path, func() bool { return slices.Equal(r.resultsOf(path), []string{want}) })
	}
}

// Tests that a client is described by its address and by the name in its certificate: the URI, else the DNS name, else the common name.
func TestWhoOf(t *testing.T) {
	id, err := url.Parse("spiffe://rail/counter/7")
	if err != nil {
		t.Fatal(err)
	}
	named := x509.Certificate{Subject: pkix.Name{CommonName: "cn"}}
	dns := x509.Certificate{Subject: pkix.Name{CommonName: "cn"}, DNSNames: []string{"counter.example.org"}}
	withURI := dns
	withURI.URIs = []*url.URL{id}
	for _, c := range []struct {
		connection *tls.ConnectionState
		want       string
	}{{nil, ""}, {&tls.ConnectionState{}, ""}, {tlsStateOf(&named), "cn"}, {tlsStateOf(&dns), "counter.example.org"}, {tlsStateOf(&withURI), id.String()}} {
		r := &http.Request{RemoteAddr: "192.0.2.9:4711", TLS: c.connection, Header: http.Header{"X-Shop": {"a"}}}
		client := clientOf(r, "acme")
		if client.Certificate() != c.want || client.Peer().String() != "192.0.2.9" || client.Tenant != "acme" || client.Header("x-shop") != "a" {
			t.Errorf("client has certificate name %q and address %v, want %q and 192.0.2.9, or its tenant or X-Shop header is wrong",
				client.Certificate(), client.Peer(), c.want)
		}
	}
	if client := clientOf(&http.Request{RemoteAddr: "@"}, ""); client.Peer().IsValid() {
		t.Error("a request without an IP address got a valid peer address")
	}
}

func tlsStateOf(c *x509.Certificate) *tls.ConnectionState {
	return &tls.ConnectionState{PeerCertificates: []*x509.Certificate{c}}
}
