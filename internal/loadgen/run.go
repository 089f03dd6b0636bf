package loadgen

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// ClassResult is what came of a class.
type ClassResult struct {
	Name     string
	Requests int64
	Outcomes [outcomeCount]int64 // of requests, after their last try
	Attempts int64               // sent, first and further ones
	GivenUp  int64               // of those whose further try found no room to wait
	Latency  *hdr.Histogram      // from when it was to be sent, of all that ended OK
	interval *hdr.Histogram
}

// Result is a run's outcome.
type Result struct {
	Target               string
	Planned              time.Duration
	Took                 time.Duration // until the last answer
	Classes              []ClassResult
	DelayedByConnections int64          // first tries that found all connections busy, and so were sent more than a millisecond late
	Blocked              time.Duration  // in which no connection was free for what was due
	SendDelay            *hdr.Histogram // how late this tool sent by itself, with a connection free
	CPU                  time.Duration  // of this process
	Cores                int            // that it may use
	Stopped              bool           // before its end
	Interval             time.Duration  // of the log
}

// Progress is what a run tells while it goes on.
type Progress struct {
	At       time.Duration
	Requests int64 // in this interval, as all here
	Outcomes [outcomeCount]int64
	InFlight int
	Waiting  int // for their next try
	P50, P99 time.Duration
}

// attempt is a request that waits for its next try.
type attempt struct {
	due   ScheduledRequest // At is the try's
	first time.Duration
	tries int
	wait  time.Duration
	kind  Outcome // of the last try
}

type attemptHeap []attempt

func (r attemptHeap) Len() int           { return len(r) }
func (r attemptHeap) Less(i, j int) bool { return r[i].due.At < r[j].due.At }
func (r attemptHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *attemptHeap) Push(x any)        { *r = append(*r, x.(attempt)) }
func (r *attemptHeap) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

type run struct {
	o     Options
	begun time.Time
	idle  atomic.Int64 // connections that have nothing to send
	open  atomic.Int64 // requests in flight

	mu      sync.Mutex
	classes []ClassResult
	own     *hdr.Histogram
	busy    int64
	waiting attemptHeap
	blocked time.Duration // the dispatcher's, while no connection was free
	last    Progress
	recent  *hdr.Histogram
	wake    chan struct{} // a retry has come that may be the next
}

// Observers is what a run tells: Progress each second, and a log in HdrHistogram's format, a line a class and interval. Either may be absent.
type Observers struct {
	Progress func(Progress)
	Log      io.Writer
}

const interval = time.Second

// Run plays a load until its end or ctx's, and waits for what is in flight.
func Run(ctx context.Context, o Options, w Observers) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	u, _ := url.Parse(o.Target) // checked
	r := &run{o: o, own: NewHistogram(), recent: NewHistogram(), wake: make(chan struct{}, 1)}
	for _, c := range o.Classes {
		r.classes = append(r.classes, ClassResult{Name: c.Name, Latency: NewHistogram(), interval: NewHistogram()})
	}
	senders := make([]sender, o.Connections)
	for i := range senders {
		if u.Scheme == "http" {
			senders[i] = newHTTP1(u.Host, o.Classes)
			continue
		}
		g, err := newGRPC(u.Host, o.Classes)
		if err != nil {
			return nil, err
		}
		senders[i] = g
	}
	var out *hdr.HistogramLogWriter
	if w.Log != nil {
		out = hdr.NewHistogramLogWriter(w.Log)
		if err := startLog(out, time.Now()); err != nil {
			return nil, err
		}
	}
	cpu := cpuTime()
	r.begun = time.Now()
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
	ticks, stopTicks := context.WithCancel(context.Background())
	var logErr error
	var ticking sync.WaitGroup
	ticking.Go(func() { logErr = r.tick(ticks, out, w.Progress) })
	stopped := r.dispatch(ctx, work)
	close(work)
	workers.Wait()
	for _, x := range r.waiting { // it was stopped
		r.classes[x.due.Class].GivenUp++
		r.classes[x.due.Class].Outcomes[x.kind]++
	}
	stopTicks()
	ticking.Wait()
	result := &Result{Target: o.Target, Took: time.Since(r.begun), Classes: r.classes, DelayedByConnections: r.busy, Blocked: r.blocked, SendDelay: r.own, CPU: cpuTime() - cpu,
		Cores: cores(), Stopped: stopped, Interval: interval}
	for _, p := range o.Phases {
		result.Planned += p.For
	}
	if logErr != nil {
		return result, fmt.Errorf("the log: %w", logErr)
	}
	return result, nil
}

// timerSlack is how late the runtime's timers may be; what is left of a wait is slept by nap.
const timerSlack = 1500 * time.Microsecond

// sleepPrecisely sleeps in the kernel, which is late by some 60 us, where a timer of the runtime's is by a millisecond.
func sleepPrecisely(d time.Duration) {
	t := syscall.NsecToTimespec(d.Nanoseconds())
	_ = syscall.Nanosleep(&t, nil) // it may end early: the time is looked at again
}

