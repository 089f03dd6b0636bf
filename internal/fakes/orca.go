package fakes

import (
	"encoding/base64"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// orcaTrailer is where gRPC clients look for a per-request load report.
const orcaTrailer = "endpoint-load-metrics-bin"

// orcaReport is an xds.data.orca.v3.OrcaLoadReport with cpu_utilization (field 1: requests in hand over cores) and
// rps_fractional (field 6: answers over the last second or so), as a binary header's text.
func (n *Node) orcaReport() string {
	n.mu.Lock()
	now := time.Now()
	n.recentAnswers = n.recentAnswers*math.Exp(-now.Sub(n.recentAnswersAt).Seconds()) + 1
	n.recentAnswersAt = now
	rate, busy := n.recentAnswers, math.Max(0.01, float64(n.inFlight)/float64(n.options.Cores))
	n.mu.Unlock()
	report := protowire.AppendTag(nil, 1, protowire.Fixed64Type)
	report = protowire.AppendFixed64(report, math.Float64bits(busy))
	report = protowire.AppendTag(report, 6, protowire.Fixed64Type)
	report = protowire.AppendFixed64(report, math.Float64bits(rate))
	return base64.RawStdEncoding.EncodeToString(report)
}
