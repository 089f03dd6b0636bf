// Package settings decodes the settings of a deployment: the JSON object that a configuration file holds under
// "settings" and that the simulator's first message holds as Env. Every front and the simulator's adapter read them
// here and nowhere else.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"orchiddrift/balancer"
)

// Settings is the decoded settings object: the balancer's part, and what only a process on real sockets needs.
type Settings struct {
	balancer.Settings
	ConnIdleTimeout time.Duration // upstreams close connections that are idle for this long; 0: unknown
	DrainGrace      time.Duration // from the notification of a change until it binds: nothing may be sent against it any more; 0: unknown
	MaxPollAge      time.Duration // a polled list is valid for this long after the last call, where no watch is connected; 0: unknown
}

// Decode reads the object. Keys that are not known here are passed over; whether the values can be used is for
// balancer.Settings.Problems to say.
func Decode(raw []byte) (Settings, error) {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("not a settings object: %w", err)
	}
	return Settings{Settings: o.settings(), ConnIdleTimeout: Milliseconds(o.Limits.ConnIdleMs),
		DrainGrace: max(0, Milliseconds(o.Rules.DrainGraceMs)), MaxPollAge: max(0, Milliseconds(o.Rules.MustAskInMs))}, nil
}

// Milliseconds converts a number of milliseconds, counted in whole microseconds as the settings' source does. What
// is no number, or too large for a Duration, becomes a negative one, which no setting may be.
func Milliseconds(ms float64) time.Duration {
	if us := math.Round(ms * 1000); math.Abs(us) < math.MaxInt64/float64(time.Microsecond) {
		return time.Duration(us) * time.Microsecond
	}
	return -1
}

// object is the part of the object that is used.
type object struct {
	Balancers int `json:"Balancers"`
	Classes   []struct {
		Name          string  `json:"Name"`
		Semantics     string  `json:"Semantics"`
		KeyScope      string  `json:"KeyScope"`
		AimMs         float64 `json:"AimMs"`
		AimStretch    float64 `json:"AimStretch"`
		DeadlineMs    float64 `json:"DeadlineMs"`
		Importance    float64 `json:"Importance"`
		LateShare     float64 `json:"LateShare"`
		DedupWindowMs float64 `json:"DedupWindowMs"`
		Stream        bool    `json:"Stream"`
	} `json:"Classes"`
	Discovery string `json:"Discovery"`
	Limits    struct {
		Cancelling       bool    `json:"Cancelling"`
		Probes           bool    `json:"Probes"`
		RetryAfter       bool    `json:"RetryAfter"`
		SecondCopies     bool    `json:"SecondCopies"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		ConnIdleMs       float64 `json:"ConnIdleMs"`
		SendCap          int     `json:"SendCap"`
	} `json:"Limits"`
	OverShareWorth float64 `json:"OverShareWorth"`
	Prices         struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Prices"`
	Rules struct {
		ColdFrom     float64 `json:"ColdFrom"`
		WarmUpMs     float64 `json:"WarmUpMs"`
		FallMs       float64 `json:"FallMs"`
		FallMultiple float64 `json:"FallMultiple"`
		MustAskInMs  float64 `json:"MustAskInMs"`
		DrainGraceMs float64 `json:"DrainGraceMs"`
	} `json:"Rules"`
	Tenants []struct {
		Name     string  `json:"Name"`
		Fraction float64 `json:"Fraction"`
	} `json:"Tenants"`
	TickMs  float64 `json:"TickMs"`
	WorthBy string  `json:"WorthBy"`
	Zone    string  `json:"Zone"`
}

// unknownWord is an effect or group that the module will turn down, naming the field.
const unknownWord = -1

func (o *object) settings() balancer.Settings {
	s := balancer.Settings{
		FleetSize:            o.Balancers,
		Zone:                 o.Zone,
		MustSubscribe:        o.Discovery == "ask",
		Tick:                 Milliseconds(o.TickMs),
		MaxAttempts:          o.Limits.SendCap,
		HedgingAllowed:       o.Limits.SecondCopies,
		CancellationAllowed:  o.Limits.Cancelling,
		ProbingAllowed:       o.Limits.Probes,
		RetryAfterAllowed:    o.Limits.RetryAfter,
		MaxRetryAfter:        Milliseconds(o.Limits.MaxRetryAfterMs),
		ConnectTimeout:       Milliseconds(o.Limits.ConnectTimeoutMs),
		CrossZonePrice:       o.Prices.CrossZone,
		OverQuotaWeight:      o.OverShareWorth,
		WeightPerWork:        o.WorthBy == "work",
		SlowStartMinCapacity: o.Rules.ColdFrom,
		SlowStartWindow:      Milliseconds(o.Rules.WarmUpMs),
		OverloadMultiple:     o.Rules.FallMultiple,
		OverloadWindow:       Milliseconds(o.Rules.FallMs),
	}
	for _, c := range o.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, LatencyObjective: Milliseconds(c.AimMs), ObjectiveStretch: c.AimStretch,
			Deadline: Milliseconds(c.DeadlineMs), PriorityWeight: c.Importance, LateValueFraction: c.LateShare,
			Idempotency: effect(c.Semantics), DedupScope: group(c.KeyScope), DedupWindow: Milliseconds(c.DedupWindowMs), Streaming: c.Stream})
	}
	for _, t := range o.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Fraction})
	}
	return s
}

func effect(word string) balancer.Idempotency {
	switch word {
	case "retryable":
		return balancer.Idempotent
	case "dedup":
		return balancer.IdempotentWithKey
	case "fragile":
		return balancer.NonIdempotent
	}
	return unknownWord
}

func group(word string) balancer.DedupScope {
	switch word {
	case "", "all":
		return balancer.ScopeAll
	case "zone":
		return balancer.ScopeZone
	case "cell":
		return balancer.ScopeCell
	}
	return unknownWord
}
