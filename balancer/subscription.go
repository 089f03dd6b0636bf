package balancer

import "time"

const (
	// subscribeBackoffBase is the pause before the first new subscription after a failure. It doubles with
	// each further failure, up to subscribeBackoffMax before the jitter.
	subscribeBackoffBase = time.Second
	subscribeBackoffMax  = 8 * time.Second

	// The pause is multiplied by a random factor between these, so that sidecars do not subscribe all at once.
	subscribeJitterMin = 0.5
	subscribeJitterMax = 1.5
)

// handleUpdateFailed schedules a new subscription with exponential backoff and jitter. Only drivers without
// retries of their own report UpdateFailed; the daemon and the gRPC plug-in retry in package staleness.
func (b *Balancer) handleUpdateFailed() {
	s := &b.subscription
	if s.connected || s.failures == 0 {
		b.logEvent("list lost: asking again")
	}
	s.connected, s.pending = false, false
	s.failures++
	pause := exponentialBackoff(subscribeBackoffBase, subscribeBackoffMax, s.failures-1)
	b.schedule(b.now+b.jitter(pause, subscribeJitterMin, subscribeJitterMax), timerSubscribe, nil)
}

func (b *Balancer) subscribe() {
	b.subscription.pending = true
	b.emit(Action{Kind: Subscribe})
}
