package routes

import (
	"fmt"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"orchiddrift/balancer"
)

var (
	safe   = balancer.Class{Name: "search", Idempotency: balancer.Idempotent, Deadline: 4 * time.Second}
	keyed  = balancer.Class{Name: "record", Idempotency: balancer.IdempotentWithKey, Deadline: 4 * time.Second, DedupWindow: 6 * time.Second}
	unsafe = balancer.Class{Name: "confirm", Idempotency: balancer.NonIdempotent, Deadline: 4 * time.Second}
)

// operatorTable returns a table with routes such as an operator may declare.
func operatorTable(t testing.TB) *Table {
	t.Helper()
	route := func(text string, class *balancer.Class, with func(*Route)) *Route {
		r := &Route{Pattern: pattern(t, text, nil), Service: "s", Class: class, Read: &safe, Write: &unsafe,
			Key: Header("Idempotency-Key"), MaxBody: 1 << 10}
		if with != nil {
			with(r)
		}
		return r
	}
	table, conflicting := New([]*Route{
		route("/", nil, nil),
		route("/confirm", &unsafe, nil),
		route("/query", &safe, func(r *Route) { r.Repeats = []string{"POST"} }),
		route("/plain", &safe, nil),
		route("POST /shops/{shop}/record", &keyed, func(r *Route) {
			r.Tenant, r.Cost, r.Deadline, r.ID = Source{fromPath, "shop"}, Header("X-Work"), Header("X-Wait"), Header("X-Id")
		}),
		route("PUT /keys/{key}", &keyed, func(r *Route) { r.Key = Source{fromPath, "key"} }),
		route("shop.example/", &unsafe, nil),
		route("/café/{$}", &unsafe, nil),
	})
	if conflicting != nil {
		t.Fatal(conflicting)
	}
	return table
}

// decideCases are requests with the expected class, or the status of the expected rejection.
var decideCases = []struct{ method, host, target, headers, want string }{
	{"GET", "x", "/anything", "", "search"},
	{"HEAD", "x", "/anything", "", "search"},
	{"OPTIONS", "x", "/anything", "", "search"},
	{"POST", "x", "/anything", "", "confirm"},
	{"DELETE", "x", "/anything", "", "confirm"},
	{"PROPFIND", "x", "/anything", "", "confirm"},
	{"TRACE", "x", "/anything", "", "405"},
	{"CONNECT", "x", "/anything", "", "405"},
	{"GET", "x", "/confirm", "", "confirm"},
	{"GET", "x", "/%63onfirm", "", "confirm"},
	{"GET", "x", "/%2563onfirm", "", "400"}, // servers that decode twice read /confirm
	{"GET", "x", "/confirm;v=1", "", "400"},
	{"GET", "x", "/Confirm", "", "400"},
	{"GET", "x", "/confirm/", "", "400"},
	{"GET", "x", "/confirm//", "", "400"},
	{"POST", "x", "/confirm/", "", "confirm"}, // both readings have the same class
	{"GET", "x", "/caf%C3%A9/", "", "confirm"},
	{"GET", "x", "/CAF%C3%89/", "", "400"},
	{"GET", "x", "/x/../confirm", "", "400"},
	{"GET", "x", "/confirm%2f", "", "400"},
	{"POST", "x", "/query", "", "search"},
	{"PUT", "x", "/query", "", "405"},
	{"POST", "x", "/plain", "", "405"},
	{"GET", "x", "/plain", "", "search"},
	{"GET", "x", "/shops/7/record", "", "search"}, // matches the first route, since GET does not write a record
	{"POST", "x", "/shops/7/record", "", "400"},   // the request has no key
	{"POST", "x", "/shops/7/record", "Idempotency-Key: k", "record"},
	{"POST", "x", "/shops/7/record", "Idempotency-Key: k, l", "400"},
	{"POST", "x", "/shops/7/record", "Idempotency-Key: k|Idempotency-Key: k", "400"},
	{"POST", "x", "/shops/7/record", "Idempotency-Key: k|X-Work: many", "400"},
	{"POST", "x", "/shops/7/record", "Idempotency-Key: k|X-Wait: 5", "400"},
	{"POST", "x", "/shops/7/record", "Idempotency-Key: k|X-Wait: 5m|X_Wait: 6m", "400"},
	{"POST", "x", "/shops/7/record/", "Idempotency-Key: k", "confirm"},
	{"PUT", "x", "/keys/k1", "", "record"},
	{"PUT", "x", "/keys/%22", "", "400"},
	{"GET", "shop.example", "/anything", "", "confirm"},
	{"GET", "SHOP.example.:8080", "/anything", "", "confirm"},
	{"GET", "x", "/anything", "X-HTTP-Method-Override: POST", "400"},
}

