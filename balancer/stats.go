package balancer

import (
	"math"
	"time"
)

// Plain statistics: a quantile and a rate. What is fed to them and what follows from them is in pick.go and refusals.go.

// quantile follows a quantile p of what is added.
type quantile struct{ p, v float64 }

func (q *quantile) add(x float64) {
	if x > q.v {
		q.v *= math.Exp(quantStep * q.p)
	} else {
		q.v *= math.Exp(-quantStep * (1 - q.p))
	}
}

// rate is an exponentially forgetting rate.
type rate struct {
	memory time.Duration
	sum    float64
	at     time.Duration
	since  time.Duration
	begun  bool
}

func (r *rate) add(x float64, now time.Duration) {
	if !r.begun {
		r.begun, r.since, r.at = true, now, now
	}
	r.sum = r.sum*math.Exp(-float64(now-r.at)/float64(r.memory)) + x
	r.at = now
}

// per second, not biased low while young.
func (r *rate) per(now time.Duration) float64 {
	age := max(now-r.since, r.memory/20)
	sum := r.sum * math.Exp(-float64(now-r.at)/float64(r.memory))
	return sum / (r.memory.Seconds() * (1 - math.Exp(-float64(age)/float64(r.memory))))
}
