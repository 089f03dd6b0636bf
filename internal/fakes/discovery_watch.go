package fakes

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// watch is the state of one watch. The Discovery's mu guards it.
type watch struct {
	discovery  *Discovery
	heartbeats int  // number of heartbeat intervals that have passed
	upToDate   bool // counted in Discovery.current
}

// setUpToDate sets upToDate and adjusts Discovery.current. The caller holds mu.
func (s *watch) setUpToDate(upToDate bool) {
	if upToDate == s.upToDate {
		return
	}
	s.upToDate = upToDate
	if upToDate {
		s.discovery.current++
	} else {
		s.discovery.current--
	}
}

// countHeartbeats counts each heartbeat interval and wakes the watch, until done is closed.
func (s *watch) countHeartbeats(ticks <-chan time.Time, done <-chan struct{}) {
	d := s.discovery
	for {
		select {
		case <-ticks:
			d.mu.Lock()
			s.heartbeats++
			d.changed.Broadcast()
			d.mu.Unlock()
		case <-done:
			return
		}
	}
}

// serveWatch sends changes and heartbeats until the watch is broken or its client leaves. The caller holds mu.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request, call int, address string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from > d.index {
		from = -1 // requests the full list
	}
	breaks := d.breaks
	ticker := time.NewTicker(d.Heartbeat)
	defer ticker.Stop()
	done := make(chan struct{})
	defer close(done)
	state := &watch{discovery: d}
	go state.countHeartbeats(ticker.C, done)
	defer state.setUpToDate(false)
	for first, sent := true, 0; ; first = false {
		if d.closed || d.down || d.breaks != breaks || r.Context().Err() != nil {
			return
		}
		state.setUpToDate(!first && from == d.index)
		switch {
		case d.silent || call <= d.muted:
		case first || from < d.index:
			changes := d.since(from)
			from = d.index
			if d.write(w, address, changes) != nil {
				return
			}
			state.setUpToDate(true)
		case state.heartbeats > sent:
			sent = state.heartbeats
			if _, err := fmt.Fprintln(w); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
		d.changed.Wait()
	}
}
