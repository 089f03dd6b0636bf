package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Load reports decide a first attempt only while they are fresh and of two available upstreams, and what is
// sent meanwhile counts.
func TestPickByLoadReport(t *testing.T) {
	said := func(name string, inHand int, latency time.Duration) ProbeResult {
		return ProbeResult{Upstream: name, InFlight: inHand, Latency: latency}
	}
	for _, c := range []struct {
		name  string
		said  []ProbeResult
		after time.Duration
		then  func(*harness)
		want  string // "": as without
	}{
		{"the emptier", []ProbeResult{said("u7", 3, 0), said("u8", 0, 0)}, 0, nil, "u8"},
		{"the faster", []ProbeResult{said("u7", 0, 900*ms), said("u8", 0, 0)}, 0, nil, "u8"},
		{"of four", []ProbeResult{said("u6", 2, 0), said("u7", 3, 0), said("u8", 1, 0), said("u9", 4, 0)}, 0, nil, "u8"},
		{"the latest word", []ProbeResult{said("u8", 9, 0), said("u7", 1, 0), said("u8", 0, 0)}, 0, nil, "u8"},
		{"the other says nothing", []ProbeResult{said("u7", 0, 0), said("u8", 0, 0), {Upstream: "u7", Result: Timeout}}, 0, nil, ""},
		{"old", []ProbeResult{said("u7", 3, 0), said("u8", 0, 0)}, loadReportTTL, nil, ""},
		{"one", []ProbeResult{said("u8", 0, 0)}, 0, nil, ""},
		{"nonsense", []ProbeResult{said("u7", -1, 0), said("u8", 0, -1), said("nobody", 0, 0)}, 0, nil, ""},
		{"drains", []ProbeResult{said("u7", 3, 0), said("u6", 2, 0), said("u8", 0, 0)}, 0,
			func(r *harness) {
				r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u8", Zone: "a", State: Draining})
			}, "u6"},
		{"gone", []ProbeResult{said("u7", 3, 0), said("u6", 2, 0), said("u8", 0, 0)}, 0,
			func(r *harness) {
				r.updateEndpoints(IncrementalUpdate, Endpoint{Name: "u8", Zone: "a", State: Removed})
			}, "u6"},
	} {
		r, plain := newHarness(t, testSettings()), newHarness(t, testSettings())
		r.addUpstreams(40)
		plain.addUpstreams(40)
		for _, e := range c.said {
			r.handle(e)
		}
		if c.then != nil {
			c.then(r)
		}
		r.now += c.after
		plain.now += c.after
		want := c.want
		if want == "" {
			want = plain.wantSend(plain.request("a", "c", time.Second))
		}
		if got := r.wantSend(r.request("a", "c", time.Second)); got != want {
			t.Errorf("%s: sent to %s, want %s", c.name, got, want)
		}
	}
	r := newHarness(t, testSettings())
	r.addUpstreams(40)
	for _, n := range []string{"u1", "u2", "u3"} {
		r.handle(said(n, 0, 0))
	}
	got := map[string]int{}
	for i := range 30 {
		got[r.wantSend(r.request(fmt.Sprint(i), "c", time.Second))]++
	}
	if got["u1"] != 10 || got["u2"] != 10 || got["u3"] != 10 {
		t.Errorf("sent as %v", got)
	}
	for i := range 40 { // what is remembered is bounded
		r.handle(said(fmt.Sprint("u", i), 0, 0))
	}
	if len(r.balancer.reportingUpstreams) != loadReportsMax {
		t.Errorf("%d are remembered", len(r.balancer.reportingUpstreams))
	}
}
