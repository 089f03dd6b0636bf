package eureka

import "time"

const (
	// maxMismatches is after how many checksums in a row that do not match deltas are no longer polled.
	maxMismatches = 3
	// maxBackoffDoublings bounds the shift of the poll interval.
	maxBackoffDoublings = 20
)

// pollState decides what is polled next, a delta or everything, and when. It has no I/O and no clock.
type pollState struct {
	wantsDelta      bool // as long as the registry has deltas
	isComplete      bool // the cache is as the registry's: a delta can be applied to it
	mismatches      int  // in a row
	deltaUnreliable bool // checksums do not match: everything is polled until one does
	failures        int  // in a row
}

// useDelta reports whether a delta is polled next, rather than everything.
func (p *pollState) useDelta() bool { return p.wantsDelta && p.isComplete && !p.deltaUnreliable }

// wait returns how long until the next poll: the interval, or after failures a backoff that doubles from the interval up to maxBackoff, of
// which half is spread by spread, from 0 to 1.
//
// After three polls that fail, the fourth is answered within the 6 s in which a change has to be noticed: with the default options the
// sum is a timeout, three backoffs of maxBackoff at most, and a timeout.
func (p *pollState) wait(interval, maxBackoff time.Duration, spread float64) time.Duration {
	if p.failures == 0 {
		return interval
	}
	backoff := min(interval<<min(p.failures-1, maxBackoffDoublings), maxBackoff)
	return backoff/2 + time.Duration(spread*float64(backoff/2))
}

// checked takes whether the cache matches the checksum of a delta.
func (p *pollState) checked(matches bool) {
	if matches {
		p.mismatches, p.deltaUnreliable = 0, false
		return
	}
	p.isComplete = false
	if p.mismatches++; p.mismatches >= maxMismatches {
		p.deltaUnreliable = true
	}
}
