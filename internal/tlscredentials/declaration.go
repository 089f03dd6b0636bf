package tlscredentials

import (
	"crypto/tls"

	"orchiddrift/internal/units"
)

// ListenerTLS is the configuration section for TLS on clients' connections.
type ListenerTLS struct {
	Certificate string         `toml:"certificate" sample:"\"/etc/orchiddrift/tls.crt\"" doc:"The certificate chain presented to clients, PEM. Clients' connections are encrypted if it is set together with key. The file is watched."`
	Key         string         `toml:"key" sample:"\"/etc/orchiddrift/tls.key\"" doc:"Its private key, PEM. The file is watched; a certificate and a key that do not match are not used."`
	ClientCA    string         `toml:"client_ca" doc:"CA certificates, PEM, that clients' certificates are verified against. The file is watched."`
	Clients     string         `toml:"clients" default:"none" oneof:"none|wanted|required" doc:"Whether clients present a certificate. A certificate that is presented must be valid."`
	MinVersion  string         `toml:"min_version" default:"1.3" oneof:"1.2|1.3" doc:"The oldest version of TLS that is accepted."`
	WarnBefore  units.Duration `toml:"warn_before" default:"168h" doc:"How long before a certificate expires the log begins to warn."`
}

// Check implements tomlfile.Checker.
func (l *ListenerTLS) Check(report func(key, format string, args ...any)) {
	switch {
	case l.Certificate != "" && l.Key == "":
		report("certificate", "is set without a key")
	case l.Key != "" && l.Certificate == "":
		report("key", "is set without a certificate")
	}
	switch {
	case l.Clients != clientsNone && l.Certificate == "":
		report("clients", "clients cannot present a certificate because their connections are not encrypted")
	case l.Clients != clientsNone && l.ClientCA == "":
		report("clients", "there is no client_ca to verify certificates against")
	}
}

// Enabled reports whether clients' connections are encrypted.
func (l *ListenerTLS) Enabled() bool { return l.Certificate != "" }

// UpstreamTLS is the configuration section for TLS on connections to a service's upstreams.
type UpstreamTLS struct {
	CA          string         `toml:"ca" sample:"\"/etc/orchiddrift/upstreams-ca.crt\"" doc:"CA certificates, PEM, that upstreams' certificates are verified against. Connections are encrypted if it is set. The file is watched; a connection made under a CA that has been removed is closed once it is idle."`
	Name        string         `toml:"name" doc:"The name that an upstream's certificate must have, a DNS name or a URI. An entry of the endpoint list may set its own (identity)."`
	Certificate string         `toml:"certificate" doc:"The certificate presented to upstreams, PEM. The file is watched."`
	Key         string         `toml:"key" doc:"Its private key, PEM. The file is watched."`
	MinVersion  string         `toml:"min_version" default:"1.3" oneof:"1.2|1.3" doc:"The oldest version of TLS that is accepted."`
	WarnBefore  units.Duration `toml:"warn_before" default:"168h" doc:"How long before a certificate expires the log begins to warn."`
}

// Check implements tomlfile.Checker.
func (u *UpstreamTLS) Check(report func(key, format string, args ...any)) {
	switch {
	case u.Certificate != "" && u.Key == "":
		report("certificate", "is set without a key")
	case u.Key != "" && u.Certificate == "":
		report("key", "is set without a certificate")
	case u.CA == "" && (u.Name != "" || u.Certificate != ""):
		report("", "there is no ca, without which connections are not encrypted")
	}
}

// Enabled reports whether connections to upstreams are encrypted.
func (u *UpstreamTLS) Enabled() bool { return u.CA != "" }

// version returns the TLS version that a min_version names.
func version(text string) uint16 {
	if text == "1.2" {
		return tls.VersionTLS12
	}
	return tls.VersionTLS13
}
