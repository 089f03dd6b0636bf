package routes

import (
	"fmt"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"orchiddrift/balancer"
)

func pattern(t testing.TB, text string, headers map[string]string) *Pattern {
	t.Helper()
	p, err := ParsePattern(text, headers)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return p
}

// words are few, so that patterns meet.
var (
	methodsDrawn  = rapid.SampledFrom([]string{"", "GET ", "HEAD ", "POST "})
	hostsDrawn    = rapid.SampledFrom([]string{"", "", "a.example", "b.example"})
	segmentsDrawn = rapid.SampledFrom([]string{"a", "b", "c", "{x}"})
	endsDrawn     = rapid.SampledFrom([]string{"", "/", "/{$}", "/{z...}"})
	headersDrawn  = rapid.SampledFrom([]map[string]string{nil, nil, {"X-V": "1"}, {"X-V": "2"}, {"X-W": "1"}, {"X-V": "1", "X-W": "1"}})
)

func drawPattern(t *rapid.T, withHeaders bool) (string, map[string]string) {
	text := methodsDrawn.Draw(t, "method") + hostsDrawn.Draw(t, "host")
	n := rapid.IntRange(0, 3).Draw(t, "segments")
	used := false
	for range n {
		s := segmentsDrawn.Draw(t, "segment")
		if s == "{x}" && used {
			s = "{y" + fmt.Sprint(len(text)) + "}"
		}
		used = used || s == "{x}"
		text += "/" + s
	}
	end := endsDrawn.Draw(t, "end")
	if n == 0 && end == "" {
		end = "/"
	}
	text += end
	if withHeaders {
		return text, headersDrawn.Draw(t, "headers")
	}
	return text, nil
}

func drawAsked(t *rapid.T) (host string, q lookup) {
	host = rapid.SampledFrom([]string{"", "a.example", "b.example", "c.example"}).Draw(t, "host")
	q.method = rapid.SampledFrom([]string{"GET", "HEAD", "POST", "PUT"}).Draw(t, "method")
	q.header = http.Header{}
	for _, name := range []string{"X-V", "X-W"} {
		if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, name); v != "" {
			q.header.Set(name, v)
		}
	}
	text := ""
	for range rapid.IntRange(1, 4).Draw(t, "parts") {
		text += "/" + rapid.SampledFrom([]string{"a", "b", "c", "d", ""}).Draw(t, "part")
	}
	q.path = text
	return host, q
}

// matches is what a pattern says, segment by segment.
func matches(p *Pattern, host string, q lookup) bool {
	if p.Method != "" && p.Method != q.method && !(p.Method == http.MethodGet && q.method == http.MethodHead) {
		return false
	}
	if p.Host != "" && p.Host != host || !p.matchesHeaders(q.header) {
		return false
	}
	segments := strings.Split(q.path[1:], "/")
	for i, s := range p.segments {
		switch {
		case s.kind == multiWildcard:
			return i < len(segments)
		case i >= len(segments):
			return false
		case s.kind == exactSlash:
			return i == len(segments)-1 && segments[i] == ""
		case segments[i] == "", s.kind == literal && segments[i] != s.text:
			return false
		}
	}
	return len(p.segments) == len(segments)
}

// reference is the plain way: look at every pattern, and keep the one that no other goes before.
func reference(patterns []*Pattern, host string, q lookup) *Pattern {
	var best *Pattern
	for _, p := range patterns {
		if !matches(p, host, q) {
			continue
		}
		if best == nil || p.Host != "" && best.Host == "" || p.Host == best.Host && p.compare(best) == moreSpecific {
			best = p
		}
	}
	return best
}

// Guards against a table that finds another route than the order of precedence says, or none, whatever the patterns.
func TestTableFindsWhatThePlainWayFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var patterns []*Pattern
		tree := newPatternTree[int]()
		for range rapid.IntRange(1, 12).Draw(t, "patterns") {
			text, headers := drawPattern(t, true)
			p, err := ParsePattern(text, headers)
			if err != nil {
				t.Fatalf("%q: %v", text, err)
			}
			if slices.ContainsFunc(patterns, p.conflicts) {
				continue
			}
			tree.add(p, len(patterns))
			patterns = append(patterns, p)
		}
		for range 20 {
			host, q := drawAsked(t)
			want := reference(patterns, host, q)
			found, ok := tree.find(host, q)
			if ok != (want != nil) || ok && found.pattern != want {
				t.Fatalf("%s %q%s %v among %v: found %v, wanted %v", q.method, host, q.path, q.header, patterns, found.pattern, want)
			}
		}
	})
}

