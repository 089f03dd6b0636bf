package conformance

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each crossing of docs/design/moments.md has a test, and each test that it names is there.
func TestEveryCrossingHasItsTest(t *testing.T) {
	there, declared := map[string]bool{}, regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("../../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(text, -1) {
			there[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../../docs/design/moments.md")
	if err != nil {
		t.Fatal(err)
	}
	named, rows := regexp.MustCompile(`\bTest[A-Z]\w+`), 0
	crossings := false
	for n, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "|") {
			crossings = false
			continue
		}
		if strings.HasPrefix(line, "| crossing |") {
			crossings = true
			continue
		}
		tests := named.FindAllString(line, -1)
		for _, name := range tests {
			if !there[name] {
				t.Errorf("line %d: there is no %s", n+1, name)
			}
		}
		if crossings && !strings.HasPrefix(line, "| ---") {
			if rows++; len(tests) == 0 && !strings.Contains(line, "_test.go") && !strings.HasSuffix(line, "| the same |") && !strings.Contains(line, "the same, ") {
				t.Errorf("line %d: a crossing without a test: %s", n+1, line)
			}
		}
	}
	if rows < 30 {
		t.Errorf("%d crossings", rows)
	}
}
