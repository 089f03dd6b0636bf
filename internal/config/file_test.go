package config

import (
	"bytes"
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"orchiddrift/internal/tomlfile"
)

// uncommented returns the example with its commented-out keys uncommented, so that every table is present once.
func uncommented(text string) string {
	var out []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "#") && !strings.HasPrefix(line, "# ") && !strings.HasPrefix(line, "##") {
			line = line[1:]
		}
		out = append(out, line)
	}
	return strings.Join(out, "")
}

// The example must decode to the defaults and have every key, and the output of Show must decode to the same file again.
func TestExampleDecodesToDefaults(t *testing.T) {
	if keys := tomlfile.Undocumented(File{}); len(keys) > 0 {
		t.Errorf("declared keys have no doc tag: %v", keys)
	}
	var text bytes.Buffer
	if err := Example(&text); err != nil {
		t.Fatal(err)
	}
	if _, err := ParseFile(text.Bytes()); err != nil {
		t.Errorf("the example is not a usable file: %v", err)
	}
	var plain, example, again File
	tomlfile.Decode([]byte(exampleService), &plain)
	if problems := tomlfile.Decode(text.Bytes(), &example).Problems(); len(problems) > 0 || !reflect.DeepEqual(plain, example) {
		t.Errorf("the example does not decode to the defaults; problems %v\nwant %+v\ngot %+v", problems, plain, example)
	}
	var all File
	for _, m := range tomlfile.Decode([]byte(uncommented(text.String())), &all).Problems() {
		if strings.Contains(m.Reason, "no such key") || strings.Contains(m.Reason, "and not") {
			t.Errorf("the uncommented example has an unknown key or a value of a wrong type: %v", m)
		}
	}
	if len(all.Services) != 2 || len(all.Services[0].Classes) != 1 || len(all.Services[0].Endpoints) != 1 || len(all.Routes) != 1 {
		t.Errorf("the uncommented example lacks tables: %+v", all)
	}
	var shown bytes.Buffer
	if err := all.Show(&shown); err != nil {
		t.Fatal(err)
	}
	tomlfile.Decode(shown.Bytes(), &again)
	if !reflect.DeepEqual(all, again) {
		t.Errorf("the output of Show\n%s\ndecodes to\n%+v\nwant\n%+v", shown.String(), again, all)
	}
}

