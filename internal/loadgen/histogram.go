package loadgen

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms are of microseconds, from 1 us to an hour, to three digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns one for latencies; it is not safe for concurrent use.
func NewHistogram() *hdr.Histogram { return hdr.New(minMicros, maxMicros, significantDigits) }

// Record adds a latency. What is beyond an hour counts as that.
func Record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // it is within the bounds
}

// Quantile is a latency that so many percent did not exceed; 0 where there are none.
func Quantile(h *hdr.Histogram, percent float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}
