package config

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"

	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/listfile"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/task"
	"orchiddrift/internal/tomlfile"
	"orchiddrift/internal/units"
)

// planBuilder makes the plan of an operator's file, one part of the file after another, and reports problems between the parts. Problems
// within a part are reported by the Check method of that part while the file is decoded. The order of the steps is the order in which
// problems are reported.
type planBuilder struct {
	file         *File
	platform     *Plan // plan of the platform's file; nil if there is none
	document     *tomlfile.Document
	plan         *Plan
	serviceIndex map[string]int // index in plan.Services, by the service's name
	routes       []placedRoute
}

// buildPlan makes the plan of an operator's file that is used beside the platform's, or alone if platform is nil. The defaults depend on
// machine. The plan is complete only if the document has no problems afterwards.
func buildPlan(file *File, platform *Plan, machine Machine, document *tomlfile.Document) *Plan {
	b := &planBuilder{file: file, platform: platform, document: document, serviceIndex: map[string]int{}}
	b.plan = file.processPlan(machine)
	if platform != nil {
		b.addPlatform()
	} else {
		b.setSeed()
		b.checkNoPlatformPart()
	}
	b.addRegistries()
	b.checkTasks()
	b.addServices()
	if platform == nil {
		b.plan.Grace = cmp.Or(b.plan.Grace, longestDeadline(b.plan.Services)) + graceMargin
	}
	b.addDeclaredRoutes()
	b.addGraphQLEndpoints()
	b.markUnrouted()
	b.buildRouteTable()
	b.addAdmissionQueues()
	b.addIdempotencyStores()
	return b.plan
}

// processPlan returns a plan with the file's settings for the process, without services.
func (f *File) processPlan(machine Machine) *Plan {
	return &Plan{
		Name:    f.Daemon.Name,
		Listen:  f.Daemon.Listen,
		Control: f.Daemon.Control,
		Limits: Limits{
			Cores:    f.Limits.cores(machine),
			MemoryMB: float64(f.Limits.Memory) / float64(units.MiB),
			Sockets:  f.Limits.Descriptors,
		},
		HeadTimeout: f.Limits.HeadTimeout.D(),
		BodyTimeout: f.Limits.BodyTimeout.D(),
		Grace:       f.Daemon.Grace.D(),
		Guaranteed:  f.Shares.Guaranteed,
		TLS:         f.TLS,
		Log:         f.Log,
		File:        f,
	}
}

// addPlatform copies what the platform's file determines: the settings of the process, its limits and timeouts, and the first service
// with its routes.
func (b *planBuilder) addPlatform() {
	p, platform, part := b.plan, b.platform, &b.file.Platform
	p.Name, p.Listen, p.Seed, p.Limits = platform.Name, platform.Listen, platform.Seed, platform.Limits
	p.Control = cmp.Or(platform.Control, p.Control)
	p.HeadTimeout, p.BodyTimeout, p.Grace = platform.HeadTimeout, platform.BodyTimeout, platform.Grace
	p.Services = platform.Services
	service := &p.Services[0]
	service.Subset, service.Prewarm, service.LoadProbe = part.Subset, part.Prewarm, part.LoadProbe
	if part.LoadProbe.Enabled && !service.Settings.ProbingAllowed {
		b.document.Report("platform.probe", "the platform's settings allow no probes")
	}
	b.serviceIndex[Platform] = 0
	for _, route := range platform.Table.Routes() {
		b.routes = append(b.routes, placedRoute{route: route})
	}
}

// setSeed sets the file's seed, or a random one if the file has none.
func (b *planBuilder) setSeed() {
	if b.file.Daemon.Seed != "" {
		b.plan.Seed, _ = strconv.ParseUint(b.file.Daemon.Seed, 16, 64) // Daemon.Check reports the error
		return
	}
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	b.plan.Seed, b.plan.SeedDrawn = binary.LittleEndian.Uint64(random[:]), true
}

func (b *planBuilder) checkNoPlatformPart() {
	part := &b.file.Platform
	if part.Subset.Enabled || part.Prewarm.Enabled || part.LoadProbe.Enabled {
		b.document.Report("platform", "there is no platform's file: a service has its own [service.subset], [service.warm] and [service.probe]")
	}
}

// ownListName is the name of a service's own endpoint list among its sources. No registry may have this name.
const ownListName = "list"

