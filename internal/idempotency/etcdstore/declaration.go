package etcdstore

import (
	"os"
	"strings"
	"time"

	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/units"
)

// Declaration is a shared store as declared in the configuration file.
type Declaration struct {
	Servers      []string                   `toml:"servers" sample:"[\"127.0.0.1:2379\"]" doc:"Client addresses of the etcd (v3 API) that all sidecars of the service share. Absent: keys are not shared."`
	Prefix       string                     `toml:"prefix" default:"orchiddrift/repeats/" doc:"Prefix of the keys in etcd. Sidecars with the same prefix share their idempotency keys."`
	Timeout      units.Duration             `toml:"timeout" default:"500ms" doc:"Timeout for one request to etcd."`
	Session      units.Duration             `toml:"session" default:"10s" doc:"Lifetime of the session in etcd after the last contact with this process. Once it has expired, requests that this process was running may have been executed and are not sent again."`
	MaxClockSkew units.Duration             `toml:"clock_skew" default:"0s" doc:"Maximum difference between the sidecars' wall clocks. If set, a request that one sidecar may have executed is sent again by another within the upstreams' deduplication window, less this difference. 0: it is not sent again."`
	OnError      string                     `toml:"error" default:"refuse" oneof:"refuse|go on" doc:"How requests with new keys are handled while etcd is unavailable: rejected, or sent on the basis of this sidecar's own records alone."`
	User         string                     `toml:"user" doc:"User name for authentication at etcd."`
	PasswordFile string                     `toml:"password_file" sample:"\"/etc/orchiddrift/etcd-password\"" doc:"A file with the password, read when the client for etcd is created."`
	TLS          tlscredentials.UpstreamTLS `toml:"tls" doc:"Encryption of connections to etcd."`
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
			report("servers", "must be set if user, password_file or tls is set")
		}
		return
	}
	if len(d.Servers) > maxServers {
		report("servers", "%d addresses are given, at most %d are allowed", len(d.Servers), maxServers)
	}
	for _, server := range d.Servers {
		if err := endpoints.CheckAddress(server); err != nil {
			report("servers", "%v", err)
		}
	}
	if d.Prefix == "" {
		report("prefix", "must not be empty")
	}
	if d.Timeout.D() < minTimeout || d.Timeout.D() > maxTimeout {
		report("timeout", "%v is not from 1ms to 1m", d.Timeout)
	}
	if d.Session.D() < minSession || d.Session.D() > maxSession {
		report("session", "%v is not from 2s to 10m", d.Session)
	}
	if d.MaxClockSkew < 0 {
		report("clock_skew", "%v is negative", d.MaxClockSkew)
	}
	if (d.User == "") != (d.PasswordFile == "") {
		report("user", "user and password_file must be set together")
	}
}

// password returns the content of the password file, or "" if no file is declared.
func (d *Declaration) password() (string, error) {
	if d.PasswordFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(d.PasswordFile)
	return strings.TrimSpace(string(text)), err
}
