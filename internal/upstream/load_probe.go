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

// Bounds of what an upstream may report of itself.
const (
	maxReportedInFlight = 1 << 20
	maxReportedLatency  = time.Hour
)

// Probe asks an upstream for its load at a path, until ctx ends. It never waits for a connection slot that requests wait for, and is not
// sent to an upstream that is draining.
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

// parseLoadReport reads a load report in the form of X-Server-Load, "TEXT inflight=7, queue=2, util=0.61", with latency_ms (milliseconds)
// beside. It needs inflight or queue, in requests, of which the larger counts. Unknown items are ignored.
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
