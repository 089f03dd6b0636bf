package daemon

import (
	"orchiddrift/internal/engine"
	"orchiddrift/internal/metrics"
)

// readMetrics reads the figures. The upstreams are those of all services, and which of them are avoided is the module's own word; those
// that drain are avoided too.
func (d *daemon) readMetrics() metrics.Reading {
	f := d.metrics.Read()
	for _, s := range d.routing.Load().services {
		ready, leaving := 0, s.registry.DrainingCount()
		for _, u := range s.engine.View() {
			ready++
			if u.TrialOnly {
				f.Unavailable++
			}
		}
		f.Members += int64(ready + leaving)
		f.Unavailable += int64(leaving)
		if w := s.watcher(); w != nil {
			age, overdue := w.Age()
			if f.ListAge = max(f.ListAge, age.Milliseconds()); overdue {
				f.Overdue++
			}
			made, failed := w.Calls()
			f.ListCalls += made
			f.ListCallsFailed += failed
		}
	}
	return f
}

// metricOutcome is a final answer as the figures count it.
func metricOutcome(k engine.AnswerKind) metrics.Outcome {
	switch k {
	case engine.Served:
		return metrics.Completed
	case engine.Rejected:
		return metrics.Rejected
	}
	return metrics.Failed
}
