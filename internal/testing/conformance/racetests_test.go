package conformance

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against race conditions without a test. In docs/design/moments.md, each row of a table whose first column is headed "crossing"
// describes a race condition and must name its test. Each test that the page names must exist.
func TestEveryCrossingHasItsTest(t *testing.T) {
	existing, declared := map[string]bool{}, regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("../../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(text, -1) {
			existing[string(m[1])] = true
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
	testName, rows := regexp.MustCompile(`\bTest[A-Z]\w+`), 0
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
		tests := testName.FindAllString(line, -1)
		for _, name := range tests {
			if !existing[name] {
				t.Errorf("docs/design/moments.md:%d: test %s does not exist", n+1, name)
			}
		}
		if crossings && !strings.HasPrefix(line, "| ---") {
			if rows++; len(tests) == 0 && !strings.Contains(line, "_test.go") && !strings.HasSuffix(line, "| the same |") && !strings.Contains(line, "the same, ") {
				t.Errorf("docs/design/moments.md:%d: race condition without a test: %s", n+1, line)
			}
		}
	}
	if rows < 30 {
		t.Errorf("docs/design/moments.md: found %d race conditions in its tables, want at least 30", rows)
	}
}
