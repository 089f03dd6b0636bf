package residentmemory

import (
	"slices"
	"strings"
	"testing"
)

// TestReleaseKeepsTheProgram releases the program's pages while it runs: they are mapped again, unchanged.
func TestReleaseKeepsTheProgram(t *testing.T) {
	program, err := FindProgram()
	if err != nil || len(program.mappings) == 0 {
		t.Fatalf("found the mappings %v, error %v", program, err)
	}
	before, err := Read()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Release(); err != nil {
		t.Fatal(err)
	}
	after, err := Read()
	if err != nil || after.File >= before.File || after.Resident <= after.File {
		t.Errorf("the process held %+v before and %+v after, error %v; want fewer pages of files", before, after, err)
	}
	if text := strings.Repeat("orchiddrift", 2); text != "orchiddriftorchiddrift" {
		t.Errorf("a constant of the program is now %q", text)
	}
}

// TestOnlyUnchangedPagesOfFilesAreReleased: anything else would lose data.
func TestOnlyUnchangedPagesOfFilesAreReleased(t *testing.T) {
	const text = `00400000-00500000 r-xp 00000000 08:01 1 /bin/program
Size: 1024 kB
Anonymous:             0 kB
00500000-00600000 r--p 00100000 08:01 1 /bin/program
Anonymous:             4 kB
00600000-00700000 rw-p 00200000 08:01 1 /bin/program
Anonymous:             0 kB
00700000-00800000 r--p 00000000 00:00 0
Anonymous:             0 kB
00800000-00900000 r--s 00000000 08:01 2 /data/file
Anonymous:             0 kB
00900000-00a00000 r-xp 00000000 00:00 0 [vdso]
Anonymous:             0 kB
00a00000-00b00000 r--p 00200000 08:01 1 /bin/program
Anonymous:               0 kB
00b00000-00c00000 r-xp 00000000 08:01 3 /lib/libc.so
Anonymous:             0 kB
`
	program, err := parseMappings(strings.NewReader(text), "/bin/program")
	want := []mapping{{0x400000, 0x500000}, {0xa00000, 0xb00000}}
	if err != nil || !slices.Equal(program.mappings, want) {
		t.Errorf("got %v and error %v, want %v", program, err, want)
	}
	if _, err := parseMappings(strings.NewReader("zz-10 r-xp 0 0:0 1 /bin/program\n"), "/bin/program"); err == nil {
		t.Error("a line without addresses gave no error")
	}
}
