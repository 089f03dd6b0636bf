package config

import (
	"time"

	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/routes"
)

// Platform is the name of the service that the platform's file describes.
const Platform = "platform"

// Values for which the platform's file has no settings.
const (
	platformHeadTimeout = 2 * time.Second        // for a client to send a request's head
	platformBodyTimeout = 900 * time.Millisecond // for a client to send a request's body
	platformMaxGrace    = 3 * time.Second        // upper bound of the longest deadline in Grace, because SIGKILL may follow soon after SIGTERM
)

// graceMargin is added to the longest deadline, so that requests in flight at SIGTERM fail only after the last of their deadlines.
const graceMargin = 550 * time.Millisecond

// Plan returns the plan of the platform's file alone.
func (c *Config) Plan() *Plan {
	table, conflicts := routes.New(routes.Platform(Platform, c.Settings.Classes))
	if len(conflicts) > 0 { // two classes have the same name, which the check of the settings rejects
		panic("config: the platform's routes conflict")
	}
	services := []ServicePlan{c.service()}
	return &Plan{
		Name:        c.Name,
		Listen:      c.Listen,
		Control:     c.Control,
		Seed:        c.Seed,
		Limits:      c.Limits,
		HeadTimeout: platformHeadTimeout,
		BodyTimeout: platformBodyTimeout,
		Grace:       min(longestDeadline(services), platformMaxGrace) + graceMargin,
		Guaranteed:  1,
		Table:       table,
		Services:    services,
	}
}

func (c *Config) service() ServicePlan {
	return ServicePlan{
		Name:             Platform,
		Settings:         c.Settings,
		SuccessStatuses:  httpheader.Only200(),
		Weight:           1,
		Discovery:        c.Discovery,
		InitialEndpoints: c.CachedEndpoints,
	}
}
