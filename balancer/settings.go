package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Problem is a setting that cannot be used.
type Problem struct{ Key, Reason string }

func (p Problem) Error() string { return "setting " + p.Key + ": " + p.Reason }

// Problems names every setting that cannot be used, in a fixed order; none: New takes them.
func (s Settings) Problems() []Problem { return s.check() }

// check fills in the defaults of absent settings and names all that cannot be used.
func (s *Settings) check() (bad []Problem) {
	add := func(key, format string, args ...any) {
		bad = append(bad, Problem{key, fmt.Sprintf(format, args...)})
	}
	for _, t := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"WarmUp", s.SlowStartWindow}, {"FallTime", s.OverloadWindow}} {
		if t.d < 0 {
			add(t.name, "negative")
		}
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"Balancers", float64(s.FleetSize)}, {"MaxAttempts", float64(s.MaxAttempts)},
		{"PriceCrossZone", s.CrossZonePrice}, {"FallMultiple", s.OverloadMultiple}} {
		if x.v < 0 || math.IsNaN(x.v) || math.IsInf(x.v, 0) {
			add(x.name, "%v is not usable", x.v)
		}
	}
	if !isShare(s.SlowStartMinCapacity) {
		add("ColdFrom", "%v is not a share", s.SlowStartMinCapacity)
	}
	if !isShare(s.OverQuotaWeight) {
		add("OverShareWorth", "%v is not a share", s.OverQuotaWeight)
	}
	for _, t := range s.Tenants {
		if !isShare(t.Quota) {
			add("Tenants", "%s: Fraction %v is not a share", t.Name, t.Quota)
		}
	}
	if len(s.Classes) == 0 {
		add("Classes", "none given")
	}
	s.FleetSize, s.MaxAttempts = max(s.FleetSize, 1), max(s.MaxAttempts, 1)
	s.Tick = cmp.Or(s.Tick, time.Millisecond)
	s.SlowStartMinCapacity = cmp.Or(s.SlowStartMinCapacity, 1)
	s.Classes = slices.Clone(s.Classes)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Deadline)
		c.PriorityWeight = cmp.Or(c.PriorityWeight, 1)
		if c.Name == "" || names[c.Name] {
			add("Classes", "Name %q empty or repeated", c.Name)
		}
		names[c.Name] = true
		if field := c.unusable(); field != "" {
			add("Classes", "%s: %s is not usable", c.Name, field)
		}
	}
	return bad
}

// isShare is false for what is not a number, too.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// unusable names the first field that cannot be used, or none.
func (c *Class) unusable() string {
	switch {
	case c.LatencyObjective <= 0:
		return "Aim"
	case c.Deadline <= 0:
		return "Deadline"
	case c.Idempotency < Idempotent || c.Idempotency > NonIdempotent:
		return "Effect"
	case c.DedupScope < ScopeAll || c.DedupScope > ScopeCell:
		return "Group"
	case !(c.PriorityWeight >= 0) || math.IsInf(c.PriorityWeight, 0):
		return "Worth"
	case !isShare(c.LateValueFraction):
		return "LateShare"
	case !(c.ObjectiveStretch >= 0) || math.IsInf(c.ObjectiveStretch, 0):
		return "AimStretch"
	case c.DedupWindow < 0:
		return "Window"
	}
	return ""
}
