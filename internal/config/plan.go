package config

import (
	"reflect"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/admission"
	"orchiddrift/internal/discovery/eureka"
	"orchiddrift/internal/discovery/membership"
	"orchiddrift/internal/discovery/staleness"
	"orchiddrift/internal/discovery/subset"
	"orchiddrift/internal/endpoints"
	"orchiddrift/internal/graphql"
	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/idempotency/executor"
	"orchiddrift/internal/logging"
	"orchiddrift/internal/routes"
	"orchiddrift/internal/settings"
	"orchiddrift/internal/tlscredentials"
	"orchiddrift/internal/upstream/loadprobe"
	"orchiddrift/internal/upstream/prewarm"
)

// Plan is the complete configuration of a daemon, made from the platform's file, the operator's file, or both.
type Plan struct {
	Name, Listen  string
	Control       string // address of the operators' control listener; empty if there is none
	Seed          uint64
	SeedDrawn     bool // no file has a seed, and a random one was drawn
	Limits        Limits
	HeadTimeout   time.Duration
	BodyTimeout   time.Duration
	Grace         time.Duration // requests without an answer this long after SIGTERM fail
	Guaranteed    float64       // fraction of each limit that is reserved for services by their weight
	Services      []ServicePlan
	Table         *routes.Table
	Endpoints     map[string]*graphql.Endpoint // by the Endpoint field of their routes
	TLS           tlscredentials.ListenerTLS
	Log           logging.Declaration
	Registrations []eureka.Declaration // registries in which the process registers itself
	File          *File                // the operator's file; nil if there is none
}

// ServicePlan is one service of a plan.
type ServicePlan struct {
	Name            string
	Settings        settings.Settings
	SuccessStatuses *httpheader.Statuses
	Weight          float64
	TLS             tlscredentials.UpstreamTLS
	Subset          subset.Options
	Prewarm         prewarm.Options
	LoadProbe       loadprobe.Options

	// The service's own endpoint list comes from Discovery or ListFile; if both are empty, it is InitialEndpoints.
	Discovery        string
	ListFile         string
	InitialEndpoints *endpoints.List // the list at the start; nil if there is none

	Admission   *admission.Options    // the queue before the service; nil if there is none
	Idempotency *executor.Declaration // the store of its idempotency keys; nil if there is none

	Registries []eureka.Declaration // merged with the service's own list, or its only source
	Membership membership.Options   // how the lists of the registries are merged

	Unrouted bool // no route leads to the service
}

// Staleness returns the options for following the endpoint list at Discovery.
func (s *ServicePlan) Staleness() staleness.Options {
	return staleness.Options{
		Pushed:     !s.Settings.MustSubscribe,
		MaxPollAge: s.Settings.MaxPollAge,
		FleetSize:  s.Settings.FleetSize,
		DrainGrace: s.Settings.DrainGrace,
	}
}

// Same reports whether two plans of a service differ in nothing but the sources of the endpoint list, admission, idempotency and routes.
func (s *ServicePlan) Same(o *ServicePlan) bool {
	return s.Name == o.Name && reflect.DeepEqual(s.Settings, o.Settings) && *s.SuccessStatuses == *o.SuccessStatuses &&
		reflect.DeepEqual(s.TLS, o.TLS) && s.Subset == o.Subset && s.Prewarm == o.Prewarm && s.LoadProbe == o.LoadProbe
}

// class returns the service's class with the given name, or nil if there is none.
func (s *ServicePlan) class(name string) *balancer.Class {
	for i := range s.Settings.Classes {
		if s.Settings.Classes[i].Name == name {
			return &s.Settings.Classes[i]
		}
	}
	return nil
}

// longestDeadline returns the longest deadline of any class of the services.
func longestDeadline(services []ServicePlan) time.Duration {
	longest := time.Duration(0)
	for i := range services {
		for _, class := range services[i].Settings.Classes {
			longest = max(longest, class.Deadline)
		}
	}
	return longest
}
