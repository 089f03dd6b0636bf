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

// doorRig is a daemon with a door before one upstream, which answers a request when the test lets it.
type doorRig struct {
	*fileRig
	came   chan string // the path of each request that has reached the upstream
	answer chan bool
	mu     sync.Mutex
	ends   map[string][]string // statuses by path
	wg     sync.WaitGroup
}

const doorFile = `
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

func startDoor(t *testing.T, table string) *doorRig {
	t.Helper()
	r := &doorRig{came: make(chan string, 100), answer: make(chan bool, 100), ends: map[string][]string{}}
	done := make(chan struct{})
	upstream := base.HTTP(t, nil, func(w http.ResponseWriter, q *http.Request) {
		at := q.URL.Path
		if at == "/graphql" { // where all have one path
			at = q.Header.Get("X-Tenant-Id")
		}
		r.came <- at
		select {
		case <-r.answer:
		case <-done:
		}
		_, _ = w.Write([]byte(`{"data":{}}`))
	})
	r.fileRig = startFile(t, fmt.Sprintf(doorFile, upstream)+table)
	t.Cleanup(r.wg.Wait)
	t.Cleanup(func() { close(done) })
	return r
}

// ask has a client of a tenant ask for a path.
func (r *doorRig) ask(ctx context.Context, tenant, path string) {
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
		r.ends[path] = append(r.ends[path], end)
	})
}

func (r *doorRig) ended(path string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ends[path])
}

func (r *doorRig) view() admission.Stats {
	k := r.d.routing.Load().services["seats"].admission.Load()
	if k == nil {
		return admission.Stats{}
	}
	return k.Stats()
}

// holding waits until so many wait at the door.
func (r *doorRig) holding(t *testing.T, n int) {
	t.Helper()
	testutil.Eventually(t, fmt.Sprint(n, " wait"), func() bool { return r.view().Queued == n })
}

func (r *doorRig) next(t *testing.T) string {
	t.Helper()
	select {
	case path := <-r.came:
		return path
	case <-time.After(testutil.Timeout):
		t.Fatal("nothing reaches the upstream")
		return ""
	}
}

const doorTable = "[[door]]\nservice = \"seats\"\nlimit_least = 1\nlimit_most = 1\nwaiting = 6\n"

// A quiet tenant's request goes before the flood's, whose newest is refused with a time to come back; who leaves is taken
// out and never sent; weights count as a reload says, and a door that is taken away lets everybody on.
func TestDoor(t *testing.T) {
	r := startDoor(t, doorTable)
	r.ask(t.Context(), "flood", "/flood/0")
	if at := r.next(t); at != "/flood/0" {
		t.Fatal(at)
	}
	for i := range 6 {
		r.ask(t.Context(), "flood", fmt.Sprint("/flood/", i+1))
		r.holding(t, i+1)
	}
	r.ask(t.Context(), "flood", "/flood/7")
	testutil.Eventually(t, "the flood's newest is refused", func() bool { return slices.Equal(r.ended("/flood/7"), []string{"503 after"}) })
	r.ask(t.Context(), "quiet", "/quiet")
	testutil.Eventually(t, "the flood's last gives way", func() bool { return slices.Equal(r.ended("/flood/6"), []string{"503 after"}) })
	r.holding(t, 6)
	r.answer <- true
	if at := r.next(t); at != "/quiet" {
		t.Errorf("%s goes before the quiet one", at)
	}
	r.holding(t, 5)

	leaves, leave := context.WithCancel(t.Context())
	r.ask(leaves, "quiet", "/leaves")
	r.holding(t, 6)
	leave()
	r.holding(t, 5)

	text, err := os.ReadFile(r.path)
	if err != nil {
		t.Fatal(err)
	}
	file := string(text)
	if err := r.reload(t, file+"[[door.weight]]\nname = \"flood\"\nweight = 0\n"); err != nil {
		t.Fatal(err)
	}
	r.ask(t.Context(), "other", "/other/1")
	r.holding(t, 6)
	r.answer <- true
	if at := r.next(t); at != "/other/1" {
		t.Errorf("%s goes before one that has a weight", at)
	}
	if err := r.reload(t, strings.Replace(file, "waiting = 6", "waiting = 0", 1)); err == nil {
		t.Error("a door without room is taken")
	}
	if err := r.reload(t, strings.Replace(file, doorTable, "", 1)); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if at := r.next(t); !strings.HasPrefix(at, "/flood/") {
			t.Errorf("%s goes on", at)
		}
	}
	for range 6 {
		r.answer <- true
	}
	for i := range 6 {
		path := fmt.Sprint("/flood/", i)
		testutil.Eventually(t, path, func() bool { return slices.Equal(r.ended(path), []string{"200"}) })
	}
	select {
	case at := <-r.came:
		t.Errorf("%s was sent too", at)
	default:
	}
}

// A batch is charged by its entries: it does not get past the door as one.
func TestDoorChargesBatches(t *testing.T) {
	r := startDoor(t, doorTable+"[[graphql]]\nmatch = \"/graphql\"\n")
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
	ask("flood", "["+strings.Repeat(op("{a}")+",", 5)+op("{b}")+"]")
	r.next(t)
	r.holding(t, 3) // batch_parallel is 4
	ask("quiet", op("{a}"))
	r.holding(t, 4)
	r.answer <- true
	if at := r.next(t); at != "quiet" {
		t.Errorf("%s goes before the quiet one", at)
	}
	for i := range 6 {
		r.answer <- true
		if i < 5 {
			r.next(t)
		}
	}
}

// At SIGTERM who waits goes on while there is time, and gets one answer when there is none.
func TestDoorDrains(t *testing.T) {
	r := startDoor(t, doorTable)
	for i := range 4 {
		r.ask(context.Background(), "a", fmt.Sprint("/", i))
		if i == 0 {
			r.next(t)
		} else {
			r.holding(t, i)
		}
	}
	r.stop()
	r.answer <- true
	r.next(t) // one more goes on
	<-r.fileRig.ended
	for i, want := range []string{"200", "502", "503", "503"} {
		path := fmt.Sprint("/", i)
		testutil.Eventually(t, path, func() bool { return slices.Equal(r.ended(path), []string{want}) })
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
	}{{nil, ""}, {&tls.ConnectionState{}, ""}, {shows(&named), "cn"}, {shows(&dns), "counter.example.org"}, {shows(&both), id.String()}} {
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

func shows(c *x509.Certificate) *tls.ConnectionState {
	return &tls.ConnectionState{PeerCertificates: []*x509.Certificate{c}}
}
