package conformance

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The script that runs the tests goes on only over those that KNOWN-RED.txt lists, each with its cause and issue, and prints them; it
// fails for any other, and for a list that is not one.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../../.ci/tests.sh")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(path, text string) {
		t.Helper()
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, path), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module example\n\ngo 1.26\n")
	write("a/a_test.go", "package a\n\nimport \"testing\"\n\nfunc TestGood(*testing.T) {}\nfunc TestRed(t *testing.T) { t.Error(\"not mended\") }\n")
	write("b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestRed(*testing.T) {}\n")
	const red = "./a TestRed | it is not mended | issue 7\n"
	for _, c := range []struct {
		name, list string
		ok         bool
		says       string
	}{
		{"no list", "", false, "not mended"},
		{"blank", " \n\n", false, "not mended"},
		{"listed", red, true, "known red: ./a TestRed | it is not mended | issue 7"},
		{"listed, and green", red + "./b TestRed | now and then | issue 8\n", true, "known red, green this time: ./b TestRed"},
		{"another one is listed", "./b TestRed | now and then | issue 8\n", false, "not mended"},
		{"no cause", "./a TestRed | | issue 7\n", false, "not a test, its cause and its issue"},
		{"no issue", "./a TestRed | it is not mended\n", false, "not a test, its cause and its issue"},
		{"no package", "TestRed | it is not mended | issue 7\n", false, "not a test, its cause and its issue"},
		{"not there", "./a TestGone | it is not mended | issue 7\n", false, "./a has no TestGone"},
		{"four", strings.Repeat(red, 4), false, "more than three lines"},
	} {
		write("KNOWN-RED.txt", c.list)
		if c.name == "no list" {
			_ = os.Remove(filepath.Join(dir, "KNOWN-RED.txt"))
		}
		cmd := exec.CommandContext(t.Context(), script)
		cmd.Dir, cmd.Env = dir, append(os.Environ(), "GOFLAGS=-mod=mod", "GOWORK=off")
		out, err := cmd.CombinedOutput()
		if (err == nil) != c.ok || !strings.Contains(string(out), c.says) {
			t.Errorf("%s: %v\n%s", c.name, err, out)
		}
	}
}
