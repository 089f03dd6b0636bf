package etcdstore

import (
	"slices"
	"time"

	"orchiddrift/internal/idempotency"
)

// agedAttempts are attempts whose SentAt is their age at the time measuredAt.
type agedAttempts struct {
	attempts   []idempotency.Attempt
	measuredAt time.Time
}

// ages returns the attempts with their current ages as SentAt.
func (a agedAttempts) ages() []idempotency.Attempt {
	aged := slices.Clone(a.attempts)
	for i := range aged {
		aged[i].SentAt += time.Since(a.measuredAt)
	}
	return aged
}

// wallTimes returns the attempts with SentAt as wall-clock time since the Unix epoch, the form stored in records.
func (a agedAttempts) wallTimes() []idempotency.Attempt {
	timed := a.ages()
	now := sinceEpoch(time.Now())
	for i := range timed {
		timed[i].SentAt = now - timed[i].SentAt
	}
	return timed
}

// sinceEpoch returns a wall-clock time in the form stored in records.
func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
