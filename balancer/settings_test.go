package balancer

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestNewNamesUnusableSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":        func(s *Settings) { s.Classes = nil },
		"Name":           func(s *Settings) { s.Classes[0].Name = "" },
		"Aim":            func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"Deadline":       func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Effect":         func(s *Settings) { s.Classes[0].Idempotency = 7 },
		"Group":          func(s *Settings) { s.Classes[0].DedupScope = -1 },
		"Window":         func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"Worth":          func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"Tick":           func(s *Settings) { s.Tick = -1 },
		"WarmUp":         func(s *Settings) { s.SlowStartWindow = -1 },
		"FallMultiple":   func(s *Settings) { s.OverloadMultiple = -1 },
		"MaxAttempts":    func(s *Settings) { s.MaxAttempts = -1 },
		"PriceCrossZone": func(s *Settings) { s.CrossZonePrice = -1 },
		"ColdFrom":       func(s *Settings) { s.SlowStartMinCapacity = 1.5 },
		"OverShareWorth": func(s *Settings) { s.OverQuotaWeight = math.NaN() },
		"LateShare":      func(s *Settings) { s.Classes[0].LateValueFraction = 1.2 },
		"AimStretch":     func(s *Settings) { s.Classes[0].ObjectiveStretch = math.Inf(1) },
		"Fraction":       func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Quota: -0.1}} },
		"Balancers":      func(s *Settings) { s.FleetSize = -2 },
		"FallTime":       func(s *Settings) { s.OverloadWindow = -1 },
		"MaxRetryAfter":  func(s *Settings) { s.MaxRetryAfter = -1 },
		"ConnectTimeout": func(s *Settings) { s.ConnectTimeout = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New with an unusable %s: error %v, want one that names the setting", want, err)
		}
	}
	if _, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}}, 1); err != nil {
		t.Errorf("New with only a class and its deadline: error %v, want nil", err)
	}
}

// Settings with nothing but a class must be enough: a request is sent, and after its answer the
// Balancer takes no further action.
func TestMinimalSettings(t *testing.T) {
	r := newHarness(t, Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}})
	r.addUpstreams(1)
	r.wantSend(r.request("1", "c", time.Second))
	r.wantNothing(r.outcome("1", 0, OK, 10*ms))
	r.wantNothing(r.advance(2 * time.Second))
}
