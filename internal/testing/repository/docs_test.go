package repository

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pathInText is what a page or a comment writes for a folder or file of this repository.
var pathInText = regexp.MustCompile(`\b(?:internal|cmd|balancer|grpcbalancer|orchidgrpc|docs|deploy|lab)/[A-Za-z0-9_][A-Za-z0-9_./-]*`)

// goodPath tells whether a path from a text is there; a trailing full stop, or ".Name" of an identifier, is not a part of it.
func goodPath(path string) bool {
	path = strings.TrimRight(path, "./-")
	for {
		if _, err := os.Stat(filepath.Join(root, path)); !errors.Is(err, fs.ErrNotExist) {
			return true
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < strings.LastIndexByte(path, '/') || cut < 0 {
			return false
		}
		path = path[:cut]
	}
}

// checkPaths reports the paths of a text that are not there.
func checkPaths(t *testing.T, name, text string) {
	t.Helper()
	for number, line := range strings.Split(text, "\n") {
		for _, at := range pathInText.FindAllStringIndex(line, -1) {
			if at[0] > 0 && strings.ContainsAny(line[at[0]-1:at[0]], "/.-:_") { // a part of a longer path, of a URL or of another name
				if !strings.HasPrefix(line[max(0, at[0]-2):], "./") {
					continue
				}
			}
			if path := line[at[0]:at[1]]; !goodPath(path) {
				t.Errorf("%s:%d: %s is not there", name, number+1, path)
			}
		}
	}
}

// No page names a folder, file or package that is not there; the changelog, whose entries tell of releases before, may.
func TestPagesNameWhatIsThere(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "incidents") {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".md" || entry.Name() == "CHANGELOG.md" {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		checkPaths(t, strings.TrimPrefix(path, root+"/"), string(text))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// No comment names a folder, file or package that is not there.
func TestCommentsNameWhatIsThere(t *testing.T) {
	files, _ := sources(t)
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join(root, file.path))
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		for i, line := range lines { // what stands before a comment is dropped, so that line numbers stay
			_, lines[i], _ = strings.Cut(line, "//")
		}
		checkPaths(t, file.path, strings.Join(lines, "\n"))
	}
}
