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

// operatorTable returns a table as an operator's file may have it.
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
	table, bad := New([]*Route{
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
	if bad != nil {
		t.Fatal(bad)
	}
	return table
}

// decideCases are requests and what they must be: a class, or the status of a rejection.
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
	{"GET", "x", "/%2563onfirm", "", "400"}, // for servers that decode twice
	{"GET", "x", "/confirm;v=1", "", "400"},
	{"GET", "x", "/Confirm", "", "400"},
	{"GET", "x", "/confirm/", "", "400"},
	{"GET", "x", "/confirm//", "", "400"},
	{"POST", "x", "/confirm/", "", "confirm"}, // as strict either way
	{"GET", "x", "/caf%C3%A9/", "", "confirm"},
	{"GET", "x", "/CAF%C3%89/", "", "400"},
	{"GET", "x", "/x/../confirm", "", "400"},
	{"GET", "x", "/confirm%2f", "", "400"},
	{"POST", "x", "/query", "", "search"},
	{"PUT", "x", "/query", "", "405"},
	{"POST", "x", "/plain", "", "405"},
	{"GET", "x", "/plain", "", "search"},
	{"GET", "x", "/shops/7/record", "", "search"}, // by the first route: reading a record repeats nothing
	{"POST", "x", "/shops/7/record", "", "400"},   // without a key
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

// No request reaches a class that may be repeated if an upstream may read it as one of another class; methods that HTTP calls unsafe neither.
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
				t.Errorf("%s, wanted %s (%+v)", got, c.want, rejection)
			}
		})
	}
}

func TestDecideReadsFields(t *testing.T) {
	table := operatorTable(t)
	d, bad := table.Decide(Request{Method: "POST", Target: "/shops/7/record", ContentLength: 9, Header: http.Header{
		"Idempotency-Key": {"k"}, "X-Work": {"1500.5"}, "X-Wait": {"250m"}, "X-Id": {"i"}}})
	if bad != nil || d.Tenant != "7" || d.IdempotencyKey != "k" || d.CostHint != 1500500 || d.Timeout != 250*time.Millisecond || d.ID != "i" {
		t.Errorf("%+v, %+v", d, bad)
	}
	if _, bad := table.Decide(Request{Method: "POST", Target: "/a", ContentLength: 1<<10 + 1}); bad == nil || bad.Status != 413 {
		t.Errorf("a body over the route's limit: %+v", bad)
	}
	if _, bad := table.Decide(Request{Method: "PUT", Target: "/plain"}); bad == nil || bad.Allow != "GET, HEAD, OPTIONS" {
		t.Errorf("%+v", bad)
	}
}

// FuzzDecide compares Decide with the readers that there are: for every request that is accepted, each of them must find no route or one
// whose class is no stricter.
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
			for text, round := raw, 0; round < 2; round++ { // decoded once, and once more
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
					t.Fatalf("%q: may be read as %q", target, reading)
				}
				of, ok := table.tree.find("", lookup{method: "GET", path: reading})
				if class := (*balancer.Class)(nil); ok {
					if class = of.value.class("GET"); class != nil && lessStrict(d.Class, class) {
						t.Errorf("%q: accepted as %s, and may be read as %q, %s", target, d.Class.Name, reading, class.Name)
					}
				}
			}
		}
	})
}
