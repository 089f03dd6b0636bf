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

// ClassResult holds what became of the requests of one class.
type ClassResult struct {
	Name     string
	Requests int64
	Outcomes [outcomeCount]int64 // requests by the outcome of their last attempt
	Attempts int64               // attempts sent, retries included
	GivenUp  int64               // requests whose retry was dropped because MaxWaitingRetries were waiting
	Latency  *hdr.Histogram      // from the scheduled time to the last answer, of requests that ended OK
	interval *hdr.Histogram      // the same since the last line of the log
}

// Result is the outcome of a run.
type Result struct {
	Target               string
	Planned              time.Duration // sum of the phases
	Took                 time.Duration // until the last answer
	Classes              []ClassResult
	DelayedByConnections int64          // first attempts sent over a millisecond late because all connections were busy
	Blocked              time.Duration  // time in which a due request had to wait for a connection
	SendDelay            *hdr.Histogram // delay between the scheduled and the actual sending while a connection was free
	CPU                  time.Duration  // CPU time of this process
	Cores                int            // cores that this process may use
	Stopped              bool           // the run was stopped before its end
	Interval             time.Duration  // interval of the log
}

type run struct {
	options   Options
	started   time.Time
	idle      atomic.Int64 // connections that have nothing to send
	unsettled atomic.Int64 // requests in flight

	mu       sync.Mutex
	classes  []ClassResult
	delay    *hdr.Histogram // see Result.SendDelay
	delayed  int64          // see Result.DelayedByConnections
	waiting  attemptHeap    // retries that are not due yet
	blocked  time.Duration  // see Result.Blocked; only the dispatcher writes it
	progress Progress       // of the current interval
	recent   *hdr.Histogram // latencies of the current interval
	wake     chan struct{}  // signals the dispatcher that a retry was added or the last request ended
}

// Observers receive what a run reports while it goes on. Either may be absent.
type Observers struct {
	Progress func(Progress) // called once an interval from the run's reporting goroutine
	Log      io.Writer      // an HdrHistogram log with a line for each class and interval
}

// interval is the time between two progress reports.
const interval = time.Second

// Run sends the scheduled requests until the schedule or ctx ends, and waits for those in flight.
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
			for x := range work {
				r.serve(s, x)
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
		return result, fmt.Errorf("the log: %w", logErr)
	}
	return result, nil
}

func newRun(o Options) *run {
	r := &run{options: o, delay: NewHistogram(), recent: NewHistogram(), wake: make(chan struct{}, 1)}
	for _, c := range o.Classes {
		r.classes = append(r.classes, ClassResult{Name: c.Name, Latency: NewHistogram(), interval: NewHistogram()})
	}
	return r
}

// newSenders returns a sender for each connection; o has been checked.
func newSenders(o Options) ([]sender, error) {
	target, err := url.Parse(o.Target)
	if err != nil {
		return nil, err
	}
	senders := make([]sender, 0, o.Connections)
	for range o.Connections {
		if target.Scheme == "http" {
			senders = append(senders, newHTTP1(target.Host, o.Classes))
			continue
		}
		s, err := newGRPC(target.Host, o.Classes)
		if err != nil {
			return nil, err
		}
		senders = append(senders, s)
	}
	return senders, nil
}

// giveUpWaiting settles the retries that still wait after the run was stopped, with the outcome of their last attempt.
func (r *run) giveUpWaiting() {
	for _, x := range r.waiting {
		r.classes[x.request.Class].GivenUp++
		r.classes[x.request.Class].Outcomes[x.outcome]++
	}
}

// result collects the figures of a run that has ended, but for its CPU time.
func (r *run) result(stopped bool) *Result {
	result := &Result{Target: r.options.Target, Took: time.Since(r.started), Classes: r.classes, DelayedByConnections: r.delayed, Blocked: r.blocked,
		SendDelay: r.delay, Cores: cores(), Stopped: stopped, Interval: interval}
	for _, p := range r.options.Phases {
		result.Planned += p.For
	}
	return result
}
