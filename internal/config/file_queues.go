package config

import (
	"fmt"
	"slices"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
)

// These sources of principals need something from other parts of the file or from the transport.
const (
	principalTenant      = "tenant"
	principalCertificate = "certificate"
	principalAddress     = "address"
)

// addAdmissionQueues adds the services' admission queues, and checks that each source of principals exists in the
// service's requests.
func (b *planBuilder) addAdmissionQueues() {
	for i := range b.file.Admission {
		at, options := fmt.Sprintf("door[%d]", i), b.file.Admission[i]
		service := b.service(options.Service, at)
		if service == nil {
			continue
		}
		if service.Admission != nil {
			b.document.Report(at+".service", "service %q has two admission queues", options.Service)
		}
		b.checkPrincipals(&options, service.Name, at)
		if service.Settings.RetryAfterAllowed {
			options.MaxRetryAfter = service.Settings.MaxRetryAfter
		}
		service.Admission = &options
	}
}

// checkPrincipals reports the sources of principals in the options that the requests of a service cannot have.
func (b *planBuilder) checkPrincipals(options *admission.Options, service, at string) {
	hasTenants := slices.ContainsFunc(b.routes, func(placed placedRoute) bool {
		return placed.route.Service == service && !placed.route.Tenant.None()
	})
	if slices.Contains(options.PrincipalSources, principalTenant) && !hasTenants {
		b.document.Report(at+".by", "no route of service %s has a source for the tenant", service)
	}
	if slices.Contains(options.PrincipalSources, principalCertificate) && b.plan.TLS.ClientCA == "" {
		b.document.Report(at+".by", "clients present no certificates: [tls] has no client_ca")
	}
}

// addIdempotencyStores adds the services' stores of idempotency keys.
func (b *planBuilder) addIdempotencyStores() {
	files := map[string]bool{}
	for i := range b.file.Idempotency {
		at, declared := fmt.Sprintf("repeats[%d]", i), b.file.Idempotency[i]
		service := b.service(declared.Service, at)
		if service == nil {
			continue
		}
		if service.Idempotency != nil {
			b.document.Report(at+".service", "service %q has two stores of idempotency keys", declared.Service)
		}
		if !slices.ContainsFunc(service.Settings.Classes, needsKey) {
			b.document.Report(at+".service", "service %s has no keyed class", service.Name)
		}
		if declared.File != "" && files[declared.File] {
			b.document.Report(at+".file", "%q is already the file of another store", declared.File)
		}
		files[declared.File] = true
		service.Idempotency = &declared
	}
}

func needsKey(class balancer.Class) bool { return class.Idempotency == balancer.IdempotentWithKey }
