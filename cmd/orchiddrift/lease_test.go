package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Scripts depend on the exit codes of the lease commands. A command with a wrong [fleet] must end with exit code 1 and print a single line.
// A command that does not reach the group must end with exitUnreachable.
func TestLeaseCommands(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "orchiddrift")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v\n%s", err, output)
	}
	const members = "[[fleet.members]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n"
	const fleet = "[fleet]\nname = \"f\"\n"
	for _, c := range []struct {
		name, file, args, want string
		code                   int
	}{
		{"no fleet", "", "list", "fleet.name: missing", 1},
		{"no fleet name", "[fleet]\nmember = \"a\"\n", "list", "fleet.name: missing", 1},
		{"no members", fleet, "list", "fleet.members: 0;", 1},
		{"not a member", fleet + "member = \"b\"\nfile = \"x\"\n" + members, "list", `fleet.member: "b" is not one of members`, 1},
		{"no file", fleet + "member = \"a\"\n" + members, "list", "fleet.file: missing", 1},
		{"not loopback", fleet + "[[fleet.members]]\nname = \"a\"\naddress = \"10.0.0.1:1\"\n", "list", "is not a loopback IP address and port", 1},
		{"a term under four margins", fleet + members, "run x --term 1s -- true", "is less than four times the margin", 1},
		{"list without a leader", fleet + members, "list", "the group has no leader", exitUnreachable},
		{"revoke without a leader", fleet + members, "revoke x", "no member answers", exitUnreachable},
		{"run without a leader", fleet + members, "run x --term 400ms --margin 100ms -- true", "no member answers", exitUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fleet.toml")
			if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command(binary, append([]string{"lease", "--file", path}, strings.Fields(c.args)...)...)
			output, _ := cmd.CombinedOutput()
			lines := strings.Split(strings.TrimSpace(string(output)), "\n")
			code := cmd.ProcessState.ExitCode()
			if last := lines[len(lines)-1]; code != c.code || !strings.Contains(last, c.want) || c.code == 1 && len(lines) != 1 {
				t.Errorf("wrong exit code, number of lines or last line: exit code %d, output\n%s", code, output)
			}
		})
	}
}
