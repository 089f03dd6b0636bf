package eureka

import "time"

const (
	// maxMismatches is the number of consecutive checksum mismatches after which deltas are no longer polled.
	maxMismatches = 3
	// maxBackoffDoublings limits the left shift of the poll interval, so that it does not overflow.
	maxBackoffDoublings = 20
)

// pollState decides whether the next poll requests a delta or the full registry, and when it is made. It does no I/O and reads no clock.
type pollState struct {
	wantsDelta      bool // deltas are wanted, and the registry is not known to lack them
	isComplete      bool // the cache matches the registry, so that a delta can be applied to the cache
	mismatches      int  // number of consecutive checksum mismatches
	deltaUnreliable bool // mismatches reached maxMismatches, so that deltas are no longer polled
	failures        int  // number of consecutive failed polls
}

// useDelta reports whether the next poll is a delta rather than a full poll.
func (p *pollState) useDelta() bool { return p.wantsDelta && p.isComplete && !p.deltaUnreliable }

// wait returns the time from the start of a poll to the next poll. After a successful poll this is the interval. After failures it is a
// backoff that doubles from the interval up to maxBackoff. The second half of the backoff is multiplied by jitter, which is from 0 to 1.
//
// A change must be noticed within 6 s. With the default options this holds even after three failed polls, since the fourth poll is answered
// after at most one timeout, three waits of at most maxBackoff, and another timeout.
func (p *pollState) wait(interval, maxBackoff time.Duration, jitter float64) time.Duration {
	if p.failures == 0 {
		return interval
	}
	backoff := min(interval<<min(p.failures-1, maxBackoffDoublings), maxBackoff)
	return backoff/2 + time.Duration(jitter*float64(backoff/2))
}

// recordChecksumResult records whether the cache matches the checksum of a delta.
func (p *pollState) recordChecksumResult(matches bool) {
	if matches {
		p.mismatches, p.deltaUnreliable = 0, false
		return
	}
	p.isComplete = false
	if p.mismatches++; p.mismatches >= maxMismatches {
		p.deltaUnreliable = true
	}
}
