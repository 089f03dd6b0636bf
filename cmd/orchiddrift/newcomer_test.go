package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"orchiddrift/internal/testing/testutil/base"
)

// Guards against a README that does not work: its operator's file, but for the ports, which are free ones here, balances
// over three servers that know nothing of this program.
func TestNewcomersFile(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile("(?s)```toml\n(.*?)```").FindSubmatch(readme)
	if m == nil {
		t.Fatal("the README shows no operator's file")
	}
	text := string(m[1])
	if n := strings.Count(text, "\n"); n > 15 {
		t.Errorf("%d lines, 15 at most", n)
	}
	address := base.FreeAddress(t)
	text = strings.ReplaceAll(text, "127.0.0.1:8080", address)
	for i := range 3 {
		name := fmt.Sprint("server ", i)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) }))
		defer s.Close()
		port := fmt.Sprintf("127.0.0.1:900%d", i+1)
		if !strings.Contains(text, port) {
			t.Fatalf("no server at %s in\n%s", port, text)
		}
		text = strings.ReplaceAll(text, port, s.Listener.Addr().String())
	}
	path := filepath.Join(t.TempDir(), "web.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--config", path)
	cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG=", "ORCHIDDRIFT_FILE=")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // only if the test ends early
	answers := func(want func(seen map[string]int) bool) {
		t.Helper()
		seen := map[string]int{}
		for end := time.Now().Add(20 * time.Second); !want(seen); {
			resp, err := http.Get("http://" + address + "/any/path?q=1")
			if err == nil {
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("%s: %s", resp.Status, body)
				}
				seen[string(body)]++
			}
			if time.Now().After(end) {
				t.Fatalf("%v, %v", seen, err)
			}
		}
	}
	answers(func(seen map[string]int) bool { return len(seen) == 3 })
	// SIGHUP with a bad file changes nothing; with another list, that one is taken.
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "another") }))
	defer other.Close()
	moved := regexp.MustCompile(`addresses = \[[^\]]*\]`).ReplaceAllString(text, fmt.Sprintf("addresses = [%q]", other.Listener.Addr()))
	for _, text := range []string{"[[", moved} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if text != moved {
			answers(func(seen map[string]int) bool { return len(seen) == 3 })
		}
	}
	answers(func(seen map[string]int) bool { return seen["another"] > 0 })
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM ended it with %v", err)
	}
}
