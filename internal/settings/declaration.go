package settings

import (
	"math"
	"slices"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/units"
)

// Declaration is the part of a service in the operator's file that configures the balancer. It corresponds to the platform's settings
// object. Settings converts it.
type Declaration struct {
	Zone            string         `toml:"zone" doc:"The zone of this process, named as in the entries of the endpoint list."`
	FleetSize       int            `toml:"sidecars" default:"1" doc:"Number of processes that share the upstreams. Each sends an upstream that is warming up only its part of what that upstream can take."`
	MaxAttempts     int            `toml:"attempts" default:"3" doc:"Maximum number of attempts for one request."`
	HedgingAllowed  bool           `toml:"second_copies" default:"true" doc:"Allows hedged requests: a late request may be sent a second time while the first attempt is in flight, if its class allows repeats."`
	ConnectTimeout  units.Duration `toml:"connect_timeout" default:"1s" doc:"The timeout for opening a connection, TLS handshake included."`
	ConnIdleTimeout units.Duration `toml:"idle" default:"10s" doc:"Upstreams close connections that have been idle for this long. This process closes them earlier."`
	MaxRetryAfter   units.Duration `toml:"retry_after" default:"1s" doc:"The longest Retry-After that a rejected client gets. With 0s it gets none."`
	CrossZonePrice  float64        `toml:"cross_zone_price" doc:"The price of sending requests to another zone: what one such attempt per request costs, in percentage points of service."`
	OverQuotaWeight float64        `toml:"over_share_worth" default:"1" doc:"The factor, from 0 to 1, on the worth of requests beyond their tenant's share."`
	WeightPerWork   bool           `toml:"worth_by_work" doc:"The worth of a class counts per unit of work instead of per request."`
	SlowStart       SlowStart      `toml:"cold" doc:"Slow start: an upstream that has just started gets fewer requests until it is warm."`
	Classes         []Class        `toml:"class" doc:"A class of requests. If there is none, the classes are \"read\" (safe) for GET, HEAD and OPTIONS, and \"write\" (unsafe) for all other methods."`
	Tenants         []Tenant       `toml:"tenant" doc:"A tenant: one of the parties that share the service."`
}

// SlowStart limits the load of upstreams that have just started.
type SlowStart struct {
	MinCapacity      float64        `toml:"from" default:"1" doc:"The fraction of its capacity that an upstream has when it starts. With 1 there is no slow start."`
	Window           units.Duration `toml:"warm_up" default:"0s" doc:"How long an upstream takes from its start to its full capacity."`
	OverloadMultiple float64        `toml:"multiple" doc:"The multiple of its present capacity that overloads an upstream if it lasts for the time set by over. With 0 there is no such limit."`
	OverloadWindow   units.Duration `toml:"over" default:"0s" doc:"How long the load set by multiple has to last to overload an upstream."`
}

// Class is one class of requests.
type Class struct {
	Name              string         `toml:"name" sample:"\"search\"" doc:"The class's name, to which routes refer."`
	Idempotency       string         `toml:"effect" default:"unsafe" oneof:"safe|keyed|unsafe" doc:"safe: a request may run any number of times. keyed: a request has an idempotency key, by which upstreams drop repeats. unsafe: a request must not run twice."`
	LatencyObjective  units.Duration `toml:"aim" default:"0s" sample:"\"800ms\"" doc:"The latency objective. An answer within this time has its full worth. With 0s the class's deadline is the objective."`
	ObjectiveStretch  float64        `toml:"aim_stretch" doc:"The latency objective grows by this multiple of the request's expected work."`
	Deadline          units.Duration `toml:"deadline" default:"10s" doc:"How long a client waits for an answer, over all attempts."`
	PriorityWeight    float64        `toml:"worth" default:"1" doc:"The priority weight: the value of an answer relative to those of other classes."`
	LateValueFraction float64        `toml:"late_share" default:"0.5" doc:"The fraction of its worth that an answer has if it comes after the latency objective."`
	DedupScope        string         `toml:"group" default:"all" oneof:"all|zone|cell" doc:"For a keyed class: the upstreams that share their record of keys."`
	DedupWindow       units.Duration `toml:"window" default:"0s" doc:"For a keyed class: how long the upstreams remember a key."`
}

// Tenant is one of the tenants that share a service.
type Tenant struct {
	Name  string  `toml:"name" sample:"\"acme\"" doc:"The tenant's name, as it appears in requests."`
	Quota float64 `toml:"share" doc:"The tenant's share of the service, as a fraction."`
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
	declaredTick = 2 * time.Millisecond // time granularity of the services in an operator's file
	maxDeadline  = units.Duration(time.Hour)
	maxCount     = 100_000 // largest number of processes in a fleet, and of attempts
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
		report("window", "a keyed class needs the time for which upstreams remember keys")
	}
	if c.Idempotency != idempotencyKeyed && (c.DedupWindow != 0 || c.DedupScope != scopeAll) {
		report("effect", "window and group are only for keyed classes")
	}
	for key, v := range map[string]float64{"worth": c.PriorityWeight, "aim_stretch": c.ObjectiveStretch} {
		if !(v >= 0) || math.IsInf(v, 0) {
			report(key, "%v is not a finite number of at least 0", v)
		}
	}
	if !(c.LateValueFraction >= 0 && c.LateValueFraction <= 1) {
		report("late_share", "%v is not a fraction between 0 and 1", c.LateValueFraction)
	}
}

// Check implements tomlfile.Checker. The balancer's own checks run only if those of the declaration find nothing, because most would report
// the same problems.
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
			add(key, "%v is not a fraction between 0 and 1", fraction)
		}
	}
	for key, n := range map[string]int{"sidecars": d.FleetSize, "attempts": d.MaxAttempts} {
		if n < 1 || n > maxCount {
			add(key, "%d is less than 1 or too large", n)
		}
	}
	if d.ConnIdleTimeout == 0 {
		add("idle", "0s would close every connection at once")
	}
	if d.ConnectTimeout == 0 {
		add("connect_timeout", "0s leaves no time to open a connection")
	}
	return found
}

// hasUnknownIdempotency reports whether a class has an unknown idempotency. The decoder has reported it as a problem.
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
