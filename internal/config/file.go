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
	maxWeight = 1e6 // largest weight of a service, relative to the other services
)

// File is the operator's file. Most of its parts are declared by the packages that they configure.
type File struct {
	Daemon      Daemon                     `toml:"daemon" doc:"Settings of the process. If there is also a platform's file, its name, listen and seed take precedence."`
	Limits      FileLimits                 `toml:"limits" doc:"Resources that the process may use. If there is also a platform's file, its limits take precedence."`
	Shares      Shares                     `toml:"shares" doc:"How the services share the limits."`
	TLS         tlscredentials.ListenerTLS `toml:"tls" doc:"Encryption of clients' connections."`
	Log         logging.Declaration        `toml:"log" doc:"The log."`
	Membership  membership.Options         `toml:"membership" doc:"How several endpoint lists of one service are merged."`
	Eureka      []eureka.Declaration       `toml:"eureka" doc:"An Eureka registry that lists upstreams of a service, in addition to the service's own list or instead of it."`
	Platform    PlatformPart               `toml:"platform" doc:"Further settings of the service that the platform's file describes."`
	Fleet       lease.Declaration          `toml:"fleet" doc:"The fleet of processes that this process belongs to, and the group that keeps the record of its leases."`
	Tasks       []task.Declaration         `toml:"task" reload:"start" doc:"Background work of the fleet. One of its processes executes each due run."`
	Admission   []admission.Options        `toml:"door" doc:"An admission queue in front of a service. It is fair between the principals that requests come from."`
	Services    []Service                  `toml:"service" doc:"A service: upstreams that answer the same requests. Each service has a table of its own."`
	Idempotency []executor.Declaration     `toml:"repeats" doc:"A store of idempotency keys. A client that repeats a keyed request gets the result of the first one."`
	GraphQL     []graphql.Options          `toml:"graphql" doc:"A GraphQL endpoint. The class and the cost of an operation follow from its content."`
	Routes      []routes.Declaration       `toml:"route" doc:"A route: which requests go to which service, and with which class. If there is one service, no route and no [[graphql]], all requests go to that service."`
}

// Daemon is the part of the file on the process itself.
type Daemon struct {
	Name    string         `toml:"name" reload:"start" doc:"The process's name, for logs."`
	Listen  string         `toml:"listen" default:"127.0.0.1:8080" reload:"start" doc:"The address for clients: IP address and port."`
	Control string         `toml:"control" reload:"start" sample:"\"127.0.0.1:8081\"" doc:"The address for operators, which serves /ready, /metrics, /drain and /undrain: IP address and port. If it is absent, the process has no such address."`
	Seed    string         `toml:"seed" reload:"start" sample:"\"8c1f30d27a5be964\"" doc:"The seed of the random numbers, 64 bits in hexadecimal. The same seed yields the same numbers. If it is absent, a random seed is drawn at each start and logged."`
	Grace   units.Duration `toml:"grace" default:"0s" reload:"start" doc:"How long requests in flight may take after SIGTERM. With 0s they may take as long as the longest deadline."`
}

// FileLimits is the part of the file on the resources that the process may use.
type FileLimits struct {
	Cores       float64        `toml:"cores" reload:"start" doc:"Number of processor cores. With 0 the process uses all cores of the machine."`
	Memory      units.Size     `toml:"memory" default:"192MiB" reload:"start" doc:"Memory of the process. The heap is limited to three quarters of it, and a single answer to a 64th of it."`
	Descriptors int            `toml:"descriptors" default:"1024" reload:"start" doc:"Number of file descriptors. 32 are reserved. Half of the rest is for clients' connections, half for connections to upstreams."`
	HeadTimeout units.Duration `toml:"head_timeout" default:"2s" reload:"start" doc:"How long a client may take to send the head of a request, and how long for a TLS handshake."`
	BodyTimeout units.Duration `toml:"body_timeout" default:"5s" doc:"How long a client may take to send the body of a request."`
}

// Shares is the part of the file on how services share the limits.
type Shares struct {
	Guaranteed float64 `toml:"guaranteed" default:"0.5" doc:"The fraction of each limit (connections to upstreams, requests in flight, bytes in flight) that is reserved for the services in proportion to their share. The rest is used in the order of arrival."`
}