// Every mistake must be reported at its position, without further problems. Each text in want has the line, the key and a part of the
// reason.
func TestParseFileReportsMistakes(t *testing.T) {
	const web = "[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:1\"]\n" // lines 1 to 3
	for _, c := range []struct {
		text string
		want []string
	}{
		{"a = [", []string{"1: file: array is incomplete"}},
		{"[daemon]\nlisten = \"nowhere\"\nseed = \"xyz\"\n" + web, []string{"2: daemon.listen: address nowhere", "3: daemon.seed: \"xyz\""}},
		{"[limtis]\ncores = 2\n" + web, []string{`1: limtis: no such key; the nearest is "limits"`}},
		{"[limits]\nmemory = \"1MiB\"\ndescriptors = 3\ncores = -1\nhead_timeout = \"0s\"\n" + web,
			[]string{"2: limits.memory", "3: limits.descriptors", "4: limits.cores", "5: limits.head_timeout"}},
		{"[limits]\nmemory = \"many\"\nhead_timeout = \"-1s\"\ncores = \"two\"\n" + web,
			[]string{`2: limits.memory: "many" is not a size`, `3: limits.head_timeout: "-1s" is not a duration`, "4: limits.cores: is a string, and not a number"}},
		{"[log]\nlevle = \"info\"\nformat = \"xml\"\nper_second = 0\n" + web,
			[]string{`2: log.levle: no such key; the nearest is "level"`, `3: log.format: "xml" is none of text, json`, "4: log.per_second"}},
		{"[shares]\nguaranteed = 2\n" + web, []string{"2: shares.guaranteed"}},
		{"[tls]\ncertificate = \"/c\"\nclients = \"wanted\"\n" + web, []string{"2: tls.certificate: is set without a key", "3: tls.clients: there is no client_ca"}},
		{web + "list_file = \"/l\"\nidle = \"0s\"\nanswers = [\"2xx\", \"503\"]\nshare = 0\n",
			[]string{"1: service[0]: upstreams come from one of", "5: service[0].idle", "6: service[0].answers: 503 says", "7: service[0].share"}},
		{web + web, []string{`5: service[1].name: the name "web" is already used`}},
		{"[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n", []string{"listed twice"}},
		{"[[service]]\nname = \"web\"\n[[service.endpoint]]\naddress = \"node:1\"\nsince = \"today\"\n",
			[]string{"4: service[0].endpoint[0].address", "5: service[0].endpoint[0].since"}},
		{web + "[[service.class]]\nname = \"c\"\neffect = \"kyed\"\ndeadline = \"0s\"\n[[service.class]]\nname = \"k\"\neffect = \"keyed\"\n",
			[]string{`6: service[0].class[0].effect: "kyed" is none of`, "7: service[0].class[0].deadline", "service[0].class[1].window", "route: missing: service web has no classes"}},
		{web + "[service.tls]\nname = \"a\"\n", []string{"4: service[0].tls: there is no ca"}},
		{web + "[[route]]\nmatch = \"/a/{x}\"\n[[route]]\nmatch = \"/{y}/b\"\n", []string{"7: route[1].match: conflicts with line 5: /{y}/b and /a/{x} both match some"}},
		{web + "[[route]]\nmatch = \"/a\"\nservice = \"wbe\"\nkey = \"path:x\"\n[[route]]\nmatch = \"a\"\nclass = \"c\"\n",
			[]string{`6: route[0].service: there is no service "wbe"`, `7: route[0].key: the pattern has no wildcard "x"`, "9: route[1].match: the path must begin"}},
		{web + "[[route]]\nmatch = \"POST /a\"\nclass = \"read\"\n", []string{`6: route[0].class: class read may be repeated, but POST is not safe`}},
		{web + "[[route]]\nmatch = \"/-/ready\"\n", []string{"5: route[0].match: paths that begin with /-/ are reserved for the daemon"}},
		{web + "[[route]]\nset = \"platform\"\nmatch = \"/\"\nmax_body = \"1GiB\"\n", []string{"5: route[0].set", "7: route[0].max_body"}},
		{web + "[[graphql]]\nmatch = \"POST /g\"\nquery = \"gone\"\n[graphql.limits]\ntokens = 0\n[[graphql]]\nmatch = \"/g\"\nservice = \"b\"\n[[graphql]]\nmatch = \"/-/g\"\nschema = \"/no/where\"\n",
			[]string{"5: graphql[0].match: an endpoint is one path", `4: graphql[0]: query: the service has no class "gone"`, "8: graphql[0].limits.tokens",
				`11: graphql[1].service: there is no service "b"`, "13: graphql[2].match: paths that begin with /-/ are reserved for the daemon", "14: graphql[2].schema: open /no/where"}},
		{web + "[[graphql]]\nmatch = \"/g\"\n[[graphql]]\nmatch = \"/g\"\n", []string{"7: graphql[1].match: conflicts with line 5"}},
		{"[daemon]\nname = \"x\"\n", []string{"service: there is none"}},
		{web + "[[service]]\nname = \"b\"\naddresses = [\"127.0.0.1:2\"]\n", []string{"route: missing: at least one [[route]] is needed if there is more than one"}},
	} {
		_, err := ParseFile([]byte(c.text))
		var problems Problems
		if !errors.As(err, &problems) {
			t.Errorf("file %q is accepted, or its error is not of the type Problems: %v", c.text, err)
			continue
		}
		for _, want := range c.want {
			line, rest, ok := strings.Cut(want, ": ")
			found := false
			for _, p := range problems {
				text := p.Error()
				found = found || strings.Contains(text, want) || ok && strings.HasPrefix(text, line+":") && strings.Contains(text, rest)
			}
			if !found {
				t.Errorf("file %q: no problem %q among\n%v", c.text, want, []Problem(problems))
			}
		}
		if len(problems) > len(c.want) {
			t.Errorf("file %q: more problems than %q:\n%v", c.text, c.want, []Problem(problems))
		}
	}
}

const platformText = `{"name":"n1","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"2a",
	"limits":{"cores":1,"memory_mb":64,"sockets":256},"settings":{"Discovery":"ask","TickMs":5,"Classes":[
	{"Name":"search","Semantics":"retryable","AimMs":1000,"DeadlineMs":2000}]}}`

