package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Problem is a setting that can't be used. Key is the setting's name in the platform's documentation.
type Problem struct{ Key, Reason string }

func (p Problem) Error() string { return "setting " + p.Key + ": " + p.Reason }

// Problems names every setting that can't be used, in a fixed order. New accepts settings without Problems.
func (s Settings) Problems() []Problem { return s.normalize() }

// normalize fills in the defaults of absent settings and returns a Problem for each setting that can't be
// used. It copies the classes before it changes them.
func (s *Settings) normalize() []Problem {
	problems := s.valueProblems()
	s.setDefaults()
	return append(problems, s.classProblems()...)
}

// valueProblems checks the settings that do not belong to a class.
func (s *Settings) valueProblems() (problems []Problem) {
	add := func(key, format string, args ...any) {
		problems = append(problems, Problem{key, fmt.Sprintf(format, args...)})
	}
	for _, setting := range []struct {
		key   string
		value time.Duration
	}{
		{"Tick", s.Tick},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"ConnectTimeout", s.ConnectTimeout},
		{"WarmUp", s.SlowStartWindow},
		{"FallTime", s.OverloadWindow},
	} {
		if setting.value < 0 {
			add(setting.key, "must not be negative")
		}
	}
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"Balancers", float64(s.FleetSize)},
		{"MaxAttempts", float64(s.MaxAttempts)},
		{"PriceCrossZone", s.CrossZonePrice},
		{"FallMultiple", s.OverloadMultiple},
	} {
		if setting.value < 0 || math.IsNaN(setting.value) || math.IsInf(setting.value, 0) {
			add(setting.key, "%v is negative or not finite", setting.value)
		}
	}
	if !isFraction(s.SlowStartMinCapacity) {
		add("ColdFrom", "%v is not between 0 and 1", s.SlowStartMinCapacity)
	}
	if !isFraction(s.OverQuotaWeight) {
		add("OverShareWorth", "%v is not between 0 and 1", s.OverQuotaWeight)
	}
	for _, tenant := range s.Tenants {
		if !isFraction(tenant.Quota) {
			add("Tenants", "%s: Fraction %v is not between 0 and 1", tenant.Name, tenant.Quota)
		}
	}
	if len(s.Classes) == 0 {
		add("Classes", "no class is given")
	}
	return problems
}

func (s *Settings) setDefaults() {
	s.FleetSize = max(s.FleetSize, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.Tick = cmp.Or(s.Tick, time.Millisecond)
	s.SlowStartMinCapacity = cmp.Or(s.SlowStartMinCapacity, 1)
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		class := &s.Classes[i]
		class.LatencyObjective = cmp.Or(class.LatencyObjective, class.Deadline)
		class.PriorityWeight = cmp.Or(class.PriorityWeight, 1)
	}
}

// classProblems checks the classes, with their defaults filled in.
func (s *Settings) classProblems() (problems []Problem) {
	add := func(format string, args ...any) {
		problems = append(problems, Problem{"Classes", fmt.Sprintf(format, args...)})
	}
	seen := map[string]bool{}
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.Name == "" || seen[class.Name] {
			add("Name %q is empty or repeated", class.Name)
		}
		seen[class.Name] = true
		if field := class.unusableField(); field != "" {
			add("%s: %s is out of range", class.Name, field)
		}
	}
	return problems
}

// isFraction reports whether x is between 0 and 1. It is false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// unusableField returns the first field that can't be used, by its documented name, or "" if all can be used.
func (c *Class) unusableField() string {
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
	case !isFraction(c.LateValueFraction):
		return "LateShare"
	case !(c.ObjectiveStretch >= 0) || math.IsInf(c.ObjectiveStretch, 0):
		return "AimStretch"
	case c.DedupWindow < 0:
		return "Window"
	}
	return ""
}
