package config

import (
	"reflect"
	"time"

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

// Plan is what a daemon runs, from whichever files: the platform's, the operator's, or both.
type Plan struct {
	Name, Listen  string
	Control       string // where operators call; empty: nowhere
	Seed          uint64
	SeedDrawn     bool // no file has one
	Limits        Limits
	HeadTimeout   time.Duration
	BodyTimeout   time.Duration
	Grace         time.Duration // what is unanswered so long after SIGTERM is failed
	Guaranteed    float64       // the part of each limit that is set aside for services
	Services      []ServicePlan
	Table         *routes.Table
	Endpoints     map[string]*graphql.Endpoint // of routes, by their Endpoint
	TLS           tlscredentials.ListenerTLS
	Log           logging.Declaration
	Registrations []eureka.Declaration // where the process registers itself
	File          *File                // the operator's; nil: there is none
}

// ServicePlan is one service.
type ServicePlan struct {
	Name            string
	Settings        settings.Settings
	SuccessStatuses *httpheader.Statuses
	Weight          float64
	TLS             tlscredentials.UpstreamTLS
	Subset          subset.Options
	Prewarm         prewarm.Options
	LoadProbe       loadprobe.Options

	// Where its upstreams come from: Discovery, ListFile or else Known alone.
	Discovery        string
	ListFile         string
	InitialEndpoints *endpoints.List // as last held, or the whole of it; nil: none

	Admission *admission.Options // before it; nil: there is none

	Idempotency *executor.Declaration // the store of its keys; nil: there is none

	Registries []eureka.Declaration // beside that list, or without one
	Membership membership.Options

	Unrouted bool // no route leads to it
}

// Staleness is how its list at Discovery is followed.
func (s *ServicePlan) Staleness() staleness.Options {
	return staleness.Options{Pushed: !s.Settings.MustSubscribe, MaxPollAge: s.Settings.MaxPollAge, FleetSize: s.Settings.FleetSize,
		DrainGrace: s.Settings.DrainGrace}
}

// Platform is the name of the service that the platform's file tells of.
const Platform = "platform"

// Same tells whether two plans of a service differ in nothing but where its upstreams come from, and its door.
func (s *ServicePlan) Same(o *ServicePlan) bool {
	return s.Name == o.Name && reflect.DeepEqual(s.Settings, o.Settings) && *s.SuccessStatuses == *o.SuccessStatuses &&
		reflect.DeepEqual(s.TLS, o.TLS) && s.Subset == o.Subset && s.Prewarm == o.Prewarm && s.LoadProbe == o.LoadProbe
}
