package upstream

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"orchiddrift/balancer"
	"orchiddrift/internal/httpheader"
)

// Upper bounds of the values in a load report.
const (
	maxReportedInFlight = 1 << 20
	maxReportedLatency  = time.Hour
)

// Probe requests the load of an upstream at path, until ctx ends. Requests take precedence: no probe is sent while a request waits for a
// connection slot. No probe is sent to an upstream that is draining.
func (p *Pool) Probe(ctx context.Context, name, path string) balancer.ProbeResult {
	result := balancer.ProbeResult{Upstream: name, Result: balancer.NotSent}
	instance, ok := p.registry.Instance(name)
	if !ok || p.connectionSlots.Waiting(p.service) > 0 {
		return result
	}
	started := time.Now()
	request := NewRequest(http.MethodGet, path, instance.Address, http.Header{"Accept": {"text/plain"}}, nil)
	response := p.Attempt(ctx, name, request, time.Time{})
	defer p.Free(response)
	result.Result, result.Elapsed = response.Result, time.Since(started)
	if response.Result != balancer.OK {
		return result
	}
	if response.Status != http.StatusOK || len(response.Body) > httpheader.MaxBytes || !parseLoadReport(&result, response.Body) {
		result.Result = balancer.Malformed
	}
	return result
}

// parseLoadReport parses a load report in the format of X-Server-Load, such as "TEXT inflight=7, queue=2, util=0.61", which may also
// contain latency_ms, in milliseconds. A report needs inflight or queue, which are numbers of requests; the larger of the two is used.
// Unknown items are ignored. parseLoadReport returns false if the report is not valid.
func parseLoadReport(result *balancer.ProbeResult, report []byte) bool {
	report = bytes.TrimSpace(report)
	report = bytes.TrimPrefix(report, []byte("TEXT "))
	found := false
	for item := range strings.SplitSeq(string(report), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(item), "=")
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(value) || value < 0 {
			continue
		}
		switch strings.TrimSpace(name) {
		case "inflight", "queue":
			found = true
			result.InFlight = max(result.InFlight, int(min(value, maxReportedInFlight)))
		case "latency_ms":
			result.Latency = time.Duration(min(value*float64(time.Millisecond), float64(maxReportedLatency)))
		}
	}
	return found
}
