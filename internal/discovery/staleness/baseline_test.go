package staleness

import (
	"math/rand/v2"
	"time"
)

// baseline is a policy that ignores the deadline. It has fixed timeouts for silence and the first byte, and its backoff depends only on the
// number of failures. The tests require that baseline misses deadlines, which shows that the simulation detects missed deadlines.
type baseline struct {
	rng           *rand.Rand
	pushed        bool
	lastID        CallID
	timeoutAt     time.Duration
	nextCallAt    time.Duration
	failures      int
	pushedBackoff time.Duration
}

const (
	baselineSilenceTimeout       = 3500 * ms
	baselineFirstByteTimeout     = 5 * second
	baselinePushedInitialBackoff = 250 * ms
	baselinePushedMaxBackoff     = 4 * second
	baselineInitialBackoff       = second
	baselineMaxBackoff           = 8 * second
)

func (b *baseline) open(now time.Duration) []Action {
	b.lastID++
	b.timeoutAt, b.nextCallAt = now+baselineFirstByteTimeout, never
	return []Action{{Kind: OpenCall, Call: b.lastID}}
}

func (b *baseline) Start(now time.Duration) []Action {
	b.pushedBackoff = baselinePushedInitialBackoff
	return b.open(now)
}

func (b *baseline) CallActive(now time.Duration, _ CallID) []Action {
	b.timeoutAt, b.failures, b.pushedBackoff = now+baselineSilenceTimeout, 0, baselinePushedInitialBackoff
	return nil
}

func (b *baseline) CallEnded(now time.Duration, _ CallID) []Action {
	b.timeoutAt = never
	if b.pushed {
		b.nextCallAt = now + b.pushedBackoff
		b.pushedBackoff = min(2*b.pushedBackoff, baselinePushedMaxBackoff)
		return nil
	}
	b.failures++
	wait := min(baselineInitialBackoff<<min(b.failures-1, 10), baselineMaxBackoff)
	b.nextCallAt = now + time.Duration(float64(wait)*(0.5+b.rng.Float64()))
	return nil
}

func (b *baseline) Tick(now time.Duration) []Action {
	switch {
	case now >= b.timeoutAt:
		b.CallEnded(now, b.lastID)
		return []Action{{Kind: CloseCall, Call: b.lastID}}
	case now >= b.nextCallAt:
		return b.open(now)
	}
	return nil
}

func (b *baseline) Next() time.Duration { return min(b.timeoutAt, b.nextCallAt) }
