package eureka

import (
	"net"
	"strconv"
	"strings"

	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/endpoints"
)

// The statuses of an instance in the registry's documents.
const (
	statusUp           = "UP"
	statusDown         = "DOWN"
	statusStarting     = "STARTING"
	statusOutOfService = "OUT_OF_SERVICE"
	statusUnknown      = "UNKNOWN"
)

// actionDeleted is the action of a delta that removes an instance; the others add or change it.
const actionDeleted = "DELETED"

// endpointStatus is the endpoint's status for an instance's; any other is unknown.
var endpointStatus = map[string]string{
	statusUp:           endpoints.StatusReady,
	statusDown:         membership.StatusDown,
	statusStarting:     membership.StatusStarting,
	statusOutOfService: membership.StatusOutOfService,
	statusUnknown:      membership.StatusUnknown,
}

// instance is an instance of a document.
type instance struct {
	application    string
	id             string
	host, ip       string
	status         string
	overridden     string // status that an operator has set
	port           port
	securePort     port
	metadata       map[string]string
	dataCenterZone string
	upMs           int64  // when it came up, Unix time in milliseconds; 0: not known
	registeredMs   int64  // when it registered
	action         string // in a delta: ADDED, MODIFIED, DELETED
}

type port struct {
	number    int
	isEnabled bool
}

// key returns what tells instances of an application apart: the host where there is no id, as in old documents.
func (i *instance) key() string {
	if i.id != "" {
		return i.id
	}
	return i.host
}

// effectiveStatus returns the status that counts. An override that takes the instance out wins over a status that says otherwise, as it
// will on the registry's other replicas.
func (i *instance) effectiveStatus() string {
	switch i.overridden {
	case statusOutOfService, statusDown:
		if i.status == statusUp || i.status == statusStarting || i.status == statusUnknown {
			return i.overridden
		}
	}
	return i.status
}

// Mapping says how an instance becomes an endpoint.
type Mapping struct {
	Secure      bool   // the secure port is used
	ZoneKey     string // of the metadata; so are the other keys
	TypeKey     string
	GroupKey    string
	IdentityKey string
	WithApp     bool // names include the application, where there are several
}

// endpoint returns an instance as an endpoint; false: it has no usable address.
func (m Mapping) endpoint(i *instance) (endpoints.Endpoint, bool) {
	status, known := endpointStatus[i.effectiveStatus()]
	if !known {
		status = membership.StatusUnknown
	}
	p := i.port
	if m.Secure {
		p = i.securePort
	}
	host := i.ip
	if net.ParseIP(host) == nil {
		host = i.host // some have the address there; there are no name look-ups
	}
	e := endpoints.Endpoint{Name: i.key(), Address: net.JoinHostPort(host, strconv.Itoa(p.number)), Status: status,
		Zone: i.metadata[m.ZoneKey], MachineType: i.metadata[m.TypeKey], TLSIdentity: i.metadata[m.IdentityKey]}
	if e.Zone == "" {
		e.Zone = i.dataCenterZone
	}
	e.Cell, _ = strconv.Atoi(i.metadata[m.GroupKey]) // 0 where it is no number
	if m.WithApp {
		e.Name = i.application + "/" + e.Name
	}
	if e.StartedMs = float64(i.upMs); e.StartedMs <= 0 {
		e.StartedMs = float64(max(i.registeredMs, 0))
	}
	isUsable := p.isEnabled && p.number > 0 && endpoints.CheckAddress(e.Address) == nil && i.key() != ""
	return e, isUsable
}

// maxFloatNumber bounds the numbers that are read from a floating point text, such as 1.7e12.
const maxFloatNumber = 1e18

// parseNumber returns the number in a text; 0: there is none.
func parseNumber(text string) int64 {
	text = strings.TrimSpace(text)
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n
	}
	if f, err := strconv.ParseFloat(text, 64); err == nil && f > 0 && f < maxFloatNumber {
		return int64(f)
	}
	return 0
}

// parsePort returns the port number in a text; 0: there is none.
func parsePort(text string) int {
	if n := parseNumber(text); n > 0 && n < 1<<16 {
		return int(n)
	}
	return 0
}

func isTrue(text string) bool { return strings.EqualFold(strings.TrimSpace(text), "true") }
