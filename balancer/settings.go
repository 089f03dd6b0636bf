package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// check fills in the defaults of absent settings and names the first one that cannot be used.
func (s *Settings) check() error {
	for _, t := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"WarmUp", s.WarmUp}, {"FallTime", s.FallTime}} {
		if t.d < 0 {
			return fmt.Errorf("setting %s: negative", t.name)
		}
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"Balancers", float64(s.Balancers)}, {"MaxAttempts", float64(s.MaxAttempts)},
		{"PriceCrossZone", s.PriceCrossZone}, {"FallMultiple", s.FallMultiple}} {
		if x.v < 0 || math.IsNaN(x.v) || math.IsInf(x.v, 0) {
			return fmt.Errorf("setting %s: %v is not usable", x.name, x.v)
		}
	}
	if !isShare(s.ColdFrom) {
		return fmt.Errorf("setting ColdFrom: %v is not a share", s.ColdFrom)
	}
	if !isShare(s.OverShareWorth) {
		return fmt.Errorf("setting OverShareWorth: %v is not a share", s.OverShareWorth)
	}
	for _, t := range s.Tenants {
		if !isShare(t.Fraction) {
			return fmt.Errorf("setting Tenants: %s: Fraction %v is not a share", t.Name, t.Fraction)
		}
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("setting Classes: none given")
	}
	s.Balancers, s.MaxAttempts = max(s.Balancers, 1), max(s.MaxAttempts, 1)
	s.Tick = cmp.Or(s.Tick, time.Millisecond)
	s.ColdFrom = cmp.Or(s.ColdFrom, 1)
	s.Classes = slices.Clone(s.Classes)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Aim = cmp.Or(c.Aim, c.Deadline)
		c.Worth = cmp.Or(c.Worth, 1)
		if c.Name == "" || names[c.Name] {
			return fmt.Errorf("setting Classes: Name %q empty or repeated", c.Name)
		}
		names[c.Name] = true
		if field := c.unusable(); field != "" {
			return fmt.Errorf("setting Classes: %s: %s is not usable", c.Name, field)
		}
	}
	return nil
}

// isShare is false for what is not a number, too.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// unusable names the first field that cannot be used, or none.
func (c *Class) unusable() string {
	switch {
	case c.Aim <= 0:
		return "Aim"
	case c.Deadline <= 0:
		return "Deadline"
	case c.Effect < Safe || c.Effect > Unsafe:
		return "Effect"
	case c.Group < GroupAll || c.Group > GroupCell:
		return "Group"
	case !(c.Worth >= 0) || math.IsInf(c.Worth, 0):
		return "Worth"
	case !isShare(c.LateShare):
		return "LateShare"
	case !(c.AimStretch >= 0) || math.IsInf(c.AimStretch, 0):
		return "AimStretch"
	case c.Window < 0:
		return "Window"
	}
	return ""
}
