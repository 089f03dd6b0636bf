package etcdstore

import (
	"slices"
	"time"

	"orchiddrift/internal/idempotency"
)

// agedAttempts are attempts whose SentAt was their age at a moment.
type agedAttempts struct {
	attempts []idempotency.Attempt
	at       time.Time
}

// ages returns the attempts with their ages now.
func (a agedAttempts) ages() []idempotency.Attempt {
	aged := slices.Clone(a.attempts)
	for i := range aged {
		aged[i].SentAt += time.Since(a.at)
	}
	return aged
}

// wallTimes returns the attempts with their wall-clock times since the Unix epoch, as records have them.
func (a agedAttempts) wallTimes() []idempotency.Attempt {
	timed := a.ages()
	now := sinceEpoch(time.Now())
	for i := range timed {
		timed[i].SentAt = now - timed[i].SentAt
	}
	return timed
}

// sinceEpoch returns a wall-clock time as records have it.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
