package etcdstore

import (
	"slices"
	"time"

	"orchiddrift/internal/idempotency"
)

// agedAttempts holds attempts whose SentAt is the attempt's age at the time measuredAt.
type agedAttempts struct {
	attempts   []idempotency.Attempt
	measuredAt time.Time
}

// ages returns copies of the attempts whose SentAt is the attempt's current age.
func (a agedAttempts) ages() []idempotency.Attempt {
	aged := slices.Clone(a.attempts)
	for i := range aged {
		aged[i].SentAt += time.Since(a.measuredAt)
	}
	return aged
}

// wallTimes returns copies of the attempts whose SentAt is the wall-clock time since the Unix epoch, the form that records store.
func (a agedAttempts) wallTimes() []idempotency.Attempt {
	timed := a.ages()
	now := sinceEpoch(time.Now())
	for i := range timed {
		timed[i].SentAt = now - timed[i].SentAt
	}
	return timed
}

// sinceEpoch returns a wall-clock time as a duration since the Unix epoch.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
