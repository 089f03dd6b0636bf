package filewatch

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// replaceFile replaces a file by renaming, as editors and deployments do.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		t.Fatal(err)
	}
}

// setModified sets a file's modification time.
func setModified(t *testing.T, path string, modified time.Time) {
	t.Helper()
	if err := os.Chtimes(path, modified, modified); err != nil {
		t.Fatal(err)
	}
}

// TestRead checks in order what a Reader returns for each change of its file.
func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	r := NewReader(path, 10)
	old := time.Now().Add(-time.Hour)
	for _, step := range []struct {
		name    string
		change  func()
		changed bool
		text    string // "" for an error
	}{
		{"missing", func() {}, true, ""},
		{"still missing", func() {}, false, ""},
		{"created", func() { replaceFile(t, path, "one") }, true, "one"},
		{"unchanged", func() {}, false, ""},
		{"replaced by a file with the same content", func() { replaceFile(t, path, "one") }, false, ""},
		{"replaced by a file with another content", func() { replaceFile(t, path, "two") }, true, "two"},
		{"written without a change of the modification time", func() {
			info, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte("six"), 0o600); err != nil {
				t.Fatal(err)
			}
			setModified(t, path, info.ModTime())
		}, true, "six"},
		{"replaced by an older file", func() { replaceFile(t, path, "old"); setModified(t, path, old) }, true, "old"},
		{"unchanged for a long time", func() {}, false, ""},
		{"too large", func() { replaceFile(t, path, "more than 10") }, true, ""},
		{"replaced by the content before the file was too large", func() { replaceFile(t, path, "old") }, true, "old"},
		{"replaced by a directory", func() {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			if err := os.Mkdir(path, 0o700); err != nil {
				t.Fatal(err)
			}
		}, true, ""},
	} {
		step.change()
		c, changed := r.Read()
		if changed != step.changed || string(c.Text) != step.text || (c.Err != nil) != (step.changed && step.text == "") {
			t.Errorf("file %s: Read returned content %q, error %v and changed %v, which is not the expected result", step.name, c.Text, c.Err, changed)
		}
	}
}