// If there are both files, the platform's name, listen address, seed and limits must take precedence over the operator's.
func TestPlatformFileTakesPrecedence(t *testing.T) {
	c, err := Parse([]byte(platformText))
	if err != nil {
		t.Fatal(err)
	}
	p, err := ParseBeside(c, []byte(`[daemon]
listen = "127.0.0.1:1"
seed = "ff"
name = "mine"
[limits]
memory = "1GiB"
[shares]
guaranteed = 0.25
[[service]]
name = "web"
addresses = ["127.0.0.1:9001"]
[[route]]
match = "/web/"
service = "web"
[[graphql]]
match = "/graphql"
service = "web"
`))
	if err != nil {
		t.Fatal(err)
	}
	if p.Listen != c.Listen || p.Seed != 0x2a || p.Name != "n1" || p.Limits != c.Limits || p.HeadTimeout != 2*time.Second ||
		p.Guaranteed != 0.25 || len(p.Services) != 2 || p.Services[0].Name != Platform || len(p.Table.Routes()) != 4 || len(p.Endpoints) != 1 {
		t.Errorf("ParseBeside made a wrong plan of both files: %+v", p)
	}
	if _, err := ParseBeside(c, []byte("[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:1\"]\n[[route]]\nmatch = \"GET /search\"\nservice = \"web\"\n")); err == nil ||
		!strings.Contains(err.Error(), "conflicts with the platform's rules") {
		t.Errorf("a route that conflicts with the platform's: error %v", err)
	}
	alone := c.Plan()
	if alone.Services[0].SuccessStatuses.Has(404) || !alone.Services[0].SuccessStatuses.Has(200) || alone.Grace != 2550*time.Millisecond ||
		alone.BodyTimeout != 900*time.Millisecond {
		t.Errorf("wrong plan of the platform's file alone: %+v", alone)
	}
}

// LoadPlan must distinguish the two kinds of files and reject unusable combinations, such as two operator's files, with errors of one line.
func TestLoadPlan(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		if err := os.WriteFile(dir+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir + name
	}
	platform := write("/p.json", "\n "+platformText)
	file := write("/o.toml", "[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:1\"]\n")
	for _, c := range []struct {
		files    Sources
		services int // 0: LoadPlan fails
	}{{Sources{Config: platform}, 1}, {Sources{Config: file}, 1}, {Sources{Beside: file}, 1}, {Sources{Config: platform, Beside: file}, 0},
		{Sources{Config: file, Beside: file}, 0}, {Sources{}, 0}, {Sources{Config: dir + "/missing"}, 0}, {Sources{Config: platform, Beside: dir + "/missing"}, 0}} {
		p, err := LoadPlan(c.files)
		if (err == nil) != (c.services > 0) || err == nil && len(p.Services) != c.services {
			t.Errorf("files %+v: LoadPlan returned a wrong plan, or the error %v", c.files, err)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("files %+v: the error has more than one line: %q", c.files, err)
		}
	}
}

// FuzzFile decodes random texts. No text may cause a panic, every problem must be one line, and the output of Show for a usable file must be usable.
func FuzzFile(f *testing.F) {
	f.Add("[[service]]\nname = \"web\"\naddresses = [\"127.0.0.1:1\"]\n[[route]]\nmatch = \"/a/{x}\"\n")
	f.Add("a.b.c = {d = [1, {e = 2}]}\n[[a.b]]\n[x]\n[x.y]\n")
	f.Add("[[service]]\nservice = 1\n[[service.class]]\n[service.tls]\n[service.cold]\nfrom = nan\n")
	f.Add("route = [{match = \"/\"}, 3, [], {headers = {a = 1}}]\nservice = {name = \"a\"}\n")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParseFile([]byte(text))
		var problems Problems
		if err != nil {
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("the error is not of the type Problems, or is an empty list: %v", err)
			}
			for _, m := range problems {
				if strings.Contains(m.Error(), "\n") {
					t.Fatalf("the problem has more than one line: %q", m.Error())
				}
			}
			return
		}
		var shown bytes.Buffer
		if err := p.File.Show(&shown); err != nil {
			t.Fatal(err)
		}
		if _, err := ParseFile(shown.Bytes()); err != nil {
			t.Fatalf("the output of Show\n%s\nis rejected: %v", shown.String(), err)
		}
	})
}
