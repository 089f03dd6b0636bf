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

// PluginFile is what a plug-in takes from an operator's file.
type PluginFile struct {
	Registries  []eureka.Declaration
	Membership  membership.Options
	Admission   *admission.Options    // nil: there is none
	Idempotency *executor.Declaration // nil: there is no store
	Prewarm     prewarm.Options
	Subset      subset.Options // of the [[service]] of that name, which needs no upstreams there
}

// ParsePluginFile reads an operator's file for a plug-in's service. Its error is Problems.
func ParsePluginFile(text []byte, service string) (PluginFile, error) {
	f := &File{}
	doc := tomlfile.Decode(text, f)
	p := PluginFile{Registries: f.registriesOf(service), Membership: f.Membership}
	for i, r := range f.Eureka {
		if r.Service == service && r.Register.Application != "" {
			doc.Report(fmt.Sprintf("eureka[%d].register", i), "a plug-in listens nowhere, and does not register")
		}
	}
	for i := range f.Admission {
		o := &f.Admission[i]
		if o.Service != service {
			continue
		}
		p.Admission = o
		for _, by := range o.PrincipalSources {
			if by == "address" || by == "certificate" {
				doc.Report(fmt.Sprintf("door[%d].by", i), "a plug-in's callers have no %s: \"tenant\" and \"header:NAME\", of the metadata, tell them apart", by)
			}
		}
	}
	for i := range f.Idempotency {
		if f.Idempotency[i].Service == service {
			p.Idempotency = &f.Idempotency[i]
		}
	}
	for i := range f.Services {
		if f.Services[i].Name == service {
			p.Subset, p.Prewarm = f.Services[i].Subset, f.Services[i].Prewarm
		}
	}
	if !doc.Broken() && len(p.Registries) == 0 && p.Admission == nil && p.Idempotency == nil && !p.Subset.Enabled && !p.Prewarm.Enabled {
		doc.Report("eureka", "nothing in it is for service %q: no [[eureka]], no [[door]], no [service.subset], no [service.warm], no [[repeats]]", service)
	}
	return p, problems(doc)
}

// ParsePlugin is Parse for the plug-in: it listens nowhere and has its process's limits, and its list may be the
// known one alone.
func ParsePlugin(text []byte) (*Config, error) { return parse(text, true) }

// IsPluginConfig tells whether a file is the plug-in's: it has a grpc part and listens nowhere.
func IsPluginConfig(text []byte) bool {
	var file struct{ Listen, GRPC json.RawMessage }
	return json.Unmarshal(text, &file) == nil && len(file.GRPC) > 0 && len(file.Listen) == 0
}

// GRPC is the part of a file that only the plug-in inside gRPC clients reads.
type GRPC struct {
	Service string            `json:"service"` // names the service in targets
	Methods map[string]string `json:"methods"` // full method name, or /package.Service/*, to class
	Answers []string          `json:"answers"` // status codes that are the application's answer, as NOT_FOUND
	TLS     *GRPCTLS          `json:"tls"`     // nil: credentials are the program's
	File    string            `json:"file"`    // an operator's file, for the registries of the service
}

// GRPCTLS is how the plug-in's connections are encrypted; all but Name are files.
type GRPCTLS struct {
	CA          string `json:"ca"`
	Name        string `json:"name"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}
