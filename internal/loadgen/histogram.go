package loadgen

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms count microseconds from 1 us to one hour with a precision of three significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns an empty histogram for latencies. It is not safe for concurrent use.
func NewHistogram() *hdr.Histogram { return hdr.New(minMicros, maxMicros, significantDigits) }

// Record adds a latency to a histogram. Values below 1 us count as 1 us, and values above one hour as one hour.
func Record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // the value is within the bounds
}

// Quantile returns the latency that the given percentage of the values does not exceed. It returns 0 if the histogram
// is empty.
func Quantile(h *hdr.Histogram, percent float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}