// Guards against an order of precedence that is not net/http's: the same pairs conflict, and the same pattern is found.
func TestOrderIsThatOfTheStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mux := http.NewServeMux()
		var texts []string
		var patterns []*Pattern
		for range rapid.IntRange(1, 8).Draw(t, "patterns") {
			text, _ := drawPattern(t, false)
			p, err := ParsePattern(text, nil)
			if err != nil {
				t.Fatalf("%q: %v", text, err)
			}
			panicked := func() (did bool) {
				defer func() { did = recover() != nil }()
				mux.Handle(text, http.NotFoundHandler())
				return false
			}()
			if ours := slices.ContainsFunc(patterns, p.conflicts); ours != panicked {
				t.Fatalf("%q against %q: conflict %v, by net/http %v", text, texts, ours, panicked)
			}
			if panicked {
				continue
			}
			texts, patterns = append(texts, text), append(patterns, p)
		}
		if got := conflicts(patterns); len(got) != 0 {
			t.Fatalf("conflicts among those that have none: %v", got)
		}
		for range 10 {
			host, q := drawAsked(t)
			whole := q.path
			if path.Clean(whole) != strings.TrimSuffix(whole, "/") && whole != "/" {
				continue // net/http sends those elsewhere
			}
			found := reference(patterns, host, q)
			h, text := mux.Handler(&http.Request{Method: q.method, Host: host, URL: &url.URL{Path: whole}, Header: q.header})
			want := ""
			if found != nil {
				want = found.String()
			}
			if fmt.Sprintf("%T", h) == "*http.redirectHandler" { // to the path with a slash
				continue
			}
			if text != want {
				t.Fatalf("%s %s%s among %q: %q, by net/http %q", q.method, host, whole, texts, want, text)
			}
		}
	})
}

// Guards against an index that misses a conflict, or reports one that is none.
func TestConflictsAreAllFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var patterns []*Pattern
		for range rapid.IntRange(1, 10).Draw(t, "patterns") {
			text, headers := drawPattern(t, true)
			p, err := ParsePattern(text, headers)
			if err != nil {
				t.Fatalf("%q: %v", text, err)
			}
			patterns = append(patterns, p)
		}
		var want []Conflict
		for i, p := range patterns {
			for j, q := range patterns[:i] {
				if p.conflicts(q) {
					want = append(want, Conflict{j, i})
				}
			}
		}
		if got := conflicts(patterns); !slices.Equal(got, want) {
			t.Fatalf("%v: %v, wanted %v", patterns, got, want)
		}
	})
}

func TestPatternsThatCantBeUsed(t *testing.T) {
	for _, text := range []string{"", "GET", "a", "get /a", "G,T /a", "A.example/a", "a.example:80/a", "/a//b", "/{x}/{x}",
		"/a{x}", "/{x...}/b", "/{}", "/{x-y}", "/../a", "/a%20b", "/a?b", "/a b", "/a\\b", "/a#b",
		"/" + strings.Repeat("a/", 100), "/" + strings.Repeat("a", 3000)} {
		if p, err := ParsePattern(text, nil); err == nil {
			t.Errorf("%q is taken: %+v", text, p)
		}
	}
	for _, headers := range []map[string]string{{"": "a"}, {"X_A": "a"}, {"X A": "a"}, {"X-A": ""}, {"X-A": " a"}, {"X-A": "a\n"}} {
		if _, err := ParsePattern("/a", headers); err == nil {
			t.Errorf("%q is taken", headers)
		}
	}
}

var (
	safe   = balancer.Class{Name: "search", Idempotency: balancer.Idempotent, Deadline: 4 * time.Second}
	keyed  = balancer.Class{Name: "record", Idempotency: balancer.IdempotentWithKey, Deadline: 4 * time.Second, DedupWindow: 6 * time.Second}
	unsafe = balancer.Class{Name: "confirm", Idempotency: balancer.NonIdempotent, Deadline: 4 * time.Second}
)

