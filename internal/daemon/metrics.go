package daemon

import (
	"orchiddrift/internal/engine"
	"orchiddrift/internal/metrics"
)

// readMetrics reads all metrics. Members counts the upstreams of all services. Unavailable counts the upstreams that are draining and those
// to which the balancer sends trial requests only.
func (d *daemon) readMetrics() metrics.Reading {
	reading := d.metrics.Read()
	for _, s := range d.routing.Load().services {
		s.addTo(&reading)
	}
	return reading
}

// addTo adds the metrics of a service's upstreams and endpoint list to a reading. ListAge is the age of the oldest list.
func (s *service) addTo(reading *metrics.Reading) {
	draining := int64(s.registry.DrainingCount())
	upstreams := s.engine.View()
	for _, u := range upstreams {
		if u.TrialOnly {
			reading.Unavailable++
		}
	}
	reading.Members += int64(len(upstreams)) + draining
	reading.Unavailable += draining
	watcher := s.watcher()
	if watcher == nil {
		return
	}
	age, stale := watcher.Age()
	reading.ListAge = max(reading.ListAge, age.Milliseconds())
	if stale {
		reading.Overdue++
	}
	made, failed := watcher.Calls()
	reading.ListCalls += made
	reading.ListCallsFailed += failed
}

// metricOutcome returns the outcome that the metrics count for a final answer.
func metricOutcome(kind engine.AnswerKind) metrics.Outcome {
	switch kind {
	case engine.Served:
		return metrics.Completed
	case engine.Rejected:
		return metrics.Rejected
	}
	return metrics.Failed
}