// A request must not get an idempotent class if an upstream may read it as a request of a stricter class, or if its method is unsafe by HTTP
// and not among the route's Repeats. Otherwise it might be retried and run twice.
func TestDecide(t *testing.T) {
	table := operatorTable(t)
	for _, c := range decideCases {
		t.Run(fmt.Sprintf("%s %s%s %s", c.method, c.host, c.target, c.headers), func(t *testing.T) {
			header := http.Header{}
			for line := range strings.SplitSeq(c.headers, "|") {
				if name, value, ok := strings.Cut(line, ": "); ok {
					header.Add(name, value)
				}
			}
			d, rejection := table.Decide(Request{Method: c.method, Host: c.host, Target: c.target, Header: header})
			got := ""
			if rejection != nil {
				got = fmt.Sprint(rejection.Status)
			} else {
				got = d.Class.Name
			}
			if got != c.want {
				t.Errorf("decided on %s, want %s (rejection %+v)", got, c.want, rejection)
			}
		})
	}
}

// The values of a route's sources must be read in their units, and a body above the limit or another method be rejected.
func TestDecideReadsFields(t *testing.T) {
	table := operatorTable(t)
	d, rejection := table.Decide(Request{Method: "POST", Target: "/shops/7/record", ContentLength: 9, Header: http.Header{
		"Idempotency-Key": {"k"}, "X-Work": {"1500.5"}, "X-Wait": {"250m"}, "X-Id": {"i"}}})
	if rejection != nil || d.Tenant != "7" || d.IdempotencyKey != "k" || d.CostHint != 1500500 || d.Timeout != 250*time.Millisecond || d.ID != "i" {
		t.Errorf("wrong values from the route's sources: %+v, rejection %+v", d, rejection)
	}
	if _, rejection := table.Decide(Request{Method: "POST", Target: "/a", ContentLength: 1<<10 + 1}); rejection == nil || rejection.Status != 413 {
		t.Errorf("request with a body above the route's limit: got rejection %+v, want status 413", rejection)
	}
	if _, rejection := table.Decide(Request{Method: "PUT", Target: "/plain"}); rejection == nil || rejection.Allow != "GET, HEAD, OPTIONS" {
		t.Errorf("PUT to a route for reads: got rejection %+v, want the allowed methods", rejection)
	}
}

// FuzzDecide compares Decide with the ways in which servers read a path: for every accepted request, each of these readings must match no
// route, or a route whose class is not stricter.
func FuzzDecide(f *testing.F) {
	for _, s := range []string{"/search/1", "/search/../confirm/1", "/a%2f..%2fb", "/a/%252e%252e/b", "/a/..;/b", "/a\\..\\b",
		"/a/%c0%ae%c0%ae/b", "/a?b/../c", "/a/%2e;%2e/b", "/%61/b", "/a/%25%32%65%25%32%65/b", "/confirm;x", "/%2563onfirm",
		"/CONFIRM//", "/confirm%3b/", "//confirm", "/%2f%63onfirm"} {
		f.Add(s)
	}
	tables := []*Table{operatorTable(f)}
	platform, bad := New(Platform("s", []balancer.Class{safe, keyed, unsafe}))
	if bad != nil {
		f.Fatal(bad)
	}
	tables = append(tables, platform)
	f.Fuzz(func(t *testing.T, target string) {
		for _, table := range tables {
			d, bad := table.Decide(Request{Method: "GET", Target: target, Header: http.Header{"X-Request-Id": {"1"}}})
			if bad != nil {
				continue
			}
			raw, _, _ := strings.Cut(target, "?")
			seen := []string{raw, path.Clean(raw), strings.ReplaceAll(raw, "\\", "/"), strings.ToLower(raw)}
			for text, round := raw, 0; round < 2; round++ { // decoded once and twice
				decoded, err := url.PathUnescape(text)
				if err != nil {
					break
				}
				bare := withoutParameters(decoded)
				seen = append(seen, decoded, path.Clean(decoded), bare, path.Clean(bare), strings.ToLower(decoded))
				text = decoded
			}
			for _, reading := range seen {
				if !strings.HasPrefix(reading, "/") {
					t.Fatalf("%q is accepted and may be read as %q, which does not begin with a slash", target, reading)
				}
				found, ok := table.tree.find("", lookup{method: "GET", path: reading})
				if class := (*balancer.Class)(nil); ok {
					if class = found.value.class("GET"); class != nil && lessStrict(d.Class, class) {
						t.Errorf("%q is accepted with class %s and may be read as %q with the stricter class %s", target, d.Class.Name, reading, class.Name)
					}
				}
			}
		}
	})
}
