// Package listfile parses list files, which are JSON or TOML by their extension, and defines the same entries for the operator's file.
//
// A list file has the whole list: an upstream that is missing from it is removed. discovery.FileSource follows such a file, and package
// config uses Entry, Validate and ListOf for the operator's file.
//
// The package has no state and reads no files. It may import internal/endpoints and internal/tomlfile.
package listfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tomlfile"
)

// The bounds of a list file.
const (
	MaxBytes   = 8 << 20
	MaxEntries = 20_000

	maxReportedProblems = 3
)

var (
	errEmptyFile   = errors.New("the file is empty")
	errTrailing    = errors.New("something stands behind the list")
	errNoUpstreams = errors.New("no upstream is listed")
)

// Entry is one upstream of a list file or the operator's file.
type Entry struct {
	Name        string `toml:"name" json:"name" doc:"The upstream's name: the same as long as it is the same process. Absent: its address."`
	Address     string `toml:"address" json:"address" sample:"\"127.0.0.1:9001\"" doc:"IP address and port."`
	Zone        string `toml:"zone" json:"zone" doc:"Where it stands; the service's own zone is preferred where crossing has a price."`
	MachineType string `toml:"type" json:"type" doc:"What kind of machine it is: those of one kind are taken to be equally fast until they are known better."`
	Cell        int    `toml:"group" json:"group" doc:"Upstreams of one group share their memory of keys, for classes whose group is \"cell\"."`
	Status      string `toml:"status" json:"status" default:"Ready" oneof:"Ready|Terminating|Gone" doc:"Ready takes requests; Terminating finishes what it has."`
	StartedAt   string `toml:"since" json:"since" doc:"When it last started, as in RFC 3339, for the care that a cold upstream gets. Absent: long ago."`
	TLSIdentity string `toml:"identity" json:"identity" doc:"The name that its certificate has to bear where the service has TLS: a DNS name or a URI. Absent: the service's."`
}

// Check reports what is wrong with an entry, and sets the name of one that has none. It implements tomlfile.Checker.
func (e *Entry) Check(report func(key, format string, args ...any)) {
	if e.Name == "" {
		e.Name = e.Address
	}
	if e.Name == "" {
		report("", "neither name nor address is given")
		return
	}
	if e.Address == "" && e.Status == endpoints.StatusReady {
		report("address", "missing")
	} else if e.Address != "" {
		if err := endpoints.CheckAddress(e.Address); err != nil {
			report("address", "%v", err)
		}
	}
	if e.StartedAt != "" {
		if _, err := time.Parse(time.RFC3339, e.StartedAt); err != nil {
			report("since", "%q is no time, such as \"2026-12-01T06:00:00Z\"", e.StartedAt)
		}
	}
}

// endpoint returns the entry as lists have it.
func (e *Entry) endpoint() endpoints.Endpoint {
	out := endpoints.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, Status: e.Status,
		TLSIdentity: e.TLSIdentity}
	if startedAt, err := time.Parse(time.RFC3339, e.StartedAt); err == nil {
		out.StartedMs = float64(startedAt.UnixMilli())
	}
	return out
}

// ListOf returns a snapshot with these entries.
func ListOf(version int64, entries []Entry) *endpoints.List {
	l := &endpoints.List{Index: &version, Snapshot: true, Endpoints: make([]endpoints.Endpoint, len(entries))}
	for i := range entries {
		l.Endpoints[i] = entries[i].endpoint()
	}
	return l
}

// file is the content of a list file.
type file struct {
	Count     int     `toml:"count" json:"count" default:"-1" doc:"How many upstreams follow. TOML needs it: a file cut off between two entries would look whole."`
	Endpoints []Entry `toml:"endpoint" json:"endpoints" doc:"The upstreams."`
}

// Parse returns the entries of a list file. The extension of its name tells the format: TOML for .toml, JSON otherwise.
func Parse(name string, text []byte) ([]Entry, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, errEmptyFile
	}
	var (
		f        file
		problems []string
		err      error
	)
	if strings.EqualFold(filepath.Ext(name), ".toml") {
		f, problems = parseTOML(text)
	} else if f, problems, err = parseJSON(text); err != nil {
		return nil, err
	}
	if err := Validate(f.Endpoints); err != nil {
		problems = append(problems, err.Error())
	}
	if f.Count >= 0 && f.Count != len(f.Endpoints) {
		problems = append(problems, fmt.Sprintf("count says %d, and %d follow", f.Count, len(f.Endpoints)))
	}
	if len(problems) > 0 {
		return nil, errors.New(strings.Join(problems[:min(len(problems), maxReportedProblems)], "; "))
	}
	return f.Endpoints, nil
}

func parseTOML(text []byte) (f file, problems []string) {
	f.Count = -1
	for _, p := range tomlfile.Decode(text, &f).Problems() {
		problems = append(problems, p.Error())
	}
	if f.Count < 0 {
		problems = append(problems, "count: missing")
	}
	return f, problems
}

func parseJSON(text []byte) (f file, problems []string, err error) {
	f.Count = -1
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return file{}, nil, err
	}
	if d.More() {
		return file{}, nil, errTrailing
	}
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		if e.Status == "" {
			e.Status = endpoints.StatusReady
		}
		e.Check(func(key, format string, args ...any) {
			problems = append(problems, fmt.Sprintf("endpoints[%d].%s: %s", i, key, fmt.Sprintf(format, args...)))
		})
	}
	return f, problems, nil
}

// Validate returns what is wrong with a list as a whole. An empty list is an error: to have nothing sent at all, the upstreams are marked
// Terminating.
func Validate(entries []Entry) error {
	switch {
	case len(entries) == 0:
		return errNoUpstreams
	case len(entries) > MaxEntries:
		return fmt.Errorf("%d upstreams are listed, %d at most", len(entries), MaxEntries)
	}
	names := make(map[string]bool, len(entries))
	for _, e := range entries {
		if names[e.Name] {
			return fmt.Errorf("upstream %q is listed twice", e.Name)
		}
		names[e.Name] = true
	}
	return nil
}
