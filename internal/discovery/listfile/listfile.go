// Package listfile parses list files, which contain the endpoint list of a service as JSON or TOML, depending on the file extension. It
// also defines the entries for upstreams in the operator's file.
//
// A list file always contains the complete list: an upstream that is missing from it is removed. discovery.FileSource follows such a file,
// and package config uses Entry, Validate and ListOf for the operator's file.
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

// Limits of a list file.
const (
	MaxBytes   = 8 << 20
	MaxEntries = 20_000

	maxReportedProblems = 3
)

var (
	errEmptyFile   = errors.New("the list file is empty")
	errTrailing    = errors.New("unexpected content after the endpoint list")
	errNoUpstreams = errors.New("the endpoint list has no upstreams")
)

// Entry is one upstream in a list file or in the operator's file.
type Entry struct {
	Name        string `toml:"name" json:"name" doc:"Name of the upstream, which stays the same for the lifetime of its process. If absent, the address is the name."`
	Address     string `toml:"address" json:"address" sample:"\"127.0.0.1:9001\"" doc:"IP address and port."`
	Zone        string `toml:"zone" json:"zone" doc:"Zone of the upstream. The service's own zone is preferred where traffic between zones has a price."`
	MachineType string `toml:"type" json:"type" doc:"Machine type of the upstream. Upstreams of one type are assumed to be equally fast until their own latencies are known."`
	Cell        int    `toml:"group" json:"group" doc:"Cell of the upstream. Upstreams of one cell share their records of idempotency keys, for classes whose group is cell."`
	Status      string `toml:"status" json:"status" default:"Ready" oneof:"Ready|Terminating|Gone" doc:"Ready upstreams accept requests; Terminating upstreams only complete those in flight."`
	StartedAt   string `toml:"since" json:"since" doc:"When the upstream last started, in RFC 3339 format. It determines the slow start. If absent: long ago."`
	TLSIdentity string `toml:"identity" json:"identity" doc:"Name that the upstream's certificate must have if the service uses TLS: a DNS name or a URI. If absent, the service's name applies."`
}

// Check reports the errors of an entry, and sets an absent name to the address. It implements tomlfile.Checker.
func (e *Entry) Check(report func(key, format string, args ...any)) {
	if e.Name == "" {
		e.Name = e.Address
	}
	if e.Name == "" {
		report("", "the entry has neither a name nor an address")
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
			report("since", "%q is not a time in RFC 3339 format, such as \"2026-12-01T06:00:00Z\"", e.StartedAt)
		}
	}
}

// endpoint converts the entry to an endpoint of a list. A malformed start time counts as long ago; Check reports it as an error.
func (e *Entry) endpoint() endpoints.Endpoint {
	out := endpoints.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, MachineType: e.MachineType, Status: e.Status,
		Cell: endpoints.CellOfGroup(e.Cell), TLSIdentity: e.TLSIdentity}
	if startedAt, err := time.Parse(time.RFC3339, e.StartedAt); err == nil {
		out.StartedMs = float64(startedAt.UnixMilli())
	}
	return out
}

// ListOf returns a snapshot of the given version that contains entries.
func ListOf(version int64, entries []Entry) *endpoints.List {
	l := &endpoints.List{Index: &version, Snapshot: true, Endpoints: make([]endpoints.Endpoint, len(entries))}
	for i := range entries {
		l.Endpoints[i] = entries[i].endpoint()
	}
	return l
}

// file is the content of a list file.
type file struct {
	Count     int     `toml:"count" json:"count" default:"-1" doc:"Number of upstreams in the file. TOML requires it, since a file truncated between two entries would look complete."`
	Endpoints []Entry `toml:"endpoint" json:"endpoints" doc:"The upstreams."`
}

// Parse returns the entries of the list file with the given name and text. The file extension determines the format: TOML for .toml, JSON
// otherwise.
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
		problems = append(problems, fmt.Sprintf("count is %d, but the number of upstreams in the file is %d", f.Count, len(f.Endpoints)))
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

// Validate returns an error if the list is empty or too long, or contains a name twice. To stop all requests, an operator
// marks all upstreams as Terminating instead of emptying the list.
func Validate(entries []Entry) error {
	switch {
	case len(entries) == 0:
		return errNoUpstreams
	case len(entries) > MaxEntries:
		return fmt.Errorf("the list has %d upstreams, the limit is %d", len(entries), MaxEntries)
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
