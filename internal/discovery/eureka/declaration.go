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

// Limits of a Declaration.
const (
	minPoll          = 100 * time.Millisecond
	maxServers       = 16
	minAnswer        = 4 * units.KiB
	maxAnswer        = 256 * units.MiB
	minRenew         = time.Second
	maxPasswordBytes = 4096
)

// allApplicationsPath is the path of all applications of the registry.
const allApplicationsPath = "/apps"

// Declaration is a table [[eureka]] of the operator's configuration file. It describes one Eureka registry.
type Declaration struct {
	Service        string                     `toml:"service" sample:"\"seats\"" doc:"The service whose upstreams the registry lists, in addition to the service's own list if it has one; \"platform\" is the platform's service."`
	Name           string                     `toml:"name" default:"eureka" doc:"The registry's name in the log. It must be unique among the registries of a service."`
	Servers        []string                   `toml:"servers" sample:"[\"http://127.0.0.1:8761/eureka\"]" doc:"Base addresses of the registry's replicas, which are tried in turn. They end before /apps: .../eureka, or .../eureka/v2."`
	Applications   []string                   `toml:"applications" sample:"[\"SEATS\"]" doc:"The applications whose instances are upstreams. Absent: all. A single application is requested by name."`
	VirtualAddress string                     `toml:"vip" doc:"A virtual address (vipAddress), in place of applications."`
	Delta          bool                       `toml:"delta" doc:"Polls the changes (deltas) of the whole registry, even for a single application. This pays off if the application is large and the registry's replicas agree."`
	Format         string                     `toml:"format" default:"json" oneof:"json|xml" doc:"The format that is requested. A response is decoded by its media type."`
	Poll           units.Duration             `toml:"poll" default:"200ms" doc:"The interval between polls, at least 100ms. A drain is noticed after this interval plus the registry's own cache time."`
	Timeout        units.Duration             `toml:"timeout" default:"1s" doc:"The timeout for a complete response of one server."`
	Backoff        units.Duration             `toml:"backoff" default:"1250ms" doc:"The longest wait after failed polls. The wait starts at poll, doubles, and has jitter. Three failed polls must fit into the 6s within which a change has to be noticed."`
	MaxAnswer      units.Size                 `toml:"max_answer" default:"16MiB" doc:"The largest response accepted, after decompression."`
	User           string                     `toml:"user" doc:"The user name for basic authentication."`
	PasswordFile   string                     `toml:"password_file" sample:"\"/etc/orchiddrift/eureka-password\"" doc:"A file with the password. It is read for every request, so that a new password takes effect."`
	Secure         bool                       `toml:"secure" doc:"Requests are sent to the instances' secure ports."`
	ZoneKey        string                     `toml:"zone_key" default:"zone" doc:"The key of an instance's metadata that holds its zone. If it is missing there, the data centre's availability-zone is used."`
	TypeKey        string                     `toml:"type_key" default:"type" doc:"The metadata key that holds the instance's machine type."`
	GroupKey       string                     `toml:"group_key" default:"group" doc:"The metadata key that holds the instance's group."`
	IdentityKey    string                     `toml:"identity_key" default:"identity" doc:"The metadata key that holds the name in the instance's certificate."`
	TLS            tlscredentials.UpstreamTLS `toml:"tls" doc:"TLS settings for https servers."`
	Register       Register                   `toml:"register" reload:"start" doc:"Registers this process in the registry."`
}

// Register is the table register of a Declaration. It describes how this process registers itself.
type Register struct {
	Application string            `toml:"application" sample:"\"ORCHIDDRIFT\"" doc:"The application that this process registers as. Absent: it does not register."`
	ID          string            `toml:"id" doc:"The instance id. Absent: daemon.name and the address."`
	Address     string            `toml:"address" sample:"\"10.3.0.7:8080\"" doc:"The registered IP address and port. Absent: daemon.listen."`
	VIP         string            `toml:"vip" doc:"The virtual address. Absent: the application in lower case."`
	Renew       units.Duration    `toml:"renew" default:"30s" doc:"How often the lease is renewed. The lease expires after three times this interval."`
	Metadata    map[string]string `toml:"metadata" doc:"Further metadata of the instance."`
}

// Check reports each invalid value of a declaration. It implements tomlfile.Checker.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.Service == "" {
		report("service", "missing")
	}
	if len(d.Servers) == 0 || len(d.Servers) > maxServers {
		report("servers", "%d servers are given, between 1 and %d are needed", len(d.Servers), maxServers)
	}
	for _, server := range d.Servers {
		d.checkServer(server, report)
	}
	if d.VirtualAddress != "" && (len(d.Applications) > 0 || d.Delta) {
		report("vip", "cannot be combined with applications or delta")
	}
	if d.Poll.D() < minPoll {
		report("poll", "%v is less than %v", d.Poll, minPoll)
	}
	if d.Timeout <= 0 {
		report("timeout", "must be greater than zero")
	}
	if d.Backoff < d.Poll {
		report("backoff", "%v is less than poll", d.Backoff)
	}
	if d.MaxAnswer < minAnswer || d.MaxAnswer > maxAnswer {
		report("max_answer", "%v is not between 4KiB and 256MiB", d.MaxAnswer)
	}
	if (d.User == "") != (d.PasswordFile == "") {
		report("user", "user and password_file must be set together")
	}
	d.Register.check(report)
}

func (d *Declaration) checkServer(server string, report func(key, format string, args ...any)) {
	u, err := url.Parse(server)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https" || u.RawQuery != "" || u.Fragment != "":
		report("servers", "%q is not an address such as http://127.0.0.1:8761/eureka", redacted(server))
	case u.Port() == "" || endpoints.CheckAddress(u.Host) != nil:
		report("servers", "%s: an IP address and a port are needed, since host names are not resolved", u.Redacted())
	case u.User != nil:
		report("servers", "%s: user and password belong in user and password_file, not in the address", u.Redacted())
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
		report("register.renew", "%v is less than one second", r.Renew)
	}
}

// password returns the content of the password file. If the file cannot be read it returns an empty password, and the registry rejects
// the call.
func (d *Declaration) password() string {
	text, err := os.ReadFile(d.PasswordFile)
	if err != nil || len(text) > maxPasswordBytes {
		return ""
	}
	return strings.TrimRight(string(text), "\r\n")
}

// path returns the path of a full poll.
func (d *Declaration) path() string {
	switch {
	case d.VirtualAddress != "":
		return "/vips/" + url.PathEscape(d.VirtualAddress)
	case len(d.Applications) == 1 && !d.Delta:
		return allApplicationsPath + "/" + url.PathEscape(strings.ToUpper(d.Applications[0]))
	}
	return allApplicationsPath
}

// Describe returns the polled path and the poll rate as text, for `orchiddrift check`.
func (d *Declaration) Describe() string {
	return fmt.Sprintf("eureka %s: %s, %.3g requests a second", d.Name, d.path(), 1/d.Poll.D().Seconds())
}

func (d *Declaration) mapping() Mapping {
	return Mapping{Secure: d.Secure, ZoneKey: d.ZoneKey, TypeKey: d.TypeKey, GroupKey: d.GroupKey, IdentityKey: d.IdentityKey,
		WithApp: len(d.Applications) != 1 && d.VirtualAddress == ""}
}