// addRegistries checks that the registries refer to known services, adds the registries of the platform's service to that service, and
// collects the registries in which the process registers itself. addServices adds the registries of the other services.
func (b *planBuilder) addRegistries() {
	names := map[string]bool{}
	perService := map[string]int{}
	for i, registry := range b.file.Eureka {
		at := fmt.Sprintf("eureka[%d]", i)
		if names[registry.Name] || registry.Name == ownListName {
			b.document.Report(at+".name", "the name %q is already used", registry.Name)
		}
		names[registry.Name] = true
		if registry.Service != "" && !b.declaresService(registry.Service) {
			b.document.Report(at+".service", "there is no service %q", registry.Service)
		}
		perService[registry.Service]++
		if perService[registry.Service] == membership.MaxSources { // the service's own list is one of the sources
			b.document.Report(at+".service", "a service can have at most %d registries", membership.MaxSources-1)
		}
		if registry.Register.Application != "" {
			b.plan.Registrations = append(b.plan.Registrations, registry)
		}
	}
	for i := range b.plan.Services {
		b.plan.Services[i].Registries = b.file.registriesOf(b.plan.Services[i].Name)
		b.plan.Services[i].Membership = b.file.Membership
	}
}

// declaresService reports whether one of the files declares a service.
func (b *planBuilder) declaresService(name string) bool {
	if b.platform != nil && name == Platform {
		return true
	}
	return slices.ContainsFunc(b.file.Services, func(s Service) bool { return s.Name == name })
}

func (b *planBuilder) checkTasks() {
	tasks := b.file.Tasks
	for i := range tasks {
		at := fmt.Sprintf("task[%d]", i)
		if !b.file.Fleet.On() {
			b.document.Report(at, "a task needs a [fleet] whose processes share it")
		}
		if slices.ContainsFunc(tasks[:i], func(other task.Declaration) bool { return other.Name == tasks[i].Name }) {
			b.document.Report(at+".name", "the name %q is already used", tasks[i].Name)
		}
	}
}

func (b *planBuilder) addServices() {
	for i := range b.file.Services {
		declared := &b.file.Services[i]
		at := fmt.Sprintf("service[%d]", i)
		if _, taken := b.serviceIndex[declared.Name]; taken && declared.Name != "" {
			b.document.Report(at+".name", "the name %q is already used", declared.Name)
			continue
		}
		service := declared.plan()
		service.Registries, service.Membership = b.file.registriesOf(declared.Name), b.file.Membership
		if declared.ownSources() == 0 && len(service.Registries) == 0 {
			b.document.Report(at, oneSourceNeeded, 0)
		}
		b.serviceIndex[declared.Name] = len(b.plan.Services)
		b.plan.Services = append(b.plan.Services, service)
	}
	if len(b.plan.Services) == 0 {
		b.document.Report("service", "there is none: [[service]]")
	}
}

// plan returns the plan of a declared service, without the additions from other parts of the file.
func (s *Service) plan() ServicePlan {
	statuses, err := httpheader.ParseStatuses(s.SuccessStatuses)
	if err != nil { // reported by Check
		statuses = httpheader.Only200()
	}
	p := ServicePlan{
		Name:            s.Name,
		Settings:        s.Settings(),
		SuccessStatuses: statuses,
		Weight:          s.Weight,
		TLS:             s.TLS,
		Subset:          s.Subset,
		Prewarm:         s.Prewarm,
		LoadProbe:       s.LoadProbe,
		Discovery:       s.Discovery,
		ListFile:        s.ListFile,
	}
	p.Settings.MustSubscribe = s.Discovery != "" && !s.Push
	if entries := s.entries(); len(entries) > 0 {
		p.InitialEndpoints = listfile.ListOf(1, entries)
	}
	return p
}

// service returns the service to which a part of the file refers by name. The parameter at is the key of that part. If there is no such
// service, the method reports the name and returns nil. A missing name is reported by the part's own Check.
func (b *planBuilder) service(name, at string) *ServicePlan {
	if i, ok := b.serviceIndex[name]; ok {
		return &b.plan.Services[i]
	}
	if name != "" {
		b.document.Report(at+".service", "there is no service %q", name)
	}
	return nil
}

// serviceOrOnly returns the service with a given name, or the only service if the name is empty. If there is no such service it reports a
// problem and returns nil.
func (b *planBuilder) serviceOrOnly(name string, report reporter) *ServicePlan {
	if name == "" && len(b.plan.Services) == 1 {
		name = b.plan.Services[0].Name
	}
	i, ok := b.serviceIndex[name]
	if !ok {
		report(".service", "there is no service %q", name)
		return nil
	}
	return &b.plan.Services[i]
}

// registriesOf returns the registries that list upstreams of a service.
func (f *File) registriesOf(service string) []eureka.Declaration {
	var registries []eureka.Declaration
	for _, registry := range f.Eureka {
		if registry.Service == service {
			registries = append(registries, registry)
		}
	}
	return registries
}
