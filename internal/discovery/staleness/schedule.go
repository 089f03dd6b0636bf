package staleness

import "time"

// silenceSpread returns a random time by which a watch may be silent for longer than silenceTimeout. It is drawn once for each watch, so
// that a fleet whose watches fall silent together does not open all of its calls at once. Its bound grows with the fleet, up to
// maxSilenceSpread, with which each sidecar still meets its deadline. It is 0 for a pushed list.
func (m *Machine) silenceSpread() time.Duration {
	limit := min(time.Duration(m.options.FleetSize)*silenceSpreadPerSidecar, maxSilenceSpread)
	if m.options.Pushed || limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// firstByteTimeout returns how long a call opened at openedAt may wait for its first byte before another call is opened beside it.
//
// Before the deadline it is half of the remaining time, so that two calls fit. Once the deadline has passed it is short at first and
// doubles with each consecutive timeout, so that a slow answer is eventually received. After rejected calls it is long: the server is
// reachable and its queue is long, a call that is not rejected has a place in the queue, and a second call would take the place of
// another sidecar's call.
func (m *Machine) firstByteTimeout(openedAt time.Duration) time.Duration {
	doublings := min(m.consecutiveTimeouts, maxTimeoutDoublings)
	if m.options.Pushed {
		return min(m.options.gracePercent(pushedFirstByteTimeoutPercent)<<doublings, m.options.gracePercent(pushedMaxFirstByteTimeoutPercent))
	}
	if m.consecutiveFailures >= overloadFailures {
		return overloadFirstByteTimeout
	}
	if m.deadline <= openedAt {
		return min(minFirstByteTimeout<<doublings, maxFirstByteTimeout)
	}
	return max(min((m.deadline-openedAt)/2, maxFirstByteTimeout), minFirstByteTimeout)
}

// backoff returns how long to wait after a call that ended before the next call is opened. It depends on the time until the deadline,
// the number of consecutive failures and the size of the fleet:
//
//   - a stale list is polled at a fixed interval, since a longer wait would favour sidecars whose list is fresher;
//   - where a change may have been missed the backoff starts short and doubles, up to a third of the remaining time;
//   - after the second and each further failure it is a third of the remaining time, within bounds;
//   - after the first failure it is the initial backoff, which grows with the fleet.
//
// Calls for a pushed list are cheap for the local agent: their backoff doubles, and stays shorter than the grace.
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

// backoffDoublings returns how often the backoff doubles: once for each consecutive failure after the first.
func (m *Machine) backoffDoublings() int {
	return min(max(m.consecutiveFailures-1, 0), maxBackoffDoublings)
}

// jitter returns a random duration from 0.5 d to 1.5 d. d must be above 0.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// watchDelay returns the delay, before its jitter, from a fetched list to its watch where the server is overloaded. This sidecar's list is
// current for now, while other sidecars may have none. The watch may take as long to connect as the fetch took, and has to be connected
// before the deadline, jitter included.
func watchDelay(fetchDuration time.Duration) time.Duration {
	return min(maxWatchDelay, (notificationDeadline-2*fetchDuration)/2)
}

// redirectFetchAt returns when the list is fetched after a redirect in a series. The delay is a third of the time until the deadline,
// within minRedirectDelay and maxRedirectDelay and before its jitter; a stale list is fetched at once. However long the series is, a
// call is opened at least once in redirectSeriesGap.
func (m *Machine) redirectFetchAt(now time.Duration) time.Duration {
	if m.deadline <= now {
		return now
	}
	wait := min(max((m.deadline-now)/remainingTimeDivisor, minRedirectDelay), maxRedirectDelay)
	return min(now+m.jitter(wait), m.lastOpenedAt+redirectSeriesGap)
}
