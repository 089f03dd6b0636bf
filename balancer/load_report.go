package balancer

import (
	"slices"
	"time"
)

const (
	loadReportTTL     = 60 * time.Millisecond // how long a load report is used
	loadReportsMax    = 16                    // how many load reports are kept: the latest ones
	loadReportChoices = 2                     // the least number of fresh load reports to choose by
)

// handleProbeResult stores the load report of an answered probe. A failed probe removes the report.
func (b *Balancer) handleProbeResult(e ProbeResult) {
	u := b.upstreams[e.Upstream]
	if u == nil {
		return
	}
	isSame := func(other *upstream) bool { return other == u }
	b.reportingUpstreams = slices.DeleteFunc(b.reportingUpstreams, isSame)
	u.report = loadReport{}
	if e.Result != OK || e.InFlight < 0 || e.Latency < 0 {
		return
	}
	u.report = loadReport{receivedAt: b.now, inFlight: e.InFlight, latency: e.Latency}
	b.reportingUpstreams = append(b.reportingUpstreams, u)
	if len(b.reportingUpstreams) > loadReportsMax {
		b.reportingUpstreams = slices.Delete(b.reportingUpstreams, 0, 1)
	}
}

// hasFreshLoadReport reports whether u's load report is recent enough to be used.
func (b *Balancer) hasFreshLoadReport(u *upstream) bool {
	return u.report.receivedAt > 0 && b.now-u.report.receivedAt < loadReportTTL
}

// pickByLoadReport returns the least loaded of the available upstreams with a fresh load report, for a first
// attempt. An upstream in another zone has the cross-zone cost, in seconds, added to its load. It returns nil
// if fewer than loadReportChoices upstreams qualify: a random choice is better informed then.
func (b *Balancer) pickByLoadReport(r *request) *upstream {
	if len(b.reportingUpstreams) == 0 || len(r.attempts) > 0 {
		return nil
	}
	var best *upstream
	candidates, lowest := 0, 0.0
	crossZoneCost := b.crossZoneCost()
	for _, u := range b.reportingUpstreams {
		if !b.hasFreshLoadReport(u) || !b.available(u, r) || !b.mayAttempt(r, u) {
			continue
		}
		load := b.load(u)
		if u.zone != b.settings.Zone && b.prefersLocal(crossZoneCost) {
			load += crossZoneCost
		}
		candidates++
		if best == nil || load < lowest {
			best, lowest = u, load
		}
	}
	if candidates < loadReportChoices {
		return nil
	}
	return best
}
