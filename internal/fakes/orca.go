package fakes

import (
	"encoding/base64"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// orcaTrailer is the trailer in which gRPC clients expect a load report for the request.
const orcaTrailer = "endpoint-load-metrics-bin"

// orcaReport returns an xds.data.orca.v3.OrcaLoadReport with two fields: cpu_utilization (field 1) holds the
// requests in flight per core, at least 0.01, and rps_fractional (field 6) holds the number of recent answers, which
// decays over about a second. The report is encoded in base64, as gRPC encodes binary headers.
func (n *Node) orcaReport() string {
	n.mu.Lock()
	now := time.Now()
	n.recentAnswers = n.recentAnswers*math.Exp(-now.Sub(n.recentAnswersAt).Seconds()) + 1
	n.recentAnswersAt = now
	rate, utilization := n.recentAnswers, math.Max(0.01, float64(n.inFlight)/float64(n.options.Cores))
	n.mu.Unlock()
	report := protowire.AppendTag(nil, 1, protowire.Fixed64Type)
	report = protowire.AppendFixed64(report, math.Float64bits(utilization))
	report = protowire.AppendTag(report, 6, protowire.Fixed64Type)
	report = protowire.AppendFixed64(report, math.Float64bits(rate))
	return base64.RawStdEncoding.EncodeToString(report)
}
