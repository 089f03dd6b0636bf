package settings

import (
	"math"

	"orchiddrift/balancer"
	"orchiddrift/internal/units"
)

// Declaration is a service's part of the operator's file that the module decides by. It says the same as the platform's
// object; Settings converts it.
type Declaration struct {
	Zone            string         `toml:"zone" doc:"Where this process stands, as in the list's entries."`
	FleetSize       int            `toml:"sidecars" default:"1" doc:"How many processes share the upstreams: each takes care of a cold one by its part."`
	MaxAttempts     int            `toml:"attempts" default:"3" doc:"How often a request is sent at most."`
	HedgingAllowed  bool           `toml:"second_copies" default:"true" doc:"A late request may be sent a second time while the first is out, where its class allows a repeat."`
	ConnectTimeout  units.Duration `toml:"connect_timeout" default:"1s" doc:"A connection that has not come up by then, handshake included, has failed."`
	ConnIdleTimeout units.Duration `toml:"idle" default:"10s" doc:"Upstreams close connections that are idle for this long; they are retired before."`
	MaxRetryAfter   units.Duration `toml:"retry_after" default:"1s" doc:"The longest time that a refused client is told to stay away; 0s: it is told nothing."`
	CrossZonePrice  float64        `toml:"cross_zone_price" doc:"What sending one request to another zone costs, in points of service per hundred."`
	OverQuotaWeight float64        `toml:"over_share_worth" default:"1" doc:"What a tenant's request beyond its share is worth, as a part."`
	WeightPerWork   bool           `toml:"worth_by_work" doc:"Worth counts by unit of work, not by request."`
	SlowStart       SlowStart      `toml:"cold" doc:"The care that an upstream gets that has just started."`
	Classes         []Class        `toml:"class" doc:"The kinds of requests. Absent: \"read\" (safe) for GET, HEAD and OPTIONS, and \"write\" (unsafe) for the rest."`
	Tenants         []Tenant       `toml:"tenant" doc:"Parties that share the service."`
}

// SlowStart is the rule of cold upstreams.
type SlowStart struct {
	MinCapacity      float64        `toml:"from" default:"1" doc:"The part of its capacity that it has at its start; 1: there is no such rule."`
	Window           units.Duration `toml:"warm_up" default:"0s" doc:"After this long it has all of it."`
	OverloadMultiple float64        `toml:"multiple" doc:"So many times of what it can do at that moment push it over; 0: nothing does,"`
	OverloadWindow   units.Duration `toml:"over" default:"0s" doc:"when kept up for this long."`
}

// Class is one kind of requests.
type Class struct {
	Name              string         `toml:"name" sample:"\"search\"" doc:"The class's name, which routes give."`
	Idempotency       string         `toml:"effect" default:"unsafe" oneof:"safe|keyed|unsafe" doc:"safe: may run any number of times. keyed: bears a key by which upstreams drop repeats. unsafe: must not run twice."`
	LatencyObjective  units.Duration `toml:"aim" default:"0s" sample:"\"800ms\"" doc:"Answers within it are worth all; 0s: the deadline."`
	ObjectiveStretch  float64        `toml:"aim_stretch" doc:"The aim grows by this multiple of the request's own work."`
	Deadline          units.Duration `toml:"deadline" default:"10s" doc:"How long a client waits over all of its tries."`
	PriorityWeight    float64        `toml:"worth" default:"1" doc:"What an answer is worth beside those of other classes."`
	LateValueFraction float64        `toml:"late_share" default:"0.5" doc:"The part of it that an answer after the aim is still worth."`
	DedupScope        string         `toml:"group" default:"all" oneof:"all|zone|cell" doc:"Of a keyed class: the upstreams that share their memory of keys."`
	DedupWindow       units.Duration `toml:"window" default:"0s" doc:"Of a keyed class: how long they keep it."`
}

// Tenant is one of the parties that share a service.
type Tenant struct {
	Name  string  `toml:"name" sample:"\"acme\"" doc:"The tenant's name, as requests bear it."`
	Quota float64 `toml:"share" doc:"Its share of the service, as a part."`
}

// ReadClass and WriteClass are the classes of a service that declares none.
const (
	ReadClass  = "read"
	WriteClass = "write"
)

