package config

import (
	"encoding/json"
	"fmt"

	"orchiddrift/internal/admission"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/tomlfile"
	"orchiddrift/internal/upstream/prewarm"
)

// GRPC is the part of a configuration that only the balancer inside gRPC clients reads.
type GRPC struct {
	Service string            `json:"service"` // the service's name in targets
	Methods map[string]string `json:"methods"` // full method name, or /package.Service/*, to class
	Answers []string          `json:"answers"` // status codes that are answers of the application, such as NOT_FOUND
	TLS     *GRPCTLS          `json:"tls"`     // nil if the program supplies the credentials
	File    string            `json:"file"`    // an operator's file, for the registries of the service
}

// GRPCTLS configures the encryption of the plug-in's connections. All fields but Name are paths of files.
type GRPCTLS struct {
	CA          string `json:"ca"`
	Name        string `json:"name"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// ParsePlugin does the same as Parse for the plug-in. A plug-in has no listener, has the limits of its process, and needs no
// discovery if its configuration lists upstreams.
func ParsePlugin(text []byte) (*Config, error) { return parse(text, true) }

// IsPluginConfig reports whether a configuration is the plug-in's: it has a grpc part and no listen address.
func IsPluginConfig(text []byte) bool {
	var file struct{ Listen, GRPC json.RawMessage }
	return json.Unmarshal(text, &file) == nil && len(file.GRPC) > 0 && len(file.Listen) == 0
}

// PluginFile is the part of an operator's file that a plug-in uses.
type PluginFile struct {
	Registries  []eureka.Declaration
	Membership  membership.Options
	Admission   *admission.Options    // nil if there is none
	Idempotency *executor.Declaration // nil if there is none
	Prewarm     prewarm.Options
	Subset      subset.Options // from the [[service]] of the same name, which need not list upstreams
}

// empty reports whether the file has nothing for the plug-in's service.
func (p *PluginFile) empty() bool {
	return len(p.Registries) == 0 && p.Admission == nil && p.Idempotency == nil && !p.Subset.Enabled && !p.Prewarm.Enabled
}

// ParsePluginFile reads an operator's file for a plug-in's service. Its error is of the type Problems.
func ParsePluginFile(text []byte, service string) (PluginFile, error) {
	file := &File{}
	document := tomlfile.Decode(text, file)
	p := PluginFile{Registries: file.registriesOf(service), Membership: file.Membership}
	for i, registry := range file.Eureka {
		if registry.Service == service && registry.Register.Application != "" {
			document.Report(fmt.Sprintf("eureka[%d].register", i), "a plug-in has no listener and cannot register")
		}
	}
	for i := range file.Admission {
		if file.Admission[i].Service == service {
			p.Admission = &file.Admission[i]
			checkPluginPrincipals(p.Admission.PrincipalSources, fmt.Sprintf("door[%d].by", i), document)
		}
	}
	for i := range file.Idempotency {
		if file.Idempotency[i].Service == service {
			p.Idempotency = &file.Idempotency[i]
		}
	}
	for i := range file.Services {
		if file.Services[i].Name == service {
			p.Subset, p.Prewarm = file.Services[i].Subset, file.Services[i].Prewarm
		}
	}
	if !document.Broken() && p.empty() {
		document.Report("eureka", "the file has nothing for service %q: no [[eureka]], no [[door]], no [service.subset], no [service.warm], no [[repeats]]", service)
	}
	return p, problemsOf(document)
}

// checkPluginPrincipals reports sources of principals that gRPC calls inside a client do not have.
func checkPluginPrincipals(sources []string, at string, document *tomlfile.Document) {
	for _, source := range sources {
		if source == principalAddress || source == principalCertificate {
			document.Report(at, "calls inside a client have no %s: use \"tenant\" or \"header:NAME\", which are read from the metadata", source)
		}
	}
}