// Service is one service. Its own endpoint list comes from one of Addresses, Endpoints, ListFile and Discovery. It needs none of them if a
// registry lists its upstreams.
type Service struct {
	Name            string                     `toml:"name" sample:"\"seats\"" doc:"The service's name, to which routes refer."`
	Addresses       []string                   `toml:"addresses" sample:"[\"127.0.0.1:9001\", \"127.0.0.1:9002\"]" doc:"The upstreams, if their IP addresses and ports describe them sufficiently."`
	Endpoints       []listfile.Entry           `toml:"endpoint" doc:"An upstream with all its attributes."`
	ListFile        string                     `toml:"list_file" sample:"\"/etc/orchiddrift/seats.json\"" doc:"A file that lists the upstreams, in JSON or TOML according to its extension. The file is watched. While it can't be used, the last usable list stays in force."`
	Discovery       string                     `toml:"discovery" sample:"\"127.0.0.1:8500\"" doc:"The address of the platform's discovery: IP address and port."`
	Push            bool                       `toml:"discovery_pushes" doc:"Endpoint lists are pushed to an agent at the address in discovery, so that polling the agent costs nothing."`
	SuccessStatuses []string                   `toml:"answers" default:"2xx, 3xx, 4xx" doc:"Statuses that count as an upstream's answer and are passed on unchanged. Any other status is a failure. 429 and 503 never count as answers."`
	Weight          float64                    `toml:"share" default:"1" doc:"The service's weight in the distribution of the limits that are reserved for services."`
	TLS             tlscredentials.UpstreamTLS `toml:"tls" doc:"Encryption of connections to the upstreams."`
	Prewarm         prewarm.Options            `toml:"warm" doc:"Connections that are opened before requests need them."`
	LoadProbe       loadprobe.Options          `toml:"probe" doc:"Probes that ask upstreams for their load while this process sends little traffic."`
	Subset          subset.Options             `toml:"subset" doc:"For a service with many upstreams: the subset of them that this process uses."`
	settings.Declaration
}

// PlatformPart is the part of the operator's file on the platform's service.
type PlatformPart struct {
	Prewarm   prewarm.Options   `toml:"warm" doc:"Connections that are opened before requests need them."`
	LoadProbe loadprobe.Options `toml:"probe" doc:"Probes that ask upstreams for their load, if the platform's settings allow probes."`
	Subset    subset.Options    `toml:"subset" doc:"For a service with many upstreams: the subset of them that this process uses."`
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
		report("cores", "%v is negative, too large or not a number of cores", l.Cores)
	}
	if l.Memory < minMemoryMB*units.MiB {
		report("memory", "%v is less than the minimum of %dMiB", l.Memory, minMemoryMB)
	}
	if l.Descriptors < minSockets {
		report("descriptors", "%d is less than the minimum of %d", l.Descriptors, minSockets)
	}
	if l.HeadTimeout <= 0 || l.BodyTimeout <= 0 {
		report("head_timeout", "head_timeout and body_timeout must be greater than 0s")
	}
}

// Check implements tomlfile.Checker.
func (s *Shares) Check(report func(key, format string, args ...any)) {
	if !(s.Guaranteed >= 0 && s.Guaranteed <= 1) {
		report("guaranteed", "%v is not a fraction between 0 and 1", s.Guaranteed)
	}
}

// oneSourceNeeded is the message about a service whose own endpoint list has several sources. It also applies to a service whose list has
// no source, if no registry lists its upstreams either.
const oneSourceNeeded = "upstreams come from one of addresses, endpoint, list_file and discovery, besides any [[eureka]]; %d of them are given"

// ownSources returns the number of sources of the service's own endpoint list, registries excluded. At most one is allowed.
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
		report("share", "%v is not a weight greater than 0 and at most 1000000", s.Weight)
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

// cores returns the number of processor cores to use on a machine: the configured number, or all cores if none is configured.
func (l *FileLimits) cores(machine Machine) float64 {
	if l.Cores == 0 {
		return float64(machine.Cores)
	}
	return l.Cores
}
