package routes

import (
	"strings"
	"testing"
)

// Patterns that net/http rejects, or that servers may read differently, must be rejected, as must unusable conditions on headers.
func TestParsePatternRejectsUnusable(t *testing.T) {
	for _, text := range []string{"", "GET", "a", "get /a", "G,T /a", "A.example/a", "a.example:80/a", "/a//b", "/{x}/{x}",
		"/a{x}", "/{x...}/b", "/{}", "/{x-y}", "/../a", "/a%20b", "/a?b", "/a b", "/a\\b", "/a#b",
		"/" + strings.Repeat("a/", 100), "/" + strings.Repeat("a", 3000)} {
		if p, err := ParsePattern(text, nil); err == nil {
			t.Errorf("ParsePattern accepts the unusable pattern %q: %+v", text, p)
		}
	}
	for _, headers := range []map[string]string{{"": "a"}, {"X_A": "a"}, {"X A": "a"}, {"X-A": ""}, {"X-A": " a"}, {"X-A": "a\n"}} {
		if _, err := ParsePattern("/a", headers); err == nil {
			t.Errorf("ParsePattern accepts the unusable headers %q", headers)
		}
	}
}