var plainClasses = []Class{
	{Name: ReadClass, Idempotency: "safe", LatencyObjective: 1e9, Deadline: 10e9, PriorityWeight: 1, LateValueFraction: 0.5, DedupScope: "all"},
	{Name: WriteClass, Idempotency: "unsafe", LatencyObjective: 2e9, Deadline: 10e9, PriorityWeight: 2, LateValueFraction: 0.5, DedupScope: "all"},
}

// declaredTick is the grain of time of declared services.
const declaredTick = 2e6

var effects = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentWithKey, "unsafe": balancer.NonIdempotent}

// Check is tomlfile.Checker's.
func (c *Class) Check(report func(key, format string, args ...any)) {
	if c.Name == "" {
		report("name", "missing")
	}
	if c.Deadline <= 0 || c.Deadline > 3600e9 {
		report("deadline", "%v is not between 0s and 1h", c.Deadline)
	}
	if c.Idempotency == "keyed" && c.DedupWindow == 0 {
		report("window", "a keyed class needs the time for which repeats are dropped")
	}
	if c.Idempotency != "keyed" && (c.DedupWindow != 0 || c.DedupScope != "all") {
		report("effect", "window and group belong to a keyed class")
	}
	for key, v := range map[string]float64{"worth": c.PriorityWeight, "aim_stretch": c.ObjectiveStretch} {
		if !(v >= 0) || math.IsInf(v, 0) {
			report(key, "%v is not usable", v)
		}
	}
	if !(c.LateValueFraction >= 0 && c.LateValueFraction <= 1) {
		report("late_share", "%v is not a part, from 0 to 1", c.LateValueFraction)
	}
}

// Check is tomlfile.Checker's. What remains of the module's own checks is reported for the whole.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	before := 0
	count := func(key, format string, args ...any) {
		before++
		report(key, format, args...)
	}
	for key, v := range map[string]float64{"cold.from": d.SlowStart.MinCapacity, "over_share_worth": d.OverQuotaWeight} {
		if !(v >= 0 && v <= 1) {
			count(key, "%v is not a part, from 0 to 1", v)
		}
	}
	for key, n := range map[string]int{"sidecars": d.FleetSize, "attempts": d.MaxAttempts} {
		if n < 1 || n > 100_000 {
			count(key, "%d is not usable", n)
		}
	}
	if d.ConnIdleTimeout == 0 {
		count("idle", "0s would retire every connection")
	}
	if d.ConnectTimeout == 0 {
		count("connect_timeout", "0s lets no connection come up")
	}
	for _, c := range d.Classes {
		if _, ok := effects[c.Idempotency]; !ok {
			before++ // reported where it stands
		}
	}
	if before > 0 {
		return
	}
	for _, p := range d.Settings().Problems() {
		if p.Key != "Classes" || len(d.Classes) > 0 {
			report("", "%s: %s", p.Key, p.Reason)
		}
	}
}

// Settings converts it.
func (d *Declaration) Settings() Settings {
	s := Settings{ConnIdleTimeout: d.ConnIdleTimeout.D(), Settings: balancer.Settings{FleetSize: d.FleetSize, Zone: d.Zone, Tick: declaredTick,
		MaxAttempts: d.MaxAttempts, HedgingAllowed: d.HedgingAllowed, CancellationAllowed: true, RetryAfterAllowed: d.MaxRetryAfter > 0,
		MaxRetryAfter: d.MaxRetryAfter.D(), ConnectTimeout: d.ConnectTimeout.D(), CrossZonePrice: d.CrossZonePrice,
		OverQuotaWeight: d.OverQuotaWeight, WeightPerWork: d.WeightPerWork, SlowStartMinCapacity: d.SlowStart.MinCapacity, SlowStartWindow: d.SlowStart.Window.D(),
		OverloadMultiple: d.SlowStart.OverloadMultiple, OverloadWindow: d.SlowStart.OverloadWindow.D()}}
	classes := d.Classes
	if len(classes) == 0 {
		classes = plainClasses
	}
	for _, c := range classes {
		effect, ok := effects[c.Idempotency]
		if !ok {
			effect = unknownWord
		}
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, LatencyObjective: c.LatencyObjective.D(), ObjectiveStretch: c.ObjectiveStretch,
			Deadline: c.Deadline.D(), PriorityWeight: c.PriorityWeight, LateValueFraction: c.LateValueFraction, Idempotency: effect, DedupScope: group(c.DedupScope),
			DedupWindow: c.DedupWindow.D()})
	}
	for _, t := range d.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}
