package staleness

import "time"

// silenceSpread draws what a watch may be silent for beyond silenceTimeout, once for each watch: a fleet whose watches fall silent
// together does not open its calls at once, and the deadline of a single sidecar is kept. It is 0 for a pushed list.
func (m *Machine) silenceSpread() time.Duration {
	limit := min(time.Duration(m.options.FleetSize)*silenceSpreadPerSidecar, maxSilenceSpread)
	if m.options.Pushed || limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// firstByteTimeout returns how long a call opened at openedAt may wait for its first byte until another one is opened beside it.
//
// Before the deadline it is half of the remaining time, so that two calls fit. Once the deadline has passed it is short at first and
// doubles with each consecutive timeout, so that a slow answer is waited for in the end. Where calls before it were rejected, the server
// is there and its queue is long: a call that is not rejected has a place in it, and one beside it would take the place of another
// sidecar's.
func (m *Machine) firstByteTimeout(openedAt time.Duration) time.Duration {
	doublings := min(m.consecutiveTimeouts, maxTimeoutDoublings)
	if m.options.Pushed {
		return min(m.options.gracePercent(pushedFirstByteTimeoutPercent)<<doublings, m.options.gracePercent(pushedMaxFirstByteTimeoutPercent))
	}
	if m.consecutiveFailures >= crowdedFailures {
		return crowdedFirstByteTimeout
	}
	if m.deadline <= openedAt {
		return min(minFirstByteTimeout<<doublings, maxFirstByteTimeout)
	}
	return max(min((m.deadline-openedAt)/2, maxFirstByteTimeout), minFirstByteTimeout)
}

// backoff returns how long no call is opened after one that ended. The inputs are the time until the deadline, the consecutive failures
// and the size of the fleet:
//
//   - a stale list is polled at a fixed interval, since a longer wait would favour those whose list is fresher;
//   - where a change may have been missed the backoff starts short and doubles, up to a part of the remaining time;
//   - after further failures it is a part of the remaining time;
//   - after the first failure it is the fleet's initial backoff.
//
// A pushed list costs the agent nothing: its backoff doubles within the grace.
func (m *Machine) backoff(now time.Duration) time.Duration {
	if m.options.Pushed {
		initial := m.options.gracePercent(pushedInitialBackoffPercent)
		return m.jitter(min(initial<<m.backoffDoublings(), m.options.gracePercent(pushedMaxBackoffPercent)))
	}
	remaining := m.deadline - now
	if remaining <= 0 || !m.everCurrent {
		return m.jitter(m.options.stalePollInterval())
	}
	initial := min(max(initialBackoff, m.options.perSidecar(initialBackoffPerSidecar)), maxBackoff)
	switch {
	case m.mayHaveMissed:
		wait := min(initial<<m.backoffDoublings(), initialBackoffNearDeadline<<m.backoffDoublings(), remaining/remainingTimeDivisor)
		return m.jitter(max(wait, minBackoffNearDeadline))
	case m.consecutiveFailures > 1:
		return m.jitter(min(max(remaining/remainingTimeDivisor, initial), m.options.backoffLimit()))
	}
	return m.jitter(min(initial, m.options.backoffLimit()))
}

// backoffDoublings returns how often the backoff has doubled.
func (m *Machine) backoffDoublings() int {
	return min(max(m.consecutiveFailures-1, 0), maxBackoffDoublings)
}

// jitter draws from half to one and a half of d, which is above 0.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// watchDelay returns how long the watch behind a fetched list waits, before its jitter, where the server is crowded. The list is current
// for now, and other sidecars may have none. But the watch may take as long as the list did and, jitter included, has to be connected
// before the deadline.
func watchDelay(fetchDuration time.Duration) time.Duration {
	return min(maxWatchDelay, (notificationDeadline-2*fetchDuration)/2)
}

// redirectHold returns until when no call is opened after a redirect in a series. It is a part of the time until the deadline, and not
// at all for a stale list. However long the series is, a call is opened each redirectSeriesGap.
func (m *Machine) redirectHold(now time.Duration) time.Duration {
	if m.deadline <= now {
		return now
	}
	wait := min(max((m.deadline-now)/remainingTimeDivisor, minRedirectHold), maxRedirectHold)
	return min(now+m.jitter(wait), m.lastOpenedAt+redirectSeriesGap)
}
