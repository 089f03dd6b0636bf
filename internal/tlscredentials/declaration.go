package tlscredentials

import (
	"crypto/tls"

	"orchiddrift/internal/units"
)

// ListenerTLS is the encryption of clients' connections in the configuration file.
type ListenerTLS struct {
	Certificate string         `toml:"certificate" sample:"\"/etc/orchiddrift/tls.crt\"" doc:"The certificate chain shown to clients, PEM. Given with key: clients' connections are encrypted. The file is watched."`
	Key         string         `toml:"key" sample:"\"/etc/orchiddrift/tls.key\"" doc:"Its private key, PEM. The file is watched; a pair that does not fit together is not taken over."`
	ClientCA    string         `toml:"client_ca" doc:"Authorities, PEM, that clients' certificates may come from. The file is watched."`
	Clients     string         `toml:"clients" default:"none" oneof:"none|wanted|required" doc:"Whether clients show a certificate. One that is shown has to be good."`
	MinVersion  string         `toml:"min_version" default:"1.3" oneof:"1.2|1.3" doc:"The oldest version of TLS that is spoken."`
	WarnBefore  units.Duration `toml:"warn_before" default:"168h" doc:"So long ahead of a certificate's end the log begins to warn."`
}

// Check implements tomlfile.Checker.
func (l *ListenerTLS) Check(report func(key, format string, args ...any)) {
	switch {
	case l.Certificate != "" && l.Key == "":
		report("certificate", "stands there without a key")
	case l.Key != "" && l.Certificate == "":
		report("key", "stands there without a certificate")
	}
	switch {
	case l.Clients != clientsNone && l.Certificate == "":
		report("clients", "clients can show none where connections are not encrypted")
	case l.Clients != clientsNone && l.ClientCA == "":
		report("clients", "there is no client_ca to hold certificates against")
	}
}

// Enabled reports whether clients' connections are encrypted.
func (l *ListenerTLS) Enabled() bool { return l.Certificate != "" }

// UpstreamTLS is the encryption of connections to a service's upstreams in the configuration file.
type UpstreamTLS struct {
	CA          string         `toml:"ca" sample:"\"/etc/orchiddrift/upstreams-ca.crt\"" doc:"Authorities, PEM, that upstreams' certificates have to come from. Given: connections are encrypted. The file is watched; a connection made under an authority that has been withdrawn is closed once it is idle."`
	Name        string         `toml:"name" doc:"The name that an upstream's certificate has to bear, a DNS name or a URI. An entry of the list may name its own (identity)."`
	Certificate string         `toml:"certificate" doc:"The certificate shown to upstreams, PEM. The file is watched."`
	Key         string         `toml:"key" doc:"Its private key, PEM. The file is watched."`
	MinVersion  string         `toml:"min_version" default:"1.3" oneof:"1.2|1.3" doc:"The oldest version of TLS that is spoken."`
	WarnBefore  units.Duration `toml:"warn_before" default:"168h" doc:"So long ahead of a certificate's end the log begins to warn."`
}

// Check implements tomlfile.Checker.
func (u *UpstreamTLS) Check(report func(key, format string, args ...any)) {
	switch {
	case u.Certificate != "" && u.Key == "":
		report("certificate", "stands there without a key")
	case u.Key != "" && u.Certificate == "":
		report("key", "stands there without a certificate")
	case u.CA == "" && (u.Name != "" || u.Certificate != ""):
		report("", "there is no ca, without which nothing is encrypted")
	}
}

// Enabled reports whether connections to upstreams are encrypted.
func (u *UpstreamTLS) Enabled() bool { return u.CA != "" }

// version returns the TLS version of a min_version.
func version(text string) uint16 {
	if text == "1.2" {
		return tls.VersionTLS12
	}
	return tls.VersionTLS13
}
