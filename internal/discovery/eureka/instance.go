package eureka

import (
	"net"
	"strconv"
	"strings"

	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/endpoints"
)

// The statuses of an instance, as the registry's documents have them.
const (
	statusUp           = "UP"
	statusDown         = "DOWN"
	statusStarting     = "STARTING"
	statusOutOfService = "OUT_OF_SERVICE"
	statusUnknown      = "UNKNOWN"
)

// words are the statuses as membership has them; what is none of these is not known.
var words = map[string]string{statusUp: endpoints.StatusReady, statusDown: membership.StatusDown,
	statusStarting: membership.StatusStarting, statusOutOfService: membership.StatusOutOfService,
	statusUnknown: membership.StatusUnknown}

// instance is what a document says of one.
type instance struct {
	app        string
	id         string
	host, ip   string
	status     string
	overridden string
	port       port
	securePort port
	metadata   map[string]string
	dcZone     string // the data centre's own word for its zone
	up         int64  // when it came up, Unix time in milliseconds; 0: not told
	registered int64
	action     string // in a delta: ADDED, MODIFIED, DELETED
}

type port struct {
	number int
	on     bool
}

// key tells instances apart. Without an id, as in old documents, the host is it.
func (i *instance) key() string {
	if i.id != "" {
		return i.id
	}
	return i.host
}

// effective is the status that counts: an override that takes it out wins over a status that says otherwise, as it will on
// the registry's other replicas.
func (i *instance) effective() string {
	switch i.overridden {
	case statusOutOfService, statusDown:
		if i.status == statusUp || i.status == statusStarting || i.status == statusUnknown {
			return i.overridden
		}
	}
	return i.status
}

// Mapping says how an instance becomes an upstream.
type Mapping struct {
	Secure      bool // the secure port counts
	ZoneKey     string
	TypeKey     string
	GroupKey    string
	IdentityKey string
	WithApp     bool // names bear the application, where there are several
}

// endpoint is an instance as an upstream; false: it has no address that can be used.
func (m Mapping) endpoint(i *instance) (endpoints.Endpoint, bool) {
	word, known := words[i.effective()]
	if !known {
		word = membership.StatusUnknown
	}
	p := i.port
	if m.Secure {
		p = i.securePort
	}
	host := i.ip
	if net.ParseIP(host) == nil {
		host = i.host // some put it there; there are no look-ups
	}
	e := endpoints.Endpoint{Name: i.key(), Address: net.JoinHostPort(host, strconv.Itoa(p.number)), Status: word,
		Zone: i.metadata[m.ZoneKey], MachineType: i.metadata[m.TypeKey], TLSIdentity: i.metadata[m.IdentityKey]}
	if e.Zone == "" {
		e.Zone = i.dcZone
	}
	e.Cell, _ = strconv.Atoi(i.metadata[m.GroupKey]) // 0 where it is no number
	if m.WithApp {
		e.Name = i.app + "/" + e.Name
	}
	if e.StartedMs = float64(i.up); e.StartedMs <= 0 {
		e.StartedMs = float64(max(i.registered, 0))
	}
	ok := p.on && p.number > 0 && endpoints.CheckAddress(e.Address) == nil && i.key() != ""
	return e, ok
}

// number reads what may be a number, a text with one in it, or neither.
func number(text string) int64 {
	text = strings.TrimSpace(text)
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return n
	}
	if f, err := strconv.ParseFloat(text, 64); err == nil && f > 0 && f < 1e18 { // 1.7e12
		return int64(f)
	}
	return 0
}

func isTrue(text string) bool { return strings.EqualFold(strings.TrimSpace(text), "true") }
