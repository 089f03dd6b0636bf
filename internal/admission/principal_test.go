package admission

import (
	"net/netip"
	"strings"
	"testing"
)

// Requests must get their principals from the configured sources, and no name may be longer than maxNameLength.
func TestPrincipalNames(t *testing.T) {
	peer := func(a string) func() netip.Addr { return func() netip.Addr { return netip.MustParseAddr(a) } }
	header := func(string) string { return strings.Repeat("h", 100) }
	for _, tt := range []struct {
		sources     string
		client      Client
		group, flow string // group "*": any name of maxNameLength bytes
	}{
		{"tenant", Client{Tenant: "acme"}, "acme", ""},
		{"tenant", Client{}, "", ""},
		{"tenant address", Client{Tenant: "acme", Peer: peer("192.0.2.7")}, "acme", "192.0.2.7"},
		{"address", Client{Peer: peer("::ffff:192.0.2.7")}, "192.0.2.7", ""},
		{"address", Client{Peer: peer("2001:db8:1:2:3:4:5:6")}, "2001:db8:1:2::/64", ""},
		{"address", Client{Peer: peer("fe80::1%eth0")}, "fe80::/64", ""},
		{"address", Client{Peer: func() netip.Addr { return netip.Addr{} }}, "", ""},
		{"certificate", Client{Certificate: func() string { return "spiffe://x/y" }}, "spiffe://x/y", ""},
		{"certificate", Client{}, "", ""},
		{"header:X-Shop tenant", Client{Tenant: "t", Header: header}, "*", "t"},
	} {
		sources, err := ParsePrincipalSources(strings.Fields(tt.sources))
		mustSucceed(t, err)
		group, flow := sources.Names(tt.client)
		if tt.group == "*" && len(group) == maxNameLength {
			tt.group = group
		}
		if group != tt.group || flow != tt.flow {
			t.Errorf("sources %s: Names returned the wrong principals, group %q and flow %q", tt.sources, group, flow)
		}
	}
	for _, bad := range []string{"", "tenant tenant", "tenant address certificate", "header:", "header:a b", "name", "tenant:x"} {
		if _, err := ParsePrincipalSources(strings.Fields(bad)); err == nil {
			t.Errorf("the invalid sources %q are accepted", bad)
		}
	}
}
