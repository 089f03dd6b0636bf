package eureka

import (
	"net"
	"strconv"
	"strings"

	"orchiddrift/balancer"
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

// actionDeleted is the action in a delta that removes an instance. Any other action adds or changes the instance.
const actionDeleted = "DELETED"

// endpointStatus maps the status of an instance to the status of its endpoint. A status that is not in the map becomes StatusUnknown.
var endpointStatus = map[string]string{
	statusUp:           endpoints.StatusReady,
	statusDown:         membership.StatusDown,
	statusStarting:     membership.StatusStarting,
	statusOutOfService: membership.StatusOutOfService,
	statusUnknown:      membership.StatusUnknown,
}

// instance is an application instance in a document.
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
	upMs           int64  // when the instance came up, in Unix milliseconds; 0 if unknown
	registeredMs   int64  // when the instance registered, in Unix milliseconds; 0 if unknown
	action         string // ADDED, MODIFIED or DELETED; set in a delta only
}

type port struct {
	number    int
	isEnabled bool
}

// key returns the identifier of the instance within its application. This is the id, or the host if the registry is an old version whose
// documents have no ids.
func (i *instance) key() string {
	if i.id != "" {
		return i.id
	}
	return i.host
}

// effectiveStatus returns the status that applies to the instance. If an operator has overridden the status to out of service or down, the
// override takes precedence over the status that this replica reports, since the other replicas will report it too.
func (i *instance) effectiveStatus() string {
	switch i.overridden {
	case statusOutOfService, statusDown:
		if i.status == statusUp || i.status == statusStarting || i.status == statusUnknown {
			return i.overridden
		}
	}
	return i.status
}

// Mapping describes how an instance is converted to an endpoint.
type Mapping struct {
	Secure      bool   // use the secure port
	ZoneKey     string // metadata key of the zone; the other keys are metadata keys too
	TypeKey     string
	GroupKey    string
	IdentityKey string
	WithApp     bool // prefix names with the application; set if there may be several applications
}

// endpoint converts an instance to an endpoint. It returns false if the instance has no key or no usable address.
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
		host = i.host // some instances have the IP address here; host names are not resolved
	}
	e := endpoints.Endpoint{Name: i.key(), Address: net.JoinHostPort(host, strconv.Itoa(p.number)), Status: status,
		Zone: i.metadata[m.ZoneKey], MachineType: i.metadata[m.TypeKey], TLSIdentity: i.metadata[m.IdentityKey]}
	if e.Zone == "" {
		e.Zone = i.dataCenterZone
	}
	e.Cell = balancer.UnknownCell
	if cell, err := strconv.Atoi(i.metadata[m.GroupKey]); err == nil {
		e.Cell = cell
	}
	if m.WithApp {
		e.Name = i.application + "/" + e.Name
	}
	if e.StartedMs = float64(i.upMs); e.StartedMs <= 0 {
		e.StartedMs = float64(max(i.registeredMs, 0))
	}
	isUsable := p.isEnabled && p.number > 0 && endpoints.CheckAddress(e.Address) == nil && i.key() != ""
	return e, isUsable
}

// maxFloatNumber is the limit for numbers that are parsed from floating-point notation, such as 1.7e12.
const maxFloatNumber = 1e18

// parseNumber returns the number that text contains, or 0 if it is not a number.
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

// parsePort returns the port number that text contains, or 0 if it is not a valid port.
func parsePort(text string) int {
	if n := parseNumber(text); n > 0 && n < 1<<16 {
		return int(n)
	}
	return 0
}

func isTrue(text string) bool { return strings.EqualFold(strings.TrimSpace(text), "true") }
