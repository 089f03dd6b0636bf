package staleness

import "time"

// silenceSpread returns a random time that is added to silenceTimeout for a watch. It is drawn once for each watch, so that a fleet whose
// watches fall silent together does not open all of its calls at once. Its upper bound grows with the fleet up to maxSilenceSpread, with
// which each sidecar still meets its deadline. For a pushed list it is 0.
func (m *Machine) silenceSpread() time.Duration {
	limit := min(time.Duration(m.options.FleetSize)*silenceSpreadPerSidecar, maxSilenceSpread)
	if m.options.Pushed || limit <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// firstByteTimeout returns how long a call opened at openedAt may wait for its first byte before another call is opened beside it.
//
// Before the deadline the timeout is half of the remaining time, so that two calls fit. Once the deadline has passed, the timeout is short
// at first and doubles with each consecutive timeout, so that a slow answer is eventually received. After rejected calls the timeout is
// long. The server is then reachable and its queue is long, so a call that is not rejected has a place in the queue, and a second call
// would only take the place of another sidecar's call.
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

// backoff returns how long to wait before the next call is opened after a call ended. The backoff depends on the time until the deadline,
// the number of consecutive failures and the size of the fleet:
//
//   - If the list is stale, it is polled at a fixed interval, since a longer wait would favour sidecars whose list is fresher.
//   - If a change may have been missed, the backoff starts short and doubles, up to a third of the remaining time.
//   - After the second and each further failure, the backoff is a third of the remaining time, within bounds.
//   - After the first failure, the backoff is the initial backoff, which grows with the fleet.
//
// If Options.Pushed is set, a local agent serves the calls, which are cheap for it. The backoff then depends only on the drain grace and the
// number of consecutive failures: it doubles, and stays shorter than the drain grace.
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

// backoffDoublings returns how often the backoff doubles: once for each consecutive failure after the first, up to maxBackoffDoublings.
func (m *Machine) backoffDoublings() int {
	return min(max(m.consecutiveFailures-1, 0), maxBackoffDoublings)
}

// jitter returns a random duration from 0.5 d to 1.5 d. d must be above 0.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

// watchDelay returns the delay, without its jitter, between fetching the list and opening the watch if the server is overloaded. The delay
// leaves the server to other sidecars, whose lists may be older. The watch may take as long to connect as the fetch took, and has to be
// connected before the deadline, jitter included.
func watchDelay(fetchDuration time.Duration) time.Duration {
	return min(maxWatchDelay, (notificationDeadline-2*fetchDuration)/2)
}

// redirectFetchAt returns the time at which the list is fetched after a redirect in a series. Without its jitter, the delay is a third of
// the time until the deadline, bounded by minRedirectDelay and maxRedirectDelay. A stale list is fetched at once. However long the series
// is, a call is opened at least once in redirectSeriesGap.
func (m *Machine) redirectFetchAt(now time.Duration) time.Duration {
	if m.deadline <= now {
		return now
	}
	wait := min(max((m.deadline-now)/remainingTimeDivisor, minRedirectDelay), maxRedirectDelay)
	return min(now+m.jitter(wait), m.lastOpenedAt+redirectSeriesGap)
}
