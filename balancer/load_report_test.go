package balancer

import (
	"fmt"
	"testing"
	"time"
)

func okReport(upstream string, inFlight int, latency time.Duration) ProbeResult {
	return ProbeResult{Upstream: upstream, InFlight: inFlight, Latency: latency}
}

// Load reports decide a first attempt only while at least two available upstreams have a fresh one.
func TestPickByLoadReport(t *testing.T) {
	const byRandomChoice = ""
	update := func(name string, state EndpointState) func(*harness) {
		return func(r *harness) {
			r.updateEndpoints(IncrementalUpdate, Endpoint{Name: name, Zone: "a", State: state})
		}
	}
	threeReports := []ProbeResult{okReport("u7", 3, 0), okReport("u6", 2, 0), okReport("u8", 0, 0)}
	for _, c := range []struct {
		name    string
		reports []ProbeResult
		age     time.Duration
		change  func(*harness)
		want    string
	}{
		{"fewer in flight", []ProbeResult{okReport("u7", 3, 0), okReport("u8", 0, 0)}, 0, nil, "u8"},
		{"lower latency", []ProbeResult{okReport("u7", 0, 900*ms), okReport("u8", 0, 0)}, 0, nil, "u8"},
		{"fewest of four", []ProbeResult{okReport("u6", 2, 0), okReport("u7", 3, 0), okReport("u8", 1, 0), okReport("u9", 4, 0)},
			0, nil, "u8"},
		{"latest report counts", []ProbeResult{okReport("u8", 9, 0), okReport("u7", 1, 0), okReport("u8", 0, 0)}, 0, nil, "u8"},
		{"failed probe removes report",
			[]ProbeResult{okReport("u7", 0, 0), okReport("u8", 0, 0), {Upstream: "u7", Result: Timeout}}, 0, nil, byRandomChoice},
		{"expired", []ProbeResult{okReport("u7", 3, 0), okReport("u8", 0, 0)}, loadReportTTL, nil, byRandomChoice},
		{"only one", []ProbeResult{okReport("u8", 0, 0)}, 0, nil, byRandomChoice},
		{"invalid", []ProbeResult{okReport("u7", -1, 0), okReport("u8", 0, -1), okReport("nobody", 0, 0)}, 0, nil, byRandomChoice},
		{"draining", threeReports, 0, update("u8", Draining), "u6"},
		{"removed", threeReports, 0, update("u8", Removed), "u6"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, withoutReports := newHarness(t, testSettings()), newHarness(t, testSettings())
			r.addUpstreams(40)
			withoutReports.addUpstreams(40)
			for _, e := range c.reports {
				r.handle(e)
			}
			if c.change != nil {
				c.change(r)
			}
			r.now += c.age
			withoutReports.now += c.age
			want := c.want
			if want == byRandomChoice {
				want = withoutReports.wantSend(withoutReports.request("a", "c", time.Second))
			}
			if got := r.wantSend(r.request("a", "c", time.Second)); got != want {
				t.Errorf("first attempt was sent to %s, want %s", got, want)
			}
		})
	}
}

// Attempts that are sent after a load report must be added to the number of requests in flight that the report
// states. The number of stored reports must be bounded.
func TestAttemptsAfterLoadReportsCount(t *testing.T) {
	r := newHarness(t, testSettings())
	r.addUpstreams(40)
	for _, name := range []string{"u1", "u2", "u3"} {
		r.handle(okReport(name, 0, 0))
	}
	got := map[string]int{}
	for i := range 30 {
		got[r.wantSend(r.request(fmt.Sprint(i), "c", time.Second))]++
	}
	if got["u1"] != 10 || got["u2"] != 10 || got["u3"] != 10 {
		t.Errorf("attempts by upstream: %v, want 10 at each of u1, u2 and u3", got)
	}
	for i := range 40 {
		r.handle(okReport(fmt.Sprint("u", i), 0, 0))
	}
	if len(r.balancer.reportingUpstreams) != loadReportsMax {
		t.Errorf("%d load reports are stored, want 16", len(r.balancer.reportingUpstreams))
	}
}
