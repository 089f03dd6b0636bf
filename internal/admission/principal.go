package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Client is what a protocol adapter knows about a request's sender. A client can forge what it states itself (Tenant
// and Header), but not a certificate. It can forge an address only as far as its network allows.
type Client struct {
	Tenant      string
	Header      func(name string) string // nil if there are no headers
	Certificate func() string            // returns the name in the client's certificate, or "" if it presented none; nil if clients cannot present one
	Peer        func() netip.Addr        // nil if the address is unknown
}

// PrincipalSources are the source that names a request's group and, if there are two, the one that names its flow.
type PrincipalSources []source

type source struct {
	kind   sourceKind
	header string // name of the header of a fromHeader source, in canonical form
}

// sourceKind is a kind of source, in the spelling of Options.PrincipalSources.
type sourceKind string

const (
	fromTenant      sourceKind = "tenant"
	fromCertificate sourceKind = "certificate"
	fromAddress     sourceKind = "address"
	fromHeader      sourceKind = "header" // followed by a colon and the header's name
)

// ParsePrincipalSources parses Options.PrincipalSources: one or two sources. The error names the invalid source.
func ParsePrincipalSources(specs []string) (PrincipalSources, error) {
	if len(specs) < 1 || len(specs) > 2 {
		return nil, fmt.Errorf("%d principal sources are given: one or two are needed", len(specs))
	}
	sources := make(PrincipalSources, len(specs))
	for i, spec := range specs {
		parsed, err := parseSource(spec)
		if err != nil {
			return nil, err
		}
		sources[i] = parsed
		if i > 0 && sources[i] == sources[0] {
			return nil, fmt.Errorf("principal source %q is given twice", spec)
		}
	}
	return sources, nil
}

func parseSource(spec string) (source, error) {
	name, header, hasHeader := strings.Cut(spec, ":")
	kind := sourceKind(name)
	switch {
	case !hasHeader && (kind == fromTenant || kind == fromCertificate || kind == fromAddress):
		return source{kind: kind}, nil
	case hasHeader && kind == fromHeader && httpguts.ValidHeaderFieldName(header):
		return source{kind: kind, header: textproto.CanonicalMIMEHeaderKey(header)}, nil
	}
	return source{}, fmt.Errorf(`principal source %q is none of "tenant", "header:NAME", "certificate" and "address"`, spec)
}

// Names returns a request's principals: its group, and its flow within the group, which is empty with one source. A
// request for which a source has no value belongs to that source's principal "".
func (s PrincipalSources) Names(c Client) (group, flow string) {
	if len(s) > 1 {
		flow = s[1].name(c)
	}
	return s[0].name(c), flow
}

// name returns the name of a request's principal by one source.
func (s source) name(c Client) string {
	var name string
	switch s.kind {
	case fromTenant:
		name = c.Tenant
	case fromCertificate:
		if c.Certificate != nil {
			name = c.Certificate()
		}
	case fromHeader:
		if c.Header != nil {
			name = c.Header(s.header)
		}
	case fromAddress:
		if c.Peer != nil {
			return networkName(c.Peer())
		}
	}
	return boundedName(name)
}

// maxNameLength is the maximum length of a principal's name, in bytes. A longer name is replaced by its hash.
const maxNameLength = 64

// boundedName returns a name, or its hash if it is longer than maxNameLength or could be the name of an overflow group.
func boundedName(name string) string {
	if len(name) > maxNameLength || strings.HasPrefix(name, overflowPrefix) {
		sum := sha256.Sum256([]byte(name))
		name = hex.EncodeToString(sum[:maxNameLength/2])
	}
	return name
}

// ipv6PrefixBits is the prefix length of the network in which an IPv6 host may choose its addresses.
const ipv6PrefixBits = 64

// networkName returns the part of an address that identifies one client: all of an IPv4 address, and the network of an
// IPv6 address.
func networkName(a netip.Addr) string {
	a = a.Unmap()
	switch {
	case !a.IsValid():
		return ""
	case a.Is4():
		return a.String()
	}
	prefix, err := a.WithZone("").Prefix(ipv6PrefixBits)
	if err != nil {
		return a.String()
	}
	return prefix.String()
}
