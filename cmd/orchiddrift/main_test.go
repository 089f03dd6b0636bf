package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMain runs the program itself where a test asks for it.
func TestMain(m *testing.M) {
	if os.Getenv("ORCHIDDRIFT_MAIN") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against a start that fails without saying why, or seems to succeed.
func TestMalformedConfigIsOneLineAndNonZero(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(bad, []byte(`{"name":"n1","listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", bad, bad + ".missing"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%q: ended with %v", path, err)
		}
		if text := stderr.String(); !strings.HasPrefix(text, "orchiddrift: ") || strings.Count(text, "\n") != 1 {
			t.Errorf("%q: said %q", path, text)
		}
	}
}
