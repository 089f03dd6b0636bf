package admissionsim

import (
	"math"
	"slices"
	"time"
)

// Fixed is a Limit with a constant value.
type Fixed int

// Current implements Limit.
func (f Fixed) Current() int { return int(f) }

// Observe implements Limit.
func (f Fixed) Observe(time.Duration, time.Duration, int, bool) {}

const (
	initialLimit = 64 // requests
	minLimit     = 8
	maxLimit     = 1024
)

// adaptiveLimit is a limit that varies between minLimit and maxLimit.
type adaptiveLimit struct{ limit float64 }

// Current implements Limit.
func (l *adaptiveLimit) Current() int {
	if l.limit == 0 {
		l.limit = initialLimit
	}
	return int(l.limit)
}

func (l *adaptiveLimit) setLimit(limit float64) { l.limit = max(minLimit, min(maxLimit, limit)) }

// minWindowSamples is the minimum number of requests in a window.
const minWindowSamples = 32

// window collects latency samples until it covers a minimum duration and has a minimum number of samples.
type window struct {
	start, latencySum    time.Duration
	samples, maxInFlight int
}

// windowStats holds the statistics of a complete window.
type windowStats struct {
	meanLatency float64 // seconds
	rate        float64 // number of requests that ended per second
	maxInFlight int
}

// add adds a sample. If the window is complete, add returns its statistics and starts the next window.
func (w *window) add(now, latency time.Duration, inFlight int, minDuration time.Duration) (_ windowStats, ended bool) {
	if w.start == 0 {
		w.start = now
	}
	w.latencySum += latency
	w.samples++
	w.maxInFlight = max(w.maxInFlight, inFlight)
	if w.samples < minWindowSamples || now-w.start < minDuration {
		return windowStats{}, false
	}
	stats := windowStats{
		meanLatency: w.latencySum.Seconds() / float64(w.samples),
		rate:        float64(w.samples) / (now - w.start).Seconds(),
		maxInFlight: w.maxInFlight,
	}
	*w = window{start: now}
	return stats, true
}

// AIMD is additive increase, multiplicative decrease. The limit grows by one request each time as many answers as the
// limit arrive in time, and shrinks by 2% for each rejection and for each answer later than MaxLatency.
type AIMD struct {
	MaxLatency time.Duration
	adaptiveLimit
}

// Observe implements Limit.
func (l *AIMD) Observe(_, latency time.Duration, inFlight int, rejected bool) {
	const decrease = 0.98
	switch {
	case rejected || latency > l.MaxLatency:
		l.setLimit(l.limit * decrease)
	case float64(inFlight)*2 > l.limit:
		l.setLimit(l.limit + 1/l.limit)
	}
}

// Gradient is Gradient2 with a WindowedLimit from Netflix's library concurrency-limits. It multiplies the limit by the
// ratio of the long-term mean latency to the mean latency of a window, and adds a number of requests that may wait in a
// queue.
type Gradient struct {
	adaptiveLimit
	window
	longTermLatency float64 // seconds; 0 if unknown
}

// Observe implements Limit.
func (l *Gradient) Observe(now, latency time.Duration, inFlight int, _ bool) {
	const (
		minDuration = 100 * time.Millisecond
		longWindow  = 600  // number of windows over which the long-term mean is taken
		driftRatio  = 2    // a long-term mean above this multiple of a window's mean decays
		driftDecay  = 0.95 // factor by which the long-term mean decays per window
		tolerance   = 1.5  // ratio of a window's latency to the long-term mean up to which the limit does not shrink
		minGradient = 0.5
		queueSize   = 4   // number of requests added to the limit
		smoothing   = 0.2 // weight of the new limit in the average of the old and the new one
		minLatency  = 1e-9
	)
	stats, ended := l.add(now, latency, inFlight, minDuration)
	if !ended {
		return
	}
	if l.longTermLatency == 0 {
		l.longTermLatency = stats.meanLatency
	}
	l.longTermLatency += (stats.meanLatency - l.longTermLatency) * 2 / (longWindow + 1)
	if l.longTermLatency > driftRatio*stats.meanLatency {
		l.longTermLatency *= driftDecay
	}
	if float64(stats.maxInFlight) < l.limit/2 {
		return
	}
	gradient := max(minGradient, min(1, tolerance*l.longTermLatency/max(stats.meanLatency, minLatency)))
	next := l.limit*gradient + queueSize
	l.setLimit(l.limit*(1-smoothing) + next*smoothing)
}

// RateDelay applies the model of BBR to requests. The limit is the product of the highest recent rate of answers, the
// lowest recent mean latency and a gain.
type RateDelay struct {
	adaptiveLimit
	window
	rates  []float64 // answers per second in the last windows
	delays []float64 // mean latencies of the last windows in seconds
}

// Observe implements Limit.
func (l *RateDelay) Observe(now, latency time.Duration, inFlight int, rejected bool) {
	const (
		minDuration  = 100 * time.Millisecond
		delayWindows = 50 // number of windows whose lowest mean latency is used
		rateWindows  = 10 // number of windows whose highest rate is used
		gain         = 1.25
	)
	if rejected {
		return
	}
	stats, ended := l.add(now, latency, inFlight, minDuration)
	if !ended {
		return
	}
	l.rates, l.delays = append(l.rates, stats.rate), append(l.delays, stats.meanLatency)
	if len(l.rates) > delayWindows {
		l.rates, l.delays = l.rates[1:], l.delays[1:]
	}
	recent := l.rates[max(0, len(l.rates)-rateWindows):]
	l.setLimit(gain * slices.Max(recent) * slices.Min(l.delays))
}

// Vegas applies the rule of TCP Vegas to requests, once per window. It estimates the number of waiting requests from the
// current mean latency and the lowest mean latency observed so far.
type Vegas struct {
	adaptiveLimit
	window
	baseLatency float64 // seconds; 0 if unknown
}

// Observe implements Limit.
func (l *Vegas) Observe(now, latency time.Duration, inFlight int, _ bool) {
	const (
		minDuration = 50 * time.Millisecond
		minUsage    = 0.8 // the limit grows only if more than this fraction of it is used
		growth      = 1.15
		decrease    = 0.85
	)
	stats, ended := l.add(now, latency, inFlight, minDuration)
	if !ended {
		return
	}
	if l.baseLatency == 0 || stats.meanLatency < l.baseLatency {
		l.baseLatency = stats.meanLatency
	}
	waiting := l.limit * (1 - l.baseLatency/stats.meanLatency)
	alpha := 3*math.Log10(l.limit) + l.limit/4 // the thresholds of Vegas, in waiting requests
	beta := 6*math.Log10(l.limit) + l.limit/2
	switch {
	case waiting > beta:
		l.setLimit(l.limit * decrease)
	case waiting < alpha && float64(stats.maxInFlight) > l.limit*minUsage:
		l.setLimit(l.limit * growth)
	}
}
