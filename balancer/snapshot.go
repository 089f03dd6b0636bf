package balancer

import (
	"errors"
	"math"
	"time"
)

// Snapshot holds what a Balancer has learnt, for the process that replaces it. Points in time are given as
// ages at the moment of the snapshot, as the clocks of two processes differ. The JSON names are a stored
// format and must not change.
type Snapshot struct {
	Upstreams             map[string]UpstreamSnapshot `json:"Upstreams"`
	MeanLatency           float64                     `json:"Mean"`     // seconds
	MeanNormalizedLatency float64                     `json:"Fleet"`    // seconds
	MedianLatency         float64                     `json:"Mid"`      // normalized, seconds
	LateLatency           float64                     `json:"Late"`     // normalized, seconds; a slower attempt is late
	MeanCostHint          float64                     `json:"HintMean"` // seconds
	Classes               map[string]float64          `json:"Classes"`  // mean latency by class, seconds
	MachineTypes          map[string]float64          `json:"Kinds"`    // mean normalized latency by machine type, seconds
	QueueingLimit         float64                     `json:"Limit"`    // share of the latency objective
	ServedRate            float64                     `json:"Served"`   // good answers a second
	OfferedRate           float64                     `json:"Offered"`  // work a second, in mean requests
}

// UpstreamSnapshot holds what a Balancer has learnt of one upstream.
type UpstreamSnapshot struct {
	Uptime              time.Duration `json:"CameUp"`   // 0 if the upstream started long ago
	Estimate            float64       `json:"Estimate"` // normalized latency, seconds
	Age                 time.Duration `json:"Age"`      // of Estimate
	ErrorRatio          float64       `json:"Wrong"`
	ConsecutiveErrors   int           `json:"Errors"`
	ConsecutiveFailures int           `json:"Fails"`
	Ejections           int           `json:"Ejections"`
	EjectedFor          time.Duration `json:"Out"` // remaining ejection time
}

const (
	// snapshotValueMax bounds every latency and rate of a valid snapshot: seconds, or per second.
	snapshotValueMax = 1e6

	// snapshotEjectionFactor times ejectionMax is the longest ejection of a valid snapshot.
	snapshotEjectionFactor = 2
)

var errOutOfRange = errors.New("a latency, rate, count or duration is out of range")

// Validate returns an error if the snapshot holds a number that Restore can't use.
func (s *Snapshot) Validate() error {
	values := []float64{s.MeanLatency, s.MeanNormalizedLatency, s.MedianLatency, s.LateLatency, s.MeanCostHint,
		s.QueueingLimit, s.ServedRate, s.OfferedRate}
	for _, means := range []map[string]float64{s.Classes, s.MachineTypes} {
		for _, mean := range means {
			values = append(values, mean)
		}
	}
	for _, value := range values {
		if !validSnapshotValue(value) {
			return errOutOfRange
		}
	}
	for _, u := range s.Upstreams {
		if !u.valid() {
			return errOutOfRange
		}
	}
	return nil
}

// validSnapshotValue reports whether x is in range. It is false for NaN.
func validSnapshotValue(x float64) bool { return x >= 0 && x < snapshotValueMax }

func (u *UpstreamSnapshot) valid() bool {
	return validSnapshotValue(u.Estimate) && isFraction(u.ErrorRatio) &&
		u.Uptime >= 0 && u.Age >= 0 && u.ConsecutiveErrors >= 0 && u.ConsecutiveFailures >= 0 &&
		u.Ejections >= 0 && u.Ejections < math.MaxInt32 &&
		u.EjectedFor >= 0 && u.EjectedFor <= snapshotEjectionFactor*ejectionMax
}

// Snapshot returns the Balancer's statistics. The parameter now is the clock time of the snapshot.
func (b *Balancer) Snapshot(now time.Duration) *Snapshot {
	s := &Snapshot{
		Upstreams:             make(map[string]UpstreamSnapshot, len(b.shuffled)),
		MeanLatency:           b.latency.mean,
		MeanNormalizedLatency: b.latency.normalizedMean,
		MedianLatency:         b.latency.median.value,
		LateLatency:           b.latency.late.value,
		MeanCostHint:          b.latency.meanCostHint,
		Classes:               make(map[string]float64, len(b.classes)),
		MachineTypes:          make(map[string]float64, len(b.latency.byMachineType)),
		QueueingLimit:         b.shedding.queueingLimit,
		ServedRate:            b.servedRate.perSecond(now),
		OfferedRate:           b.offeredRate.perSecond(now),
	}
	for _, u := range b.shuffled {
		s.Upstreams[u.name] = u.snapshot(now)
	}
	for name, c := range b.classes {
		s.Classes[name] = c.meanLatency
	}
	for name, mean := range b.latency.byMachineType {
		s.MachineTypes[name] = *mean
	}
	return s
}

