package listfile

import (
	"fmt"
	"strings"
	"testing"

	"orchiddrift/internal/endpoints"
)

// Parse takes both formats and the defaults of an entry.
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
				t.Fatalf("%+v, %v", got, err)
			}
			l := ListOf(7, got)
			if *l.Index != 7 || !l.Snapshot || len(l.Endpoints) != 2 || l.Endpoints[0].StartedMs != 1_796_104_800_000 {
				t.Errorf("%+v", l)
			}
		})
	}
}

// A file that is incomplete or wrong is rejected as a whole, with what is wrong.
func TestParseRejects(t *testing.T) {
	const ready = `{"name": "n1", "address": "127.0.0.2:1"}`
	for _, c := range []struct{ name, file, text, want string }{
		{"empty", "l.json", " \n", "the file is empty"},
		{"cut off", "l.json", `{"endpoints": [` + ready, "unexpected EOF"},
		{"text behind the list", "l.json", `{"endpoints": [` + ready + `]} {}`, "something stands behind the list"},
		{"unknown key", "l.json", `{"endpoints": [` + ready + `], "more": 1}`, "unknown field"},
		{"no upstreams", "l.json", `{"endpoints": []}`, "no upstream is listed"},
		{"listed twice", "l.json", `{"endpoints": [` + ready + `, ` + ready + `]}`, `"n1" is listed twice`},
		{"another count", "l.json", `{"count": 2, "endpoints": [` + ready + `]}`, "count says 2, and 1 follow"},
		{"no address", "l.json", `{"endpoints": [{"name": "n1"}]}`, "endpoints[0].address: missing"},
		{"a host name", "l.json", `{"endpoints": [{"address": "node.example:1"}]}`, "endpoints[0].address"},
		{"no time", "l.json", `{"endpoints": [{"address": "127.0.0.2:1", "since": "yesterday"}]}`, "endpoints[0].since"},
		{"no count in TOML", "l.toml", "[[endpoint]]\naddress = \"127.0.0.2:1\"\n", "count: missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if entries, err := Parse(c.file, []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, %v; want %q", entries, err, c.want)
			}
		})
	}
}
