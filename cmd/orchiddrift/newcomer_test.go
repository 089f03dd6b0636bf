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

// The operator's file of the README, with other ports, must balance over three ordinary servers. A reload with a malformed file must change
// nothing, and a reload with another server must use that server.
func TestNewcomersFile(t *testing.T) {
	text, address := readmeFile(t)
	path := filepath.Join(t.TempDir(), "web.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	cmd := exec.Command(os.Args[0], "--config", path)
	cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG=", "ORCHIDDRIFT_FILE=")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // only if the test ends early
	allThree := func(seen map[string]int) bool { return len(seen) == 3 }
	awaitAnswers(t, address, allThree)
	other := httptest.NewServer(answerWith("another"))
	defer other.Close()
	moved := regexp.MustCompile(`addresses = \[[^\]]*\]`).ReplaceAllString(text, fmt.Sprintf("addresses = [%q]", other.Listener.Addr()))
	for _, text := range []string{"[[", moved} {
		write(text)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if text != moved {
			awaitAnswers(t, address, allThree)
		}
	}
	awaitAnswers(t, address, func(seen map[string]int) bool { return seen["another"] > 0 })
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the daemon did not end with exit code 0 after SIGTERM: %v", err)
	}
}

// readmeFile returns the operator's file in the README, with its addresses replaced by free ones and those of running test servers, and the
// address at which the daemon listens.
func readmeFile(t *testing.T) (text, address string) {
	t.Helper()
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile("(?s)```toml\n(.*?)```").FindSubmatch(readme)
	if m == nil {
		t.Fatal("the README shows no operator's file")
	}
	text = string(m[1])
	if n := strings.Count(text, "\n"); n > 15 {
		t.Errorf("the README's operator's file has %d lines; the limit is 15", n)
	}
	address = base.FreeAddress(t)
	text = strings.ReplaceAll(text, "127.0.0.1:8080", address)
	for i := range 3 {
		s := httptest.NewServer(answerWith(fmt.Sprint("server ", i)))
		t.Cleanup(s.Close)
		port := fmt.Sprintf("127.0.0.1:900%d", i+1)
		if !strings.Contains(text, port) {
			t.Fatalf("the README's operator's file has no server at %s:\n%s", port, text)
		}
		text = strings.ReplaceAll(text, port, s.Listener.Addr().String())
	}
	return text, address
}

func answerWith(body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
}

// awaitAnswers sends requests until the function wanted accepts the numbers of answers by body. Each answer must have status 200.
func awaitAnswers(t *testing.T, address string, wanted func(seen map[string]int) bool) {
	t.Helper()
	seen := map[string]int{}
	for end := time.Now().Add(20 * time.Second); !wanted(seen); {
		resp, err := http.Get("http://" + address + "/any/path?q=1")
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("got status %s with body %s, want 200", resp.Status, body)
			}
			seen[string(body)]++
		}
		if time.Now().After(end) {
			t.Fatalf("the servers did not give the wanted answers within 20 s: number of answers by body %v, last error %v", seen, err)
		}
	}
}
