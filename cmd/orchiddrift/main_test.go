package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/testing/testutil/base"
)

// TestMain runs the program itself in the processes that a test starts with ORCHIDDRIFT_MAIN=1.
func TestMain(m *testing.M) {
	if os.Getenv("ORCHIDDRIFT_MAIN") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const settings = `{"Discovery":"ask","TickMs":5,"Classes":[{"Name":"search","Semantics":"retryable",
	"AimMs":1000,"DeadlineMs":2000}]}`

// SIGTERM must end the program with exit code 0, so that a planned restart does not look like a crash, and its address must be free at once.
func TestTermEndsWithZero(t *testing.T) {
	address := base.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[
		{"name":"s","address":"127.0.0.1:1","status":"Ready"}]},"settings":%s}`, address, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = cmd.Process.Kill() }() // only if the test ends early
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			resp, err := http.Get("http://" + address + "/-/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				t.Fatalf("the daemon was not ready within 20 s: %v", err)
			}
		}
		for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} { // SIGHUP must not end the process
			if err := cmd.Process.Signal(s); err != nil {
				t.Fatal(err)
			}
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("the daemon did not end with exit code 0 after SIGTERM: %v", err)
		}
	}
}

// A start with a malformed or missing configuration must fail with exit code 1 and one line with the reason.
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
			t.Errorf("configuration %q: the program ended with %v, want exit code 1", path, err)
		}
		if text := stderr.String(); !strings.HasPrefix(text, "orchiddrift: ") || strings.Count(text, "\n") != 1 {
			t.Errorf("configuration %q: standard error is %q, want one line", path, text)
		}
	}
}
