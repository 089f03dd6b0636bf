// Package listfile reads files of upstreams, JSON or TOML by their ending, and the same entries in the operator's file.
// The whole list counts: who is missing from it has gone. discovery.FileSource follows such a file.
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

const (
	// MaxBytes bounds a file, and MaxEntries the upstreams that it lists.
	MaxBytes   = 8 << 20
	MaxEntries = 20_000
)

// Entry is one upstream, as the file and the operator's file have it.
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

// Check is tomlfile.Checker's.
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

// endpoint is the entry as lists have it.
func (e *Entry) endpoint() endpoints.Endpoint {
	p := endpoints.Endpoint{Name: e.Name, Address: e.Address, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell, Status: e.Status,
		TLSIdentity: e.TLSIdentity}
	if at, err := time.Parse(time.RFC3339, e.StartedAt); err == nil {
		p.StartedMs = float64(at.UnixMilli())
	}
	return p
}

// ListOf is a whole list of these entries.
func ListOf(version int64, entries []Entry) *endpoints.List {
	l := &endpoints.List{Index: &version, Snapshot: true, Endpoints: make([]endpoints.Endpoint, len(entries))}
	for i := range entries {
		l.Endpoints[i] = entries[i].endpoint()
	}
	return l
}

// file is the whole of a file.
type file struct {
	Count     int     `toml:"count" json:"count" default:"-1" doc:"How many upstreams follow. TOML needs it: a file cut off between two entries would look whole."`
	Endpoints []Entry `toml:"endpoint" json:"endpoints" doc:"The upstreams."`
}

// Parse reads a file's text; name tells its format.
func Parse(name string, text []byte) ([]Entry, error) {
	f := file{Count: -1}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, errors.New("the file is empty")
	}
	var bad []string
	switch strings.ToLower(filepath.Ext(name)) {
	case ".toml":
		for _, m := range tomlfile.Decode(text, &f).Problems() {
			bad = append(bad, m.Error())
		}
		if f.Count < 0 {
			bad = append(bad, "count: missing")
		}
	default:
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			return nil, err
		}
		if d.More() {
			return nil, errors.New("something stands behind the list")
		}
		for i := range f.Endpoints {
			e := &f.Endpoints[i]
			if e.Status == "" {
				e.Status = endpoints.StatusReady
			}
			e.Check(func(key, format string, args ...any) {
				bad = append(bad, fmt.Sprintf("endpoints[%d].%s: %s", i, key, fmt.Sprintf(format, args...)))
			})
		}
	}
	if err := Validate(f.Endpoints); err != nil {
		bad = append(bad, err.Error())
	}
	if f.Count >= 0 && f.Count != len(f.Endpoints) {
		bad = append(bad, fmt.Sprintf("count says %d, and %d follow", f.Count, len(f.Endpoints)))
	}
	if len(bad) > 0 {
		return nil, errors.New(strings.Join(bad[:min(len(bad), 3)], "; "))
	}
	return f.Endpoints, nil
}

// Validate is what is wrong with a list as a whole.
func Validate(entries []Entry) error {
	switch {
	case len(entries) == 0: // never at once: who wants nothing sent marks them Terminating
		return errors.New("no upstream is listed")
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
