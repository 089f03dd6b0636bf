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

// admissionRig is a daemon with a door before one upstream, which answers a request when the test lets it.
type admissionRig struct {
	*fileRig
	received chan string // the path of each request that has reached the upstream
	respond  chan bool
	mu       sync.Mutex
	results  map[string][]string // statuses by path
	wg       sync.WaitGroup
}

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
	done := make(chan struct{})
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		at := q.URL.Path
		if at == "/graphql" { // where all have one path
			at = q.Header.Get("X-Tenant-Id")
		}
		r.received <- at
		select {
		case <-r.respond:
		case <-done:
		}
		_, _ = w.Write([]byte(`{"data":{}}`))
	})
	r.fileRig = startFile(t, fmt.Sprintf(admissionFile, upstream)+table)
	t.Cleanup(r.wg.Wait)
	t.Cleanup(func() { close(done) })
	return r
}

// ask has a client of a tenant ask for a path.
func (r *admissionRig) ask(ctx context.Context, tenant, path string) {
	r.wg.Go(func() {
		q, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.address+path, nil)
		if err != nil {
			return
		}
		q.Header.Set("X-Tenant-Id", tenant)
		end := "left"
		if resp, err := r.client.Do(q); err == nil {
			end = strconv.Itoa(resp.StatusCode)
			if after := resp.Header.Get("Retry-After"); after != "" {
				end += " after"
			}
			resp.Body.Close()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.results[path] = append(r.results[path], end)
	})
}

func (r *admissionRig) resultsOf(path string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.results[path])
}

func (r *admissionRig) stats() admission.Stats {
	k := r.d.routing.Load().services["seats"].admission.Load()
	if k == nil {
		return admission.Stats{}
	}
	return k.Stats()
}

// holding waits until so many wait at the door.
func (r *admissionRig) waitQueued(t *testing.T, n int) {
	t.Helper()
	testutil.Eventually(t, fmt.Sprint(n, " wait"), func() bool { return r.stats().Queued == n })
}

func (r *admissionRig) nextReceived(t *testing.T) string {
	t.Helper()
	select {
	case path := <-r.received:
		return path
	case <-time.After(testutil.Timeout):
		t.Fatal("nothing reaches the upstream")
		return ""
	}
}

const admissionTable = "[[door]]\nservice = \"seats\"\nlimit_least = 1\nlimit_most = 1\nwaiting = 6\n"

// A quiet tenant's request goes before the flood's, whose newest is refused with a time to come back; who leaves is taken
// out and never sent; weights count as a reload says, and a door that is taken away lets everybody on.
func TestDoor(t *testing.T) {
	r := startAdmission(t, admissionTable)
	r.ask(t.Context(), "flood", "/flood/0")
	if at := r.nextReceived(t); at != "/flood/0" {
		t.Fatal(at)
	}
	for i := range 6 {
		r.ask(t.Context(), "flood", fmt.Sprint("/flood/", i+1))
		r.waitQueued(t, i+1)
	}
	r.ask(t.Context(), "flood", "/flood/7")
	testutil.Eventually(t, "the flood's newest is refused", func() bool { return slices.Equal(r.resultsOf("/flood/7"), []string{"503 after"}) })
	r.ask(t.Context(), "quiet", "/quiet")
	testutil.Eventually(t, "the flood's last gives way", func() bool { return slices.Equal(r.resultsOf("/flood/6"), []string{"503 after"}) })
	r.waitQueued(t, 6)
	r.respond <- true
	if at := r.nextReceived(t); at != "/quiet" {
		t.Errorf("%s goes before the quiet one", at)
	}
	r.waitQueued(t, 5)

	leaves, leave := context.WithCancel(t.Context())
	r.ask(leaves, "quiet", "/leaves")
	r.waitQueued(t, 6)
	leave()
	r.waitQueued(t, 5)

	text, err := os.ReadFile(r.path)
	if err != nil {
		t.Fatal(err)
	}
	file := string(text)
	if err := r.reload(t, file+"[[door.weight]]\nname = \"flood\"\nweight = 0\n"); err != nil {
		t.Fatal(err)
	}
	r.ask(t.Context(), "other", "/other/1")
	r.waitQueued(t, 6)
	r.respond <- true
	if at := r.nextReceived(t); at != "/other/1" {
		t.Errorf("%s goes before one that has a weight", at)
	}
	if err := r.reload(t, strings.Replace(file, "waiting = 6", "waiting = 0", 1)); err == nil {
		t.Error("a door without room is taken")
	}
	if err := r.reload(t, strings.Replace(file, admissionTable, "", 1)); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if at := r.nextReceived(t); !strings.HasPrefix(at, "/flood/") {
			t.Errorf("%s goes on", at)
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
	case at := <-r.received:
		t.Errorf("%s was sent too", at)
	default:
	}
}

