package listfile

import (
	"fmt"
	"strings"
	"testing"

	"orchiddrift/internal/endpoints"
)

// TestParse checks that Parse selects JSON or TOML by the file extension, and that absent keys get their defaults.
func TestParse(t *testing.T) {
	want := []Entry{
		{Name: "n1", Address: "127.0.0.2:1", Zone: "z", Status: endpoints.StatusReady, StartedAt: "2026-12-01T06:00:00Z"},
		{Name: "127.0.0.2:2", Address: "127.0.0.2:2", Status: endpoints.StatusTerminating},
	}
	for _, c := range []struct{ name, text string }{
		{"list.json", `{"count": 2, "endpoints": [{"name": "n1", "address": "127.0.0.2:1", "zone": "z", "since": "2026-12-01T06:00:00Z"},
			{"address": "127.0.0.2:2", "status": "Terminating"}]}`},
		{"no-extension", `{"endpoints": [{"name": "n1", "address": "127.0.0.2:1", "zone": "z", "since": "2026-12-01T06:00:00Z"},
			{"address": "127.0.0.2:2", "status": "Terminating"}]}`},
		{"list.TOML", "count = 2\n[[endpoint]]\nname = \"n1\"\naddress = \"127.0.0.2:1\"\nzone = \"z\"\nsince = \"2026-12-01T06:00:00Z\"\n" +
			"[[endpoint]]\naddress = \"127.0.0.2:2\"\nstatus = \"Terminating\"\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Parse(c.name, []byte(c.text))
			if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("Parse returned entries %+v and error %v, want the two entries of the list file", got, err)
			}
			l := ListOf(7, got)
			if *l.Index != 7 || !l.Snapshot || len(l.Endpoints) != 2 || l.Endpoints[0].StartedMs != 1_796_104_800_000 {
				t.Errorf("ListOf returned %+v; want a snapshot of version 7 with 2 endpoints and the start time of endpoint n1", l)
			}
		})
	}
}

// TestParseRejects checks that Parse rejects incomplete and malformed files, which would otherwise replace a valid list. The error must say
// what is wrong with the file.
func TestParseRejects(t *testing.T) {
	const ready = `{"name": "n1", "address": "127.0.0.2:1"}`
	for _, c := range []struct{ name, file, text, want string }{
		{"empty", "l.json", " \n", "the list file is empty"},
		{"cut off", "l.json", `{"endpoints": [` + ready, "unexpected EOF"},
		{"content after the list", "l.json", `{"endpoints": [` + ready + `]} {}`, "unexpected content after the endpoint list"},
		{"unknown key", "l.json", `{"endpoints": [` + ready + `], "more": 1}`, "unknown field"},
		{"no upstreams", "l.json", `{"endpoints": []}`, "the endpoint list has no upstreams"},
		{"listed twice", "l.json", `{"endpoints": [` + ready + `, ` + ready + `]}`, `"n1" is listed twice`},
		{"wrong count", "l.json", `{"count": 2, "endpoints": [` + ready + `]}`, "count is 2, but the number of upstreams in the file is 1"},
		{"no address", "l.json", `{"endpoints": [{"name": "n1"}]}`, "endpoints[0].address: missing"},
		{"a host name", "l.json", `{"endpoints": [{"address": "node.example:1"}]}`, "endpoints[0].address"},
		{"malformed start time", "l.json", `{"endpoints": [{"address": "127.0.0.2:1", "since": "yesterday"}]}`, "endpoints[0].since"},
		{"no count in TOML", "l.toml", "[[endpoint]]\naddress = \"127.0.0.2:1\"\n", "count: missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if entries, err := Parse(c.file, []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Parse returned entries %v and error %v; want an error that contains %q", entries, err, c.want)
			}
		})
	}
}
