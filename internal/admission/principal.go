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

// Client is what a front knows of a request's sender. What a client says of itself (Tenant, Header) it can forge; a
// certificate it can't, and an address only as far as its network lets it.
type Client struct {
	Tenant      string
	Header      func(name string) string // nil: there are none
	Certificate func() string            // the name that its certificate bears; empty: it showed none. nil: nobody shows one
	Peer        func() netip.Addr        // nil: not known
}

// PrincipalSources tells principals apart.
type PrincipalSources []source

type source struct {
	kind   string
	header string
}

// ParsePrincipalSources reads what Options.PrincipalSources says: one or two sources.
func ParsePrincipalSources(words []string) (PrincipalSources, error) {
	if len(words) < 1 || len(words) > 2 {
		return nil, fmt.Errorf("%d are given: one or two are needed", len(words))
	}
	by := make(PrincipalSources, len(words))
	for i, word := range words {
		kind, name, named := strings.Cut(word, ":")
		switch {
		case !named && (kind == "tenant" || kind == "certificate" || kind == "address"):
			by[i] = source{kind: kind}
		case named && kind == "header" && httpguts.ValidHeaderFieldName(name):
			by[i] = source{kind: kind, header: textproto.CanonicalMIMEHeaderKey(name)}
		default:
			return nil, fmt.Errorf(`%q is none of "tenant", "header:NAME", "certificate" and "address"`, word)
		}
		if i > 0 && by[i] == by[0] {
			return nil, fmt.Errorf("%q is given twice", word)
		}
	}
	return by, nil
}

// maxNameLength is how long a principal's name may be; longer ones are known by their hash.
const maxNameLength = 64

// Names are a request's principals: of the group, and of the flow within it (empty where By has one source). A request
// that has none of a source is the principal "".
func (by PrincipalSources) Names(w Client) (group, flow string) {
	if len(by) > 1 {
		flow = by[1].name(w)
	}
	return by[0].name(w), flow
}

func (s source) name(w Client) string {
	var name string
	switch s.kind {
	case "tenant":
		name = w.Tenant
	case "certificate":
		if w.Certificate != nil {
			name = w.Certificate()
		}
	case "header":
		if w.Header != nil {
			name = w.Header(s.header)
		}
	case "address":
		if w.Peer != nil {
			return networkName(w.Peer())
		}
	}
	return boundedName(name)
}

// boundedName is a name of no more than maxNameLength bytes, and none that stands for a crowd.
func boundedName(name string) string {
	if len(name) > maxNameLength || strings.HasPrefix(name, overflowPrefix) {
		sum := sha256.Sum256([]byte(name))
		name = hex.EncodeToString(sum[:maxNameLength/2])
	}
	return name
}

// networkName is the part of an address that stands for one party: all of an IPv4 address, the /64 of an IPv6 one, which a
// host may choose freely within.
func networkName(a netip.Addr) string {
	a = a.Unmap()
	switch {
	case !a.IsValid():
		return ""
	case a.Is4():
		return a.String()
	}
	p, err := a.WithZone("").Prefix(64)
	if err != nil {
		return a.String()
	}
	return p.String()
}
