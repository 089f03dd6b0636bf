package config

import (
	"time"

	"orchiddrift/internal/httpheader"
	"orchiddrift/internal/routes"
)

// Plan is the platform's file alone.
func (c *Config) Plan() *Plan {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	table, conflicts := routes.New(routes.Platform(Platform, c.Settings.Classes))
	if len(conflicts) > 0 { // two classes of one name: the settings' check finds that
		panic("config: the platform's routes conflict")
	}
	return &Plan{Name: c.Name, Listen: c.Listen, Control: c.Control, Seed: c.Seed, Limits: c.Limits, HeadTimeout: platformHead,
		BodyTimeout: platformBody, Grace: min(longest, killLongest) + killMargin, Guaranteed: 1, Table: table,
		Services: []ServicePlan{c.service()}}
}

func (c *Config) service() ServicePlan {
	return ServicePlan{Name: Platform, Settings: c.Settings, SuccessStatuses: httpheader.Only200(), Weight: 1, Discovery: c.Discovery,
		InitialEndpoints: c.CachedEndpoints}
}

const (
	platformHead = 2 * time.Second
	platformBody = 900 * time.Millisecond
	killMargin   = 550 * time.Millisecond // what is unanswered is failed the longest deadline and this after SIGTERM,
	killLongest  = 3 * time.Second        // of which no more than this counts on the platform: SIGKILL may come soon after
)
