package routes

import (
	"fmt"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func pattern(t testing.TB, text string, headers map[string]string) *Pattern {
	t.Helper()
	p, err := ParsePattern(text, headers)
	if err != nil {
		t.Fatalf("the pattern %q cannot be parsed: %v", text, err)
	}
	return p
}

// The generators draw from few values, so that patterns often overlap.
var (
	drawnMethods  = rapid.SampledFrom([]string{"", "GET ", "HEAD ", "POST "})
	drawnHosts    = rapid.SampledFrom([]string{"", "", "a.example", "b.example"})
	drawnSegments = rapid.SampledFrom([]string{"a", "b", "c", "{x}"})
	drawnEnds     = rapid.SampledFrom([]string{"", "/", "/{$}", "/{z...}"})
	drawnHeaders  = rapid.SampledFrom([]map[string]string{nil, nil, {"X-V": "1"}, {"X-V": "2"}, {"X-W": "1"}, {"X-V": "1", "X-W": "1"}})
)

func drawPattern(t *rapid.T, withHeaders bool) (string, map[string]string) {
	text := drawnMethods.Draw(t, "method") + drawnHosts.Draw(t, "host")
	n := rapid.IntRange(0, 3).Draw(t, "segments")
	used := false
	for range n {
		s := drawnSegments.Draw(t, "segment")
		if s == "{x}" && used {
			s = "{y" + fmt.Sprint(len(text)) + "}"
		}
		used = used || s == "{x}"
		text += "/" + s
	}
	end := drawnEnds.Draw(t, "end")
	if n == 0 && end == "" {
		end = "/"
	}
	text += end
	if withHeaders {
		return text, drawnHeaders.Draw(t, "headers")
	}
	return text, nil
}

func drawRequest(t *rapid.T) (host string, q lookup) {
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

// matches compares a request with a pattern segment by segment.
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

// linearSearch compares a request with every pattern, and returns the one that takes precedence.
func linearSearch(patterns []*Pattern, host string, q lookup) *Pattern {
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

// The tree must find the same pattern as a linear search. Otherwise a request could get the class of a pattern without precedence.
func TestTreeFindsSameAsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var patterns []*Pattern
		tree := newPatternTree[int]()
		for range rapid.IntRange(1, 12).Draw(t, "patterns") {
			text, headers := drawPattern(t, true)
			p, err := ParsePattern(text, headers)
			if err != nil {
				t.Fatalf("the pattern %q cannot be parsed: %v", text, err)
			}
			if slices.ContainsFunc(patterns, p.conflicts) {
				continue
			}
			tree.add(p, len(patterns))
			patterns = append(patterns, p)
		}
		for range 20 {
			host, q := drawRequest(t)
			want := linearSearch(patterns, host, q)
			found, ok := tree.find(host, q)
			if ok != (want != nil) || ok && found.pattern != want {
				t.Fatalf("%s %q%s %v among %v: found %v, want %v", q.method, host, q.path, q.header, patterns, found.pattern, want)
			}
		}
	})
}

// The same pairs of patterns must conflict as in net/http, and the same pattern must be found.
func TestPrecedenceIsThatOfNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mux := http.NewServeMux()
		var texts []string
		var patterns []*Pattern
		for range rapid.IntRange(1, 8).Draw(t, "patterns") {
			text, _ := drawPattern(t, false)
			p, err := ParsePattern(text, nil)
			if err != nil {
				t.Fatalf("the pattern %q cannot be parsed: %v", text, err)
			}
			panicked := func() (did bool) {
				defer func() { did = recover() != nil }()
				mux.Handle(text, http.NotFoundHandler())
				return false
			}()
			if ours := slices.ContainsFunc(patterns, p.conflicts); ours != panicked {
				t.Fatalf("%q and %q: conflict %v, in net/http %v", text, texts, ours, panicked)
			}
			if panicked {
				continue
			}
			texts, patterns = append(texts, text), append(patterns, p)
		}
		if got := conflicts(patterns); len(got) != 0 {
			t.Fatalf("conflicts found among patterns without any: %v", got)
		}
		for range 10 {
			host, q := drawRequest(t)
			requested := q.path
			if path.Clean(requested) != strings.TrimSuffix(requested, "/") && requested != "/" {
				continue // net/http redirects such paths
			}
			found := linearSearch(patterns, host, q)
			h, text := mux.Handler(&http.Request{Method: q.method, Host: host, URL: &url.URL{Path: requested}, Header: q.header})
			want := ""
			if found != nil {
				want = found.String()
			}
			if fmt.Sprintf("%T", h) == "*http.redirectHandler" { // a redirect to the path with a slash
				continue
			}
			if text != want {
				t.Fatalf("%s %s%s among %q: found %q, in net/http %q", q.method, host, requested, texts, want, text)
			}
		}
	})
}

// The index must find the same conflicts as a comparison of all pairs.
func TestConflictsAreAllFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var patterns []*Pattern
		for range rapid.IntRange(1, 10).Draw(t, "patterns") {
			text, headers := drawPattern(t, true)
			p, err := ParsePattern(text, headers)
			if err != nil {
				t.Fatalf("the pattern %q cannot be parsed: %v", text, err)
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
			t.Fatalf("patterns %v: found conflicts %v, want %v", patterns, got, want)
		}
	})
}

// FuzzPattern parses random patterns, and compares the tree with a linear search for them.
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
				t.Fatalf("the text of the parsed pattern %q is rejected: %v", p, err)
			}
			patterns = append(patterns, p)
			tree.add(p, i)
		}
		path, err := targetPath(target)
		if err != nil {
			return
		}
		q := lookup{method: "GET", path: path}
		want := linearSearch(patterns, "a.example", q)
		if found, ok := tree.find("a.example", q); ok != (want != nil) || ok && found.pattern != want {
			t.Fatalf("path %q among patterns %v: found %v, want %v", target, patterns, found.pattern, want)
		}
	})
}
