package balancer

import "slices"

// handleEndpointUpdate applies an endpoint list or its changes. While the list is unavailable, the known
// upstreams stay in use.
func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	if e.Kind == UpdateFailed {
		b.handleUpdateFailed()
		return
	}
	if b.subscription.pending {
		if b.subscription.failures > 0 {
			b.logEvent("list regained")
		}
		b.subscription = subscription{connected: true}
	}
	if e.Kind != IncrementalUpdate {
		for _, u := range b.shuffled {
			u.active = false
		}
	}
	for _, endpoint := range e.Endpoints {
		b.applyEndpoint(endpoint)
	}
	b.removeInactive()
	if e.Kind == CachedUpdate && b.settings.MustSubscribe && !b.subscription.pending && !b.subscription.connected {
		b.subscribe()
	}
}

// applyEndpoint updates the upstream of one endpoint. An endpoint that is new, or whose start time has
// changed, is a new process: it begins without learnt state. A restarted endpoint keeps its place in the
// shuffled list; any other new one gets a random place.
func (b *Balancer) applyEndpoint(e Endpoint) {
	u := b.upstreams[e.Name]
	if e.State != Active {
		if u != nil {
			u.active = false
		}
		return
	}
	if u == nil || u.startedAt != e.StartedAt {
		previous := u
		u = b.newUpstream(e)
		b.upstreams[u.name] = u
		if i := slices.Index(b.shuffled, previous); previous != nil && i >= 0 {
			b.shuffled[i] = u
		} else {
			b.shuffled = slices.Insert(b.shuffled, b.random.IntN(len(b.shuffled)+1), u)
		}
	}
	u.active, u.zone, u.cell, u.zoneState = true, e.Zone, e.Cell, b.zoneStateFor(e.Zone)
	if z := u.zoneState; z.consecutiveEjections > 0 && e.StartedAt > z.firstFailureAt { // a restart ends the ejection
		z.consecutiveEjections, z.ejectedUntil, z.failedUpstreams = 0, 0, 0
	}
}

// newUpstream returns the state of an upstream without learnt state. Its latency is assumed to be the mean
// of its machine type.
func (b *Balancer) newUpstream(e Endpoint) *upstream {
	byMachineType := b.latency.byMachineType
	if byMachineType[e.MachineType] == nil {
		byMachineType[e.MachineType] = new(b.latency.normalizedMean)
	}
	u := &upstream{name: e.Name, machineTypeLatency: byMachineType[e.MachineType], startedAt: e.StartedAt}
	u.latency = peakEWMA{*u.machineTypeLatency, b.now}
	if e.StartedAt > 0 && b.now-e.StartedAt < b.settings.SlowStartWindow {
		b.beginSlowStart(u)
	}
	return u
}

// removeInactive removes the upstreams that are no longer active.
func (b *Balancer) removeInactive() {
	b.shuffled = slices.DeleteFunc(b.shuffled, func(u *upstream) bool {
		if !u.active {
			delete(b.upstreams, u.name)
		}
		return !u.active
	})
}
