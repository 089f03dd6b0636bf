package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// ClassResult holds the counts and latencies of the requests of one class.
type ClassResult struct {
	Name     string
	Requests int64
	Outcomes [outcomeCount]int64 // number of requests by the outcome of their last attempt
	Attempts int64               // number of attempts, including retries
	GivenUp  int64               // number of requests that were not retried because MaxWaitingRetries requests waited already or the run was stopped
	Latency  *hdr.Histogram      // latencies of requests with the outcome OK, from the scheduled time to the last answer
	interval *hdr.Histogram      // latencies as above, but of the current interval only
}

// Result is the outcome of a run.
type Result struct {
	Target               string
	Planned              time.Duration // sum of the durations of the phases
	Took                 time.Duration // time until the last answer
	Classes              []ClassResult
	DelayedByConnections int64          // number of first attempts that were sent over a millisecond late because all connections were busy
	Blocked              time.Duration  // total time for which a due request had to wait for a connection
	SendDelay            *hdr.Histogram // delay between the scheduled and the actual time of sending, for requests that found a free connection
	CPU                  time.Duration  // CPU time that this process used
	Cores                int            // number of cores that this process may use
	Stopped              bool           // the run was stopped before its end
	Interval             time.Duration  // length of an interval of the log
}

// run is the state that the dispatcher, the workers and the reporting goroutine share.
type run struct {
	options   Options
	started   time.Time
	idle      atomic.Int64 // number of connections without a request in flight
	unsettled atomic.Int64 // number of requests in flight

	mu       sync.Mutex
	classes  []ClassResult
	delay    *hdr.Histogram // see Result.SendDelay
	delayed  int64          // see Result.DelayedByConnections
	waiting  attemptHeap    // retries that are not due yet
	blocked  time.Duration  // see Result.Blocked; only the dispatcher writes it
	progress Progress       // of the current interval
	recent   *hdr.Histogram // latencies of the current interval
	wake     chan struct{}  // signals the dispatcher that a retry was added or that the last request has ended
}

// Observers receive reports during a run. Both fields may be nil.
type Observers struct {
	Progress func(Progress) // called once per interval by the goroutine of the run that writes reports
	Log      io.Writer      // receives an HdrHistogram log, which has a line for each class and interval
}

// interval is the time between two progress reports, and between two lines of the same class in the log.
const interval = time.Second

// Run sends the scheduled requests until the schedule ends or ctx ends. It then waits for the requests in flight.
func Run(ctx context.Context, o Options, observers Observers) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	senders, err := newSenders(o)
	if err != nil {
		return nil, err
	}
	log, err := newIntervalLog(observers.Log)
	if err != nil {
		return nil, err
	}
	r := newRun(o)
	cpuBefore := cpuTime()
	r.started = time.Now()
	work := make(chan attempt)
	var workers sync.WaitGroup
	for _, s := range senders {
		r.idle.Add(1)
		workers.Go(func() {
			defer s.close()
			for a := range work {
				r.serve(s, a)
			}
		})
	}
	reporting, stopReporting := context.WithCancel(context.Background())
	defer stopReporting()
	var reporter errgroup.Group
	reporter.Go(func() error { return r.reportIntervals(reporting, log, observers.Progress) })
	stopped := r.dispatch(ctx, work)
	close(work)
	workers.Wait()
	r.giveUpWaiting()
	stopReporting()
	logErr := reporter.Wait()
	result := r.result(stopped)
	result.CPU = cpuTime() - cpuBefore
	if logErr != nil {
		return result, fmt.Errorf("writing the latency log: %w", logErr)
	}
	return result, nil
}

func newRun(o Options) *run {
	r := &run{options: o, delay: NewHistogram(), recent: NewHistogram(), wake: make(chan struct{}, 1)}
	for _, class := range o.Classes {
		r.classes = append(r.classes, ClassResult{Name: class.Name, Latency: NewHistogram(), interval: NewHistogram()})
	}
	return r
}

// newSenders returns a sender for each connection. Check must have accepted the options.
func newSenders(o Options) ([]sender, error) {
	target, err := url.Parse(o.Target)
	if err != nil {
		return nil, err
	}
	senders := make([]sender, 0, o.Connections)
	for range o.Connections {
		if target.Scheme == "http" {
			senders = append(senders, newHTTP1Sender(target.Host, o.Classes))
			continue
		}
		s, err := newGRPCSender(target.Host, o.Classes)
		if err != nil {
			return nil, err
		}
		senders = append(senders, s)
	}
	return senders, nil
}

// giveUpWaiting settles the retries that still wait after a run was stopped. Their outcome is that of their last
// attempt.
func (r *run) giveUpWaiting() {
	for _, a := range r.waiting {
		r.classes[a.request.Class].GivenUp++
		r.classes[a.request.Class].Outcomes[a.outcome]++
	}
}

// result returns the figures of a run that has ended. The CPU time is not included.
func (r *run) result(stopped bool) *Result {
	result := &Result{Target: r.options.Target, Took: time.Since(r.started), Classes: r.classes, DelayedByConnections: r.delayed, Blocked: r.blocked,
		SendDelay: r.delay, Cores: cores(), Stopped: stopped, Interval: interval}
	for _, p := range r.options.Phases {
		result.Planned += p.For
	}
	return result
}
