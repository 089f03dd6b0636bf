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

// Guards against a daemon that `build` in the deploy file links statically: some installations load a library into the
// process, which such a program can't take.
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
		t.Fatal("no build in the deploy file")
	}
	program := filepath.Join(t.TempDir(), "orchiddrift")
	build := strings.Replace(string(m[1]), "-o bin/ ./cmd/...", "-o "+program+" ./cmd/orchiddrift", 1)
	sh := exec.Command("sh", "-ec", build)
	sh.Dir = "../.."
	if out, err := sh.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("needs %v (%v), not the C library", libraries, err)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("no program interpreter: linked statically")
	}
}
