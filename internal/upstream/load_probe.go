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

// Probe asks an upstream for its load at a path, on a connection like any request's, until ctx ends. It never waits for a slot
// that requests wait for, and is not sent to an upstream that drains.
func (u *Pool) Probe(ctx context.Context, name, path string) balancer.ProbeResult {
	r := balancer.ProbeResult{Upstream: name, Result: balancer.NotSent}
	at, ok := u.registry.Instance(name)
	if !ok || u.connectionSlots.Waiting(u.service) > 0 {
		return r
	}
	begun := time.Now()
	rep := u.Attempt(ctx, name, NewRequest(http.MethodGet, path, at.Address, http.Header{"Accept": {"text/plain"}}, nil), time.Time{})
	defer u.Free(rep)
	r.Result, r.Elapsed = rep.Result, time.Since(begun)
	if rep.Result != balancer.OK {
		return r
	}
	if rep.Status != http.StatusOK || len(rep.Body) > httpheader.MaxBytes || !parseLoadReport(&r, rep.Body) {
		r.Result = balancer.Malformed
	}
	return r
}

// maxReportedInFlight and maxReportedLatency bound what an upstream may say of itself.
const (
	maxReportedInFlight = 1 << 20
	maxReportedLatency  = time.Hour
)

// parseLoadReport reads a load report as X-Server-Load has it, "TEXT inflight=7, queue=2, util=0.61", and latency_ms beside. It needs
// inflight or queue, of which the larger counts; what else stands there is passed over.
func parseLoadReport(r *balancer.ProbeResult, report []byte) bool {
	report = bytes.TrimSpace(report)
	report = bytes.TrimPrefix(report, []byte("TEXT "))
	found := false
	for item := range strings.SplitSeq(string(report), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(item), "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(v) || v < 0 {
			continue
		}
		switch strings.TrimSpace(name) {
		case "inflight", "queue":
			r.InFlight, found = max(r.InFlight, int(min(v, maxReportedInFlight))), true
		case "latency_ms":
			r.Latency = time.Duration(min(v*float64(time.Millisecond), float64(maxReportedLatency)))
		}
	}
	return found
}
