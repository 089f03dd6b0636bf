package config

import (
	"strconv"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/listfile"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/lease"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/settings"
	"orchiddrift/internal/task"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/units"
	"orchiddrift/internal/upstream/loadprobe"
	"orchiddrift/internal/upstream/prewarm"
)

// Bounds of values in an operator's file.
const (
	maxCores  = 4096
	maxWeight = 1e6 // of a service, beside the others' weights
)

// File is the operator's file. Most of its parts are declared by the packages that they configure.
type File struct {
	Daemon      Daemon                     `toml:"daemon" doc:"The process. Beside the platform's file, that one's name, listen and seed win."`
	Limits      FileLimits                 `toml:"limits" doc:"What the process may use. Beside the platform's file, that one's win."`
	Shares      Shares                     `toml:"shares" doc:"How services share the limits."`
	TLS         tlscredentials.ListenerTLS `toml:"tls" doc:"Encryption towards clients."`
	Log         logging.Declaration        `toml:"log" doc:"The log."`
	Membership  membership.Options         `toml:"membership" doc:"How several lists of one service are merged."`
	Eureka      []eureka.Declaration       `toml:"eureka" doc:"An Eureka registry that lists upstreams of a service, beside that one's own list or alone."`
	Platform    PlatformPart               `toml:"platform" doc:"Added to the platform's service, beside its file."`
	Fleet       lease.Declaration          `toml:"fleet" doc:"The fleet of processes that this one belongs to, and the group of them that keeps its leases."`
	Tasks       []task.Declaration         `toml:"task" reload:"start" doc:"Background work of the fleet: each due run is done by one of its processes."`
	Admission   []admission.Options        `toml:"door" doc:"A queue before a service, fair between those who ask."`
	Services    []Service                  `toml:"service" doc:"A service: upstreams that answer the same requests. There are as many as there are such tables."`
	Idempotency []executor.Declaration     `toml:"repeats" doc:"A store of idempotency keys: a client's repeat of a keyed request gets the first one's end."`
	GraphQL     []graphql.Options          `toml:"graphql" doc:"A GraphQL endpoint: its operations are told apart, classed and costed by what stands in them."`
	Routes      []routes.Declaration       `toml:"route" doc:"A route: which requests go to which service, and as what. Absent, with one service and no [[graphql]]: all go there."`
}

// Daemon is the part of the file on the process itself.
type Daemon struct {
	Name    string         `toml:"name" reload:"start" doc:"The process's name, for logs."`
	Listen  string         `toml:"listen" default:"127.0.0.1:8080" reload:"start" doc:"Where clients connect: IP address and port."`
	Control string         `toml:"control" reload:"start" sample:"\"127.0.0.1:8081\"" doc:"Where operators call: IP address and port. /ready, /metrics, /drain and /undrain answer there. Absent: nowhere."`
	Seed    string         `toml:"seed" reload:"start" sample:"\"8c1f30d27a5be964\"" doc:"Where random numbers begin, 64 bits in hexadecimal: the same seed draws the same. Absent: a new one is drawn at each start and logged."`
	Grace   units.Duration `toml:"grace" default:"0s" reload:"start" doc:"How long what is in hand may take after SIGTERM; 0s: as long as the longest deadline."`
}

// FileLimits is the part of the file on the resources that the process may use.
type FileLimits struct {
	Cores       float64        `toml:"cores" reload:"start" doc:"Processor cores; 0: as many as there are."`
	Memory      units.Size     `toml:"memory" default:"192MiB" reload:"start" doc:"The heap is held to three quarters of it; a 64th is what one answer may have."`
	Descriptors int            `toml:"descriptors" default:"1024" reload:"start" doc:"File descriptors: 32 are kept aside, half of the rest is for clients' connections, half for upstreams'."`
	HeadTimeout units.Duration `toml:"head_timeout" default:"2s" reload:"start" doc:"How long a client may take for a request's head, and for its handshake."`
	BodyTimeout units.Duration `toml:"body_timeout" default:"5s" doc:"And for its body."`
}

// Shares is the part of the file on how services share the limits.
type Shares struct {
	Guaranteed float64 `toml:"guaranteed" default:"0.5" doc:"The part of each limit (connections to upstreams, requests in hand, bytes in hand) that is set aside for the services by their share; the rest is for who comes first."`
}