// generic is a table of an operator's file.
func generic(t testing.TB) *Table {
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

// Guards against requests that reach a class which may be repeated when the upstream reads them as another, a method that
// HTTP calls unsafe among them. want is the class, or the status.
func TestDecide(t *testing.T) {
	table := generic(t)
	for _, c := range []struct{ method, host, target, headers, want string }{
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
		{"GET", "x", "/%2563onfirm", "", "400"}, // for who decodes twice
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
	} {
		h := http.Header{}
		for line := range strings.SplitSeq(c.headers, "|") {
			if name, value, ok := strings.Cut(line, ": "); ok {
				h.Add(name, value)
			}
		}
		d, bad := table.Decide(Request{Method: c.method, Host: c.host, Target: c.target, Header: h})
		got := ""
		if bad != nil {
			got = fmt.Sprint(bad.Status)
		} else {
			got = d.Class.Name
		}
		if got != c.want {
			t.Errorf("%s %s%s %s: %s, wanted %s (%+v)", c.method, c.host, c.target, c.headers, got, c.want, bad)
		}
	}
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

// FuzzDecide holds Decide against the readers that there are: whatever request is taken, each of them must find a route
// whose class is no stricter, or none.
func FuzzDecide(f *testing.F) {
	for _, s := range []string{"/search/1", "/search/../confirm/1", "/a%2f..%2fb", "/a/%252e%252e/b", "/a/..;/b", "/a\\..\\b",
		"/a/%c0%ae%c0%ae/b", "/a?b/../c", "/a/%2e;%2e/b", "/%61/b", "/a/%25%32%65%25%32%65/b", "/confirm;x", "/%2563onfirm",
		"/CONFIRM//", "/confirm%3b/", "//confirm", "/%2f%63onfirm"} {
		f.Add(s)
	}
	tables := []*Table{generic(f)}
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
						t.Errorf("%q: taken as %s, and may be read as %q, %s", target, d.Class.Name, reading, class.Name)
					}
				}
			}
		}
	})
}

// FuzzPattern holds the parser, and the table against the plain way, with whatever two patterns and path.
func FuzzPattern(f *testing.F) {
	f.Add("GET a.example/{x}/b/{y...}", "/a/{$}", "/a/b/c")
	f.Add("/{x}/", "/a/{y...}", "/a/")
	f.Fuzz(func(t *testing.T, one, two, target string) {
		var patterns []*Pattern
		tree := newPatternTree[int]()
		for i, text := range []string{one, two} {
			p, err := ParsePattern(text, nil)
			if err != nil || slices.ContainsFunc(patterns, p.conflicts) {
				continue
			}
			if _, err := ParsePattern(p.String(), nil); err != nil {
				t.Fatalf("%q is not taken again: %v", p, err)
			}
			patterns = append(patterns, p)
			tree.add(p, i)
		}
		path, err := targetPath(target)
		if err != nil {
			return
		}
		q := lookup{method: "GET", path: path}
		want := reference(patterns, "a.example", q)
		if found, ok := tree.find("a.example", q); ok != (want != nil) || ok && found.pattern != want {
			t.Fatalf("%q among %v: found %v, wanted %v", target, patterns, found.pattern, want)
		}
	})
}

// BenchmarkDecide shows that a look-up costs the same whatever the number of routes.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []*Route
			for i := range n {
				all = append(all, &Route{Pattern: pattern(b, fmt.Sprintf("/svc%d/{id}/items/", i), nil), Class: &safe, MaxBody: 1})
			}
			table, bad := New(all)
			if bad != nil {
				b.Fatal(bad)
			}
			q := Request{Method: "GET", Target: fmt.Sprintf("/svc%d/77/items/4", n/2), Header: http.Header{"X-A": {"b"}}}
			b.ReportAllocs()
			for b.Loop() {
				if _, bad := table.Decide(q); bad != nil {
					b.Fatal(bad)
				}
			}
		})
	}
}

// Guards against a file of many routes that takes seconds to check.
func BenchmarkNew(b *testing.B) {
	var all []*Route
	for i := range 10_000 {
		all = append(all, &Route{Pattern: pattern(b, fmt.Sprintf("/svc%d/{id}/", i), nil), Class: &safe})
	}
	for b.Loop() {
		if _, bad := New(all); bad != nil {
			b.Fatal(bad)
		}
	}
}