// A batch is charged by its entries: it does not get past the door as one.
func TestDoorChargesBatches(t *testing.T) {
	r := startAdmission(t, admissionTable+"[[graphql]]\nmatch = \"/graphql\"\n")
	ask := func(tenant, body string) {
		r.wg.Go(func() {
			q, _ := http.NewRequest("POST", "http://"+r.address+"/graphql", strings.NewReader(body)) // the URL can be read
			q.Header.Set("X-Tenant-Id", tenant)
			q.Header.Set("Content-Type", "application/json")
			if resp, err := r.client.Do(q); err != nil || resp.StatusCode != 200 {
				t.Errorf("%s: %v %v", tenant, resp, err)
			} else {
				resp.Body.Close()
			}
		})
	}
	ask("flood", "["+strings.Repeat(operationJSON("{a}")+",", 5)+operationJSON("{b}")+"]")
	r.nextReceived(t)
	r.waitQueued(t, 3) // batch_parallel is 4
	ask("quiet", operationJSON("{a}"))
	r.waitQueued(t, 4)
	r.respond <- true
	if at := r.nextReceived(t); at != "quiet" {
		t.Errorf("%s goes before the quiet one", at)
	}
	for i := range 6 {
		r.respond <- true
		if i < 5 {
			r.nextReceived(t)
		}
	}
}

// At SIGTERM who waits goes on while there is time, and gets one answer when there is none.
func TestDoorDrains(t *testing.T) {
	r := startAdmission(t, admissionTable)
	for i := range 4 {
		r.ask(context.Background(), "a", fmt.Sprint("/", i))
		if i == 0 {
			r.nextReceived(t)
		} else {
			r.waitQueued(t, i)
		}
	}
	r.stop()
	r.respond <- true
	r.nextReceived(t) // one more goes on
	<-r.fileRig.ended
	for i, want := range []string{"200", "502", "503", "503"} {
		path := fmt.Sprint("/", i)
		testutil.Eventually(t, path, func() bool { return slices.Equal(r.resultsOf(path), []string{want}) })
	}
}

// A sender is known by its certificate's URI, DNS name or common name, in that order, and by its address.
func TestWhoOf(t *testing.T) {
	id, err := url.Parse("spiffe://rail/counter/7")
	if err != nil {
		t.Fatal(err)
	}
	named := x509.Certificate{Subject: pkix.Name{CommonName: "cn"}}
	dns := x509.Certificate{Subject: pkix.Name{CommonName: "cn"}, DNSNames: []string{"counter.example.org"}}
	both := dns
	both.URIs = []*url.URL{id}
	for _, tt := range []struct {
		from *tls.ConnectionState
		want string
	}{{nil, ""}, {&tls.ConnectionState{}, ""}, {tlsStateOf(&named), "cn"}, {tlsStateOf(&dns), "counter.example.org"}, {tlsStateOf(&both), id.String()}} {
		r := &http.Request{RemoteAddr: "192.0.2.9:4711", TLS: tt.from, Header: http.Header{"X-Shop": {"a"}}}
		who := clientOf(r, "acme")
		if who.Certificate() != tt.want || who.Peer().String() != "192.0.2.9" || who.Tenant != "acme" || who.Header("x-shop") != "a" {
			t.Errorf("%q from %v, for %q", who.Certificate(), who.Peer(), tt.want)
		}
	}
	if who := clientOf(&http.Request{RemoteAddr: "@"}, ""); who.Peer().IsValid() {
		t.Error("an address out of nothing")
	}
}

func tlsStateOf(c *x509.Certificate) *tls.ConnectionState {
	return &tls.ConnectionState{PeerCertificates: []*x509.Certificate{c}}
}
