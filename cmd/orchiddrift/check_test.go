package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"orchiddrift/internal/config"
)

// check must report every mistake of a configuration as a line of its own, and accept a configuration that the daemon can use.
func TestCheck(t *testing.T) {
	checkText := func(text string) (string, error) {
		t.Helper()
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err := check(&out, config.ThisMachine(), path, "")
		return out.String(), err
	}
	out, err := checkText(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":` + settings + `}`)
	if err != nil || !strings.Contains(out, "can be used: 1 classes") {
		t.Errorf("check of a usable configuration: printed %q, error %v", out, err)
	}
	out, err = checkText(`{"listen":"nowhere","seed":7,"limits":{"cores":0,"memory_mb":1,"sockets":"many"},"known":{},
		"settings":{"TickMs":-1,"Classes":[{"Name":"a","Semantics":"brittle","DeadlineMs":1},{"Name":"a","DeadlineMs":1e300}]}}`)
	if err == nil {
		t.Errorf("a configuration with mistakes is accepted: %q", out)
	}
	for _, key := range []string{"listen", "discovery", "limits", "known", "settings.Tick", "settings.Classes: a: Effect",
		"settings.Classes: Name"} {
		if !strings.Contains(out, key) {
			t.Errorf("no mistake at %s is reported in\n%s", key, out)
		}
	}
	if n := strings.Count(out, "\n"); n < 7 {
		t.Errorf("check printed %d lines, want at least 7:\n%s", n, out)
	}
	if out, err := checkText(`{"listen":`); err == nil || strings.Count(out, "\n") != 1 {
		t.Errorf("check of a truncated file: printed %q, want one line and an error; error %v", out, err)
	}
	if err := check(&bytes.Buffer{}, config.ThisMachine(), filepath.Join(t.TempDir(), "missing"), ""); err == nil {
		t.Error("check accepts a file that does not exist")
	}
}

// check accepted a class that repeats within a zone, beside upstreams without a zone, without a word.
func TestCheckWarnsOfUnknownGroups(t *testing.T) {
	path := filepath.Join(t.TempDir(), "web.toml")
	text := `
[daemon]
listen = "127.0.0.1:1"
[[service]]
name = "payments"
addresses = ["127.0.0.1:2", "127.0.0.1:3"]
[[service.class]]
name = "record"
effect = "keyed"
group = "GROUP"
window = "6s"
deadline = "6s"
[[route]]
match = "POST /payments/{id}"
class = "record"
`
	for group, want := range map[string]bool{"zone": true, "cell": true, "all": false} {
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(text, "GROUP", group)), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := check(&out, config.ThisMachine(), path, ""); err != nil {
			t.Fatal(err, out.String())
		}
		if got := strings.Contains(out.String(), "warning: service payments: class record"); got != want {
			t.Errorf("group %s: warned %v, want %v:\n%s", group, got, want, out.String())
		}
	}
}