// dispatch hands out what is due until there is nothing more.
func (r *run) dispatch(ctx context.Context, work chan<- attempt) (stopped bool) {
	s := NewSchedule(r.o)
	next, more := s.Next()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	held := time.Duration(0) // till when the last one waited for a connection: what was due before is late for that
	for {
		r.mu.Lock()
		again := len(r.waiting) > 0
		x := attempt{due: next, first: next.At}
		if again && (!more || r.waiting[0].due.At < next.At) {
			x = r.waiting[0]
		} else {
			again = false
		}
		r.mu.Unlock()
		if !more && !again {
			if r.open.Load() == 0 { // whatever still comes back may want another try
				r.mu.Lock()
				done := len(r.waiting) == 0
				r.mu.Unlock()
				if done {
					return false
				}
				continue
			}
			select {
			case <-r.wake:
			case <-ctx.Done():
				return true
			}
			continue
		}
		if wait := x.due.At - time.Since(r.begun); wait > 0 && wait <= timerSlack {
			sleepPrecisely(wait)
		} else if wait > 0 {
			timer.Reset(wait - timerSlack)
			select {
			case <-timer.C:
			case <-r.wake:
			case <-ctx.Done():
				return true
			}
			continue
		}
		if again {
			r.mu.Lock()
			x = heap.Pop(&r.waiting).(attempt) // it may be an earlier one by now
			r.mu.Unlock()
		} else {
			next, more = s.Next()
		}
		r.open.Add(1)
		free := r.idle.Load() > 0
		handed := time.Now()
		select {
		case work <- x:
		case <-ctx.Done():
			r.open.Add(-1)
			return true
		}
		sent := time.Since(r.begun)
		if !free {
			held = sent
			r.blocked += time.Since(handed)
		}
		if x.tries == 0 {
			late := sent - x.due.At
			r.mu.Lock()
			r.classes[x.due.Class].Requests++
			r.last.Requests++
			if x.due.At >= held {
				Record(r.own, late)
			} else if late > time.Millisecond {
				r.busy++
			}
			r.mu.Unlock()
		}
	}
}

// serve makes one try, and decides on another.
func (r *run) serve(s sender, x attempt) {
	r.idle.Add(-1)
	o := s.send(x.due, r.o.Timeout)
	now := time.Since(r.begun)
	x.tries++
	safe := r.o.Classes[x.due.Class].Method == "GET" || r.o.Classes[x.due.Class].Method == "HEAD"
	again := x.tries <= r.o.Retries && (o.kind == Refused || safe && (o.kind == Broken || o.kind == TimedOut || o.kind == Failed))
	r.mu.Lock()
	c := &r.classes[x.due.Class]
	c.Attempts++
	if again && len(r.waiting) >= r.o.MaxWaitingRetries {
		c.GivenUp++
		again = false
	}
	if again {
		x.kind = o.kind
		x.wait = max(r.o.RetryBackoff, 2*x.wait)
		x.due.At = now + max(x.wait, o.retryIn)
		heap.Push(&r.waiting, x)
	} else {
		c.Outcomes[o.kind]++
		r.last.Outcomes[o.kind]++
		if o.kind == OK {
			Record(c.Latency, now-x.first)
			Record(c.interval, now-x.first)
			Record(r.recent, now-x.first)
		}
	}
	r.mu.Unlock()
	r.idle.Add(1)
	if left := r.open.Add(-1); again || left == 0 {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// tick tells of each interval.
func (r *run) tick(ctx context.Context, out *hdr.HistogramLogWriter, tell func(Progress)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	from := time.Now()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		last := ctx.Err() != nil // all requests have ended
		now := time.Now()
		r.mu.Lock()
		p := r.last
		p.At, p.InFlight, p.Waiting = time.Since(r.begun), int(r.open.Load()), len(r.waiting)
		p.P50, p.P99 = Quantile(r.recent, 50), Quantile(r.recent, 99)
		r.last = Progress{}
		r.recent.Reset()
		var logged []*hdr.Histogram
		for i := range r.classes {
			if out != nil {
				h := r.classes[i].interval.Clone()
				h.SetTag(r.classes[i].Name)
				h.SetStartTimeMs(from.UnixMilli())
				h.SetEndTimeMs(now.UnixMilli())
				logged = append(logged, h)
			}
			r.classes[i].interval.Reset()
		}
		r.mu.Unlock()
		from = now
		for _, h := range logged {
			if err := out.OutputIntervalHistogram(h); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
		if tell != nil {
			tell(p)
		}
	}
}

func startLog(out *hdr.HistogramLogWriter, begun time.Time) error {
	if err := out.OutputLogFormatVersion(); err != nil {
		return err
	}
	if err := out.OutputStartTime(begun.UnixMilli()); err != nil {
		return err
	}
	out.SetBaseTime(begun.UnixMilli())
	if err := out.OutputBaseTime(begun.UnixMilli()); err != nil {
		return err
	}
	return out.OutputLegend()
}
