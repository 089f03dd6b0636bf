package loadgen

import (
	"context"
	"io"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Progress is the state of a run at the end of an interval. Requests, Outcomes and the percentiles cover only this interval.
type Progress struct {
	At       time.Duration // time since the start of the run
	Requests int64
	Outcomes [outcomeCount]int64
	InFlight int
	Waiting  int // number of retries that are not due yet
	P50, P99 time.Duration
}

// reportIntervals logs and reports each interval until ctx ends, which happens after the last request. The last interval may be shorter. It is
// logged but not reported. log and report may be nil.
func (r *run) reportIntervals(ctx context.Context, log *hdr.HistogramLogWriter, report func(Progress)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	from := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
		isLast := ctx.Err() != nil
		now := time.Now()
		progress, histograms := r.takeInterval(from, now, log != nil)
		from = now
		for _, h := range histograms {
			if err := log.OutputIntervalHistogram(h); err != nil {
				return err
			}
		}
		if isLast {
			return nil
		}
		if report != nil {
			report(progress)
		}
	}
}

// takeInterval returns the progress of the interval that ends now, and starts the next interval. If logged is set, it also returns a histogram
// of the interval for each class.
func (r *run) takeInterval(from, now time.Time, logged bool) (Progress, []*hdr.Histogram) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress
	p.At, p.InFlight, p.Waiting = time.Since(r.started), int(r.unsettled.Load()), len(r.waiting)
	p.P50, p.P99 = Quantile(r.recent, 50), Quantile(r.recent, 99)
	r.progress = Progress{}
	r.recent.Reset()
	var histograms []*hdr.Histogram
	for i := range r.classes {
		if logged {
			h := r.classes[i].interval.Clone()
			h.SetTag(r.classes[i].Name)
			h.SetStartTimeMs(from.UnixMilli())
			h.SetEndTimeMs(now.UnixMilli())
			histograms = append(histograms, h)
		}
		r.classes[i].interval.Reset()
	}
	return p, histograms
}

// newIntervalLog starts an HdrHistogram log by writing the log's header to out. It returns nil if out is nil.
func newIntervalLog(out io.Writer) (*hdr.HistogramLogWriter, error) {
	if out == nil {
		return nil, nil
	}
	log := hdr.NewHistogramLogWriter(out)
	started := time.Now().UnixMilli()
	if err := log.OutputLogFormatVersion(); err != nil {
		return nil, err
	}
	if err := log.OutputStartTime(started); err != nil {
		return nil, err
	}
	log.SetBaseTime(started)
	if err := log.OutputBaseTime(started); err != nil {
		return nil, err
	}
	return log, log.OutputLegend()
}
