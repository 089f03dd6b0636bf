package residentmemory

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Usage is the memory that a process holds, in bytes.
type Usage struct {
	Resident int64 // all of it
	File     int64 // pages of files, such as the program's own
}

// statmFile is where the system tells a process its memory, in pages.
const statmFile = "/proc/self/statm"

// Read returns the memory that the process holds.
func Read() (Usage, error) {
	text, err := os.ReadFile(statmFile)
	if err != nil {
		return Usage{}, err
	}
	var size, resident, shared int64
	if _, err := fmt.Sscan(string(text), &size, &resident, &shared); err != nil {
		return Usage{}, fmt.Errorf("reading %s: %w", statmFile, err)
	}
	page := int64(os.Getpagesize())
	return Usage{Resident: resident * page, File: shared * page}, nil
}

// mapping is a range of addresses.
type mapping struct{ start, end uintptr }

// Program is the part of the process's memory that holds unchanged pages of the program's file: its code and constants.
type Program struct{ mappings []mapping }

// mappingsFile is where the system lists the mappings of a process.
const mappingsFile = "/proc/self/smaps"

// FindProgram finds the mappings of the program's file that the process can't write and has not changed.
func FindProgram() (*Program, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	file, err := os.Open(mappingsFile)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseMappings(file, path)
}

// parseMappings reads the mappings of the file at path in the form of mappingsFile: a line with the addresses, and lines "Name: value kB". Pages that the process has changed are anonymous.
func parseMappings(from io.Reader, path string) (*Program, error) {
	program := &Program{}
	lines := bufio.NewScanner(from)
	var current *mapping // of the lines that follow, if it may be released
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) == 0:
		case strings.HasSuffix(fields[0], ":"):
			if fields[0] == "Anonymous:" && len(fields) > 1 && fields[1] == "0" && current != nil {
				program.mappings = append(program.mappings, *current)
			}
		default:
			var err error
			if current, err = parseMapping(fields, path); err != nil {
				return nil, err
			}
		}
	}
	return program, lines.Err()
}

// Fields of a line of mappingsFile that begins a mapping.
const (
	addressField    = 0
	permissionField = 1
	pathField       = 5
)

// parseMapping returns the mapping that a line begins, or nil if it is not one of the file at path, or can be written.
func parseMapping(fields []string, path string) (*mapping, error) {
	if len(fields) <= pathField || strings.Join(fields[pathField:], " ") != path {
		return nil, nil
	}
	if permissions := fields[permissionField]; !strings.HasPrefix(permissions, "r-") || !strings.HasSuffix(permissions, "p") {
		return nil, nil
	}
	from, to, _ := strings.Cut(fields[addressField], "-")
	start, errStart := strconv.ParseUint(from, 16, 64)
	end, errEnd := strconv.ParseUint(to, 16, 64)
	if errStart != nil || errEnd != nil || end <= start {
		return nil, fmt.Errorf("reading %s: %q is no range of addresses", mappingsFile, fields[addressField])
	}
	return &mapping{uintptr(start), uintptr(end)}, nil
}

// Release gives all pages back. Those that are needed again are mapped again when they are used.
func (p *Program) Release() error {
	for _, m := range p.mappings {
		if _, _, errno := unix.Syscall(unix.SYS_MADVISE, m.start, m.end-m.start, unix.MADV_DONTNEED); errno != 0 {
			return fmt.Errorf("releasing %d bytes of the program: %w", m.end-m.start, errno)
		}
	}
	return nil
}
