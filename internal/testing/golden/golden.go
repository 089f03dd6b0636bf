// Package golden compares bytes with files that an earlier build wrote, so that a stored or exchanged format does not change
// unnoticed.
//
// A missing file is written by a run with ORCHIDDRIFT_CREATE_GOLDEN=1, for example
//
//	ORCHIDDRIFT_CREATE_GOLDEN=1 go test -run Golden ./internal/handover
//
// An existing file is never overwritten: later builds have to read it, and to write the same bytes.
package golden

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// CreateVariable is an environment variable. If it is set to 1, Match and Read create missing files.
const CreateVariable = "ORCHIDDRIFT_CREATE_GOLDEN"

// Match fails the test unless got is the content of testdata/golden/name.
func Match(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Read(t, name, got)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: this build writes different bytes\n--- golden file\n%s\n--- this build\n%s", name, want, got)
	}
}

// Read returns the content of testdata/golden/name, for a decoder under test. If the file is missing and CreateVariable is
// set to 1, Read writes initial to the file and returns it.
func Read(t testing.TB, name string, initial []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(CreateVariable) == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, initial, 0o644); err != nil {
			t.Fatal(err)
		}
		return initial
	}
	if err != nil {
		t.Fatal(err)
	}
	return text
}