// Service is one service. Its own endpoint list comes from one of Addresses, Endpoints, ListFile and Discovery; it needs none if a registry
// lists its upstreams.
type Service struct {
	Name            string                     `toml:"name" sample:"\"seats\"" doc:"The service's name, which routes give."`
	Addresses       []string                   `toml:"addresses" sample:"[\"127.0.0.1:9001\", \"127.0.0.1:9002\"]" doc:"The upstreams, where there is no more to say of them than IP address and port."`
	Endpoints       []listfile.Entry           `toml:"endpoint" doc:"An upstream, with all that can be said of it."`
	ListFile        string                     `toml:"list_file" sample:"\"/etc/orchiddrift/seats.json\"" doc:"A watched file of upstreams, JSON or TOML by its ending. A file that can't be used keeps the last good list."`
	Discovery       string                     `toml:"discovery" sample:"\"127.0.0.1:8500\"" doc:"The platform's discovery: IP address and port."`
	Push            bool                       `toml:"discovery_pushes" doc:"Lists are pushed to an agent at that address, so that asking costs nothing."`
	SuccessStatuses []string                   `toml:"answers" default:"2xx, 3xx, 4xx" doc:"Statuses that are an upstream's answer, and passed on as they are. Any other is a failure. 429 and 503 never count."`
	Weight          float64                    `toml:"share" default:"1" doc:"Its weight in what is set aside for services."`
	TLS             tlscredentials.UpstreamTLS `toml:"tls" doc:"Encryption towards its upstreams."`
	Prewarm         prewarm.Options            `toml:"warm" doc:"Connections that are open before requests need them."`
	LoadProbe       loadprobe.Options          `toml:"probe" doc:"Asking upstreams for their load, where a process sends little."`
	Subset          subset.Options             `toml:"subset" doc:"For many upstreams: a part of them is this process's own."`
	settings.Declaration
}

// PlatformPart is what the operator's file says of the platform's service.
type PlatformPart struct {
	Prewarm   prewarm.Options   `toml:"warm" doc:"Connections that are open before requests need them."`
	LoadProbe loadprobe.Options `toml:"probe" doc:"Asking upstreams for their load, where its settings allow probes."`
	Subset    subset.Options    `toml:"subset" doc:"For many upstreams: a part of them is this process's own."`
}

// Check implements tomlfile.Checker.
func (d *Daemon) Check(report func(key, format string, args ...any)) {
	if err := endpoints.CheckAddress(d.Listen); err != nil {
		report("listen", "%v", err)
	}
	if d.Control != "" {
		if err := checkControl(d.Control, d.Listen); err != nil {
			report("control", "%v", err)
		}
	}
	if d.Seed != "" {
		if _, err := strconv.ParseUint(d.Seed, 16, 64); err != nil {
			report("seed", "%q is not a 64-bit hexadecimal number", d.Seed)
		}
	}
}

// Check implements tomlfile.Checker.
func (l *FileLimits) Check(report func(key, format string, args ...any)) {
	if !(l.Cores >= 0) || l.Cores > maxCores {
		report("cores", "%v is not usable", l.Cores)
	}
	if l.Memory < minMemoryMB*units.MiB {
		report("memory", "%v is under %dMiB", l.Memory, minMemoryMB)
	}
	if l.Descriptors < minSockets {
		report("descriptors", "%d is under %d", l.Descriptors, minSockets)
	}
	if l.HeadTimeout <= 0 || l.BodyTimeout <= 0 {
		report("head_timeout", "a client needs some time, for the body too")
	}
}

// Check implements tomlfile.Checker.
func (s *Shares) Check(report func(key, format string, args ...any)) {
	if !(s.Guaranteed >= 0 && s.Guaranteed <= 1) {
		report("guaranteed", "%v is not a part, from 0 to 1", s.Guaranteed)
	}
}

// oneSourceNeeded is the message on a service with more or less than one list of its own. It needs none beside a registry.
const oneSourceNeeded = "upstreams come from one of addresses, endpoint, list_file and discovery, beside any [[eureka]]; %d are given"

// ownSources returns how many lists the service has beside those of registries; one at most is allowed.
func (s *Service) ownSources() int {
	sources := 0
	for _, given := range []bool{len(s.Addresses) > 0, len(s.Endpoints) > 0, s.ListFile != "", s.Discovery != ""} {
		if given {
			sources++
		}
	}
	return sources
}

// Check implements tomlfile.Checker.
func (s *Service) Check(report func(key, format string, args ...any)) {
	s.Declaration.Check(report)
	if s.Name == "" {
		report("name", "missing")
	}
	sources := s.ownSources()
	if sources > 1 {
		report("", oneSourceNeeded, sources)
	}
	for i, address := range s.Addresses {
		if err := endpoints.CheckAddress(address); err != nil {
			report("addresses", "item %d: %v", i+1, err)
		}
	}
	if sources == 1 && len(s.entries()) > 0 {
		if err := listfile.Validate(s.entries()); err != nil {
			report("", "%v", err)
		}
	}
	if s.Discovery != "" {
		if err := endpoints.CheckAddress(s.Discovery); err != nil {
			report("discovery", "%v", err)
		}
	}
	if _, err := httpheader.ParseStatuses(s.SuccessStatuses); err != nil {
		report("answers", "%v", err)
	}
	if !(s.Weight > 0) || s.Weight > maxWeight {
		report("share", "%v is not a usable weight", s.Weight)
	}
}

// entries returns the upstreams that the file itself lists.
func (s *Service) entries() []listfile.Entry {
	if len(s.Addresses) == 0 {
		return s.Endpoints
	}
	entries := make([]listfile.Entry, len(s.Addresses))
	for i, address := range s.Addresses {
		entries[i] = listfile.Entry{Name: address, Address: address, Status: endpoints.StatusReady}
	}
	return entries
}

// cores returns the number of processor cores to use on a machine.
func (l *FileLimits) cores(machine Machine) float64 {
	if l.Cores == 0 {
		return float64(machine.Cores)
	}
	return l.Cores
}
