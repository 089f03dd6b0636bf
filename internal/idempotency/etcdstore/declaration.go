package etcdstore

import (
	"os"
	"strings"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/units"
)

// Declaration is a shared store in the configuration file.
type Declaration struct {
	Servers      []string                   `toml:"servers" sample:"[\"127.0.0.1:2379\"]" doc:"Client addresses of the etcd (v3 API) that all sidecars of the service share. Absent: there is none."`
	Prefix       string                     `toml:"prefix" default:"orchiddrift/repeats/" doc:"What its keys begin with; sidecars that share it share their keys."`
	Timeout      units.Duration             `toml:"timeout" default:"500ms" doc:"For one of its answers."`
	Session      units.Duration             `toml:"session" default:"10s" doc:"So long after this process was last heard of there, what it ran counts as perhaps run, and is not sent again."`
	MaxClockSkew units.Duration             `toml:"clock_skew" default:"0s" doc:"How far the sidecars' wall clocks may be apart. Given, what may have run at one sidecar is sent again by another within the nodes' window, less this. 0: it is not."`
	OnError      string                     `toml:"error" default:"refuse" oneof:"refuse|go on" doc:"What becomes of new keys while it can't be asked: refused, or sent under this sidecar's own knowledge alone."`
	User         string                     `toml:"user" doc:"For its authentication."`
	PasswordFile string                     `toml:"password_file" sample:"\"/etc/orchiddrift/etcd-password\"" doc:"A file that holds the password, read when it is connected to."`
	TLS          tlscredentials.UpstreamTLS `toml:"tls" doc:"Encryption towards it."`
}

// Enabled reports whether a shared store is declared.
func (d *Declaration) Enabled() bool { return len(d.Servers) > 0 }

// The ranges that Declaration.Check accepts.
const (
	maxServers = 16
	minTimeout = time.Millisecond
	maxTimeout = time.Minute
	minSession = 2 * time.Second // leases are granted in whole seconds
	maxSession = 10 * time.Minute
)

// Check implements tomlfile.Checker: it reports each value that is out of range, with its key in the configuration file.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if !d.Enabled() {
		if d.User != "" || d.PasswordFile != "" || d.TLS.Enabled() {
			report("servers", "none is given")
		}
		return
	}
	if len(d.Servers) > maxServers {
		report("servers", "%d are given, %d at most", len(d.Servers), maxServers)
	}
	for _, server := range d.Servers {
		if err := endpoints.CheckAddress(server); err != nil {
			report("servers", "%v", err)
		}
	}
	if d.Prefix == "" {
		report("prefix", "keys need one")
	}
	if d.Timeout.D() < minTimeout || d.Timeout.D() > maxTimeout {
		report("timeout", "%v is not from 1ms to 1m", d.Timeout)
	}
	if d.Session.D() < minSession || d.Session.D() > maxSession {
		report("session", "%v is not from 2s to 10m", d.Session)
	}
	if d.MaxClockSkew < 0 {
		report("clock_skew", "%v is under 0", d.MaxClockSkew)
	}
	if (d.User == "") != (d.PasswordFile == "") {
		report("user", "user and password_file stand together")
	}
}

// password reads the password file; "" if there is none.
func (d *Declaration) password() (string, error) {
	if d.PasswordFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(d.PasswordFile)
	return strings.TrimSpace(string(text)), err
}
