package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"granitehinge/balancer"
)

// Settings is what the start-up parameters tell: the module's part, and what only a real sidecar needs.
type Settings struct {
	balancer.Settings
	ConnIdle time.Duration // upstreams close connections that are idle for this long
}

// DecodeSettings reads start-up parameters, the object that is Env on the wire.
func DecodeSettings(raw []byte) (Settings, error) {
	var e env
	if err := json.Unmarshal(raw, &e); err != nil {
		return Settings{}, fmt.Errorf("not start-up parameters: %w", err)
	}
	return Settings{Settings: e.settings(), ConnIdle: duration(e.Limits.ConnIdleMs)}, nil
}

// env is the part of the start-up parameters that is used.
type env struct {
	Balancers int
	Classes   []struct {
		Name, Semantics, KeyScope                 string
		AimMs, AimStretch, DeadlineMs, Importance float64
		LateShare, DedupWindowMs                  float64
		Stream                                    bool
	}
	Discovery string
	Limits    struct {
		Cancelling, Probes, RetryAfter, SecondCopies bool
		ConnectTimeoutMs, MaxRetryAfterMs            float64
		ConnIdleMs                                   float64
		SendCap                                      int
	}
	OverShareWorth float64
	Prices         struct{ CrossZone float64 }
	Rules          struct{ ColdFrom, WarmUpMs, FallMs, FallMultiple float64 }
	Tenants        []struct {
		Name     string
		Fraction float64
	}
	TickMs  float64
	WorthBy string
	Zone    string
}

// unknownWord is an effect or group that the module will turn down, naming the field.
const unknownWord = -1

func (e *env) settings() balancer.Settings {
	s := balancer.Settings{
		Balancers:      e.Balancers,
		Zone:           e.Zone,
		MustSubscribe:  e.Discovery == "ask",
		Tick:           duration(e.TickMs),
		MaxAttempts:    e.Limits.SendCap,
		SecondCopies:   e.Limits.SecondCopies,
		Cancelling:     e.Limits.Cancelling,
		Probes:         e.Limits.Probes,
		RetryAfter:     e.Limits.RetryAfter,
		MaxRetryAfter:  duration(e.Limits.MaxRetryAfterMs),
		ConnectTimeout: duration(e.Limits.ConnectTimeoutMs),
		PriceCrossZone: e.Prices.CrossZone,
		OverShareWorth: e.OverShareWorth,
		WorthByWork:    e.WorthBy == "work",
		ColdFrom:       e.Rules.ColdFrom,
		WarmUp:         duration(e.Rules.WarmUpMs),
		FallMultiple:   e.Rules.FallMultiple,
		FallTime:       duration(e.Rules.FallMs),
	}
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, Aim: duration(c.AimMs), AimStretch: c.AimStretch,
			Deadline: duration(c.DeadlineMs), Worth: c.Importance, LateShare: c.LateShare,
			Effect: effect(c.Semantics), Group: group(c.KeyScope), Window: duration(c.DedupWindowMs), Stream: c.Stream})
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Fraction: t.Fraction})
	}
	return s
}

func effect(word string) balancer.Effect {
	switch word {
	case "retryable":
		return balancer.Safe
	case "dedup":
		return balancer.Keyed
	case "fragile":
		return balancer.Unsafe
	}
	return unknownWord
}

func group(word string) balancer.Group {
	switch word {
	case "", "all":
		return balancer.GroupAll
	case "zone":
		return balancer.GroupZone
	case "cell":
		return balancer.GroupCell
	}
	return unknownWord
}
