package balancer

import "time"

// UpstreamView is what a Balancer makes of an upstream, for those who look on. Nothing is decided by it.
type UpstreamView struct {
	Name, Zone        string
	Latency           time.Duration // the estimate that is compared, of a mean request
	Pending           int           // attempts without answer, and streams that go on
	Load              float64       // Latency x (Pending+1), in seconds
	EjectedFor        time.Duration // how much longer it is left out; 0: it is not
	TrialOnly         bool          // nothing is sent to it now but a trial, to see whether it is back
	SlowStartCapacity float64       // the least share of its capacity that it is taken to have
}

// View tells of every listed upstream, in the order of the list. Like Handle it is not safe for concurrent use; it
// changes nothing.
func (b *Balancer) View(now time.Duration) []UpstreamView {
	was := b.now
	defer func() { b.now = was }()
	b.now = max(now, b.now)
	views := make([]UpstreamView, 0, len(b.list))
	for _, u := range b.list {
		v := UpstreamView{Name: u.id, Zone: u.zone, Pending: len(u.out) + u.streams, Load: b.load(u),
			EjectedFor: max(0, u.until-b.now), SlowStartCapacity: 1,
			TrialOnly: u.ejections > 0 || u.in.losses > 0 || b.now < u.until || b.now < u.in.until}
		v.Latency = seconds(v.Load / float64(v.Pending+1))
		if u.cold && b.now-u.coldFrom < b.set.SlowStartWindow {
			v.SlowStartCapacity = b.warmth(u)
		}
		views = append(views, v)
	}
	return views
}
