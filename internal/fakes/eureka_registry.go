package fakes

import (
	"strings"
	"time"
)

// Put registers an instance or replaces its registration. It does the same at the peers.
func (e *Eureka) Put(i EurekaInstance) {
	for _, p := range e.register(i) {
		p.register(i)
	}
}

func (e *Eureka) register(i EurekaInstance) []*Eureka {
	e.mu.Lock()
	defer e.mu.Unlock()
	i.App = strings.ToUpper(i.App)
	now := e.options.Now()
	i.action, i.registered, i.renewed = "ADDED", now, now
	if i.Lease == 0 {
		i.Lease = 90 * time.Second
	}
	if i.Overridden == "" {
		i.Overridden = "UNKNOWN"
	}
	if old := e.apps[i.App][i.ID]; old != nil && old.Overridden != "UNKNOWN" { // an override survives a new registration
		i.Overridden, i.Status = old.Overridden, old.Overridden
	}
	if e.apps[i.App] == nil {
		e.apps[i.App] = map[string]*EurekaInstance{}
	}
	e.apps[i.App][i.ID] = &i
	e.changed(&i)
	return e.peers
}

// SetStatus sets the status that an instance itself reports. It returns false if the instance is not registered.
func (e *Eureka) SetStatus(app, id, status string) bool {
	return e.change(app, id, func(i *EurekaInstance) { i.Status, i.action = status, "MODIFIED" })
}

// Override sets an operator's status override, or removes it if status is empty. It returns false if the instance is
// not registered.
func (e *Eureka) Override(app, id, status string) bool {
	return e.change(app, id, func(i *EurekaInstance) {
		if i.action = "MODIFIED"; status == "" {
			i.Overridden, i.Status = "UNKNOWN", "UP"
			return
		}
		i.Overridden, i.Status = status, status
	})
}

// Cancel removes a registration. It returns false if the instance is not registered.
func (e *Eureka) Cancel(app, id string) bool {
	return e.change(app, id, func(i *EurekaInstance) { i.action = "DELETED" })
}

func (e *Eureka) change(app, id string, modify func(*EurekaInstance)) bool {
	found := false
	e.mu.Lock()
	if old := e.apps[strings.ToUpper(app)][id]; old != nil {
		found = true
		i := *old
		modify(&i)
		e.store(&i)
	}
	peers := e.peers
	e.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if old := p.apps[strings.ToUpper(app)][id]; old != nil {
			i := *old
			modify(&i)
			p.store(&i)
		}
		p.mu.Unlock()
	}
	return found
}

func (e *Eureka) store(i *EurekaInstance) {
	if e.apps[i.App][i.ID] = i; i.action == "DELETED" {
		if delete(e.apps[i.App], i.ID); len(e.apps[i.App]) == 0 {
			delete(e.apps, i.App)
		}
	}
	e.changed(i)
}

func (e *Eureka) changed(i *EurekaInstance) {
	e.version++
	e.queue = append(e.queue, eurekaChange{e.options.Now(), *i})
	if e.options.CacheFor == 0 {
		clear(e.cache)
	}
}

// renew renews an instance's lease. It returns false if the instance is not registered.
func (e *Eureka) renew(app, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.apps[strings.ToUpper(app)][id]
	if i != nil {
		i.renewed = e.options.Now()
	}
	return i != nil
}

// expire removes outdated changes from the queue, and instances whose leases have expired. The caller holds mu.
func (e *Eureka) expire(now time.Time) {
	for len(e.queue) > 0 && now.Sub(e.queue[0].at) > e.options.KeepDelta {
		e.queue = e.queue[1:]
	}
	var expired []*EurekaInstance
	total := 0
	for _, app := range e.apps {
		for _, i := range app {
			if total++; now.Sub(i.renewed) > i.Lease {
				expired = append(expired, i)
			}
		}
	}
	if e.options.SelfPreservation && len(expired)*100 > 15*total {
		return
	}
	for _, old := range expired {
		i := *old
		i.action = "DELETED"
		e.store(&i)
	}
}
