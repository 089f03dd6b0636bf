package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The build command of the deploy file must link the daemon dynamically: some installations preload a library into the
// process, which is impossible with a static program.
func TestBuildLinksDynamically(t *testing.T) {
	if _, err := exec.LookPath("cc"); err != nil {
		if _, err := exec.LookPath("gcc"); err != nil {
			t.Skip("no C compiler")
		}
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^build = "(.*?)"`).FindSubmatch(deploy)
	if m == nil {
		t.Fatal("deploy/balancer.toml has no build command")
	}
	program := filepath.Join(t.TempDir(), "orchiddrift")
	build := strings.Replace(string(m[1]), "-o bin/ ./cmd/...", "-o "+program+" ./cmd/orchiddrift", 1)
	sh := exec.Command("sh", "-ec", build)
	sh.Dir = "../.."
	if out, err := sh.CombinedOutput(); err != nil {
		t.Fatalf("build command %s failed: %v\n%s", build, err, out)
	}
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("the program imports %v (error %v), but not the C library", libraries, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no interpreter, so it is linked statically")
	}
}
