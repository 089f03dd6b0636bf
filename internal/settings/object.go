package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"orchiddrift/balancer"
)

// object is the part of the platform's settings object that is used. Its tags map the platform's names to those of the balancer. The JSON
// decoder's errors contain the name of the type.
type object struct {
	FleetSize int `json:"Balancers"`
	Classes   []struct {
		Name               string  `json:"Name"`
		Idempotency        string  `json:"Semantics"`
		DedupScope         string  `json:"KeyScope"`
		LatencyObjectiveMs float64 `json:"AimMs"`
		ObjectiveStretch   float64 `json:"AimStretch"`
		DeadlineMs         float64 `json:"DeadlineMs"`
		PriorityWeight     float64 `json:"Importance"`
		LateValueFraction  float64 `json:"LateShare"`
		DedupWindowMs      float64 `json:"DedupWindowMs"`
		Streaming          bool    `json:"Stream"`
	} `json:"Classes"`
	Discovery string `json:"Discovery"`
	Limits    struct {
		CancellationAllowed bool    `json:"Cancelling"`
		ProbingAllowed      bool    `json:"Probes"`
		RetryAfterAllowed   bool    `json:"RetryAfter"`
		HedgingAllowed      bool    `json:"SecondCopies"`
		ConnectTimeoutMs    float64 `json:"ConnectTimeoutMs"`
		MaxRetryAfterMs     float64 `json:"MaxRetryAfterMs"`
		ConnIdleTimeoutMs   float64 `json:"ConnIdleMs"`
		MaxAttempts         int     `json:"SendCap"`
	} `json:"Limits"`
	OverQuotaWeight float64 `json:"OverShareWorth"`
	Prices          struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Prices"`
	Rules struct {
		SlowStartMinCapacity float64 `json:"ColdFrom"`
		SlowStartWindowMs    float64 `json:"WarmUpMs"`
		OverloadWindowMs     float64 `json:"FallMs"`
		OverloadMultiple     float64 `json:"FallMultiple"`
		MaxPollAgeMs         float64 `json:"MustAskInMs"`
		DrainGraceMs         float64 `json:"DrainGraceMs"`
	} `json:"Rules"`
	Tenants []struct {
		Name  string  `json:"Name"`
		Quota float64 `json:"Fraction"`
	} `json:"Tenants"`
	TickMs   float64 `json:"TickMs"`
	WeightBy string  `json:"WorthBy"`
	Zone     string  `json:"Zone"`
}

// Values in the platform's object.
const (
	discoveryPolled = "ask"  // value of Discovery
	weightByWork    = "work" // value of WorthBy

	semanticsRetryable = "retryable"
	semanticsDedup     = "dedup"
	semanticsFragile   = "fragile"
)

// These are the scopes of deduplication, in the platform's object and in the operator's file.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// unknownValue stands for an unknown idempotency or scope. The balancer's check rejects it and names the field.
const unknownValue = -1

// Decode reads the platform's settings object. Unknown keys are ignored.
func Decode(raw []byte) (Settings, error) {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("not a settings object: %w", err)
	}
	return Settings{
		Settings:        o.settings(),
		ConnIdleTimeout: Milliseconds(o.Limits.ConnIdleTimeoutMs),
		DrainGrace:      max(0, Milliseconds(o.Rules.DrainGraceMs)),
		MaxPollAge:      max(0, Milliseconds(o.Rules.MaxPollAgeMs)),
	}, nil
}

// invalidDuration is the result of Milliseconds for a number that is not a duration. It is rejected because no setting may be negative.
const invalidDuration time.Duration = -1

// Milliseconds converts a number of milliseconds to a Duration, rounded to whole microseconds, the resolution of the platform's settings.
// For a number that is NaN or too large it returns invalidDuration, which the checks of settings reject.
func Milliseconds(ms float64) time.Duration {
	const microsecondsPerMillisecond = 1000
	if us := math.Round(ms * microsecondsPerMillisecond); math.Abs(us) < math.MaxInt64/float64(time.Microsecond) {
		return time.Duration(us) * time.Microsecond
	}
	return invalidDuration
}

func (o *object) settings() balancer.Settings {
	s := balancer.Settings{
		FleetSize:            o.FleetSize,
		Zone:                 o.Zone,
		MustSubscribe:        o.Discovery == discoveryPolled,
		Tick:                 Milliseconds(o.TickMs),
		MaxAttempts:          o.Limits.MaxAttempts,
		HedgingAllowed:       o.Limits.HedgingAllowed,
		CancellationAllowed:  o.Limits.CancellationAllowed,
		ProbingAllowed:       o.Limits.ProbingAllowed,
		RetryAfterAllowed:    o.Limits.RetryAfterAllowed,
		MaxRetryAfter:        Milliseconds(o.Limits.MaxRetryAfterMs),
		ConnectTimeout:       Milliseconds(o.Limits.ConnectTimeoutMs),
		CrossZonePrice:       o.Prices.CrossZone,
		OverQuotaWeight:      o.OverQuotaWeight,
		WeightPerWork:        o.WeightBy == weightByWork,
		SlowStartMinCapacity: o.Rules.SlowStartMinCapacity,
		SlowStartWindow:      Milliseconds(o.Rules.SlowStartWindowMs),
		OverloadMultiple:     o.Rules.OverloadMultiple,
		OverloadWindow:       Milliseconds(o.Rules.OverloadWindowMs),
	}
	for _, c := range o.Classes {
		s.Classes = append(s.Classes, balancer.Class{
			Name:              c.Name,
			LatencyObjective:  Milliseconds(c.LatencyObjectiveMs),
			ObjectiveStretch:  c.ObjectiveStretch,
			Deadline:          Milliseconds(c.DeadlineMs),
			PriorityWeight:    c.PriorityWeight,
			LateValueFraction: c.LateValueFraction,
			Idempotency:       parseSemantics(c.Idempotency),
			DedupScope:        parseDedupScope(c.DedupScope),
			DedupWindow:       Milliseconds(c.DedupWindowMs),
			Streaming:         c.Streaming,
		})
	}
	for _, tenant := range o.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	return s
}

func parseSemantics(semantics string) balancer.Idempotency {
	switch semantics {
	case semanticsRetryable:
		return balancer.Idempotent
	case semanticsDedup:
		return balancer.IdempotentWithKey
	case semanticsFragile:
		return balancer.NonIdempotent
	}
	return unknownValue
}

// parseDedupScope returns the scope with the given name. An empty name means ScopeAll.
func parseDedupScope(scope string) balancer.DedupScope {
	switch scope {
	case "", scopeAll:
		return balancer.ScopeAll
	case scopeZone:
		return balancer.ScopeZone
	case scopeCell:
		return balancer.ScopeCell
	}
	return unknownValue
}
