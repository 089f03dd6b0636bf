package config

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/listfile"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/settings"
	"orchiddrift/internal/task"
	"orchiddrift/internal/tomlfile"
	"orchiddrift/internal/units"
)

// plan makes the Plan, and reports what is wrong between the parts.
func (f *File) plan(beside *Config, doc *tomlfile.Document) *Plan {
	p := &Plan{Name: f.Daemon.Name, Listen: f.Daemon.Listen, Control: f.Daemon.Control, Limits: Limits{Cores: f.Limits.cores(),
		MemoryMB: float64(f.Limits.Memory) / float64(units.MiB), Sockets: f.Limits.Descriptors},
		HeadTimeout: f.Limits.HeadTimeout.D(), BodyTimeout: f.Limits.BodyTimeout.D(), Grace: f.Daemon.Grace.D(),
		Guaranteed: f.Shares.Guaranteed, TLS: f.TLS, Log: f.Log, File: f}
	var all []*routes.Route
	var places []string // where each stands in the file
	names := map[string]int{}
	if beside != nil {
		of := beside.Plan()
		p.Name, p.Listen, p.Seed, p.Limits = of.Name, of.Listen, of.Seed, of.Limits
		p.Control = cmp.Or(of.Control, p.Control)
		p.HeadTimeout, p.BodyTimeout, p.Grace = of.HeadTimeout, of.BodyTimeout, of.Grace
		p.Services = of.Services
		p.Services[0].Subset, p.Services[0].Prewarm, p.Services[0].LoadProbe = f.Platform.Subset, f.Platform.Prewarm, f.Platform.LoadProbe
		if f.Platform.LoadProbe.Enabled && !p.Services[0].Settings.ProbingAllowed {
			doc.Report("platform.probe", "the platform's settings allow no probes")
		}
		names[Platform] = 0
		for _, r := range of.Table.Routes() {
			all, places = append(all, r), append(places, "")
		}
	} else if f.Daemon.Seed != "" {
		p.Seed, _ = strconv.ParseUint(f.Daemon.Seed, 16, 64) // Daemon.Check has tried it
	} else {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		p.Seed, p.SeedDrawn = binary.LittleEndian.Uint64(b[:]), true
	}
	if beside == nil && (f.Platform.Subset.Enabled || f.Platform.Prewarm.Enabled || f.Platform.LoadProbe.Enabled) {
		doc.Report("platform", "there is no platform's file: a service has its own [service.subset], [service.warm] and [service.probe]")
	}
	f.registries(p, beside, doc)
	for i := range f.Tasks {
		if !f.Fleet.On() {
			doc.Report(fmt.Sprintf("task[%d]", i), "there is no [fleet] whose processes share it")
		}
		if slices.ContainsFunc(f.Tasks[:i], func(o task.Declaration) bool { return o.Name == f.Tasks[i].Name }) {
			doc.Report(fmt.Sprintf("task[%d].name", i), "%q is taken", f.Tasks[i].Name)
		}
	}
	longest := time.Duration(0)
	for i := range f.Services {
		s := &f.Services[i]
		if _, twice := names[s.Name]; twice && s.Name != "" {
			doc.Report(fmt.Sprintf("service[%d].name", i), "%q is taken", s.Name)
			continue
		}
		names[s.Name] = len(p.Services)
		made := s.plan()
		made.Registries, made.Membership = f.registriesOf(s.Name), f.Membership
		if !s.ownList() && len(made.Registries) == 0 {
			doc.Report(fmt.Sprintf("service[%d]", i), fromOne, 0)
		}
		p.Services = append(p.Services, made)
		for _, class := range p.Services[len(p.Services)-1].Settings.Classes {
			longest = max(longest, class.Deadline)
		}
	}
	if len(p.Services) == 0 {
		doc.Report("service", "there is none: [[service]]")
	}
	if beside == nil {
		p.Grace = cmp.Or(p.Grace, longest) + killMargin
	}
	declared := f.Routes
	if len(declared) == 0 && len(p.Services) == 1 && beside == nil && len(f.GraphQL) == 0 { // the platform's service has its own
		declared = []routes.Declaration{{Match: "/", Key: routes.Header(httpheader.IdempotencyKey), MaxBody: routes.MaxMaxBody}}
	}
	led := map[string]bool{}
	for i := range declared {
		at := fmt.Sprintf("route[%d]", i)
		if len(f.Routes) == 0 {
			at = "route" // there is none, and what is made in its place can't be
		}
		made := routesOf(p, names, &declared[i], func(key, format string, args ...any) {
			if at == "route" {
				key = ""
			}
			doc.Report(at+key, format, args...)
		})
		for _, r := range made {
			all, places = append(all, r), append(places, at+".match")
			led[r.Service] = true
		}
	}
	for _, r := range f.endpoints(p, names, doc) {
		all, places = append(all, r.route), append(places, r.at)
		led[r.route.Service] = true
	}
	if len(declared) == 0 && len(f.Services) > 0 && len(f.GraphQL) == 0 {
		doc.Report("route", "there is none, and more than one service: [[route]]")
	}
	for i := range p.Services {
		p.Services[i].Unrouted = !led[p.Services[i].Name] && p.Services[i].Name != Platform
	}
	table, conflicts := routes.New(all)
	for _, c := range conflicts {
		first := "the platform's rules"
		if places[c.First] != "" {
			first = fmt.Sprintf("line %d", doc.Line(places[c.First]))
		}
		doc.Report(places[c.Second], "conflicts with %s: %s", first,
			routes.Describe(all[c.First].Pattern, all[c.Second].Pattern))
	}
	p.Table = table
	f.doors(p, names, all, doc)
	f.repeats(p, names, doc)
	return p
}

