package settings

import (
	"math"
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/units"
)

// Declaration is the part of a service in the operator's file that the balancer decides by. It has the same content as the platform's
// settings object; Settings converts it.
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

// SlowStart is how upstreams that have just started are given less.
type SlowStart struct {
	MinCapacity      float64        `toml:"from" default:"1" doc:"The part of its capacity that it has at its start; 1: there is no such rule."`
	Window           units.Duration `toml:"warm_up" default:"0s" doc:"After this long it has all of it."`
	OverloadMultiple float64        `toml:"multiple" doc:"So many times of what it can do at that moment push it over; 0: nothing does,"`
	OverloadWindow   units.Duration `toml:"over" default:"0s" doc:"when kept up for this long."`
}

// Class is one class of requests.
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

// Tenant is one of the tenants that share a service.
type Tenant struct {
	Name  string  `toml:"name" sample:"\"acme\"" doc:"The tenant's name, as requests bear it."`
	Quota float64 `toml:"share" doc:"Its share of the service, as a part."`
}

// ReadClass and WriteClass are the names of the classes of a service that declares none.
const (
	ReadClass  = "read"
	WriteClass = "write"
)

// defaultClasses are the classes of a service that declares none.
var defaultClasses = []Class{
	{Name: ReadClass, Idempotency: idempotencySafe, LatencyObjective: units.Duration(time.Second), Deadline: units.Duration(10 * time.Second),
		PriorityWeight: 1, LateValueFraction: 0.5, DedupScope: scopeAll},
	{Name: WriteClass, Idempotency: idempotencyUnsafe, LatencyObjective: units.Duration(2 * time.Second), Deadline: units.Duration(10 * time.Second),
		PriorityWeight: 2, LateValueFraction: 0.5, DedupScope: scopeAll},
}

const (
	declaredTick = 2 * time.Millisecond // granularity of time of the services of an operator's file
	maxDeadline  = units.Duration(time.Hour)
	maxCount     = 100_000 // of processes of a fleet, and of attempts
)

// The values of a class's effect in the operator's file.
const (
	idempotencySafe   = "safe"
	idempotencyKeyed  = "keyed"
	idempotencyUnsafe = "unsafe"
)

var declaredIdempotency = map[string]balancer.Idempotency{
	idempotencySafe:   balancer.Idempotent,
	idempotencyKeyed:  balancer.IdempotentWithKey,
	idempotencyUnsafe: balancer.NonIdempotent,
}

// Check implements tomlfile.Checker.
func (c *Class) Check(report func(key, format string, args ...any)) {
	if c.Name == "" {
		report("name", "missing")
	}
	if c.Deadline <= 0 || c.Deadline > maxDeadline {
		report("deadline", "%v is not between 0s and 1h", c.Deadline)
	}
	if c.Idempotency == idempotencyKeyed && c.DedupWindow == 0 {
		report("window", "a keyed class needs the time for which repeats are dropped")
	}
	if c.Idempotency != idempotencyKeyed && (c.DedupWindow != 0 || c.DedupScope != scopeAll) {
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

// Check implements tomlfile.Checker. The balancer's own checks follow only if the declaration's find nothing: most would repeat them.
func (d *Declaration) Check(report func(key, format string, args ...any)) {
	if d.checkValues(report) || d.hasUnknownIdempotency() {
		return
	}
	for _, problem := range d.Settings().Problems() {
		if problem.Key != "Classes" || len(d.Classes) > 0 {
			report("", "%s: %s", problem.Key, problem.Reason)
		}
	}
}

// checkValues reports values out of range, and returns whether there are any.
func (d *Declaration) checkValues(report func(key, format string, args ...any)) (found bool) {
	add := func(key, format string, args ...any) {
		found = true
		report(key, format, args...)
	}
	for key, fraction := range map[string]float64{"cold.from": d.SlowStart.MinCapacity, "over_share_worth": d.OverQuotaWeight} {
		if !(fraction >= 0 && fraction <= 1) {
			add(key, "%v is not a part, from 0 to 1", fraction)
		}
	}
	for key, n := range map[string]int{"sidecars": d.FleetSize, "attempts": d.MaxAttempts} {
		if n < 1 || n > maxCount {
			add(key, "%d is not usable", n)
		}
	}
	if d.ConnIdleTimeout == 0 {
		add("idle", "0s would retire every connection")
	}
	if d.ConnectTimeout == 0 {
		add("connect_timeout", "0s lets no connection come up")
	}
	return found
}

// hasUnknownIdempotency reports whether a class has a value that there is not, which decoding has reported.
func (d *Declaration) hasUnknownIdempotency() bool {
	return slices.ContainsFunc(d.Classes, func(c Class) bool {
		_, known := declaredIdempotency[c.Idempotency]
		return !known
	})
}

// Settings converts the declaration.
func (d *Declaration) Settings() Settings {
	s := Settings{
		ConnIdleTimeout: d.ConnIdleTimeout.D(),
		Settings: balancer.Settings{
			FleetSize:            d.FleetSize,
			Zone:                 d.Zone,
			Tick:                 declaredTick,
			MaxAttempts:          d.MaxAttempts,
			HedgingAllowed:       d.HedgingAllowed,
			CancellationAllowed:  true,
			RetryAfterAllowed:    d.MaxRetryAfter > 0,
			MaxRetryAfter:        d.MaxRetryAfter.D(),
			ConnectTimeout:       d.ConnectTimeout.D(),
			CrossZonePrice:       d.CrossZonePrice,
			OverQuotaWeight:      d.OverQuotaWeight,
			WeightPerWork:        d.WeightPerWork,
			SlowStartMinCapacity: d.SlowStart.MinCapacity,
			SlowStartWindow:      d.SlowStart.Window.D(),
			OverloadMultiple:     d.SlowStart.OverloadMultiple,
			OverloadWindow:       d.SlowStart.OverloadWindow.D(),
		},
	}
	classes := d.Classes
	if len(classes) == 0 {
		classes = defaultClasses
	}
	for i := range classes {
		s.Classes = append(s.Classes, classes[i].settings())
	}
	for _, tenant := range d.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	return s
}

func (c *Class) settings() balancer.Class {
	idempotency, known := declaredIdempotency[c.Idempotency]
	if !known {
		idempotency = unknownValue
	}
	return balancer.Class{
		Name:              c.Name,
		LatencyObjective:  c.LatencyObjective.D(),
		ObjectiveStretch:  c.ObjectiveStretch,
		Deadline:          c.Deadline.D(),
		PriorityWeight:    c.PriorityWeight,
		LateValueFraction: c.LateValueFraction,
		Idempotency:       idempotency,
		DedupScope:        parseDedupScope(c.DedupScope),
		DedupWindow:       c.DedupWindow.D(),
	}
}
