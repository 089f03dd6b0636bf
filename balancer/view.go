package balancer

import "time"

// UpstreamView is the state of an upstream as shown to operators. No decision depends on it.
type UpstreamView struct {
	Name, Zone        string
	Latency           time.Duration // of a mean request, as used in Load
	Pending           int           // attempts without an answer, and streams that the upstream works on
	Load              float64       // Latency x (Pending + 1), in seconds
	EjectedFor        time.Duration // remaining ejection time; 0 if the ejection is over or there is none
	TrialOnly         bool          // ejected: it gets at most one attempt at a time, as a trial
	SlowStartCapacity float64       // the least share of its full capacity that it has by now, 0 to 1
}

// View returns every active upstream, in this sidecar's shuffled order. It changes no state. Like Handle it
// is not safe for concurrent use.
func (b *Balancer) View(now time.Duration) []UpstreamView {
	latest := b.now
	defer func() { b.now = latest }()
	b.now = max(now, b.now)
	views := make([]UpstreamView, 0, len(b.shuffled))
	for _, u := range b.shuffled {
		views = append(views, b.viewUpstream(u))
	}
	return views
}

func (b *Balancer) viewUpstream(u *upstream) UpstreamView {
	view := UpstreamView{
		Name:              u.name,
		Zone:              u.zone,
		Pending:           u.pending(),
		Load:              b.load(u),
		EjectedFor:        max(0, u.outlier.ejectedUntil-b.now),
		TrialOnly:         b.trialOnly(u),
		SlowStartCapacity: 1,
	}
	view.Latency = durationFromSeconds(view.Load / float64(view.Pending+1))
	if u.slowStart.active && b.now-u.slowStart.startedAt < b.settings.SlowStartWindow {
		view.SlowStartCapacity = b.slowStartCapacity(u)
	}
	return view
}

// trialOnly reports whether u or its zone is ejected, or waits for the trial that ends an ejection.
func (b *Balancer) trialOnly(u *upstream) bool {
	return u.outlier.consecutiveEjections > 0 || u.zoneState.consecutiveEjections > 0 ||
		b.now < u.outlier.ejectedUntil || b.now < u.zoneState.ejectedUntil
}
