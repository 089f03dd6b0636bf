package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"orchiddrift/internal/config"
)

// The check reports every mistake, and none where the daemon finds none.
func TestCheck(t *testing.T) {
	look := func(text string) (string, error) {
		t.Helper()
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err := check(&out, config.ThisMachine(), path, "")
		return out.String(), err
	}
	out, err := look(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":` + settings + `}`)
	if err != nil || !strings.Contains(out, "can be used: 1 classes") {
		t.Errorf("%q, %v", out, err)
	}
	out, err = look(`{"listen":"nowhere","seed":7,"limits":{"cores":0,"memory_mb":1,"sockets":"many"},"known":{},
		"settings":{"TickMs":-1,"Classes":[{"Name":"a","Semantics":"brittle","DeadlineMs":1},{"Name":"a","DeadlineMs":1e300}]}}`)
	if err == nil {
		t.Errorf("taken: %q", out)
	}
	for _, key := range []string{"listen", "discovery", "limits", "known", "settings.Tick", "settings.Classes: a: Effect",
		"settings.Classes: Name"} {
		if !strings.Contains(out, key) {
			t.Errorf("%s is not named in\n%s", key, out)
		}
	}
	if n := strings.Count(out, "\n"); n < 7 {
		t.Errorf("%d lines:\n%s", n, out)
	}
	if out, err := look(`{"listen":`); err == nil || strings.Count(out, "\n") != 1 {
		t.Errorf("%q, %v", out, err)
	}
	if err := check(&bytes.Buffer{}, config.ThisMachine(), filepath.Join(t.TempDir(), "missing"), ""); err == nil {
		t.Error("a missing file is taken")
	}
}