func (u *upstream) snapshot(now time.Duration) UpstreamSnapshot {
	s := UpstreamSnapshot{
		Estimate:            u.latency.value,
		Age:                 max(0, now-u.latency.updatedAt),
		ErrorRatio:          u.outlier.errorRatio,
		ConsecutiveErrors:   u.outlier.consecutiveErrors,
		ConsecutiveFailures: u.outlier.consecutiveFailures,
		Ejections:           u.outlier.consecutiveEjections,
		EjectedFor:          max(0, u.outlier.ejectedUntil-now),
	}
	if u.startedAt > 0 {
		s.Uptime = max(1, now-u.startedAt)
	}
	return s
}

// Restore loads a valid snapshot of the predecessor process. The parameter now is the current clock time.
// Restore may be called only on a Balancer that has handled nothing but an endpoint list. Upstreams that are
// not listed or have restarted since the snapshot are ignored. A snapshot holds no token buckets: an upstream
// in slow start keeps the bucket that this Balancer created.
func (b *Balancer) Restore(now time.Duration, s *Snapshot) {
	restoreMean(&b.latency.mean, s.MeanLatency)
	restoreMean(&b.latency.normalizedMean, s.MeanNormalizedLatency)
	restoreMean(&b.latency.median.value, s.MedianLatency)
	restoreMean(&b.latency.late.value, s.LateLatency)
	restoreMean(&b.latency.meanCostHint, s.MeanCostHint)
	if s.QueueingLimit > 0 {
		b.shedding.queueingLimit = min(queueingLimitMax, max(queueingLimitMin, s.QueueingLimit))
	}
	// This process gets all requests of its predecessor: without the rates they would look like an overload.
	b.servedRate.restore(s.ServedRate, now)
	b.offeredRate.restore(s.OfferedRate, now)
	for name, mean := range s.Classes {
		if c := b.classes[name]; c != nil {
			restoreMean(&c.meanLatency, mean)
		}
	}
	for name, mean := range s.MachineTypes {
		if machineType := b.latency.byMachineType[name]; machineType != nil {
			restoreMean(machineType, mean)
		}
	}
	for _, u := range b.shuffled {
		if snapshot, known := s.Upstreams[u.name]; known && u.sameIncarnation(now, snapshot.Uptime) {
			u.restore(now, snapshot)
		}
	}
}

// restoreMean sets mean to the predecessor's value, if the predecessor had one.
func restoreMean(mean *float64, restored float64) {
	if restored > 0 {
		*mean = restored
	}
}

// startTimeTolerance is the largest difference between two processes' start times of one upstream that
// still counts as the same start, as their clocks do not begin at exactly the same time.
const startTimeTolerance = 100 * time.Millisecond

// sameIncarnation reports whether a predecessor's snapshot, taken when the upstream had the given uptime,
// describes the incarnation that runs now.
func (u *upstream) sameIncarnation(now, uptime time.Duration) bool {
	if startedLongAgo := u.startedAt <= 0; startedLongAgo || uptime == 0 {
		return startedLongAgo && uptime == 0
	}
	return uptime < 0 || (now-u.startedAt-uptime).Abs() <= startTimeTolerance
}

func (u *upstream) restore(now time.Duration, s UpstreamSnapshot) {
	if s.Estimate > 0 {
		u.latency = peakEWMA{s.Estimate, now - s.Age}
	}
	u.outlier.errorRatio = s.ErrorRatio
	u.outlier.consecutiveErrors = s.ConsecutiveErrors
	u.outlier.consecutiveFailures = s.ConsecutiveFailures
	u.outlier.consecutiveEjections = s.Ejections
	if s.ConsecutiveFailures > 0 {
		u.outlier.firstFailureSentAt = now
	}
	if s.Ejections > 0 {
		u.outlier.ejectedUntil = now + s.EjectedFor
	}
}
