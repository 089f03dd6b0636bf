package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a bad [fleet] that is found late or said at length: each is one line and a non-zero exit, as is a group that is not there.
func TestLeaseCommands(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "orchiddrift")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	const members = "[[fleet.members]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n"
	for _, c := range []struct {
		file, args, want string
		code             int
	}{
		{"", "list", "fleet.name: missing", 1},
		{"[fleet]\nmember = \"a\"\n", "list", "fleet.name: missing", 1},
		{"[fleet]\nname = \"f\"\n", "list", "fleet.members: 0;", 1},
		{"[fleet]\nname = \"f\"\nmember = \"b\"\nfile = \"x\"\n" + members, "list", `fleet.member: "b" is not one of members`, 1},
		{"[fleet]\nname = \"f\"\nmember = \"a\"\n" + members, "list", "fleet.file: missing", 1},
		{"[fleet]\nname = \"f\"\n[[fleet.members]]\nname = \"a\"\naddress = \"10.0.0.1:1\"\n", "list", "no address on this machine", 1},
		{"[fleet]\nname = \"f\"\n" + members, "run x --term 1s -- true", "is under four times the margin", 1},
		{"[fleet]\nname = \"f\"\n" + members, "list", "nobody leads the group", exitUnreached},
		{"[fleet]\nname = \"f\"\n" + members, "revoke x", "no member answers", exitUnreached},
		{"[fleet]\nname = \"f\"\n" + members, "run x --term 400ms --margin 100ms -- true", "no member answers", exitUnreached},
	} {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(bin, append([]string{"lease", "--file", path}, strings.Fields(c.args)...)...)
		out, _ := cmd.CombinedOutput()
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		if last := lines[len(lines)-1]; cmd.ProcessState.ExitCode() != c.code || !strings.Contains(last, c.want) || c.code == 1 && len(lines) != 1 {
			t.Errorf("%q %s: %d\n%s", c.file, c.args, cmd.ProcessState.ExitCode(), out)
		}
	}
}