// named is the service that a part of the file is for; nil: there is none, which is told unless the part's own check did.
func (p *Plan) named(names map[string]int, service, at string, doc *tomlfile.Document) *ServicePlan {
	n, known := names[service]
	if known {
		return &p.Services[n]
	}
	if service != "" {
		doc.Report(at+".service", "there is no service %q", service)
	}
	return nil
}

// repeats gives services their stores of keys.
func (f *File) repeats(p *Plan, names map[string]int, doc *tomlfile.Document) {
	files := map[string]bool{}
	for i := range f.Idempotency {
		at, o := fmt.Sprintf("repeats[%d]", i), f.Idempotency[i]
		s := p.named(names, o.Service, at, doc)
		if s == nil {
			continue
		}
		if s.Idempotency != nil {
			doc.Report(at+".service", "%q has two stores of keys", o.Service)
		}
		if !slices.ContainsFunc(s.Settings.Classes, func(c balancer.Class) bool { return c.Idempotency == balancer.IdempotentWithKey }) {
			doc.Report(at+".service", "service %s has no keyed class", s.Name)
		}
		if o.File != "" && files[o.File] {
			doc.Report(at+".file", "%q is another store's", o.File)
		}
		files[o.File] = true
		s.Idempotency = &o
	}
}

// doors gives services their doors, and checks that principals can be told apart there.
func (f *File) doors(p *Plan, names map[string]int, all []*routes.Route, doc *tomlfile.Document) {
	for i := range f.Admission {
		at, o := fmt.Sprintf("door[%d]", i), f.Admission[i]
		s := p.named(names, o.Service, at, doc)
		if s == nil {
			continue
		}
		if s.Admission != nil {
			doc.Report(at+".service", "%q has two doors", o.Service)
		}
		tenants := false
		for _, r := range all {
			tenants = tenants || r.Service == s.Name && !r.Tenant.None()
		}
		if slices.Contains(o.PrincipalSources, "tenant") && !tenants {
			doc.Report(at+".by", "no route of service %s says where a tenant stands", s.Name)
		}
		if slices.Contains(o.PrincipalSources, "certificate") && p.TLS.ClientCA == "" {
			doc.Report(at+".by", "clients show no certificates: [tls] has no client_ca")
		}
		if s.Settings.RetryAfterAllowed {
			o.MaxRetryAfter = s.Settings.MaxRetryAfter
		}
		s.Admission = &o
	}
}

