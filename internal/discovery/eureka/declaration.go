package eureka

import (
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/units"
)

// The bounds of a declaration.
const (
	minPoll          = 100 * time.Millisecond
	maxServers       = 16
	minAnswer        = 4 * units.KiB
	maxAnswer        = 256 * units.MiB
	minRenew         = time.Second
	maxPasswordBytes = 4096
)

// allApplicationsPath is the path of all that the registry has.
const allApplicationsPath = "/apps"

// Declaration is a Eureka registry in the operator's file.
type Declaration struct {
	Service        string                     `toml:"service" sample:"\"seats\"" doc:"The service whose upstreams it lists, beside that one's own list; \"platform\" is the platform's."`
	Name           string                     `toml:"name" default:"eureka" doc:"What the log calls it. Two registries of a service differ in it."`
	Servers        []string                   `toml:"servers" sample:"[\"http://127.0.0.1:8761/eureka\"]" doc:"Its replicas' base addresses, tried in turn, up to and without /apps: .../eureka, or .../eureka/v2."`
	Applications   []string                   `toml:"applications" sample:"[\"SEATS\"]" doc:"The applications whose instances are upstreams. Absent: all. One alone is asked for by name."`
	VirtualAddress string                     `toml:"vip" doc:"In place of applications: a virtual address (vipAddress)."`
	Delta          bool                       `toml:"delta" doc:"Follows all that the registry has by changes, also where one application is wanted: pays where that is large and its replicas agree."`
	Format         string                     `toml:"format" default:"json" oneof:"json|xml" doc:"What is asked for; what comes is told by its media type."`
	Poll           units.Duration             `toml:"poll" default:"200ms" doc:"How often it is asked, from 100ms on: a drain is known after this and the registry's own cache time."`
	Timeout        units.Duration             `toml:"timeout" default:"1s" doc:"For a whole answer of one server."`
	Backoff        units.Duration             `toml:"backoff" default:"1250ms" doc:"The longest wait after failures; it doubles from poll on, and is spread. Three failed polls have to fit into the 6s within which a change is to be heard."`
	MaxAnswer      units.Size                 `toml:"max_answer" default:"16MiB" doc:"The largest answer, unpacked."`
	User           string                     `toml:"user" doc:"For basic authentication."`
	PasswordFile   string                     `toml:"password_file" sample:"\"/etc/orchiddrift/eureka-password\"" doc:"A file that holds the password, read at every connection made with a new one."`
	Secure         bool                       `toml:"secure" doc:"Requests go to the instances' secure ports."`
	ZoneKey        string                     `toml:"zone_key" default:"zone" doc:"The key of an instance's metadata that has its zone; else the data centre's availability-zone."`
	TypeKey        string                     `toml:"type_key" default:"type" doc:"That has its kind of machine."`
	GroupKey       string                     `toml:"group_key" default:"group" doc:"That has its group."`
	IdentityKey    string                     `toml:"identity_key" default:"identity" doc:"That has the name in its certificate."`
	TLS            tlscredentials.UpstreamTLS `toml:"tls" doc:"For servers of https."`
	Register       Register                   `toml:"register" reload:"start" doc:"Makes this process known in the registry."`
}

// Register is how this process registers itself.
type Register struct {
	Application string            `toml:"application" sample:"\"ORCHIDDRIFT\"" doc:"The application that it registers as. Absent: it does not."`
	ID          string            `toml:"id" doc:"Its instance id. Absent: daemon.name and its address."`
	Address     string            `toml:"address" sample:"\"10.3.0.7:8080\"" doc:"IP address and port that it is found at. Absent: daemon.listen."`
	VIP         string            `toml:"vip" doc:"Its virtual address. Absent: the application in small letters."`
	Renew       units.Duration    `toml:"renew" default:"30s" doc:"How often the lease is renewed; it runs out after three times as long."`
	Metadata    map[string]string `toml:"metadata" doc:"What else is told of it."`
}

// Check reports what is wrong with a declaration; it implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.Service == "" {
		report("service", "missing")
	}
	if len(d.Servers) == 0 || len(d.Servers) > maxServers {
		report("servers", "%d are given, from 1 to %d are needed", len(d.Servers), maxServers)
	}
	for _, server := range d.Servers {
		d.checkServer(server, report)
	}
	if d.VirtualAddress != "" && (len(d.Applications) > 0 || d.Delta) {
		report("vip", "stands in place of applications and delta, not beside them")
	}
	if d.Poll.D() < minPoll {
		report("poll", "%v is under %v", d.Poll, minPoll)
	}
	if d.Timeout <= 0 {
		report("timeout", "an answer needs some time")
	}
	if d.Backoff < d.Poll {
		report("backoff", "%v is under poll", d.Backoff)
	}
	if d.MaxAnswer < minAnswer || d.MaxAnswer > maxAnswer {
		report("max_answer", "%v is not from 4KiB to 256MiB", d.MaxAnswer)
	}
	if (d.User == "") != (d.PasswordFile == "") {
		report("user", "user and password_file come together")
	}
	d.Register.check(report)
}

func (d *Declaration) checkServer(server string, report func(key, format string, args ...any)) {
	u, err := url.Parse(server)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https" || u.RawQuery != "" || u.Fragment != "":
		report("servers", "%q is no address such as http://127.0.0.1:8761/eureka", redacted(server))
	case u.Port() == "" || endpoints.CheckAddress(u.Host) != nil:
		report("servers", "%s: IP address and port are needed, there are no name look-ups", u.Redacted())
	case u.User != nil:
		report("servers", "%s: a password stands in password_file, not here", u.Redacted())
	case u.Scheme == "https" && d.TLS.CA == "":
		report("servers", "%s needs tls.ca", u.Redacted())
	}
}

func (r *Register) check(report func(key, format string, args ...any)) {
	if r.Application == "" {
		return
	}
	if r.Address != "" {
		if err := endpoints.CheckAddress(r.Address); err != nil {
			report("register.address", "%v", err)
		}
	}
	if r.Renew.D() < minRenew {
		report("register.renew", "%v is under a second", r.Renew)
	}
}

// password returns the content of the password file. Where it can't be read there is none, and the registry rejects the call.
func (d *Declaration) password() string {
	text, err := os.ReadFile(d.PasswordFile)
	if err != nil || len(text) > maxPasswordBytes {
		return ""
	}
	return strings.TrimRight(string(text), "\r\n")
}

// path returns the path of a poll that is no delta.
func (d *Declaration) path() string {
	switch {
	case d.VirtualAddress != "":
		return "/vips/" + url.PathEscape(d.VirtualAddress)
	case len(d.Applications) == 1 && !d.Delta:
		return allApplicationsPath + "/" + url.PathEscape(strings.ToUpper(d.Applications[0]))
	}
	return allApplicationsPath
}

// Describe returns what the polls cost the registry, for `orchiddrift check`.
func (d *Declaration) Describe() string {
	return fmt.Sprintf("eureka %s: %s, %.3g requests a second", d.Name, d.path(), 1/d.Poll.D().Seconds())
}

func (d *Declaration) mapping() Mapping {
	return Mapping{Secure: d.Secure, ZoneKey: d.ZoneKey, TypeKey: d.TypeKey, GroupKey: d.GroupKey, IdentityKey: d.IdentityKey,
		WithApp: len(d.Applications) != 1 && d.VirtualAddress == ""}
}
