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

// pathInText matches the path of a folder or file of this repository in a page or comment.
var pathInText = regexp.MustCompile(`\b(?:internal|cmd|balancer|grpcbalancer|orchidgrpc|docs|deploy|lab)/[A-Za-z0-9_][A-Za-z0-9_./-]*`)

// pathExists reports whether a path from a text exists. It ignores trailing punctuation and the ".Name" of an identifier.
func pathExists(path string) bool {
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

// checkPaths fails the test for each path in a text that does not exist.
func checkPaths(t *testing.T, name, text string) {
	t.Helper()
	for number, line := range strings.Split(text, "\n") {
		for _, at := range pathInText.FindAllStringIndex(line, -1) {
			if at[0] > 0 && strings.ContainsAny(line[at[0]-1:at[0]], "/.-:_") { // the match is part of a longer path, URL or name
				if !strings.HasPrefix(line[max(0, at[0]-2):], "./") {
					continue
				}
			}
			if path := line[at[0]:at[1]]; !pathExists(path) {
				t.Errorf("%s:%d: path %s does not exist", name, number+1, path)
			}
		}
	}
}

// Guards against pages that name folders, files or packages that were renamed or removed. The changelog may name them, since its entries describe
// earlier releases.
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

// Guards against comments that name folders, files or packages that were renamed or removed.
func TestCommentsNameWhatIsThere(t *testing.T) {
	files, _ := sources(t)
	for _, file := range files {
		text, err := os.ReadFile(filepath.Join(root, file.path))
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		for i, line := range lines { // keeps only the comment of each line, so that line numbers stay correct
			_, lines[i], _ = strings.Cut(line, "//")
		}
		checkPaths(t, file.path, strings.Join(lines, "\n"))
	}
}