// registries checks the registries against the services, gives the platform's service its own, and notes where the process
// registers.
func (f *File) registries(p *Plan, beside *Config, doc *tomlfile.Document) {
	names := map[string]bool{}
	counts := map[string]int{}
	for i, r := range f.Eureka {
		at := fmt.Sprintf("eureka[%d]", i)
		if names[r.Name] || r.Name == listName {
			doc.Report(at+".name", "%q is taken", r.Name)
		}
		names[r.Name] = true
		known := beside != nil && r.Service == Platform
		for _, s := range f.Services {
			known = known || s.Name == r.Service
		}
		if !known && r.Service != "" {
			doc.Report(at+".service", "there is no service %q", r.Service)
		}
		if counts[r.Service]++; counts[r.Service] == membership.MaxSources {
			doc.Report(at+".service", "%d registries of one service at most", membership.MaxSources-1)
		}
		if r.Register.Application != "" {
			p.Registrations = append(p.Registrations, r)
		}
	}
	for i := range p.Services {
		p.Services[i].Registries, p.Services[i].Membership = f.registriesOf(p.Services[i].Name), f.Membership
	}
}

// listName is what a service's own list is called among its sources.
const listName = "list"

func (f *File) registriesOf(service string) (of []eureka.Declaration) {
	for _, r := range f.Eureka {
		if r.Service == service {
			of = append(of, r)
		}
	}
	return of
}

// routesOf makes the routes of one declaration.
func routesOf(p *Plan, names map[string]int, d *routes.Declaration, report func(key, format string, args ...any)) []*routes.Route {
	name := d.Service
	if name == "" && len(p.Services) == 1 {
		name = p.Services[0].Name
	}
	i, ok := names[name]
	if !ok {
		report(".service", "there is no service %q", name)
		return nil
	}
	classes := p.Services[i].Settings.Classes
	if d.Set != "" {
		return routes.Platform(name, classes)
	}
	r, err := d.Route()
	if err != nil {
		return nil // its Check has said so
	}
	class := func(name string) *balancer.Class {
		for i := range classes {
			if classes[i].Name == name {
				return &classes[i]
			}
		}
		return nil
	}
	r.Service = name
	if r.Class = class(d.Class); d.Class != "" && r.Class == nil {
		report(".class", "service %s has no class %q", name, d.Class)
		return nil
	}
	if r.Class == nil {
		if r.Read, r.Write = class(settings.ReadClass), class(settings.WriteClass); r.Read == nil || r.Write == nil {
			report(".class", "missing: service %s has no classes %q and %q to go by the method", name, settings.ReadClass,
				settings.WriteClass)
			return nil
		}
	}
	if why := r.Unreachable(); why != "" {
		report(".class", "%s", why)
	}
	r.CompleteOnly = !p.Services[i].SuccessStatuses.Has(304) || !p.Services[i].SuccessStatuses.Has(206) || !p.Services[i].SuccessStatuses.Has(412)
	return []*routes.Route{r}
}

func (s *Service) plan() ServicePlan {
	answers, err := httpheader.ParseStatuses(s.SuccessStatuses)
	if err != nil { // reported by Check
		answers = httpheader.Only200()
	}
	p := ServicePlan{Name: s.Name, Settings: s.Settings(), SuccessStatuses: answers, Weight: s.Weight, TLS: s.TLS, Subset: s.Subset, Prewarm: s.Prewarm, LoadProbe: s.LoadProbe,
		Discovery: s.Discovery, ListFile: s.ListFile}
	p.Settings.MustSubscribe = s.Discovery != "" && !s.Push
	if entries := s.entries(); len(entries) > 0 {
		p.InitialEndpoints = listfile.ListOf(1, entries)
	}
	return p
}
